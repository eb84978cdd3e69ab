//! Wrong input gets a clear error and the right exit code, without any instance.

use rstest::rstest;

use crate::env::Env;

const SETTINGS: &str = r#"
name: entry-1
data_centre: osijek-a
listen: {caller: "127.0.0.1:7001", peer: "127.0.0.1:7101", admin: "127.0.0.1:7201"}
platform: "127.0.0.1:7900"
secret: "at least sixteen characters"
operators: {ana: "token of at least sixteen characters"}
"#;

#[rstest]
#[case::nothing(&[], "no command")]
#[case::unknown_command(&["tabel", "show"], "`tabel show` is not a command")]
#[case::missing_file(&["table", "apply"], "`table apply` is not a command")]
#[case::unknown_option(&["status", "--colour"], "colour")]
#[case::foreign_option(&["status", "--dry-run"], "--dry-run belongs to")]
#[case::wrong_kind(&["drain", "pool", "ration"], "neither `instance` nor `replica`")]
#[case::wrong_wait(&["drain", "replica", "a", "--wait", "-3"], "not a number")]
#[case::wrong_generation(&["table", "force", "latest"], "`latest` is not a number")]
#[case::no_address(&["status"], "no admin address")]
#[case::wrong_address(&["status", "--admin", "localhost"], "`localhost` is not an address")]
fn usage(#[case] args: &[&str], #[case] message: &str) {
    Env::new()
        .run(args)
        .code(2)
        .err(message)
        .err("try: see `waxwing --help`");
}

#[rstest]
#[case::long("--help")]
#[case::short("-h")]
fn help_teaches_by_example(#[case] option: &str) {
    Env::new()
        .run(&[option])
        .code(0)
        .out("Examples:")
        .out("waxwing table apply table.yaml");
}

#[test]
fn valid_table_passes() {
    let env = Env::new();
    let file = env.file(
        "table.yaml",
        "- {service: ration, class: default, pool: ration}\n",
    );
    env.run(&["table", "check", &file])
        .code(0)
        .out("1 rows, no fault");
}

#[rstest]
#[case::zero("share: 0", "line 4", "share")]
#[case::negative("decode_ceiling: -1", "line 4", "decode_ceiling")]
#[case::unknown_column("colour: red", "line 4", "colour")]
#[case::contradiction("max_wait_ms: 10", "line 4", "max_wait_ms")]
fn faulty_table_is_named_by_line_and_column(
    #[case] column: &str,
    #[case] line: &str,
    #[case] name: &str,
) {
    let env = Env::new();
    let text = format!("- service: ration\n  class: default\n  pool: ration\n  {column}\n");
    let file = env.file("table.yaml", &text);
    env.run(&["table", "check", &file])
        .code(4)
        .err(&file)
        .err(line)
        .err(name);
}

#[test]
fn missing_file_is_no_fault_of_the_table() {
    Env::new()
        .run(&["table", "check", "absent.yaml"])
        .code(1)
        .err("read absent.yaml");
}

#[test]
fn valid_settings_pass() {
    let env = Env::new();
    let file = env.file("entry.yaml", SETTINGS);
    env.run(&["config", "check", &file])
        .code(0)
        .out("settings of entry-1 in osijek-a");
}

#[test]
fn unknown_setting_is_named_by_line() {
    faulty_settings("name: entry-1", "nmae: entry-1", "line 2", "nmae");
}

#[rstest]
#[case::no_port("127.0.0.1:7900", "127.0.0.1", "line 5", "platform")]
#[case::short_secret("at least sixteen characters", "short", "line 6", "secret")]
#[case::zero_limit("operators", "limits: {open: 0}\noperators", "line 7", "open")]
fn faulty_setting_is_named_by_line_and_field(
    #[case] right: &str,
    #[case] wrong: &str,
    #[case] line: &str,
    #[case] name: &str,
) {
    faulty_settings(right, wrong, line, name);
}

#[track_caller]
fn faulty_settings(right: &str, wrong: &str, line: &str, name: &str) {
    let env = Env::new();
    let file = env.file("entry.yaml", &SETTINGS.replacen(right, wrong, 1));
    env.run(&["config", "check", &file])
        .code(4)
        .err(line)
        .err(name);
}
