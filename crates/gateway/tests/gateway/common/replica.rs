//! Stand-in for a replica that answers each request by a script.

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

/// Header that a replica adds to a request it received: the IP address that the connection came from.
pub const SOURCE: &str = "test-source";

/// How a replica handles a request.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends these bytes and keeps the connection.
    Send(Vec<u8>),
    /// Sends these bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Sends these bytes and resets the connection after a pause.
    SendAndReset(Vec<u8>, Duration),
    /// Sends these bytes, then nothing; counts the connection if the other side closes it.
    SendAndHang(Vec<u8>),
    /// Sends the first bytes once and the second ones without end, with a pause after each time; counts the connection
    /// once the other side closes it.
    SendWithoutEnd(Vec<u8>, Vec<u8>, Duration),
    /// Sends parts with a pause before each.
    SendSlowly(Vec<Vec<u8>>, Duration),
    /// Like `SendSlowly`, but closes the connection in the middle of the answer once the flag is set.
    SendUntilStopped(Vec<Vec<u8>>, Duration, Arc<AtomicBool>),
    /// Sends these bytes, then stops the whole replica and closes all its connections.
    Crash(Vec<u8>),
}

impl Action {
    /// Bytes of the complete answer; empty for an action that may close the connection.
    fn bytes(&self) -> Vec<u8> {
        match self {
            Self::Send(bytes) => bytes.clone(),
            Self::SendSlowly(parts, _) => parts.concat(),
            _ => Vec::new(),
        }
    }
}

/// When and how a request is answered a second time on the same connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SecondAnswer {
    /// Time after which it is sent, never in the middle of another answer. `None`: it is sent when the next request
    /// arrives, before the answer to that one.
    pub delay: Option<Duration>,
    /// Number of parts in which it is sent, with the same delay between them.
    pub parts: usize,
}

type Script = dyn Fn(&Message) -> Action + Send + Sync;
type ReportCondition = OnceLock<Box<dyn Fn() -> bool + Send + Sync>>;
type CallHandler = OnceLock<Box<dyn Fn(&Message) -> Option<Vec<u8>> + Send + Sync>>;
type CallFlood = OnceLock<Box<dyn Fn(&Message) -> Option<Action> + Send + Sync>>;
type SecondAnswerRule = OnceLock<Box<dyn Fn(&Message) -> Option<SecondAnswer> + Send + Sync>>;

/// State shared by the connections of a replica and the test.
#[derive(Default)]
struct State {
    requests: Mutex<Vec<Message>>,
    abandoned: AtomicUsize,
    /// Start time that the replica reports in its reservations; 0 if it reports none.
    start_time_ms: AtomicU64,
    report_condition: ReportCondition,
    /// Replaces the default answers to the daemon's own calls.
    call_handler: CallHandler,
    /// Decides which calls of the daemon's own are answered otherwise, by what.
    call_flood: CallFlood,
    /// Decides which requests are answered twice.
    second_answer_rule: SecondAnswerRule,
    /// Second answers sent so far.
    second_answers: AtomicUsize,
    /// Connections opened so far.
    connections: AtomicUsize,
    /// Whether each new connection is closed at once.
    closes_new_connections: AtomicBool,
    /// Reservations made so far.
    holds: AtomicUsize,
}

/// A scripted replica.
#[derive(Clone)]
pub struct Replica {
    /// Listening address.
    pub address: SocketAddr,
    /// Its id.
    pub id: String,
    state: Arc<State>,
    server: Arc<OnceLock<Server>>,
}

impl Replica {
    /// Starts a replica that answers by `script`; reservations and reports have default answers.
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

    /// Leaves a report request unanswered when `answers` returns `false`.
    pub fn answer_reports_if(&self, answers: impl Fn() -> bool + Send + Sync + 'static) {
        assert!(self.state.report_condition.set(Box::new(answers)).is_ok());
    }

    /// Answers a reservation, a report or another call of the daemon's own with the bytes that `answers` returns; on
    /// `None` the default answer is sent.
    pub fn set_call_handler(
        &self,
        answers: impl Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) {
        assert!(self.state.call_handler.set(Box::new(answers)).is_ok());
    }

    /// Answers a reservation, a report or another call of the daemon's own by what `floods` returns, if it does.
    pub fn set_call_floods(
        &self,
        floods: impl Fn(&Message) -> Option<Action> + Send + Sync + 'static,
    ) {
        assert!(self.state.call_flood.set(Box::new(floods)).is_ok());
    }

    /// Answers the requests for which `twice` is true a second time: on the same connection when the next request
    /// arrives, before the answer to that one.
    pub fn answer_twice_if(&self, twice: impl Fn(&Message) -> bool + Send + Sync + 'static) {
        let next = SecondAnswer {
            delay: None,
            parts: 1,
        };
        self.set_second_answers(move |request| twice(request).then_some(next));
    }

    /// Calls `how` for each request to decide whether it is answered a second time.
    pub fn set_second_answers(
        &self,
        how: impl Fn(&Message) -> Option<SecondAnswer> + Send + Sync + 'static,
    ) {
        assert!(self.state.second_answer_rule.set(Box::new(how)).is_ok());
    }

    /// Number of second answers sent so far.
    pub fn second_answer_count(&self) -> usize {
        self.state.second_answers.load(Ordering::SeqCst)
    }

    /// Number of connections opened so far.
    pub fn connection_count(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Closes each new connection at once from now on, like a replica at its connection limit.
    pub fn close_new_connections(&self) {
        self.state
            .closes_new_connections
            .store(true, Ordering::SeqCst);
    }

    /// Stops the replica and closes all its connections.
    pub fn crash(&self) {
        self.server.wait().stop();
    }

    /// Reports `ms` as its start time from now on.
    pub fn set_start_time(&self, ms: u64) {
        self.state.start_time_ms.store(ms, Ordering::SeqCst);
    }

    /// Starts a prefill replica that names each KV cache `k1`.
    pub fn start_prefill(id: &str) -> Self {
        Self::start(id, |_| {
            let body = br#"{"kv-handle":"k1","tokens":1460,"version":1}"#;
            Action::Send(answer(200, &[("content-type", "application/json")], body))
        })
    }

    /// Row of the replica in the store; `stage` is empty for a plain application.
    pub fn row(&self, service: &str, stage: &str) -> Value {
        let mut row = json!({"service": service, "addr": self.address, "zone": "here", "version": "v1",
            "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1});
        if !stage.is_empty() {
            row["stage"] = stage.into();
        }
        row
    }

    /// Requests received so far, without reservations and reports.
    pub fn requests(&self) -> Vec<Message> {
        self.state.requests.lock().unwrap().clone()
    }

    /// Number of connections that the other side closed during `SendAndHang` or `SendWithoutEnd`.
    pub fn abandoned_count(&self) -> usize {
        self.state.abandoned.load(Ordering::SeqCst)
    }
}

/// Why a replica stopped serving a connection.
#[derive(Debug, PartialEq)]
enum ConnectionEnd {
    /// The replica or the other side closed it.
    Closed,
    /// The whole replica has to stop.
    Crashed,
}

/// The right to write on a connection, held while a whole answer is sent.
#[derive(Debug, Default)]
struct Writer {
    /// Whether the replica has closed the connection, or may close it with the answer that is sent.
    is_ended: bool,
}

/// Sends an answer a second time after `delay`, in `parts` parts, unless the replica closes the connection before.
fn send_second_answer(
    socket: &TcpStream,
    writer: &Arc<Mutex<Writer>>,
    state: &Arc<State>,
    bytes: Vec<u8>,
    delay: Duration,
    parts: usize,
) {
    let Ok(mut socket) = socket.try_clone() else {
        return;
    };
    let (writer, state) = (Arc::clone(writer), Arc::clone(state));
    thread::spawn(move || {
        thread::sleep(delay);
        let writer = writer.lock().unwrap();
        if writer.is_ended {
            return;
        }
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
    let shared_writer = Arc::new(Mutex::new(Writer::default()));
    while let Ok(Some(mut request)) = http::read(socket) {
        if let Ok(peer) = socket.peer_addr() {
            let source = (SOURCE.to_owned(), peer.ip().to_string());
            request.headers.push(source);
        }
        let mut writer = shared_writer.lock().unwrap();
        if !second_answer.is_empty() {
            state.second_answers.fetch_add(1, Ordering::SeqCst);
            http::send(socket, &std::mem::take(&mut second_answer));
        }
        let Some(action) = choose_action(&request, script, state) else {
            continue;
        };
        let bytes = action.bytes();
        writer.is_ended = bytes.is_empty();
        let second = state.second_answer_rule.get().and_then(|how| how(&request));
        match second {
            Some(_) if bytes.is_empty() => {}
            Some(SecondAnswer { delay: None, .. }) => second_answer = bytes,
            Some(SecondAnswer {
                delay: Some(delay),
                parts,
            }) => send_second_answer(socket, &shared_writer, state, bytes, delay, parts),
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
            Action::SendWithoutEnd(first, repeated, pause) => {
                send_without_end(socket, &first, &repeated, pause);
                state.abandoned.fetch_add(1, Ordering::SeqCst);
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
        writer.is_ended = false;
    }
    ConnectionEnd::Closed
}

/// Sends `first`, then `repeated` with `pause` after each time, until the other side closes the connection.
fn send_without_end(socket: &mut TcpStream, first: &[u8], repeated: &[u8], pause: Duration) {
    const BATCH_BYTES: usize = 64 * 1024;
    let times = match pause {
        Duration::ZERO => BATCH_BYTES.div_ceil(repeated.len().max(1)),
        _ => 1,
    };
    let repeated = repeated.repeat(times);
    let mut is_open = http::send(socket, first);
    while is_open {
        is_open = http::send(socket, &repeated);
        thread::sleep(pause);
    }
}

/// Chooses how `request` is handled; `None` leaves it unanswered.
fn choose_action(request: &Message, script: &Arc<Script>, state: &State) -> Option<Action> {
    let flood = state.call_flood.get();
    let is_call = request.path().starts_with("/api/");
    if let Some(action) = flood.filter(|_| is_call).and_then(|floods| floods(request)) {
        return Some(action);
    }
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

/// An unsigned answer that says that the request was not run.
pub fn not_run_answer(request: &Message) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or_default();
    answer(503, &[("request-id", id), ("not-run", "1")], b"")
}

/// The head of a signed stream with chunked encoding.
pub fn stream_head(request: &Message) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: s.1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// The head of a signed stream that has no length and ends with its connection.
pub fn stream_head_without_length(request: &Message) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: s.1\r\ncontent-type: text/event-stream\r\n\r\n"
    )
    .into_bytes()
}

/// One chunk of a stream; an empty one ends the stream.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", bytes.len()).into_bytes();
    [&size, bytes, b"\r\n"].concat()
}

/// The events `from..=to`.
pub fn event_texts(from: u64, to: u64) -> String {
    let texts = (from..=to).map(|id| format!("id: {id}\ndata: t{id}\n\n"));
    texts.collect()
}

/// The events `from..=to` as one chunk.
pub fn events(from: u64, to: u64) -> Vec<u8> {
    chunk(event_texts(from, to).as_bytes())
}
