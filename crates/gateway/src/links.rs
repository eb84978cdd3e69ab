//! Connections to replicas.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::timeout;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use platform::reply::Head;
use platform::reply::RequestMatch;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Time for a new connection; a round trip takes a few milliseconds, and a machine without power
/// answers never.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for the first of two attempts to connect: a call has 150 ms in all, and a round trip takes a few.
const FIRST_CONNECT: Duration = Duration::from_millis(50);
/// Time after which the system gives up sent bytes that the peer does not confirm.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle connections kept to one address; a daemon rarely has more requests at one replica.
const MAX_IDLE: usize = 4;
/// Time that a connection is kept where the replica does not tell its own.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Part of the replica's own time after which a connection is not used again, so that a request
/// does not meet the replica's close.
const IDLE_PART: f64 = 0.6;
/// Time after a second answer of a replica in which its connections carry one exchange each. It may answer twice again,
/// and a second answer on a used connection costs the request that is sent next.
const SINGLE_USE_TIME: Duration = Duration::from_secs(10);

/// Why an exchange ended without an answer's head.
#[derive(Debug)]
pub enum Failure {
    /// Nothing listens at the address; no byte of the request left.
    Refused {
        /// What the system said.
        cause: String,
    },
    /// There is no connection for another reason; no byte of the request left.
    Unreachable {
        /// What went wrong.
        cause: String,
    },
    /// The connection ended before a byte of the request left.
    NotSent {
        /// What went wrong.
        cause: String,
    },
    /// The request left; it may have run.
    Lost {
        /// What went wrong.
        cause: String,
    },
}

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    task: Task,
    address: SocketAddr,
    /// Exchanges on it so far.
    exchanges: u32,
    idle_since: Instant,
    keep: Duration,
}

/// Ends the task that drives a connection, and with it the connection.
#[derive(Debug)]
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Links {
    idle: RefCell<HashMap<SocketAddr, Vec<Link>>>,
    /// Addresses at which a request was answered twice, and when.
    answered_twice_at: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Links {
    /// None.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends `request` to `to` and gives the head of the answer. The connection is new if `fresh`
    /// or if none is idle.
    ///
    /// # Errors
    /// [`Failure`], which tells whether the request left.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<(Response<Incoming>, Link), Failure> {
        let mut request = request;
        while let Some(link) = (!fresh).then(|| self.take(to)).flatten() {
            match try_exchange(link, request).await {
                Err(Attempt::Unsent {
                    request: unsent, ..
                }) => request = *unsent,
                Err(Attempt::Lost(failure)) => return Err(failure),
                Ok(answer) => return Ok(answer),
            }
        }
        exchange(connect(to).await?, request).await
    }

    /// Keeps `link` for another request, unless the replica answered twice lately; `keep_alive_s` is what it told.
    pub fn keep(&self, mut link: Link, keep_alive_s: Option<u64>) {
        link.keep = keep_alive_s.map_or(IDLE_TIMEOUT, |seconds| {
            Duration::from_secs(seconds).mul_f64(IDLE_PART)
        });
        link.idle_since = Instant::now();
        if self.is_single_use(link.address) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(link.address).or_default();
        links.push(link);
        if links.len() > MAX_IDLE {
            links.remove(0);
        }
    }

    /// Keeps `link` after the whole answer with this head, unless the replica closes it or named no request: without
    /// a name a late second answer could not be told from the next one.
    pub fn keep_after(&self, head: &Head, link: Link) {
        if head.request_match == RequestMatch::Same && !head.closes {
            self.keep(link, head.keep_alive_s);
        }
    }

    /// Closes the idle connections to `address`: where one fell silent, the others may have as well,
    /// and each of them would cost a call its time limit.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Notes that a request was answered twice at `address`, and closes the idle connections to it.
    pub fn note_second_answer(&self, address: SocketAddr) {
        let now = Instant::now();
        self.answered_twice_at.borrow_mut().insert(address, now);
        self.forget(address);
    }

    fn is_single_use(&self, address: SocketAddr) -> bool {
        let noted = self.answered_twice_at.borrow();
        let noted = noted.get(&address);
        noted.is_some_and(|noted| noted.elapsed() < SINGLE_USE_TIME)
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let mut noted = self.answered_twice_at.borrow_mut();
        noted.retain(|_, at| at.elapsed() < SINGLE_USE_TIME);
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(Link::is_usable);
        }
        idle.retain(|_, links| !links.is_empty());
    }

    fn take(&self, to: SocketAddr) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&to)?;
        links.retain(Link::is_usable);
        links.pop()
    }
}

impl Link {
    /// Where it leads.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Exchanges on it before the last one.
    pub const fn exchanges_before(&self) -> u32 {
        self.exchanges.saturating_sub(1)
    }

    /// Whether an answer that says it belongs to `subject` may be the one to the last exchange. Replicas may answer
    /// twice, the second time late: where an exchange went before, only the id tells whose answer arrives.
    pub const fn may_answer(&self, subject: RequestMatch) -> bool {
        match subject {
            RequestMatch::Same => true,
            RequestMatch::Other => false,
            RequestMatch::Unnamed => self.exchanges_before() == 0,
        }
    }

    fn is_usable(&self) -> bool {
        let open = !self.task.0.is_finished() && !self.sender.is_closed();
        open && self.sender.is_ready() && self.idle_since.elapsed() < self.keep
    }
}

/// Opens a connection to `to`, with a second attempt where the first one takes long: the system sends a lost packet that
/// opens a connection again only after a second.
///
/// # Errors
/// `Refused` or `Unreachable`.
pub async fn connect_twice(to: SocketAddr) -> Result<Link, Failure> {
    match timeout(FIRST_CONNECT, connect(to)).await {
        Ok(connected) => connected,
        Err(_) => connect(to).await,
    }
}

/// Sends `request` on `link`, a new connection, and gives the head of the answer.
///
/// # Errors
/// `NotSent` or `Lost`.
pub async fn exchange(
    link: Link,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Link), Failure> {
    try_exchange(link, request)
        .await
        .map_err(|attempt| match attempt {
            Attempt::Unsent { cause, .. } => Failure::NotSent { cause },
            Attempt::Lost(failure) => failure,
        })
}

/// Why sending on one connection failed.
enum Attempt {
    /// The connection ended before a byte of the request left.
    Unsent {
        /// It may be sent elsewhere.
        request: Box<Request<Full<Bytes>>>,
        cause: String,
    },
    /// The request left.
    Lost(Failure),
}

async fn try_exchange(
    mut link: Link,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Link), Attempt> {
    match link.sender.try_send_request(request).await {
        Ok(answer) => {
            link.exchanges = link.exchanges.saturating_add(1);
            Ok((answer, link))
        }
        Err(mut error) => {
            let request = error.take_message();
            let cause = error.error().to_string();
            Err(match request {
                Some(request) => Attempt::Unsent {
                    request: Box::new(request),
                    cause,
                },
                None => Attempt::Lost(Failure::Lost { cause }),
            })
        }
    }
}

/// Opens a connection to `to`.
///
/// # Errors
/// `Refused` or `Unreachable`.
pub async fn connect(to: SocketAddr) -> Result<Link, Failure> {
    let socket = match timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(Failure::Refused {
                cause: error.to_string(),
            });
        }
        Ok(Err(error)) => return Err(unreachable(&error)),
        Err(elapsed) => return Err(unreachable(&elapsed)),
    };
    tune(&socket).map_err(|error| unreachable(&error))?;
    let (sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .map_err(|error| unreachable(&error))?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(peer = to.to_string(), cause = error.to_string(); "connection ended");
        }
    });
    Ok(Link {
        sender,
        task: Task(task.abort_handle()),
        address: to,
        exchanges: 0,
        idle_since: Instant::now(),
        keep: IDLE_TIMEOUT,
    })
}

/// Sets the options of a socket that carries requests.
///
/// # Errors
/// Those of the system.
pub fn tune(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(UNCONFIRMED_TIMEOUT))
}

fn unreachable(cause: &impl ToString) -> Failure {
    Failure::Unreachable {
        cause: cause.to_string(),
    }
}
