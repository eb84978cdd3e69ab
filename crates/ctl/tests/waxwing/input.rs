//! Invalid input is reported with a clear error and exit code, without contacting an instance.

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
fn wrong_arguments_are_usage_errors(#[case] args: &[&str], #[case] message: &str) {
    Env::new()
        .run(args)
        .assert_code(2)
        .assert_stderr(message)
        .assert_stderr("try: see `waxwing --help`");
}

#[rstest]
#[case::long("--help")]
#[case::short("-h")]
fn help_contains_examples(#[case] option: &str) {
    Env::new()
        .run(&[option])
        .assert_code(0)
        .assert_stdout("Examples:")
        .assert_stdout("waxwing table apply table.yaml");
}

#[test]
fn valid_table_passes() {
    let env = Env::new();
    let file = env.write_file(
        "table.yaml",
        "- {service: ration, class: default, pool: ration}\n",
    );
    env.run(&["table", "check", &file])
        .assert_code(0)
        .assert_stdout("1 rows, no fault");
}

#[rstest]
#[case::zero("share: 0", "line 4", "share")]
#[case::negative("decode_ceiling: -1", "line 4", "decode_ceiling")]
#[case::unknown_column("colour: red", "line 4", "colour")]
#[case::contradiction("max_wait_ms: 10", "line 4", "max_wait_ms")]
fn table_error_names_line_and_column(#[case] column: &str, #[case] line: &str, #[case] name: &str) {
    let env = Env::new();
    let text = format!("- service: ration\n  class: default\n  pool: ration\n  {column}\n");
    let file = env.write_file("table.yaml", &text);
    env.run(&["table", "check", &file])
        .assert_code(4)
        .assert_stderr(&file)
        .assert_stderr(line)
        .assert_stderr(name);
}

#[test]
fn missing_file_is_a_read_error() {
    Env::new()
        .run(&["table", "check", "absent.yaml"])
        .assert_code(1)
        .assert_stderr("read absent.yaml");
}

#[test]
fn valid_settings_pass() {
    let env = Env::new();
    let file = env.write_file("entry.yaml", SETTINGS);
    env.run(&["config", "check", &file])
        .assert_code(0)
        .assert_stdout("settings of entry-1 in osijek-a");
}

#[test]
fn unknown_setting_error_names_line() {
    assert_settings_error("name: entry-1", "nmae: entry-1", "line 2", "nmae");
}

#[rstest]
#[case::no_port("127.0.0.1:7900", "127.0.0.1", "line 5", "platform")]
#[case::short_secret("at least sixteen characters", "short", "line 6", "secret")]
#[case::zero_limit("operators", "limits: {open: 0}\noperators", "line 7", "open")]
fn setting_error_names_line_and_field(
    #[case] right: &str,
    #[case] wrong: &str,
    #[case] line: &str,
    #[case] name: &str,
) {
    assert_settings_error(right, wrong, line, name);
}

#[track_caller]
fn assert_settings_error(right: &str, wrong: &str, line: &str, name: &str) {
    let env = Env::new();
    let file = env.write_file("entry.yaml", &SETTINGS.replacen(right, wrong, 1));
    env.run(&["config", "check", &file])
        .assert_code(4)
        .assert_stderr(line)
        .assert_stderr(name);
}
