//! Clients of the daemons.

use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::http::Message;
use crate::http::Reader;

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// How long the client waits.
    pub deadline: Duration,
    /// Further headers, each with its end of line.
    pub headers: String,
}

/// Sends `request` to `to` on a new connection, and reads the answer as far as it comes; `None` without the head of one.
pub fn send(to: SocketAddr, request: &Request) -> Option<Message> {
    send_for(to, request, None)
}

/// The same; the connection breaks after `time`.
pub fn send_for(to: SocketAddr, request: &Request, time: Option<Duration>) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(request.deadline)).ok()?;
    let Request {
        id,
        method,
        path,
        deadline,
        headers,
    } = request;
    let body = if *method == "POST" { "one body" } else { "" };
    let length = if *method == "POST" {
        format!("Content-Length: {}\r\n", body.len())
    } else {
        String::new()
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n{headers}{length}\r\n{body}",
        deadline.as_millis()
    );
    stream.write_all(text.as_bytes()).ok()?;
    if let (Some(time), Ok(stream)) = (time, stream.try_clone()) {
        thread::spawn(move || {
            thread::sleep(time);
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
    Reader::new(stream).answer().ok()?
}

/// Status of the answer to a `GET` without an id; 0 without an answer.
pub fn get(to: SocketAddr, path: &str) -> u16 {
    let ask = || {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).ok()?;
        Reader::new(stream).answer().ok()?
    };
    ask().map_or(0, |answer| answer.status())
}
