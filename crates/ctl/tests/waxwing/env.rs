//! Runs the command's binary against a scripted admin interface.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;

use fake::web;
use fake::web::Call;
use http::StatusCode;
use serde_json::Value;
use tempfile::TempDir;

pub const OPERATOR: &str = "ana";
pub const TOKEN: &str = "token-of-the-tests";

/// Exit code and output of a command.
#[derive(Debug)]
pub struct CommandOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    /// Asserts the exit code, with all output on failure.
    #[track_caller]
    pub fn assert_code(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{self:#?}");
        self
    }

    /// Asserts that standard output contains `text`.
    #[track_caller]
    pub fn assert_stdout(self, text: &str) -> Self {
        assert!(self.stdout.contains(text), "no `{text}` in {self:#?}");
        self
    }

    /// Asserts that standard error contains `text`.
    #[track_caller]
    pub fn assert_stderr(self, text: &str) -> Self {
        assert!(self.stderr.contains(text), "no `{text}` in {self:#?}");
        self
    }
}

type QueuedAnswers = HashMap<String, VecDeque<(u16, Value)>>;

/// Admin interface with scripted answers: each path gives its answers in order, then repeats the
/// last one.
#[derive(Debug, Clone, Default)]
pub struct FakeAdmin {
    answers: Arc<Mutex<QueuedAnswers>>,
    calls: Arc<Mutex<Vec<ReceivedCall>>>,
}

/// A call received by [`FakeAdmin`].
#[derive(Debug, Clone)]
pub struct ReceivedCall {
    pub path: String,
    pub authorization: String,
    pub operator: String,
    pub body: Value,
}

impl FakeAdmin {
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an answer for `path`.
    pub fn with_answer(self, path: &str, status: u16, body: Value) -> Self {
        let mut answers = self.answers.lock().unwrap();
        answers
            .entry(path.to_owned())
            .or_default()
            .push_back((status, body));
        drop(answers);
        self
    }

    /// Calls received for `path`.
    pub fn calls_to(&self, path: &str) -> Vec<ReceivedCall> {
        let calls = self.calls.lock().unwrap();
        calls
            .iter()
            .filter(|call| call.path == path)
            .cloned()
            .collect()
    }

    /// Serves on a thread that runs until the test process ends; returns the address.
    pub fn start(&self) -> SocketAddr {
        let (sender, receiver) = mpsc::channel();
        let admin = self.clone();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            runtime.unwrap().block_on(async move {
                let listener = web::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
                    .await
                    .unwrap();
                sender.send(listener.local_addr().unwrap()).unwrap();
                web::serve(listener, move |call| {
                    let answer = admin.answer(&call);
                    async move { answer }
                })
                .await
            })
        });
        receiver.recv().unwrap()
    }

    fn answer(&self, call: &Call) -> volo_http::response::Response {
        let header = |name| {
            call.headers
                .get(name)
                .map_or("", |value| value.to_str().unwrap())
        };
        self.calls.lock().unwrap().push(ReceivedCall {
            path: call.path.clone(),
            authorization: header("Authorization").to_owned(),
            operator: header("Waxwing-Operator").to_owned(),
            body: serde_json::from_slice(&call.body).unwrap_or_default(),
        });
        let mut answers = self.answers.lock().unwrap();
        let Some(queue) = answers.get_mut(&call.path) else {
            return web::status(StatusCode::NOT_FOUND);
        };
        let (status, body) = match queue.len() {
            1 => queue[0].clone(),
            _ => queue.pop_front().unwrap(),
        };
        web::json(StatusCode::from_u16(status).unwrap(), &body)
    }
}

/// A temporary folder for files, and the addresses given to the command.
#[derive(Debug)]
pub struct Env {
    folder: TempDir,
    admins: Vec<String>,
}

impl Env {
    /// An environment without any instance.
    pub fn new() -> Self {
        Self {
            folder: TempDir::new().unwrap(),
            admins: Vec::new(),
        }
    }

    /// Adds an admin address.
    pub fn with_admin(mut self, address: SocketAddr) -> Self {
        self.admins.push(address.to_string());
        self
    }

    /// Writes a file and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path: PathBuf = self.folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the command with `args`, and with addresses, operator and token in the environment.
    pub fn run(&self, args: &[&str]) -> CommandOutput {
        let output = Command::new(env!("CARGO_BIN_EXE_waxwing"))
            .args(args)
            .env("WAXWING_ADMIN", self.admins.join(","))
            .env("WAXWING_OPERATOR", OPERATOR)
            .env("WAXWING_TOKEN", TOKEN)
            .output()
            .unwrap();
        CommandOutput {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}
