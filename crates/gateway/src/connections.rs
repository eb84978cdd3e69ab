//! Connections to replicas and to the store.

pub mod body;
pub mod pool;
mod socket;

use std::cell::Cell;
use std::collections::VecDeque;
use std::error::Error;
use std::future::poll_fn;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::timeout;
use bytes::Bytes;
use call::joined;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use platform::reply;
use platform::reply::RequestMatch;
use prometheus::IntCounter;
use socket2::SockRef;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::connections::body::Body;
use crate::connections::socket::Socket;
use crate::pacing::PacedStream;
use crate::progress::MAX_BYTES_BETWEEN_PARTS;
use crate::progress::Meter;

/// Time to open a connection; a round trip takes a few milliseconds, and a machine without power
/// never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for the first of two attempts to connect: a control call has 150 ms in total, and a round
/// trip takes a few.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for the second attempt. Leaves part of the 150 ms, so that a replica that cannot be reached
/// is told from one that does not answer.
const SECOND_CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
/// Time after which the system drops a connection to a replica or the store with unacknowledged
/// bytes.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which a connection is closed if the replica states no keep-alive time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of recent requests of a connection to which a duplicate answer is recognized.
const MAX_KNOWN_REQUESTS: usize = 32;
/// Maximum number of duplicate answers that are skipped for one request.
const MAX_DUPLICATES: usize = MAX_KNOWN_REQUESTS;
/// Maximum size in bytes of their bodies together. The answer behind longer ones is given up.
const MAX_DUPLICATE_BYTES: usize = 8 * 1024 * 1024;
/// Size in bytes of the buffers of a connection, and of the largest head of an answer.
const BUFFER_BYTES: usize = 64 * 1024;

/// Why an exchange ended without the head of an answer.
#[derive(Debug)]
pub enum Failure {
    /// Nothing listens at the address; no byte of the request was sent.
    Refused {
        /// Error of the system.
        cause: String,
    },
    /// Connecting failed for another reason; no byte of the request was sent.
    Unreachable {
        /// What went wrong.
        cause: String,
    },
    /// The connection ended before a byte of the request was sent.
    NotSent {
        /// What went wrong.
        cause: String,
    },
    /// The request was sent and may have run.
    Lost {
        /// What went wrong.
        cause: String,
    },
}

/// An open connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: DriverTask,
    address: SocketAddr,
    /// Exchanges so far.
    exchanges: u32,
    /// Method of the last request.
    method: Method,
    /// Ids of the last requests other than `HEAD`, the newest last.
    requests: VecDeque<HeaderValue>,
    /// Whether it only reads the answer to a request that was sent before.
    is_replay: bool,
    /// Number of duplicate answers skipped.
    duplicates: usize,
    /// Size in bytes of their bodies.
    duplicate_bytes: usize,
    meter: Meter,
    /// Whether it waits for its next request.
    is_idle: Rc<Cell<bool>>,
    idle_since: Instant,
    keep: Duration,
}

/// Task that drives a connection. Returns the socket if bytes arrived during an exchange that belong
/// to no request. Dropping it closes the connection.
#[derive(Debug)]
struct DriverTask(JoinHandle<Option<Socket>>);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Address of the peer.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.task.0.abort();
    }

    /// Number of exchanges before the last one.
    pub const fn exchanges_before(&self) -> u32 {
        self.exchanges.saturating_sub(1)
    }

    /// Whether an answer for `subject` can belong to the last exchange. Replicas may answer twice,
    /// the second time late: after an earlier exchange, only the request id tells the answers
    /// apart.
    pub const fn may_match(&self, subject: RequestMatch) -> bool {
        match subject {
            RequestMatch::Same => true,
            RequestMatch::Other => false,
            RequestMatch::Unnamed => self.exchanges_before() == 0,
        }
    }

    /// Whether an answer with these `headers`, which is not for the last request, is a duplicate
    /// answer to an earlier request of this connection.
    pub fn is_duplicate(&self, headers: &HeaderMap) -> bool {
        let id = reply::request_id(headers);
        let is_known = id.is_some_and(|id| self.requests.contains(id));
        // A `HEAD` request would end the duplicate before its body.
        is_known && self.method != Method::HEAD
    }

    /// Discards `duplicate` and returns the next answer. The connection is closed after that.
    ///
    /// # Errors
    /// `Lost`.
    pub async fn next_answer(
        mut self,
        duplicate: Response<Body>,
    ) -> Result<(Response<Body>, Self), Failure> {
        self.skip(duplicate.into_body()).await?;
        let rest = (&mut self.task.0).await.map_err(|error| lost(&error))?;
        let rest = rest.ok_or_else(|| lost(&"the connection ended after a duplicate answer"))?;
        let mut next = Self::open(rest, self.address).await.map_err(after_send)?;
        next.exchanges = self.exchanges.saturating_sub(1);
        next.duplicates = self.duplicates;
        next.duplicate_bytes = self.duplicate_bytes;
        next.requests = std::mem::take(&mut self.requests);
        next.is_replay = true;
        // Not written to the replica; only its method matters, which decides whether the answer
        // has a body.
        let mut request = Request::new(Full::default());
        *request.method_mut() = self.method.clone();
        exchange(next, request).await.map_err(after_send)
    }

    /// Reads the body of a duplicate answer.
    async fn skip(&mut self, body: Body) -> Result<(), Failure> {
        self.duplicates += 1;
        let mut body = body;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| lost(&describe(&error)))?;
            self.duplicate_bytes += frame.data_ref().map_or(0, Bytes::len);
            if self.duplicate_bytes > MAX_DUPLICATE_BYTES {
                break;
            }
        }
        if self.duplicates > MAX_DUPLICATES || self.duplicate_bytes > MAX_DUPLICATE_BYTES {
            self.meter.record_flood("duplicates", self.duplicate_bytes);
            return Err(lost(&"too many duplicate answers"));
        }
        Ok(())
    }

    /// Counts the bytes that are read.
    pub const fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Starts to drive a connection on `socket`, which is connected to `address`.
    async fn open(socket: Socket, address: SocketAddr) -> Result<Self, Failure> {
        let meter = socket.meter().clone();
        let (sender, mut connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(|error| unreachable(&error))?;
        let is_idle = Rc::new(Cell::new(true));
        let is_unused = Rc::clone(&is_idle);
        let task = tokio::task::spawn_local(async move {
            let ended = poll_fn(|context| connection.poll_without_shutdown(context)).await;
            if let Err(error) = ended {
                log::debug!(peer = address.to_string(), cause = error.to_string(); "connection ended");
            }
            if is_unused.get() {
                return None;
            }
            let parts = connection.into_parts();
            parts.io.into_inner().into_replay(&parts.read_buf)
        });
        Ok(Self {
            sender,
            task: DriverTask(task),
            address,
            exchanges: 0,
            method: Method::GET,
            requests: VecDeque::new(),
            is_replay: false,
            duplicates: 0,
            duplicate_bytes: 0,
            meter,
            is_idle,
            idle_since: Instant::now(),
            keep: IDLE_TIMEOUT,
        })
    }

    /// Records a request that is about to be sent.
    fn record_request(&mut self, request: &Request<Full<Bytes>>) {
        self.method.clone_from(request.method());
        // Answers to `HEAD` have no body, whatever their length says.
        if self.method == Method::HEAD {
            return;
        }
        self.requests
            .extend(reply::request_id(request.headers()).cloned());
        if self.requests.len() > MAX_KNOWN_REQUESTS {
            self.requests.pop_front();
        }
    }

    fn is_usable(&self) -> bool {
        let open = !self.task.0.is_finished() && !self.sender.is_closed();
        open && self.sender.is_ready() && self.idle_since.elapsed() < self.keep
    }
}

/// Opens connections.
#[derive(Debug, Clone, Default)]
pub struct Connector {
    /// Own address of the connections; the system chooses one if absent.
    source: Option<IpAddr>,
    /// Counts connections that brought too many bytes.
    floods: Option<IntCounter>,
}

impl Connector {
    /// Opens connections from `source`.
    pub const fn new(source: Option<IpAddr>) -> Self {
        Self {
            source,
            floods: None,
        }
    }

    /// Counts connections that bring too many bytes in `floods`.
    #[must_use]
    pub fn with_floods(self, floods: IntCounter) -> Self {
        Self {
            floods: Some(floods),
            ..self
        }
    }

    /// Whether `to` accepts a connection, which is closed at once.
    pub async fn is_accepted(&self, to: SocketAddr) -> bool {
        self.connect_with_retry(to).await.is_ok()
    }

    /// Opens a connection to `to`, with a second attempt if the first one is slow: the system
    /// retransmits a lost SYN only after a second.
    ///
    /// # Errors
    /// `Refused` or `Unreachable`.
    pub async fn connect_with_retry(&self, to: SocketAddr) -> Result<Connection, Failure> {
        match timeout(FIRST_CONNECT_TIMEOUT, self.connect(to)).await {
            Ok(connected) => connected,
            Err(_) => timeout(SECOND_CONNECT_TIMEOUT, self.connect(to))
                .await
                .unwrap_or_else(|elapsed| Err(unreachable(&elapsed))),
        }
    }

    /// Opens a connection to `to`.
    ///
    /// # Errors
    /// `Refused` or `Unreachable`.
    pub async fn connect(&self, to: SocketAddr) -> Result<Connection, Failure> {
        let socket = match timeout(CONNECT_TIMEOUT, self.open(to)).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(Failure::Refused {
                    cause: error.to_string(),
                });
            }
            Ok(Err(error)) => return Err(unreachable(&error)),
            Err(elapsed) => return Err(unreachable(&elapsed)),
        };
        configure_socket(&socket, UNCONFIRMED_TIMEOUT).map_err(|error| unreachable(&error))?;
        let meter = Meter::new(to, MAX_BYTES_BETWEEN_PARTS, self.floods.clone());
        Connection::open(Socket::new(PacedStream::new(socket), meter), to).await
    }

    /// Opens a socket to `to`.
    ///
    /// # Errors
    /// Errors of the system.
    pub async fn open(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let Some(source) = self.source else {
            return TcpStream::connect(to).await;
        };
        let socket = match to {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(to).await
    }
}

/// Sends `request` on the new `connection` and returns the head of the answer.
///
/// # Errors
/// `NotSent` or `Lost`.
pub async fn exchange(
    connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Body>, Connection), Failure> {
    try_exchange(connection, request)
        .await
        .map_err(|attempt| match attempt {
            ExchangeError::Unsent { cause, .. } => Failure::NotSent { cause },
            ExchangeError::Lost(failure) => failure,
        })
}

/// Why sending on one connection failed.
enum ExchangeError {
    /// The connection ended before a byte of the request was sent.
    Unsent {
        /// Can be sent again on another connection.
        request: Box<Request<Full<Bytes>>>,
        cause: String,
    },
    /// The request was sent.
    Lost(Failure),
}

async fn try_exchange(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Body>, Connection), ExchangeError> {
    connection.record_request(&request);
    connection.is_idle.set(false);
    match connection.sender.try_send_request(request).await {
        Ok(answer) if joined::is_joined(&answer) => Err(ExchangeError::Lost(lost(&joined::CAUSE))),
        Ok(answer) => {
            connection.exchanges = connection.exchanges.saturating_add(1);
            connection.meter.note_part();
            let meter = connection.meter.clone();
            let answer = answer.map(|incoming| Body::new(incoming, meter));
            Ok((answer, connection))
        }
        Err(mut error) => {
            let request = error.take_message();
            let cause = describe(error.error());
            Err(match request {
                Some(request) => ExchangeError::Unsent {
                    request: Box::new(request),
                    cause,
                },
                None => ExchangeError::Lost(Failure::Lost { cause }),
            })
        }
    }
}

/// Sets the options of a socket that carries requests. The system drops the connection if bytes stay
/// unacknowledged for `unconfirmed`, also because the other side does not read.
///
/// # Errors
/// Errors of the system.
pub fn configure_socket(socket: &TcpStream, unconfirmed: Duration) -> io::Result<()> {
    socket.set_nodelay(true)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(unconfirmed))
}

/// What went wrong, with its cause.
fn describe(error: &dyn Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {}", describe(cause)),
        None => error.to_string(),
    }
}

/// The same failure for a request that was sent before: it may have run.
fn after_send(failure: Failure) -> Failure {
    match failure {
        Failure::Refused { cause }
        | Failure::Unreachable { cause }
        | Failure::NotSent { cause }
        | Failure::Lost { cause } => Failure::Lost { cause },
    }
}

fn lost(cause: &impl ToString) -> Failure {
    Failure::Lost {
        cause: cause.to_string(),
    }
}

fn unreachable(cause: &impl ToString) -> Failure {
    Failure::Unreachable {
        cause: cause.to_string(),
    }
}
