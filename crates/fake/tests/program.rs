//! Command lines of the stand-in programs.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use fake::control;
use rstest::rstest;

/// A child process that is killed when dropped.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        // Both calls may fail if the process has already exited.
        let _ended = self.0.kill();
        let _status = self.0.wait();
    }
}

#[rstest]
#[case::platform(env!("CARGO_BIN_EXE_fake-platform"), &["--writes", "9"])]
#[case::engine(env!("CARGO_BIN_EXE_fake-engine"), &["--role=decode", "--decode-ms=0.5"])]
#[case::application(env!("CARGO_BIN_EXE_fake-app"), &["--slots=3"])]
#[case::link(env!("CARGO_BIN_EXE_fake-link"), &["--route=0=127.0.0.1:9", "--route", "0=127.0.0.1:9"])]
#[tokio::test]
async fn program_prints_its_address(#[case] program: &str, #[case] args: &[&str]) {
    let child = Command::new(program)
        .args(["--listen", "127.0.0.1:0"])
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut program = Program(child);
    let mut line = String::new();
    let stdout = program.0.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let peer: SocketAddr = line
        .strip_prefix("listening ")
        .unwrap()
        .trim()
        .parse()
        .unwrap();
    assert!(control::record(peer).await.unwrap().is_object());
}

#[rstest]
#[case::unknown_option("--speeed=2")]
#[case::bad_value("--speed=fast")]
fn invalid_command_line_exits_with_an_error(#[case] arg: &str) {
    let program = env!("CARGO_BIN_EXE_fake-engine");
    let output = Command::new(program).arg(arg).output().unwrap();
    assert_eq!(output.status.code(), Some(64));
    assert!(output.stdout.is_empty() && !output.stderr.is_empty());
}
