//! A stand-in for a replica: a script answers each request.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use socket2::SockRef;

use super::http;
use super::http::Message;
use super::http::Server;
use super::http::answer;

/// What a replica does with a request.
#[derive(Debug, Clone)]
pub enum Act {
    /// Sends these bytes and keeps the connection.
    Send(Vec<u8>),
    /// Sends these bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Sends these bytes and resets the connection after a pause.
    SendAndReset(Vec<u8>, Duration),
    /// Sends these bytes, then nothing; notes when the other side closes.
    SendAndHang(Vec<u8>),
    /// Sends parts with a pause before each.
    Slowly(Vec<Vec<u8>>, Duration),
    /// The same, until the run is stopped; then closes the connection in the midst of the answer.
    UntilStopped(Vec<Vec<u8>>, Duration, Arc<AtomicBool>),
    /// Sends these bytes, then ends with all that it was doing.
    Crash(Vec<u8>),
}

impl Act {
    /// The bytes of a whole answer; none where the connection does not outlast it.
    fn bytes(&self) -> Vec<u8> {
        match self {
            Self::Send(bytes) => bytes.clone(),
            Self::Slowly(parts, _) => parts.concat(),
            _ => Vec::new(),
        }
    }
}

/// How the second answer to a request comes, on the same connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Second {
    /// Time after which it comes, between two answers; without one it comes where the answer to the next request is
    /// due, and ahead of it.
    pub wait: Option<Duration>,
    /// Parts in which it comes after that time, which passes between them as well.
    pub parts: usize,
}

type Script = dyn Fn(&Message) -> Act + Send + Sync;
type Reports = OnceLock<Box<dyn Fn() -> bool + Send + Sync>>;
type Calls = OnceLock<Box<dyn Fn(&Message) -> Option<Vec<u8>> + Send + Sync>>;
type Again = OnceLock<Box<dyn Fn(&Message) -> Option<Second> + Send + Sync>>;

/// What its connections share with the test.
#[derive(Default)]
struct State {
    seen: Mutex<Vec<Message>>,
    left: AtomicUsize,
    /// When it started, as it tells in answers of its own; 0 if it does not.
    born: AtomicU64,
    reports: Reports,
    /// Answers to calls of the daemon's own in place of the usual ones.
    calls: Calls,
    /// Which requests are answered twice.
    again: Again,
    /// Second answers that were sent.
    second_answers: AtomicUsize,
    /// Connections that were opened to it.
    connections: AtomicUsize,
    /// Whether it closes each new connection at once.
    crowded: AtomicBool,
    /// Reservations that were made.
    holds: AtomicUsize,
}

/// A replica.
#[derive(Clone)]
pub struct Replica {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its id.
    pub id: String,
    state: Arc<State>,
    server: Arc<OnceLock<Server>>,
}

impl Replica {
    /// Starts one that answers by `script`; reservations and reports are answered by itself.
    pub fn start(id: &str, script: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Self {
        let script: Arc<Script> = Arc::new(script);
        let state = Arc::new(State::default());
        let own_state = Arc::clone(&state);
        let server = Arc::new(OnceLock::<Server>::new());
        let own_server = Arc::clone(&server);
        let started = Server::start("127.0.0.1", move |socket| {
            own_state.connections.fetch_add(1, Ordering::SeqCst);
            if own_state.crowded.load(Ordering::SeqCst) {
                return;
            }
            if connection(socket, &script, &own_state) == Left::Crashed {
                own_server.wait().stop();
            }
        });
        let address = started.address;
        server.set(started).unwrap();
        Self {
            address,
            id: id.to_owned(),
            state,
            server,
        }
    }

    /// Asks `answers` each time whether a question for its report is answered.
    pub fn set_reports(&self, answers: impl Fn() -> bool + Send + Sync + 'static) {
        assert!(self.state.reports.set(Box::new(answers)).is_ok());
    }

    /// Answers a reservation, a report or another call of the daemon's own with what `answers` gives for it, if it
    /// gives anything.
    pub fn set_calls(&self, answers: impl Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static) {
        assert!(self.state.calls.set(Box::new(answers)).is_ok());
    }

    /// Answers those requests twice for which `twice` holds. The second answer comes late: on the same connection,
    /// where the answer to the next request is due, and ahead of it.
    pub fn answer_twice_if(&self, twice: impl Fn(&Message) -> bool + Send + Sync + 'static) {
        let next = Second {
            wait: None,
            parts: 1,
        };
        self.set_second_answers(move |request| twice(request).then_some(next));
    }

    /// Asks `how` for each request whether it is answered again.
    pub fn set_second_answers(
        &self,
        how: impl Fn(&Message) -> Option<Second> + Send + Sync + 'static,
    ) {
        assert!(self.state.again.set(Box::new(how)).is_ok());
    }

    /// Second answers that it sent.
    pub fn second_answers(&self) -> usize {
        self.state.second_answers.load(Ordering::SeqCst)
    }

    /// Connections that were opened to it.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Closes each new connection at once from now on, as one that has too many does.
    pub fn crowd(&self) {
        self.state.crowded.store(true, Ordering::SeqCst);
    }

    /// Ends it with all that it is doing.
    pub fn crash(&self) {
        self.server.wait().stop();
    }

    /// Tells from now on that it started at `ms`.
    pub fn set_born(&self, ms: u64) {
        self.state.born.store(ms, Ordering::SeqCst);
    }

    /// Starts one that reads prompts; their memory is called `k1`.
    pub fn prefill(id: &str) -> Self {
        Self::start(id, |_| {
            let told = br#"{"kv-handle":"k1","tokens":1460,"version":1}"#;
            Act::Send(answer(200, &[("content-type", "application/json")], told))
        })
    }

    /// Its row in the store; `stage` is empty for a plain application.
    pub fn row(&self, service: &str, stage: &str) -> Value {
        let mut row = json!({"service": service, "addr": self.address, "zone": "here", "version": "v1",
            "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1});
        if !stage.is_empty() {
            row["stage"] = stage.into();
        }
        row
    }

    /// Requests that it saw, without reservations and reports.
    pub fn seen(&self) -> Vec<Message> {
        self.state.seen.lock().unwrap().clone()
    }

    /// Connections that the other side closed while it hung.
    pub fn left(&self) -> usize {
        self.state.left.load(Ordering::SeqCst)
    }
}

/// How a replica left a connection.
#[derive(Debug, PartialEq)]
enum Left {
    /// It closed it, or the other side did.
    Closed,
    /// The whole replica is to end.
    Crashed,
}

/// Sends an answer a second time once `wait` is over, in `parts` parts; `writing` is held while a whole answer is sent.
fn send_late(
    socket: &TcpStream,
    writing: &Arc<Mutex<()>>,
    state: &Arc<State>,
    bytes: Vec<u8>,
    wait: Duration,
    parts: usize,
) {
    let Ok(mut socket) = socket.try_clone() else {
        return;
    };
    let (writing, state) = (Arc::clone(writing), Arc::clone(state));
    thread::spawn(move || {
        thread::sleep(wait);
        let _sent = writing.lock().unwrap();
        state.second_answers.fetch_add(1, Ordering::SeqCst);
        for (number, part) in bytes.chunks(bytes.len().div_ceil(parts).max(1)).enumerate() {
            if number > 0 {
                thread::sleep(wait);
            }
            http::send(&mut socket, part);
        }
    });
}

fn connection(socket: &mut TcpStream, script: &Arc<Script>, state: &Arc<State>) -> Left {
    let mut second_answer = Vec::new();
    let writing = Arc::new(Mutex::new(()));
    while let Ok(Some(request)) = http::read(socket) {
        let _answered = writing.lock().unwrap();
        if !second_answer.is_empty() {
            state.second_answers.fetch_add(1, Ordering::SeqCst);
            http::send(socket, &std::mem::take(&mut second_answer));
        }
        let Some(act) = act(&request, script, state) else {
            continue;
        };
        let bytes = act.bytes();
        let second = state.again.get().and_then(|how| how(&request));
        match second {
            Some(_) if bytes.is_empty() => {}
            Some(Second { wait: None, .. }) => second_answer = bytes,
            Some(Second {
                wait: Some(wait),
                parts,
            }) => send_late(socket, &writing, state, bytes, wait, parts),
            None => {}
        }
        match act {
            Act::Send(bytes) => {
                if !http::send(socket, &bytes) {
                    return Left::Closed;
                }
            }
            Act::SendAndClose(bytes) => {
                http::send(socket, &bytes);
                return Left::Closed;
            }
            Act::SendAndReset(bytes, pause) => {
                http::send(socket, &bytes);
                thread::sleep(pause);
                SockRef::from(&*socket)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                return Left::Closed;
            }
            Act::SendAndHang(bytes) => {
                http::send(socket, &bytes);
                if http::closes_within(socket, Duration::from_secs(30)) {
                    state.left.fetch_add(1, Ordering::SeqCst);
                }
                return Left::Closed;
            }
            Act::UntilStopped(parts, pause, stopped) => {
                for part in parts {
                    thread::sleep(pause);
                    if stopped.load(Ordering::SeqCst) || !http::send(socket, &part) {
                        return Left::Closed;
                    }
                }
            }
            Act::Crash(bytes) => {
                http::send(socket, &bytes);
                return Left::Crashed;
            }
            Act::Slowly(parts, pause) => {
                for part in parts {
                    thread::sleep(pause);
                    if !http::send(socket, &part) {
                        return Left::Closed;
                    }
                }
            }
        }
    }
    Left::Closed
}

/// What a replica does with `request`; `None` if it does not answer.
fn act(request: &Message, script: &Arc<Script>, state: &State) -> Option<Act> {
    if let Some(bytes) = state.calls.get().and_then(|answers| answers(request)) {
        return Some(Act::Send(bytes));
    }
    match request.path() {
        "/api/hold-take" => {
            let number = state.holds.fetch_add(1, Ordering::SeqCst) + 1;
            let mut told = json!({"hold": format!("h{number}")});
            match state.born.load(Ordering::SeqCst) {
                0 => {}
                born => told["born"] = born.into(),
            }
            Some(Act::Send(answer(200, &[], told.to_string().as_bytes())))
        }
        "/api/report" if state.reports.get().is_some_and(|answers| !answers()) => None,
        "/api/report" => Some(Act::Send(answer(200, &[], br#"{"busy":false,"seq":0}"#))),
        path if path.starts_with("/api/hold-drop/") => Some(Act::Send(answer(200, &[], b""))),
        _ => {
            state.seen.lock().unwrap().push(request.clone());
            Some(script(request))
        }
    }
}

/// A signed answer to `request`.
pub fn signed(request: &Message, status: u16, body: &[u8]) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or_default();
    answer(
        status,
        &[
            ("request-id", id),
            ("response-seal", "s.1"),
            ("server-load", "1,0,8"),
        ],
        body,
    )
}

/// An answer that says that the request was not run.
pub fn not_run(request: &Message) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or_default();
    answer(503, &[("request-id", id), ("not-run", "1")], b"")
}

/// The head of a signed stream, in chunks.
pub fn stream_head(request: &Message) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: s.1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// One chunk of a stream; empty for its end.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", bytes.len()).into_bytes();
    [&size, bytes, b"\r\n"].concat()
}

/// The events `from..=to` as one chunk.
pub fn events(from: u64, to: u64) -> Vec<u8> {
    let texts = (from..=to).map(|id| format!("id: {id}\ndata: t{id}\n\n"));
    chunk(texts.collect::<String>().as_bytes())
}
