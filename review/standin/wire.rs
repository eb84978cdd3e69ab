//! HTTP/1.1, JSON and base64 for the stand-ins; only the standard library is used.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                let field = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
                message.headers.push(field);
            }
            None => break,
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().map_err(io::Error::other)?];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Bytes of an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    [(head + "\r\n").as_bytes(), body].concat()
}

/// Sends a request on `stream` and reads the answer.
pub fn call(
    stream: &mut BufReader<TcpStream>,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Message> {
    let mut head = format!("{start} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.get_mut().write_all((head + "\r\n").as_bytes())?;
    stream.get_mut().write_all(body)?;
    read(stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Connects within a second.
pub fn connect(to: SocketAddr, patience: Duration) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    Ok(BufReader::new(stream))
}

/// Serves connections of `listener` in threads.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(BufReader<TcpStream>) + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(BufReader::new(stream)));
        }
    });
}

/// A JSON value; strings have no escapes but `\"`, `\\` and `\/`.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        const NULL: Json = Json::Null;
        match self {
            Json::Table(fields) => {
                let found = fields.iter().find(|(key, _)| key == name);
                found.map_or(&NULL, |(_, value)| value)
            }
            _ => &NULL,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(bytes: &[u8]) -> Json {
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(|b| b.is_ascii_whitespace() || b",:".contains(b)) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Json {
        Self::skip(bytes, at);
        match bytes.get(*at) {
            Some(b'{') => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    if bytes.get(*at).is_none_or(|b| *b == b'}') {
                        *at += 1;
                        return Json::Table(fields);
                    }
                    let key = Self::value(bytes, at).text();
                    fields.push((key, Self::value(bytes, at)));
                }
            }
            Some(b'[') => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    if bytes.get(*at).is_none_or(|b| *b == b']') {
                        *at += 1;
                        return Json::List(list);
                    }
                    list.push(Self::value(bytes, at));
                }
            }
            Some(b'"') => {
                *at += 1;
                let mut text = Vec::new();
                while let Some(b) = bytes.get(*at).filter(|b| **b != b'"') {
                    *at += 1;
                    if *b == b'\\' {
                        text.extend(bytes.get(*at));
                        *at += 1;
                    } else {
                        text.push(*b);
                    }
                }
                *at += 1;
                Json::Text(String::from_utf8_lossy(&text).into_owned())
            }
            Some(_) => {
                let from = *at;
                while bytes.get(*at).is_some_and(|b| !b",]} \n".contains(b)) {
                    *at += 1;
                }
                let word = std::str::from_utf8(&bytes[from..*at]).unwrap_or_default();
                word.parse().map_or(Json::Null, Json::Number)
            }
            None => Json::Null,
        }
    }
}

/// Base64 of `bytes`.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit <= part.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}
