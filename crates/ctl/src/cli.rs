//! The command line.

use std::path::PathBuf;
use std::time::Duration;

use getopts::Matches;
use table::drain::DrainTarget;

use crate::error::Error;

/// Name and version of the program.
pub const VERSION: &str = concat!("waxwing ", env!("CARGO_PKG_VERSION"));
/// How long an accepted edit may take to come into force before the command gives up.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// Options that only some commands take, with the first words of these commands.
const SPECIAL: [(&str, &[&str]); 5] = [
    ("dry-run", &["table apply", "drain", "undrain"]),
    ("wait", &["table apply", "table force", "drain", "undrain"]),
    ("note", &["table apply", "drain", "undrain"]),
    ("edit-id", &["table apply", "drain", "undrain"]),
    ("log", &["explain", "account"]),
];

const BRIEF: &str = "Usage: waxwing [options] COMMAND

Commands:
    table show              print the table in force, as a file that `table apply` takes
    table check FILE        check a table file, without any instance
    table apply FILE        make the table as in FILE; wait until it is in force
    table force GENERATION  wait until a generation is in force
    table history           list the accepted edits, newest first
    drain   instance|replica NAME
                            give it no new work; what is in progress is finished
    undrain instance|replica NAME
                            take the mark away
    status                  show each instance as it sees itself and the others
    explain REQUEST         show what was decided for a request, and why
    account                 put each generation in log files to the cause that it was late or lost for
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
    cat edge-*.log | waxwing explain 9c41d07b --log -   a request's life, no daemon needed
    cat edge-*.log | waxwing account --log -            what was lost, by cause and moment

Exit codes: 0 done and in force, 1 other failure, 2 usage, 3 conflict, 4 rejected,
5 accepted but not yet in force, 6 unreachable, 7 denied, 8 undecided, 9 not found.";

/// A command with its options.
#[derive(Debug)]
pub struct Call {
    /// What to do.
    pub command: Command,
    /// Options of every command.
    pub options: Options,
}

/// Options of every command.
#[derive(Debug, Default)]
pub struct Options {
    /// Admin addresses, as given.
    pub admins: Vec<String>,
    /// Name of the operator.
    pub operator: Option<String>,
    /// File with the operator's token.
    pub token_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

/// What to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the table in force.
    TableShow,
    /// Check a table file.
    TableCheck(PathBuf),
    /// Make the table as in a file.
    TableApply(PathBuf, Submission),
    /// Wait until a generation is in force.
    TableForce(u64, Duration),
    /// List the accepted edits.
    TableHistory,
    /// Mark to drain.
    Drain(DrainTarget, Submission),
    /// Take the mark away.
    Undrain(DrainTarget, Submission),
    /// Show the instances.
    Status,
    /// Show the decisions for a request; log files to search in.
    Explain(String, Vec<PathBuf>),
    /// Put generations to causes; log files to read.
    Account(Vec<PathBuf>),
    /// Check settings of a daemon.
    ConfigCheck(PathBuf),
    /// Print the help text.
    Help,
    /// Print name and version.
    Version,
}

/// How an edit is submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Whether to stop after the difference was shown.
    pub dry_run: bool,
    /// How long to wait until it is in force.
    pub wait: Duration,
    /// Why the edit is made.
    pub note: String,
    /// Id of an earlier, undecided try.
    pub id: Option<String>,
}

/// Reads the arguments that follow the program's name.
///
/// # Errors
///
/// [`Error::Usage`] if they do not make a command.
pub fn parse(args: Vec<String>) -> Result<Call, Error> {
    let matches = definitions()
        .parse(args)
        .map_err(|cause| usage(cause.to_string()))?;
    let command = command(&matches)?;
    let options = Options {
        admins: matches.opt_strs("admin"),
        operator: matches.opt_str("operator"),
        token_file: matches.opt_str("token-file").map(PathBuf::from),
        json: matches.opt_present("json"),
    };
    Ok(Call { command, options })
}

/// The help text.
pub fn help() -> String {
    definitions().usage(BRIEF)
}

fn command(matches: &Matches) -> Result<Command, Error> {
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
        ["table", "apply", file] => Ok(Command::TableApply(file.into(), submission(matches)?)),
        ["table", "force", generation] => Ok(Command::TableForce(
            number(generation, "GENERATION")?,
            wait(matches)?,
        )),
        ["table", "history"] => Ok(Command::TableHistory),
        ["drain", kind, name] => Ok(Command::Drain(mark(kind, name)?, submission(matches)?)),
        ["undrain", kind, name] => Ok(Command::Undrain(mark(kind, name)?, submission(matches)?)),
        ["status"] => Ok(Command::Status),
        ["explain", request] => Ok(Command::Explain(request.to_owned(), logs(matches))),
        ["account"] => match logs(matches) {
            logs if logs.is_empty() => Err(usage("account: --log FILE is missing".to_owned())),
            logs => Ok(Command::Account(logs)),
        },
        ["config", "check", file] => Ok(Command::ConfigCheck(file.into())),
        [] => Err(usage("no command given".to_owned())),
        _ => Err(usage(format!("`{}` is not a command", words.join(" ")))),
    }
}

/// The log files that are named.
fn logs(matches: &Matches) -> Vec<PathBuf> {
    let logs = matches.opt_strs("log").into_iter();
    logs.map(PathBuf::from).collect()
}

/// Refuses options that the command would ignore.
fn check_options(matches: &Matches, words: &[&str]) -> Result<(), Error> {
    let line = words.join(" ");
    let given = SPECIAL.iter().filter(|(name, _)| matches.opt_present(name));
    let mut foreign = given.filter(|(_, commands)| {
        !commands
            .iter()
            .any(|command| line == *command || line.starts_with(&format!("{command} ")))
    });
    match foreign.next() {
        Some((name, commands)) => Err(usage(format!(
            "--{name} belongs to: {}",
            commands.join(", ")
        ))),
        None => Ok(()),
    }
}

fn submission(matches: &Matches) -> Result<Submission, Error> {
    Ok(Submission {
        dry_run: matches.opt_present("dry-run"),
        wait: wait(matches)?,
        note: matches.opt_str("note").unwrap_or_default(),
        id: matches.opt_str("edit-id"),
    })
}

fn wait(matches: &Matches) -> Result<Duration, Error> {
    match matches.opt_str("wait") {
        Some(text) => number(&text, "--wait").map(Duration::from_secs),
        None => Ok(DEFAULT_WAIT),
    }
}

fn number(text: &str, name: &str) -> Result<u64, Error> {
    text.parse()
        .map_err(|_| usage(format!("{name}: `{text}` is not a number from 0 up")))
}

fn mark(kind: &str, name: &str) -> Result<DrainTarget, Error> {
    let problem = || usage(format!("`{kind}` is neither `instance` nor `replica`"));
    DrainTarget::from_kind(kind, name).ok_or_else(problem)
}

fn usage(cause: String) -> Error {
    Error::Usage { cause }
}

fn definitions() -> getopts::Options {
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
    options.optopt("", "note", "why the edit is made", "TEXT");
    options.optopt("", "edit-id", "repeat an undecided edit under its id", "ID");
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
