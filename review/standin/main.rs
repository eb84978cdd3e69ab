//! Stand-ins for the cases of the review: `standin CASE FOLDER`. Exits with 1 if the rule of the case
//! was broken, with 0 if it held, and with 2 if the case could not run.

mod daemon;
mod engine;
mod order;
mod quota;
mod replica;
mod resume;
mod roll;
mod store;
mod twice;
mod wire;

use std::path::Path;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match case.as_str() {
        "order" => order::run(Path::new(folder), has_trouble),
        "quota" => quota::run(Path::new(folder), has_trouble),
        "roll" => roll::run(Path::new(folder), has_trouble),
        "resume" => resume::run(Path::new(folder), has_trouble),
        "twice" => twice::run(Path::new(folder), has_trouble),
        _ => 2,
    };
    exit(code);
}
