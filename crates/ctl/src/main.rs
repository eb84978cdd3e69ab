//! The operators' command `waxwing`.

use std::process::ExitCode;

fn main() -> ExitCode {
    ctl::run(std::env::args().skip(1).collect()).into()
}
