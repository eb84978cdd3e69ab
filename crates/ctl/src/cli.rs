//! Parses the command line.

use std::path::PathBuf;
use std::time::Duration;

use getopts::Matches;
use table::drain::DrainTarget;

use crate::error::Error;

/// Name and version of the program.
pub const VERSION: &str = concat!("waxwing ", env!("CARGO_PKG_VERSION"));
/// Default of `--wait`: how long the command waits until an accepted edit is in force.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// Options that only some commands accept, with the first words of these commands.
const COMMAND_OPTIONS: [(&str, &[&str]); 5] = [
    ("dry-run", &["table apply", "drain", "undrain"]),
    ("wait", &["table apply", "table force", "drain", "undrain"]),
    ("note", &["table apply", "drain", "undrain"]),
    ("edit-id", &["table apply", "drain", "undrain"]),
    ("log", &["explain", "account", "crowd"]),
];

const USAGE: &str = "Usage: waxwing [options] COMMAND

Commands:
    table show              print the table in force, as a file for `table apply`
    table check FILE        check a table file, without contacting an instance
    table apply FILE        change the table to match FILE; wait until it is in force
    table force GENERATION  wait until a generation is in force
    table history           list the accepted edits, newest first
    drain   instance|replica NAME
                            send it no new work; work in progress is completed
    undrain instance|replica NAME
                            stop draining it
    status                  show the state of each instance and its view of the others
    explain REQUEST         show what was decided for a request, and why
    account                 count the generations in log files by why they were late or lost
    crowd                   show from log files who waits, who is refused, and why
    config check FILE       check the settings file of a daemon

Examples:
    export WAXWING_ADMIN=127.0.0.1:7201,127.0.0.1:7202 WAXWING_OPERATOR=ana
    export WAXWING_TOKEN=$(cat ana.token)
    waxwing table show > table.yaml           fetch the table, then change the file
    waxwing table apply table.yaml --dry-run  see what would change
    waxwing table apply table.yaml --note 'more drafts for co-ops'
    waxwing drain replica decode-3
    waxwing explain order-17                  ask every instance about a request
    waxwing explain order-17 --log entry-1.log
    cat edge-*.log | waxwing explain 9c41d07b --log -   timeline of a request, no daemon needed
    cat edge-*.log | waxwing account --log -            what was lost, by cause and time
    cat edge-*.log | waxwing crowd --log -              who was refused, by customer and rank

Exit codes: 0 done and in force, 1 other failure, 2 usage, 3 conflict, 4 rejected,
5 accepted but not yet in force, 6 unreachable, 7 denied, 8 undecided, 9 not found.";

/// A parsed command line.
#[derive(Debug)]
pub struct Invocation {
    /// The command to run.
    pub command: Command,
    /// Options that every command accepts.
    pub options: Options,
}

/// Options that every command accepts.
#[derive(Debug, Default)]
pub struct Options {
    /// Admin addresses as given on the command line.
    pub admins: Vec<String>,
    /// Name of the operator.
    pub operator: Option<String>,
    /// File with the operator's token.
    pub token_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

/// A command with its arguments and its own options.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the table in force.
    TableShow,
    /// Check a table file.
    TableCheck(PathBuf),
    /// Change the table to match a file.
    TableApply(PathBuf, SubmitOptions),
    /// Wait until a generation is in force.
    TableForce(u64, Duration),
    /// List the accepted edits.
    TableHistory,
    /// Drain an instance or a replica.
    Drain(DrainTarget, SubmitOptions),
    /// Stop draining an instance or a replica.
    Undrain(DrainTarget, SubmitOptions),
    /// Show the state of the instances.
    Status,
    /// Show the decisions for a request, from the instances and from log files.
    Explain(String, Vec<PathBuf>),
    /// Count the generations in log files by cause.
    Account(Vec<PathBuf>),
    /// Count the requests in log files by who sent them and what came of them.
    Crowd(Vec<PathBuf>),
    /// Check the settings file of a daemon.
    ConfigCheck(PathBuf),
    /// Print the help text.
    Help,
    /// Print name and version.
    Version,
}

/// Options of commands that submit an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitOptions {
    /// Whether to show the difference without submitting the edit.
    pub dry_run: bool,
    /// How long to wait until it is in force.
    pub wait: Duration,
    /// Reason for the edit, kept in the history.
    pub note: String,
    /// Id of an earlier, undecided attempt.
    pub id: Option<String>,
}

/// Parses the arguments that follow the program's name.
///
/// # Errors
///
/// [`Error::Usage`] if they are not a valid command.
pub fn parse(args: Vec<String>) -> Result<Invocation, Error> {
    let matches = option_definitions()
        .parse(args)
        .map_err(|cause| usage_error(cause.to_string()))?;
    let command = parse_command(&matches)?;
    let options = Options {
        admins: matches.opt_strs("admin"),
        operator: matches.opt_str("operator"),
        token_file: matches.opt_str("token-file").map(PathBuf::from),
        json: matches.opt_present("json"),
    };
    Ok(Invocation { command, options })
}

/// Returns the help text.
pub fn help() -> String {
    option_definitions().usage(USAGE)
}

fn parse_command(matches: &Matches) -> Result<Command, Error> {
    match matches {
        m if m.opt_present("help") => return Ok(Command::Help),
        m if m.opt_present("version") => return Ok(Command::Version),
        _ => {}
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    check_options(matches, &words)?;
    match words[..] {
        ["help"] => Ok(Command::Help),
        ["table", "show"] => Ok(Command::TableShow),
        ["table", "check", file] => Ok(Command::TableCheck(file.into())),
        ["table", "apply", file] => Ok(Command::TableApply(file.into(), submit_options(matches)?)),
        ["table", "force", generation] => Ok(Command::TableForce(
            parse_number(generation, "GENERATION")?,
            parse_wait(matches)?,
        )),
        ["table", "history"] => Ok(Command::TableHistory),
        ["drain", kind, name] => Ok(Command::Drain(
            drain_target(kind, name)?,
            submit_options(matches)?,
        )),
        ["undrain", kind, name] => Ok(Command::Undrain(
            drain_target(kind, name)?,
            submit_options(matches)?,
        )),
        ["status"] => Ok(Command::Status),
        ["explain", request] => Ok(Command::Explain(request.to_owned(), log_paths(matches))),
        ["account"] => match log_paths(matches) {
            logs if logs.is_empty() => {
                Err(usage_error("account: --log FILE is missing".to_owned()))
            }
            logs => Ok(Command::Account(logs)),
        },
        ["crowd"] => match log_paths(matches) {
            logs if logs.is_empty() => Err(usage_error("crowd: --log FILE is missing".to_owned())),
            logs => Ok(Command::Crowd(logs)),
        },
        ["config", "check", file] => Ok(Command::ConfigCheck(file.into())),
        [] => Err(usage_error("no command given".to_owned())),
        _ => Err(usage_error(format!(
            "`{}` is not a command",
            words.join(" ")
        ))),
    }
}

/// Paths given with `--log`.
fn log_paths(matches: &Matches) -> Vec<PathBuf> {
    let logs = matches.opt_strs("log").into_iter();
    logs.map(PathBuf::from).collect()
}

/// Rejects options that the command would ignore.
fn check_options(matches: &Matches, words: &[&str]) -> Result<(), Error> {
    let line = words.join(" ");
    let given = COMMAND_OPTIONS
        .iter()
        .filter(|(name, _)| matches.opt_present(name));
    let mut misplaced = given.filter(|(_, commands)| {
        !commands
            .iter()
            .any(|command| line == *command || line.starts_with(&format!("{command} ")))
    });
    match misplaced.next() {
        Some((name, commands)) => Err(usage_error(format!(
            "--{name} belongs to: {}",
            commands.join(", ")
        ))),
        None => Ok(()),
    }
}

fn submit_options(matches: &Matches) -> Result<SubmitOptions, Error> {
    Ok(SubmitOptions {
        dry_run: matches.opt_present("dry-run"),
        wait: parse_wait(matches)?,
        note: matches.opt_str("note").unwrap_or_default(),
        id: matches.opt_str("edit-id"),
    })
}

fn parse_wait(matches: &Matches) -> Result<Duration, Error> {
    match matches.opt_str("wait") {
        Some(text) => parse_number(&text, "--wait").map(Duration::from_secs),
        None => Ok(DEFAULT_WAIT),
    }
}

fn parse_number(text: &str, name: &str) -> Result<u64, Error> {
    text.parse()
        .map_err(|_| usage_error(format!("{name}: `{text}` is not a number of 0 or more")))
}

fn drain_target(kind: &str, name: &str) -> Result<DrainTarget, Error> {
    let problem = || usage_error(format!("`{kind}` is neither `instance` nor `replica`"));
    DrainTarget::from_kind(kind, name).ok_or_else(problem)
}

fn usage_error(cause: String) -> Error {
    Error::Usage { cause }
}

fn option_definitions() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optmulti(
        "a",
        "admin",
        "admin address of an instance; repeatable (or WAXWING_ADMIN, separated by commas)",
        "IP:PORT",
    );
    options.optopt("o", "operator", "your name (or WAXWING_OPERATOR)", "NAME");
    options.optopt(
        "t",
        "token-file",
        "file with your token (or WAXWING_TOKEN)",
        "FILE",
    );
    options.optflag("", "json", "print JSON");
    options.optflag("n", "dry-run", "show what would change, then stop");
    options.optopt(
        "w",
        "wait",
        "wait this long until the edit is in force (10)",
        "SECONDS",
    );
    options.optopt(
        "",
        "note",
        "reason for the edit, shown in the history",
        "TEXT",
    );
    options.optopt(
        "",
        "edit-id",
        "send an undecided edit again under its id",
        "ID",
    );
    options.optmulti(
        "",
        "log",
        "also search this file of log lines; repeatable; - is standard input",
        "FILE",
    );
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print name and version");
    options
}
