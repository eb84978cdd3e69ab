//! Command-line parsing for the stand-ins.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;

/// Options of one program. Each takes a value and has a default.
#[derive(Debug)]
pub struct Options {
    program: &'static str,
    options: getopts::Options,
}

/// Parsed option values.
#[derive(Debug)]
pub struct Values {
    program: &'static str,
    matches: Matches,
}

impl Options {
    /// Creates the options of `program`: `--listen` and `--help`.
    pub fn new(program: &'static str) -> Self {
        let mut options = getopts::Options::new();
        options.optopt(
            "",
            "listen",
            "address to listen on; port 0 selects a free port",
            "IP:PORT",
        );
        options.optflag("h", "help", "print this help");
        Self { program, options }
    }

    /// Adds an option.
    #[must_use]
    pub fn with(mut self, name: &str, text: &str) -> Self {
        self.options.optopt("", name, text, "VALUE");
        self
    }

    /// Adds an option that may be repeated.
    #[must_use]
    pub fn with_many(mut self, name: &str, text: &str) -> Self {
        self.options.optmulti("", name, text, "VALUE");
        self
    }

    /// Parses the command line. Exits the process after printing help or an error.
    pub fn parse(self) -> Values {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let matches = match self.options.parse(arguments) {
            Ok(matches) => matches,
            Err(e) => exit_with_error(self.program, &e.to_string()),
        };
        if matches.opt_present("help") {
            print!(
                "{}",
                self.options
                    .usage(&format!("Usage: {} [options]", self.program))
            );
            std::process::exit(0);
        }
        Values {
            program: self.program,
            matches,
        }
    }
}

impl Values {
    /// Returns the value of option `name`, or `default` if it is not given.
    pub fn get<T: FromStr>(&self, name: &str, default: T) -> T {
        match self.matches.opt_str(name) {
            Some(text) => self.parse(name, &text),
            None => default,
        }
    }

    /// Returns all values of option `name`.
    pub fn all(&self, name: &str) -> Vec<String> {
        self.matches.opt_strs(name)
    }

    /// Returns the value of option `name`, which is in milliseconds.
    pub fn millis(&self, name: &str, default: u64) -> Duration {
        Duration::from_millis(self.get(name, default))
    }

    /// Returns the address to listen on; by default, a free port of the loopback address.
    pub fn listen(&self) -> SocketAddr {
        self.get("listen", SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn parse<T: FromStr>(&self, name: &str, text: &str) -> T {
        match text.parse() {
            Ok(value) => value,
            Err(_) => exit_with_error(
                self.program,
                &format!("invalid value `{text}` for --{name}"),
            ),
        }
    }
}

/// Prints `message` to standard error and exits with code 64.
pub fn exit_with_error(program: &str, message: &str) -> ! {
    const EX_USAGE: i32 = 64;
    eprintln!("{program}: {message}");
    std::process::exit(EX_USAGE);
}
