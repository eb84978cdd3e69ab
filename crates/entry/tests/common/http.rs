//! Requests written as raw bytes, so that tests can send malformed ones.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::daemon::Daemon;

const TIMEOUT: Duration = Duration::from_secs(90);

/// A response.
#[derive(Debug)]
pub struct Answer {
    /// Status code; 0 if the connection was closed without an answer.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Body, with its chunk framing if it was sent in chunks.
    pub body: String,
}

impl Answer {
    /// Everything that was read, for a connection whose head has already been read.
    pub fn raw(&self) -> String {
        format!("{}{}", self.head, self.body)
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("{self:?}"))
    }

    /// The reason of a refusal with the outcome `not_run`.
    pub fn reason(&self) -> String {
        let body = self.json();
        assert_eq!(body["outcome"], "not_run", "{self:?}");
        assert_eq!(self.header("waxwing-outcome"), Some("not_run"), "{self:?}");
        body["reason"].as_str().unwrap().to_owned()
    }

    /// The text of the tokens in a complete stream; `None` if its last event is not `done`.
    pub fn streamed_text(&self) -> Option<String> {
        let lines = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let events: Vec<Value> = lines
            .map(|line| serde_json::from_str(line).unwrap())
            .collect();
        let tokens = events.iter().filter_map(|event| event["text"].as_str());
        let done = events.last().is_some_and(|event| event["tokens"].is_u64());
        done.then(|| tokens.collect())
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|line| line.0.eq_ignore_ascii_case(name))
            .map(|line| line.1)
    }
}

/// Opens a connection and sends `bytes`.
pub async fn open(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut socket = TcpStream::connect(address).await.unwrap();
    // The daemon may answer and close before it has read everything.
    let _ = socket.write_all(bytes).await;
    socket
}

/// Reads to the end of the connection.
pub async fn read(mut socket: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let reading = async {
        let mut part = [0; 4096];
        while let Ok(count @ 1..) = socket.read(&mut part).await {
            bytes.extend_from_slice(&part[..count]);
        }
    };
    timeout(TIMEOUT, reading)
        .await
        .expect("the connection did not end");
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    Answer {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
    }
}

/// Sends `bytes` and reads the answer.
pub async fn send_and_read(address: SocketAddr, bytes: &[u8]) -> Answer {
    read(open(address, bytes).await).await
}

/// A request with `headers`, each ending in a line break, and its length.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends a request without headers and body.
pub async fn get(address: SocketAddr, path: &str) -> Answer {
    send_and_read(address, &request("GET", path, "", "")).await
}

/// Sends a call of the operator `ana` with `token`.
pub async fn send_as_operator(
    daemon: &Daemon,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> Answer {
    let headers = format!("Waxwing-Operator: ana\r\nAuthorization: Bearer {token}\r\n");
    send_and_read(daemon.admin, &request(method, path, &headers, body)).await
}

/// A caller's request with the usual headers.
pub fn caller_request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    request(
        method,
        path,
        &format!("Waxwing-Customer: farm-7\r\n{headers}"),
        body,
    )
}

/// A caller's request with its body in one chunk and without `Content-Length`.
pub fn chunked(path: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\nWaxwing-Customer: farm-7\r\n\
         Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    )
    .into_bytes()
}

/// The prompt of [`completion`].
pub const PROMPT: &str = "draft a ration for forty sows";

/// A completion request for at most `tokens` tokens.
pub fn completion(tokens: usize) -> Vec<u8> {
    let body = json!({"model": "ration", "prompt": PROMPT, "max_tokens": tokens}).to_string();
    caller_request("POST", "/v1/completions", "", &body)
}

/// Reads until `mark` arrives and returns everything read so far.
pub async fn read_until(socket: &mut TcpStream, mark: &str) -> String {
    let mut text = String::new();
    let reading = async {
        let mut part = [0; 4096];
        while !text.contains(mark) {
            let count = socket.read(&mut part).await.unwrap();
            assert!(count > 0, "the connection ended before {mark:?}: {text}");
            text.push_str(&String::from_utf8_lossy(&part[..count]));
        }
    };
    timeout(TIMEOUT, reading)
        .await
        .expect("the mark did not arrive");
    text
}
