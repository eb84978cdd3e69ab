//! HTTP connection of a caller.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use super::http;
use super::http::Message;

/// Read timeout; far longer than any answer takes.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A caller with one connection to a daemon.
#[derive(Debug)]
pub struct Caller {
    /// The connection.
    pub socket: TcpStream,
}

impl Caller {
    /// Connects to `address`.
    pub fn new(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect(address)?;
        socket.set_read_timeout(Some(TIMEOUT))?;
        Ok(Self { socket })
    }

    /// Sends a request and reads its answer; an empty message if there was none.
    pub fn send_and_read(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> Message {
        self.start_request(line, headers, body);
        self.read()
    }

    /// Sends a request without reading its answer.
    pub fn start_request(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) {
        http::send(&mut self.socket, &encode(line, headers, body));
    }

    /// The same in two halves, with a pause between them.
    #[allow(dead_code, reason = "used by the soak only")]
    pub fn start_slow_request(&mut self, line: &str, headers: &[(&str, &str)], pause: Duration) {
        let bytes = encode(line, headers, b"");
        let (first, second) = bytes.split_at(bytes.len() / 2);
        http::send(&mut self.socket, first);
        thread::sleep(pause);
        http::send(&mut self.socket, second);
    }

    /// Reads an answer; an empty message if there was none.
    pub fn read(&mut self) -> Message {
        http::read(&mut self.socket)
            .ok()
            .flatten()
            .unwrap_or_default()
    }
}

/// The bytes of a request.
fn encode(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{line} HTTP/1.1\r\nhost: shop.example\r\n");
    for (name, value) in headers {
        text.extend([name, ": ", value, "\r\n"]);
    }
    if !body.is_empty() {
        text.extend(["content-length: ", &body.len().to_string(), "\r\n"]);
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}
