//! Command line and errors of a daemon.

use std::path::PathBuf;

use launch::Program;
use launch::cli;
use launch::cli::Command;
use launch::error::Error;
use launch::exit_codes::ExitCode;
use rstest::rstest;

const PROGRAM: Program = Program {
    name: "sample",
    version: "1.2.3",
    usage: "Usage: sample --config FILE",
    settings_page: "docs/SAMPLE.md",
    settings_variable: None,
};

fn parse(args: &[&str]) -> Result<Command, Error> {
    let args: Vec<String> = args.iter().map(|&arg| arg.to_owned()).collect();
    cli::parse(&PROGRAM, &args)
}

#[rstest]
#[case(&["--help"], Command::Help)]
#[case(&["-V"], Command::Version)]
#[case(&["--config", "a.yaml"], Command::Run { path: PathBuf::from("a.yaml") })]
#[case(&["-c", "a.yaml", "--check"], Command::Check { path: PathBuf::from("a.yaml") })]
#[case(&["--help", "--config", "a.yaml"], Command::Help)]
fn a_valid_command_line(#[case] args: &[&str], #[case] expected: Command) {
    assert_eq!(parse(args).unwrap(), expected);
}

#[rstest]
#[case(&[], "`--config FILE` is missing")]
#[case(&["--check"], "`--config FILE` is missing")]
#[case(&["--config", "a.yaml", "more"], "unexpected argument `more`")]
#[case(&["--wrong"], "wrong")]
fn an_invalid_command_line(#[case] args: &[&str], #[case] cause: &str) {
    let error = parse(args).unwrap_err();
    assert!(error.to_string().contains(cause), "{error}");
    assert_eq!(error.exit_code(), ExitCode::Usage);
    assert_eq!(error.hint(&PROGRAM), "`sample --help`");
}

#[test]
fn an_error_in_the_settings_names_file_line_and_page() {
    let error = Error::Settings {
        path: PathBuf::from("a.yaml"),
        line: 7,
        cause: "grace_s: missing".to_owned(),
    };
    assert_eq!(
        error.to_string(),
        "settings file a.yaml, line 7: grace_s: missing"
    );
    assert!(error.hint(&PROGRAM).contains("docs/SAMPLE.md"));
    assert_eq!(error.exit_code().code(), 3);
}

#[test]
fn the_help_text_begins_with_the_usage() {
    assert!(cli::help(&PROGRAM).starts_with(PROGRAM.usage));
}
