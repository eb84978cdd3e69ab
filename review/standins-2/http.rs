//! HTTP/1.1 on plain sockets: a server with a thread for each connection, and a reader of messages.

use std::collections::BTreeSet;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

/// A message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub complete: bool,
}

impl Message {
    /// Value of the header `name`, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The words of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    /// The parameter `name` of the query; nothing in it is escaped here but a final zero byte.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.word(1).split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(known, _)| *known == name);
        found.map(|(_, value)| value.replace("%00", "\0"))
    }

    /// Status of an answer; 0 for another message.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// Reads from a socket.
pub struct Reader {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    /// Reads from `stream`.
    pub fn new(stream: TcpStream) -> Self {
        let buffer = Vec::new();
        Self { stream, buffer }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let length = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length)
    }

    fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            let end = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                let rest = self.buffer.split_off(end + 4);
                let head = std::mem::replace(&mut self.buffer, rest);
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(name, value)| {
                    (name.trim().to_ascii_lowercase(), value.trim().to_owned())
                });
                return Ok(Some(Message {
                    line,
                    headers: headers.collect(),
                    ..Message::default()
                }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        let rest = self.buffer.split_off(length);
        Ok(Some(std::mem::replace(&mut self.buffer, rest)))
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let rest = self.buffer.split_off(end + 2);
                let line = std::mem::replace(&mut self.buffer, rest);
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn chunks(&mut self, message: &mut Message) -> io::Result<()> {
        loop {
            let Some(line) = self.line()? else {
                return Ok(());
            };
            let length = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let length = length.map_err(io::Error::other)?;
            if length == 0 {
                self.line()?;
                message.complete = true;
                return Ok(());
            }
            let Some(data) = self.exactly(length + 2)? else {
                return Ok(());
            };
            message.body.extend_from_slice(&data[..length]);
        }
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let is_chunked = message.header("transfer-encoding").is_some();
        if is_chunked {
            self.chunks(&mut message)?;
        } else {
            let length = message.header("content-length").unwrap_or("0");
            let length = length.parse().map_err(io::Error::other)?;
            message.body = self.exactly(length)?.unwrap_or_default();
            message.complete = message.body.len() == length;
        }
        Ok(Some(message))
    }

    /// Reads an answer, as far as it comes. One without a length is complete if its connection ends in order.
    pub fn answer(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        let read = if message.header("transfer-encoding").is_some() {
            self.chunks(&mut message)
        } else if let Some(length) = length {
            self.exactly(length).map(|body| {
                message.complete = body.is_some();
                message.body = body.unwrap_or_default();
            })
        } else {
            loop {
                match self.fill() {
                    Ok(0) => break,
                    Ok(_) => {}
                    Err(error) => return Err(error),
                }
            }
            message.body = std::mem::take(&mut self.buffer);
            message.complete = true;
            Ok(())
        };
        // What arrived before a reset is kept, as incomplete.
        let _ = read;
        Ok(Some(message))
    }
}

/// Serves the connections of `listener` forever, each by a thread.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Ports that were given out.
static PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// A port of `ip` that is free at present, and was not given out before.
pub fn free_port(ip: IpAddr) -> u16 {
    let mut given = PORTS
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    for _ in 0..100 {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0));
        let address = listener.and_then(|listener| listener.local_addr());
        if let Some(port) = address
            .ok()
            .map(|address| address.port())
            .filter(|port| given.insert(*port))
        {
            return port;
        }
    }
    0
}
