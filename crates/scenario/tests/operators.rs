//! Runs the commands of the operators' page as written.

use std::fs;
use std::os::unix::fs::symlink;
use std::path::Path;
use std::process::Command;

use scenario::demo;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
const DOCS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs");

/// Returns the contents of all code blocks marked `sh`.
fn blocks(page: &str) -> Vec<String> {
    let starts = page.split("```sh\n").skip(1);
    starts
        .map(|rest| rest.split("```").next().unwrap().to_owned())
        .collect()
}

fn run(block: &str, variables: &Path, folder: &Path) {
    let script = format!("set -euo pipefail\n. {}\n{block}", variables.display());
    let output = Command::new("bash")
        .arg("-c")
        .arg(script)
        .current_dir(folder)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    println!("{block}{text}{errors}");
    assert!(output.status.success(), "{block}{text}{errors}");
}

#[tokio::test(flavor = "multi_thread")]
async fn all_commands_of_the_page_succeed() {
    let folder = tempfile::tempdir().unwrap();
    let variables = folder.path().join("waxwing.env");
    let fleet = demo::stay::start(&variables).await.unwrap();
    symlink(Path::new(DOCS), folder.path().join("docs")).unwrap();
    let page = fs::read_to_string(PAGE).unwrap();
    let blocks = blocks(&page);
    assert!(!blocks.is_empty());
    for block in &blocks {
        run(block, &variables, folder.path());
    }
    drop(fleet);
}
