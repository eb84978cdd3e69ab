//! Errors in settings files are reported with line, field and a hint.

mod common;

use std::process::Command;
use std::process::Output;

use rstest::rstest;

use crate::common::ANY;
use crate::common::daemon::PROGRAM;
use crate::common::settings;

const EXIT_USAGE: i32 = 2;
const EXIT_SETTINGS: i32 = 3;

fn valid() -> String {
    let address = |port: u16| format!("127.0.0.1:{port}").parse().unwrap_or(ANY);
    settings::valid(address(7001), address(7002), address(7003), address(7900))
}

fn check(text: &str) -> Output {
    let path = settings::write(text);
    Command::new(PROGRAM)
        .arg("--check")
        .arg("--config")
        .arg(path)
        .output()
        .unwrap()
}

fn assert_refused(text: &str, line: &str, parts: &[&str]) {
    let output = check(text);
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(EXIT_SETTINGS), "{message}");
    assert!(message.starts_with("waxwingd: "), "{message}");
    assert!(message.contains(line), "no `{line}` in {message}");
    assert!(message.contains("try: "), "{message}");
    for part in parts {
        assert!(message.contains(part), "no `{part}` in {message}");
    }
}

#[rstest]
fn valid_settings_are_accepted() {
    assert!(check(&valid()).status.success());
}

#[rstest]
#[case::not_yaml("secret: \"secret of", "secret: [secret of", &["line 5"])]
#[case::caller("caller: \"127.0.0.1:7001\"", "caller: 7001", &["line 3", "listen.caller"])]
#[case::name("caller: \"127.0.0.1:7001\"", "caller: \"localhost:7001\"", &["line 3", "listen.caller", "ip:port"])]
#[case::port("caller: \"127.0.0.1:7001\"", "caller: \"127.0.0.1:0\"", &["line 3", "listen.caller", "port 0"])]
#[case::secret("secret of the test fleet", "short", &["line 5", "secret", "at least 16"])]
#[case::token(settings::TOKEN, "short", &["line 6", "operators.ana", "at least 16"])]
fn invalid_values_are_refused(#[case] from: &str, #[case] to: &str, #[case] parts: &[&str]) {
    assert_refused(&valid().replace(from, to), parts[0], &parts[1..]);
}

#[rstest]
#[case::unknown_field("retries: 3\n", "line 7", &["retries", "expected one of"])]
#[case::unknown_timing("timing: {lease: 5}\n", "line 7", &["timing", "lease", "lease_ms"])]
#[case::zero("timing:\n  lease_ms: 3000\n  poll_ms: 0\n", "line 9", &["timing.poll_ms", "from 1 up"])]
#[case::negative("limits: {open: -4}\n", "line 7", &["limits.open", "-4", "from 1 up"])]
#[case::wrong_type("limits: {open: many}\n", "line 7", &["limits.open", "many"])]
#[case::twice("name: entry-2\n", "line 1", &["duplicate", "name"])]
#[case::seed("seeds:\n  - {name: a, address: \"::1\"}\n", "line 8", &["seeds[0].address", "ip:port"])]
fn invalid_additional_fields_are_refused(
    #[case] more: &str,
    #[case] line: &str,
    #[case] parts: &[&str],
) {
    assert_refused(&(valid() + more), line, parts);
}

#[rstest]
#[case::name("name")]
#[case::platform("platform")]
#[case::operators("operators")]
fn missing_fields_are_named(#[case] field: &str) {
    let text = valid();
    let lines = text.lines().filter(|line| !line.starts_with(field));
    assert_refused(
        &lines.collect::<Vec<_>>().join("\n"),
        "missing field",
        &[field],
    );
}

#[rstest]
fn equal_addresses_are_refused() {
    assert_refused(
        &valid().replace("7002", "7001"),
        "listen",
        &["different ports"],
    );
}

#[rstest]
#[case::no_file(&[][..], EXIT_USAGE)]
#[case::unknown(&["--fast"][..], EXIT_USAGE)]
#[case::absent(&["--config", "absent.yaml"][..], EXIT_SETTINGS)]
#[case::help(&["--help"][..], 0)]
#[case::version(&["--version"][..], 0)]
fn command_lines_exit_with_their_code(#[case] args: &[&str], #[case] code: i32) {
    let output = Command::new(PROGRAM).args(args).output().unwrap();
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}
