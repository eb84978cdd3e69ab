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
pub enum Action {
    /// Sends these bytes and keeps the connection.
    Send(Vec<u8>),
    /// Sends these bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Sends these bytes and resets the connection after a pause.
    SendAndReset(Vec<u8>, Duration),
    /// Sends these bytes, then nothing; notes when the other side closes.
    SendAndHang(Vec<u8>),
    /// Sends parts with a pause before each.
    SendSlowly(Vec<Vec<u8>>, Duration),
    /// The same, until the run is stopped; then closes the connection in the midst of the answer.
    SendUntilStopped(Vec<Vec<u8>>, Duration, Arc<AtomicBool>),
    /// Sends these bytes, then ends with all that it was doing.
    Crash(Vec<u8>),
}

impl Action {
    /// The bytes of a whole answer; none where the connection does not outlast it.
    fn bytes(&self) -> Vec<u8> {
        match self {
            Self::Send(bytes) => bytes.clone(),
            Self::SendSlowly(parts, _) => parts.concat(),
            _ => Vec::new(),
        }
    }
}

/// How the second answer to a request comes, on the same connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SecondAnswer {
    /// Time after which it comes, between two answers; without one it comes where the answer to the next request is
    /// due, and ahead of it.
    pub delay: Option<Duration>,
    /// Parts in which it comes after that time, which passes between them as well.
    pub parts: usize,
}

type Script = dyn Fn(&Message) -> Action + Send + Sync;
type ReportCondition = OnceLock<Box<dyn Fn() -> bool + Send + Sync>>;
type CallHandler = OnceLock<Box<dyn Fn(&Message) -> Option<Vec<u8>> + Send + Sync>>;
type SecondAnswerRule = OnceLock<Box<dyn Fn(&Message) -> Option<SecondAnswer> + Send + Sync>>;

/// What its connections share with the test.
#[derive(Default)]
struct State {
    requests: Mutex<Vec<Message>>,
    abandoned: AtomicUsize,
    /// When it started, as it tells in answers of its own; 0 if it does not.
    start_time_ms: AtomicU64,
    report_condition: ReportCondition,
    /// Answers to calls of the daemon's own in place of the usual ones.
    call_handler: CallHandler,
    /// Which requests are answered twice.
    second_answer_rule: SecondAnswerRule,
    /// Second answers that were sent.
    second_answers: AtomicUsize,
    /// Connections that were opened to it.
    connections: AtomicUsize,
    /// Whether it closes each new connection at once.
    closes_new_connections: AtomicBool,
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
    pub fn start(id: &str, script: impl Fn(&Message) -> Action + Send + Sync + 'static) -> Self {
        let script: Arc<Script> = Arc::new(script);
        let state = Arc::new(State::default());
        let own_state = Arc::clone(&state);
        let server = Arc::new(OnceLock::<Server>::new());
        let own_server = Arc::clone(&server);
        let started = Server::start("127.0.0.1", move |socket| {
            own_state.connections.fetch_add(1, Ordering::SeqCst);
            if own_state.closes_new_connections.load(Ordering::SeqCst) {
                return;
            }
            if serve_connection(socket, &script, &own_state) == ConnectionEnd::Crashed {
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
    pub fn answer_reports_if(&self, answers: impl Fn() -> bool + Send + Sync + 'static) {
        assert!(self.state.report_condition.set(Box::new(answers)).is_ok());
    }

    /// Answers a reservation, a report or another call of the daemon's own with what `answers` gives for it, if it
    /// gives anything.
    pub fn set_call_handler(
        &self,
        answers: impl Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) {
        assert!(self.state.call_handler.set(Box::new(answers)).is_ok());
    }

    /// Answers those requests twice for which `twice` holds. The second answer comes late: on the same connection,
    /// where the answer to the next request is due, and ahead of it.
    pub fn answer_twice_if(&self, twice: impl Fn(&Message) -> bool + Send + Sync + 'static) {
        let next = SecondAnswer {
            delay: None,
            parts: 1,
        };
        self.set_second_answers(move |request| twice(request).then_some(next));
    }

    /// Asks `how` for each request whether it is answered again.
    pub fn set_second_answers(
        &self,
        how: impl Fn(&Message) -> Option<SecondAnswer> + Send + Sync + 'static,
    ) {
        assert!(self.state.second_answer_rule.set(Box::new(how)).is_ok());
    }

    /// Second answers that it sent.
    pub fn second_answer_count(&self) -> usize {
        self.state.second_answers.load(Ordering::SeqCst)
    }

    /// Connections that were opened to it.
    pub fn connection_count(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Closes each new connection at once from now on, as one that has too many does.
    pub fn close_new_connections(&self) {
        self.state
            .closes_new_connections
            .store(true, Ordering::SeqCst);
    }

    /// Ends it with all that it is doing.
    pub fn crash(&self) {
        self.server.wait().stop();
    }

    /// Tells from now on that it started at `ms`.
    pub fn set_start_time(&self, ms: u64) {
        self.state.start_time_ms.store(ms, Ordering::SeqCst);
    }

    /// Starts one that reads prompts; their memory is called `k1`.
    pub fn start_prefill(id: &str) -> Self {
        Self::start(id, |_| {
            let body = br#"{"kv-handle":"k1","tokens":1460,"version":1}"#;
            Action::Send(answer(200, &[("content-type", "application/json")], body))
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
    pub fn requests(&self) -> Vec<Message> {
        self.state.requests.lock().unwrap().clone()
    }

    /// Connections that the other side closed while it hung.
    pub fn abandoned_count(&self) -> usize {
        self.state.abandoned.load(Ordering::SeqCst)
    }
}

/// How a replica left a connection.
#[derive(Debug, PartialEq)]
enum ConnectionEnd {
    /// It closed it, or the other side did.
    Closed,
    /// The whole replica is to end.
    Crashed,
}

/// Sends an answer a second time once `wait` is over, in `parts` parts; `writing` is held while a whole answer is sent.
fn send_second_answer(
    socket: &TcpStream,
    write_lock: &Arc<Mutex<()>>,
    state: &Arc<State>,
    bytes: Vec<u8>,
    delay: Duration,
    parts: usize,
) {
    let Ok(mut socket) = socket.try_clone() else {
        return;
    };
    let (write_lock, state) = (Arc::clone(write_lock), Arc::clone(state));
    thread::spawn(move || {
        thread::sleep(delay);
        let _guard = write_lock.lock().unwrap();
        state.second_answers.fetch_add(1, Ordering::SeqCst);
        for (number, part) in bytes.chunks(bytes.len().div_ceil(parts).max(1)).enumerate() {
            if number > 0 {
                thread::sleep(delay);
            }
            http::send(&mut socket, part);
        }
    });
}

fn serve_connection(
    socket: &mut TcpStream,
    script: &Arc<Script>,
    state: &Arc<State>,
) -> ConnectionEnd {
    let mut second_answer = Vec::new();
    let write_lock = Arc::new(Mutex::new(()));
    while let Ok(Some(request)) = http::read(socket) {
        let _guard = write_lock.lock().unwrap();
        if !second_answer.is_empty() {
            state.second_answers.fetch_add(1, Ordering::SeqCst);
            http::send(socket, &std::mem::take(&mut second_answer));
        }
        let Some(action) = choose_action(&request, script, state) else {
            continue;
        };
        let bytes = action.bytes();
        let second = state.second_answer_rule.get().and_then(|how| how(&request));
        match second {
            Some(_) if bytes.is_empty() => {}
            Some(SecondAnswer { delay: None, .. }) => second_answer = bytes,
            Some(SecondAnswer {
                delay: Some(delay),
                parts,
            }) => send_second_answer(socket, &write_lock, state, bytes, delay, parts),
            None => {}
        }
        match action {
            Action::Send(bytes) => {
                if !http::send(socket, &bytes) {
                    return ConnectionEnd::Closed;
                }
            }
            Action::SendAndClose(bytes) => {
                http::send(socket, &bytes);
                return ConnectionEnd::Closed;
            }
            Action::SendAndReset(bytes, pause) => {
                http::send(socket, &bytes);
                thread::sleep(pause);
                SockRef::from(&*socket)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                return ConnectionEnd::Closed;
            }
            Action::SendAndHang(bytes) => {
                http::send(socket, &bytes);
                if http::closes_within(socket, Duration::from_secs(30)) {
                    state.abandoned.fetch_add(1, Ordering::SeqCst);
                }
                return ConnectionEnd::Closed;
            }
            Action::SendUntilStopped(parts, pause, stopped) => {
                for part in parts {
                    thread::sleep(pause);
                    if stopped.load(Ordering::SeqCst) || !http::send(socket, &part) {
                        return ConnectionEnd::Closed;
                    }
                }
            }
            Action::Crash(bytes) => {
                http::send(socket, &bytes);
                return ConnectionEnd::Crashed;
            }
            Action::SendSlowly(parts, pause) => {
                for part in parts {
                    thread::sleep(pause);
                    if !http::send(socket, &part) {
                        return ConnectionEnd::Closed;
                    }
                }
            }
        }
    }
    ConnectionEnd::Closed
}

/// What a replica does with `request`; `None` if it does not answer.
fn choose_action(request: &Message, script: &Arc<Script>, state: &State) -> Option<Action> {
    if let Some(bytes) = state
        .call_handler
        .get()
        .and_then(|answers| answers(request))
    {
        return Some(Action::Send(bytes));
    }
    match request.path() {
        "/api/hold-take" => {
            let number = state.holds.fetch_add(1, Ordering::SeqCst) + 1;
            let mut body = json!({"hold": format!("h{number}")});
            match state.start_time_ms.load(Ordering::SeqCst) {
                0 => {}
                start_time => body["born"] = start_time.into(),
            }
            Some(Action::Send(answer(200, &[], body.to_string().as_bytes())))
        }
        "/api/report"
            if state
                .report_condition
                .get()
                .is_some_and(|answers| !answers()) =>
        {
            None
        }
        "/api/report" => Some(Action::Send(answer(200, &[], br#"{"busy":false,"seq":0}"#))),
        path if path.starts_with("/api/hold-drop/") => Some(Action::Send(answer(200, &[], b""))),
        _ => {
            state.requests.lock().unwrap().push(request.clone());
            Some(script(request))
        }
    }
}

/// A signed answer to `request`.
pub fn signed_answer(request: &Message, status: u16, body: &[u8]) -> Vec<u8> {
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
pub fn not_run_answer(request: &Message) -> Vec<u8> {
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
