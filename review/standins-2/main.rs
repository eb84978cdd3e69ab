//! Stand-ins and drivers of the cases 6 to 10 of the review. Standard library only; built by `review/build-2.sh`.
//!
//! `standin replica ...` is one replica as a process of its own; `standin case NAME` runs a case, with the
//! platform's store and the clients as threads and the daemons and replicas as child processes.

mod case_config;
mod case_recover;
mod case_stages;
mod case_unframed;
mod clients;
mod daemons;
mod http;
mod json;
mod record;
mod replica;
mod store;

use std::env;
use std::process::exit;

fn main() {
    let args: Vec<String> = env::args().collect();
    let words: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    let code = match words.as_slice() {
        ["replica", rest @ ..] => replica::run(rest),
        ["case", "unframed"] => case_unframed::run(),
        ["case", "config"] => case_config::run(),
        ["case", "stages"] => case_stages::run(),
        ["case", "recover"] => case_recover::run(),
        _ => {
            eprintln!("usage: standin replica ... | standin case NAME");
            2
        }
    };
    exit(code);
}
