//! Runs the demo as the README does.

use std::process::Command;

#[test]
fn all_checks_of_the_demo_pass() {
    let output = Command::new(env!("CARGO_BIN_EXE_demo")).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
    assert!(text.contains("0 did not"), "{text}");
}
