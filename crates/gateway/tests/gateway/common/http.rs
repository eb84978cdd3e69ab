//! Minimal HTTP/1.1 that lets tests inspect and send exact bytes.

use std::collections::HashMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use socket2::SockFilter;
use socket2::SockRef;

/// A request or an answer as it was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request or status line.
    pub line: String,
    /// Header names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body without its chunk framing.
    pub body: Vec<u8>,
    /// Whether the body was read to its proper end.
    pub complete: bool,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if there was none.
    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// The path and query of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read(socket: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if socket.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.trim_end().split("\r\n");
    let mut message = Message {
        line: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(pair);
    }
    read_body(socket, &mut message);
    Ok(Some(message))
}

fn read_body(socket: &mut TcpStream, message: &mut Message) {
    let length = message.header("content-length").map(str::to_owned);
    let chunked = message.header("transfer-encoding") == Some("chunked");
    message.complete = match length.and_then(|length| length.parse().ok()) {
        Some(length) => {
            message.body = vec![0; length];
            socket.read_exact(&mut message.body).is_ok()
        }
        None if chunked => read_chunks(socket, &mut message.body).is_ok(),
        None => true,
    };
}

fn read_chunks(socket: &mut TcpStream, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = Vec::new();
        let mut byte = [0];
        while !line.ends_with(b"\r\n") {
            socket.read_exact(&mut byte)?;
            line.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&line);
        let size = usize::from_str_radix(text.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        socket.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Encodes an answer with a `content-length`.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.extend([name, ": ", value, "\r\n"]);
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}

/// A listener that serves each connection in a separate thread until it is stopped.
#[derive(Debug, Clone)]
pub struct Server {
    /// Listening address.
    pub address: SocketAddr,
    /// Open connections, by number.
    sockets: Arc<Mutex<HashMap<usize, TcpStream>>>,
    /// The listener, until the server is stopped.
    listener: Arc<Mutex<Option<TcpListener>>>,
    stopped: Arc<AtomicBool>,
}

impl Server {
    /// Listens on a new port of `ip` and calls `handler` for each connection.
    pub fn start(ip: &str, handler: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let server = Self {
            listener: Arc::new(Mutex::new(listener.try_clone().ok())),
            address: listener.local_addr().unwrap(),
            sockets: Arc::default(),
            stopped: Arc::default(),
        };
        let acceptor = server.clone();
        let handler = Arc::new(handler);
        thread::spawn(move || {
            for (number, socket) in listener.incoming().enumerate() {
                if acceptor.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(mut socket) = socket else { continue };
                let sockets = Arc::clone(&acceptor.sockets);
                if let Ok(copy) = socket.try_clone() {
                    sockets.lock().unwrap().insert(number, copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || {
                    handler(&mut socket);
                    sockets.lock().unwrap().remove(&number);
                });
            }
        });
        server
    }

    /// Drops the packets of `sources` that open connections and, if `open_too` is set, those of open connections.
    #[allow(dead_code, reason = "used by the soak only")]
    pub fn drop_packets(&self, sources: &[Ipv4Addr], open_too: bool) {
        let filter = packet_filter(sources);
        if let Some(listener) = self.listener.lock().unwrap().as_ref() {
            SockRef::from(listener).attach_filter(&filter).unwrap();
        }
        let open_filter = packet_filter(if open_too { sources } else { &[] });
        for socket in self.sockets.lock().unwrap().values() {
            // Fails if the connection has just ended.
            let _ = SockRef::from(socket).attach_filter(&open_filter);
        }
    }

    /// Closes the port and all connections, as the end of a process does.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.listener.lock().unwrap().take();
        // Wakes the listener, which then ends.
        drop(TcpStream::connect(self.address));
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
        for (_, socket) in self.sockets.lock().unwrap().drain() {
            // Fails if the connection is already closed.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

/// A filter that drops the packets of `sources` and passes all others.
#[allow(dead_code, reason = "used by the soak only")]
pub fn packet_filter(sources: &[Ipv4Addr]) -> Vec<SockFilter> {
    /// Offset of the source address, from the start of the IP header.
    const SOURCE: u32 = 0xfff0_0000 + 12;
    const LOAD_WORD: u16 = 0x20;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE)];
    for (number, source) in sources.iter().enumerate() {
        let to_drop = (sources.len() - number) as u8;
        filter.push(SockFilter::new(
            JUMP_IF_EQUAL,
            to_drop,
            0,
            u32::from(*source),
        ));
    }
    filter.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    filter.push(SockFilter::new(RETURN, 0, 0, 0));
    filter
}

/// Starts a server that is not stopped before the process ends; returns its address.
pub fn serve(ip: &str, handler: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    Server::start(ip, handler).address
}

/// Sends `bytes`; returns `false` if the other side has closed the connection.
pub fn send(socket: &mut TcpStream, bytes: &[u8]) -> bool {
    socket.write_all(bytes).is_ok()
}

/// Whether the other side closes the connection within `limit`.
pub fn closes_within(socket: &mut TcpStream, limit: Duration) -> bool {
    socket.set_read_timeout(Some(limit)).unwrap();
    let mut byte = [0];
    match socket.read(&mut byte) {
        Ok(count) => count == 0,
        Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
    }
}
