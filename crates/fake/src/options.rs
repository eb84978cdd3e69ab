//! Command lines of the stand-ins.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;

/// Options of one program: every one takes a value and has a default.
#[derive(Debug)]
pub struct Options {
    program: &'static str,
    options: getopts::Options,
}

/// The values given on one command line.
#[derive(Debug)]
pub struct Values {
    program: &'static str,
    matches: Matches,
}

impl Options {
    /// The options of `program`, which always include `--listen`.
    pub fn new(program: &'static str) -> Self {
        let mut options = getopts::Options::new();
        options.optopt(
            "",
            "listen",
            "address to listen at; port 0 takes a free one",
            "IP:PORT",
        );
        options.optflag("h", "help", "print this text");
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

    /// Reads the command line; prints help or a fault and ends the process where it must.
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
    /// The value of option `name`, or `default` if it is not given.
    pub fn get<T: FromStr>(&self, name: &str, default: T) -> T {
        match self.matches.opt_str(name) {
            Some(text) => self.parse(name, &text),
            None => default,
        }
    }

    /// All values of option `name`.
    pub fn all(&self, name: &str) -> Vec<String> {
        self.matches.opt_strs(name)
    }

    /// The value of option `name` in milliseconds.
    pub fn millis(&self, name: &str, default: u64) -> Duration {
        Duration::from_millis(self.get(name, default))
    }

    /// Where to listen.
    pub fn listen(&self) -> SocketAddr {
        self.get("listen", SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn parse<T: FromStr>(&self, name: &str, text: &str) -> T {
        match text.parse() {
            Ok(value) => value,
            Err(_) => exit_with_error(self.program, &format!("`{text}` is no value for --{name}")),
        }
    }
}

/// Prints `message` and ends the process.
pub fn exit_with_error(program: &str, message: &str) -> ! {
    const EX_USAGE: i32 = 64;
    eprintln!("{program}: {message}");
    std::process::exit(EX_USAGE);
}
