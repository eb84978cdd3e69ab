//! Guards against bytes without end that are neither an answer nor a request. One thread serves everything: such bytes must
//! not hold up other requests, and the connection that brings them has to be closed.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::OnceLock;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::headers;
use crate::site::send_and_read;
use crate::site::start_generation;

/// Callers at work at the same time.
const CALLERS: usize = 12;
/// Connections of callers that send without end.
const ENDLESS_CALLERS: usize = 4;
/// Time within which the daemon has to answer that it is ready.
const READY_WITHIN: Duration = Duration::from_secs(1);
/// Deadline of a request, plus the half second after which an answer counts as late.
const LATEST_END: Duration = Duration::from_millis(4_500);
/// Time within which a connection with bytes without end has to be closed.
const CLOSED_WITHIN: Duration = Duration::from_secs(4);
/// The same for a connection of a peer, which may be idle for five seconds.
const PEER_CLOSED_WITHIN: Duration = Duration::from_secs(8);
/// Bytes written at once.
const BATCH_BYTES: usize = 64 * 1024;
/// Bytes of an answer that ends, though far later than a bound allows.
const FLOOD_BYTES: usize = 16 * 1024 * 1024;

/// Most duplicate answers that may be skipped on one connection.
const MAX_SKIPPED: usize = 40;

/// Where bytes repeat without end.
#[derive(Debug, Clone, Copy)]
enum Place {
    /// Interim responses.
    Interim,
    /// Empty lines before the head.
    Lines,
    /// Fields of the head.
    Fields,
    /// One field of the head.
    Field,
    /// The digits of a chunk's size.
    ChunkSize,
    /// The extension of a chunk.
    Extension,
    /// Fields behind the last chunk.
    Trailers,
}

impl Place {
    /// What `request` is answered with: first once, then without end.
    fn bytes(self, request: &Message) -> (Vec<u8>, &'static [u8]) {
        let head = stream_head(request);
        let line = b"HTTP/1.1 200 OK\r\n";
        match self {
            Self::Interim => (Vec::new(), b"HTTP/1.1 100 Continue\r\n\r\n"),
            Self::Lines => (Vec::new(), b"\r\n"),
            Self::Fields => (line.to_vec(), b"a: b\r\n"),
            Self::Field => ([&line[..], b"a: "].concat(), b"b"),
            Self::ChunkSize => (head, b"0"),
            Self::Extension => ([&head[..], b"1;"].concat(), b"x"),
            Self::Trailers => ([&head[..], b"0\r\n"].concat(), b"a: b\r\n"),
        }
    }

    fn action(self, request: &Message) -> Action {
        let (first, repeated) = self.bytes(request);
        Action::SendWithoutEnd(first, repeated.to_vec(), Duration::ZERO)
    }

    fn start_replica(self, id: &str) -> Replica {
        Replica::start(id, move |request| self.action(request))
    }

    /// The same bytes with an end.
    fn flood(self, request: &Message) -> Vec<u8> {
        let (first, repeated) = self.bytes(request);
        [first, repeated.repeat(FLOOD_BYTES / repeated.len())].concat()
    }
}

fn start_sound(id: &str) -> Replica {
    Replica::start(id, |request| {
        Action::Send(signed_answer(request, 200, b"done"))
    })
}

/// Sends `line` with `headers` as several callers; returns their answers and how long each took.
fn send_all(site: &Site, line: &str) -> Vec<JoinHandle<(Message, Duration)>> {
    let callers = (0..CALLERS).map(|number| {
        let mut caller = site.daemon.caller();
        let line = line.to_owned();
        thread::spawn(move || {
            let sent = Instant::now();
            let id = format!("a{number}");
            let response = caller.send_and_read(&line, &headers(&id), b"");
            (response, sent.elapsed())
        })
    });
    callers.collect()
}

/// Checks that the daemon answers in time that it is ready, until all `callers` have ended; returns their answers.
fn assert_responsive<T>(site: &Site, callers: Vec<JoinHandle<T>>) -> Vec<T> {
    loop {
        let asked = Instant::now();
        assert_eq!(site.daemon.readiness(), 200);
        let took = asked.elapsed();
        assert!(took < READY_WITHIN, "ready after {took:?}");
        if callers.iter().all(JoinHandle::is_finished) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect()
}

/// Waits until each connection to `endless` that carried a request is closed.
fn wait_until_closed(endless: &Replica) {
    let begun = Instant::now();
    wait_until("the endless connections are closed", || {
        endless.abandoned_count() == endless.requests().len()
    });
    let took = begun.elapsed();
    assert!(took < CLOSED_WITHIN, "closed after {took:?}");
}

#[rstest]
#[case::interim_responses(Place::Interim)]
#[case::empty_lines(Place::Lines)]
#[case::fields(Place::Fields)]
#[case::a_field(Place::Field)]
#[case::a_chunk_size(Place::ChunkSize)]
#[case::an_extension(Place::Extension)]
#[case::trailers(Place::Trailers)]
fn repeatable_calls_reach_the_sound_replica(#[case] place: Place) {
    let endless = place.start_replica("i-1");
    let sound = start_sound("i-2");
    let replicas = [(&endless, "app", ""), (&sound, "app", "")];
    let site = Site::start("bytes-read", &replicas);
    let callers = send_all(&site, "POST /read/1");
    for (response, took) in assert_responsive(&site, callers) {
        assert_eq!((response.status(), response.body), (200, b"done".to_vec()));
        assert!(took < LATEST_END, "{took:?}");
    }
    assert!(!endless.requests().is_empty());
    wait_until_closed(&endless);
}

#[rstest]
#[case::interim_responses(Place::Interim)]
#[case::a_chunk_size(Place::ChunkSize)]
#[case::an_extension(Place::Extension)]
fn calls_that_may_run_once_end_by_their_deadline(#[case] place: Place) {
    let endless = place.start_replica("i-1");
    let site = Site::start("bytes-once", &[(&endless, "app", "")]);
    let callers = send_all(&site, "POST /book/1");
    for (response, took) in assert_responsive(&site, callers) {
        assert!(
            matches!(response.status(), 502 | 503 | 504),
            "{}",
            response.line
        );
        assert!(took < LATEST_END, "{took:?}");
    }
    assert!(!endless.requests().is_empty());
    wait_until_closed(&endless);
}

/// Each connection that is closed for such bytes is logged once and counted.
#[rstest]
#[case::interim_responses(Place::Interim)]
#[case::a_chunk_size(Place::ChunkSize)]
fn the_end_of_bytes_without_end_is_logged_and_counted(#[case] place: Place) {
    let endless = place.start_replica("i-1");
    let site = Site::start("bytes-logged", &[(&endless, "app", "")]);
    assert_responsive(&site, send_all(&site, "POST /book/1"));
    let peer = format!("\"peer\":\"{}\"", endless.address);
    let lines = || {
        let lines = site.daemon.logged("\"kind\":\"flood\"").into_iter();
        lines.filter(|line| line.contains(&peer)).count()
    };
    let closed = endless.requests().len();
    assert!(closed > 0);
    wait_until("each closed connection is logged", || lines() == closed);
    let counter = format!("waxwing_gateway_floods_total{{peer=\"replica\"}} {closed}\n");
    let metrics = site.daemon.metrics();
    assert!(metrics.contains(&counter), "{metrics}");
}

/// Generations whose prompt is prefilled at a replica that sends without end.
#[rstest]
#[case::interim_responses(Place::Interim)]
#[case::a_chunk_size(Place::ChunkSize)]
fn generations_end_by_their_deadline_without_a_prefill(#[case] place: Place) {
    let endless = place.start_replica("i-p");
    let decode = Replica::start("i-1", |request| {
        Action::Send([stream_head(request), events(1, 5), chunk(b"")].concat())
    });
    let site = Site::start_with_prefill("bytes-prefill", &endless, &[&decode]);
    assert_generations_end(&site);
    assert!(!endless.requests().is_empty());
    wait_until_closed(&endless);
}

/// Generations whose reservations are answered without end.
#[rstest]
#[case::interim_responses(Place::Interim)]
#[case::a_chunk_size(Place::ChunkSize)]
fn generations_end_by_their_deadline_without_a_reservation(#[case] place: Place) {
    let endless = Replica::start("i-1", |request| {
        Action::Send([stream_head(request), events(1, 5), chunk(b"")].concat())
    });
    endless.set_call_handler(move |request| {
        request
            .path()
            .starts_with("/api/hold")
            .then(|| place.flood(request))
    });
    let prefill = Replica::start_prefill("i-p");
    let site = Site::start_with_prefill("bytes-hold", &prefill, &[&endless]);
    assert_generations_end(&site);
}

fn assert_generations_end(site: &Site) {
    let callers = (0..CALLERS).map(|number| {
        let mut caller = start_generation(&site.daemon, "/resume/1", &format!("a{number}"));
        thread::spawn(move || {
            let sent = Instant::now();
            (caller.read(), sent.elapsed())
        })
    });
    for (response, took) in assert_responsive(site, callers.collect()) {
        assert_ne!(response.status(), 0);
        assert!(took < LATEST_END, "{took:?}");
    }
}

/// Streams that continue in a chunk without end.
#[rstest]
#[case::a_chunk_size(Place::ChunkSize)]
#[case::an_extension(Place::Extension)]
fn streams_end_by_their_deadline(#[case] place: Place) {
    let endless = Replica::start("i-1", move |request| {
        let (_, repeated) = place.bytes(request);
        let first = [stream_head(request), events(1, 3), b"1;".to_vec()].concat();
        let first = match place {
            Place::ChunkSize => first[..first.len() - 2].to_vec(),
            _ => first,
        };
        Action::SendWithoutEnd(first, repeated.to_vec(), Duration::ZERO)
    });
    let site = Site::start("bytes-stream", &[(&endless, "llm", "decode")]);
    assert_generations_end(&site);
    wait_until_closed(&endless);
}

/// A replica whose answers to reports have no end is running: its requests are not the cause of a crash.
#[rstest]
#[case::interim_responses(Place::Interim)]
#[case::a_chunk_size(Place::ChunkSize)]
fn a_replica_with_endless_reports_has_not_ended(#[case] place: Place) {
    let endless = Replica::start("i-1", |_| Action::SendAndClose(Vec::new()));
    endless.set_call_handler(move |request| {
        request
            .path()
            .starts_with("/api/report")
            .then(|| place.flood(request))
    });
    let site = Site::start("bytes-report", &[(&endless, "app", "")]);
    let response = send_and_read(&site.daemon, "POST /book/1", "c1");
    assert_eq!(response.status(), 502);
    let verdicts = || site.daemon.logged("a replica was lost while at work");
    wait_until("the result of the probe is logged", || {
        !verdicts().is_empty()
    });
    let line = verdicts().remove(0);
    assert!(line.contains("\"ended\":\"false\""), "{line}");
}

/// A replica that answers the first request again without end, on the connection of the second one.
fn start_with_endless_duplicates(id: &str) -> Replica {
    let first = OnceLock::new();
    Replica::start(id, move |request| {
        let own = signed_answer(request, 200, b"done");
        let duplicate = first.get_or_init(|| own.clone()).clone();
        match duplicate == own {
            true => Action::Send(own),
            false => Action::SendWithoutEnd(Vec::new(), duplicate, Duration::ZERO),
        }
    })
}

#[test]
fn duplicates_without_end_are_not_skipped_without_end() {
    let endless = start_with_endless_duplicates("i-1");
    let site = Site::start("bytes-duplicates", &[(&endless, "app", "")]);
    assert_eq!(site.send_and_read("POST /read/1", "a").status(), 200);
    let sent = Instant::now();
    let response = site.send_and_read("POST /read/1", "b");
    let took = sent.elapsed();
    assert!(matches!(response.status(), 502..=504), "{}", response.line);
    assert!(took < LATEST_END, "{took:?}");
    wait_until("the endless connections are closed", || {
        endless.abandoned_count() + 1 == endless.requests().len()
    });
    let skipped = site.daemon.logged("skipped a duplicate answer").len();
    let connections = endless.connection_count();
    assert!(
        skipped <= MAX_SKIPPED * connections,
        "{skipped} on {connections}"
    );
}

#[test]
fn a_call_reaches_the_sound_replica_after_duplicates_without_end() {
    let endless = start_with_endless_duplicates("i-1");
    let site = Site::start("bytes-skipped", &[(&endless, "app", "")]);
    assert_eq!(site.send_and_read("POST /read/1", "a").status(), 200);
    let sound = start_sound("i-2");
    let row = sound.row("app", "");
    site.store.put("servers", &sound.id, &row);
    wait_until("the sound replica is known", || {
        !site.daemon.logged("\"replica\":\"i-2\"").is_empty()
    });
    let callers = send_all(&site, "POST /read/1");
    for (response, took) in assert_responsive(&site, callers) {
        assert_eq!((response.status(), response.body), (200, b"done".to_vec()));
        assert!(took < LATEST_END, "{took:?}");
    }
}

#[test]
fn a_connection_is_closed_when_bytes_follow_a_whole_answer() {
    let endless = Replica::start("i-1", |request| {
        let whole = signed_answer(request, 200, b"done");
        Action::SendWithoutEnd(whole, b"x".to_vec(), Duration::ZERO)
    });
    let site = Site::start("bytes-idle", &[(&endless, "app", "")]);
    let callers = send_all(&site, "POST /read/1");
    for (response, _) in assert_responsive(&site, callers) {
        assert_eq!(response.status(), 200);
    }
    wait_until_closed(&endless);
}

/// What a caller repeats without end.
#[derive(Debug, Clone, Copy)]
enum CallerBytes {
    Lines,
    Fields,
    ChunkSize,
    Extension,
    Trailers,
    /// The body of a request without a deadline, which is refused.
    Refused,
}

impl CallerBytes {
    /// What is sent first once, then without end.
    const fn bytes(self) -> (&'static str, &'static str) {
        match self {
            Self::Lines => ("", "\r\n"),
            Self::Fields => ("POST /read/1 HTTP/1.1\r\n", "a: b\r\n"),
            Self::ChunkSize => (CHUNKED_HEAD, "0"),
            Self::Extension => (CHUNKED_HEAD_AND_EXTENSION, "x"),
            Self::Trailers => (CHUNKED_HEAD_AND_END, "a: b\r\n"),
            Self::Refused => (
                "POST /read/1 HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n",
                "0",
            ),
        }
    }
}

const CHUNKED_HEAD: &str = "POST /read/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: a\r\ndeadline-ms: 4000\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNKED_HEAD_AND_EXTENSION: &str = "POST /read/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: a\r\ndeadline-ms: 4000\r\ntransfer-encoding: chunked\r\n\r\n1;";
const CHUNKED_HEAD_AND_END: &str = "POST /read/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: a\r\ndeadline-ms: 4000\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";

/// Sends `first`, then `repeated` until the daemon closes the connection; returns how long it took.
fn write_without_end(socket: &mut TcpStream, first: &[u8], repeated: &[u8]) -> Duration {
    let begun = Instant::now();
    let mut sent = socket.write_all(first);
    while sent.is_ok() {
        sent = socket.write_all(repeated);
    }
    begun.elapsed()
}

#[rstest]
#[case::empty_lines(CallerBytes::Lines)]
#[case::fields(CallerBytes::Fields)]
#[case::a_chunk_size(CallerBytes::ChunkSize)]
#[case::an_extension(CallerBytes::Extension)]
#[case::trailers(CallerBytes::Trailers)]
#[case::the_body_of_a_refused_request(CallerBytes::Refused)]
fn a_caller_that_sends_without_end_holds_up_no_other(#[case] bytes: CallerBytes) {
    let sound = start_sound("i-1");
    let site = Site::start("bytes-caller", &[(&sound, "app", "")]);
    let endless = (0..ENDLESS_CALLERS).map(|_| {
        let mut socket = site.daemon.caller().socket;
        let (first, repeated) = bytes.bytes();
        let repeated = repeated.repeat(BATCH_BYTES / repeated.len());
        thread::spawn(move || write_without_end(&mut socket, first.as_bytes(), repeated.as_bytes()))
    });
    let endless = endless.collect();
    let callers = send_all(&site, "POST /read/1");
    for (response, took) in assert_responsive(&site, callers) {
        assert_eq!(response.status(), 200);
        assert!(took < READY_WITHIN, "{took:?}");
    }
    for took in assert_responsive(&site, endless) {
        assert!(took < CLOSED_WITHIN, "closed after {took:?}");
    }
    assert_eq!(sound.requests().len(), CALLERS);
}

/// The daemon states why it ends such a request, to a caller that reads the answer.
#[test]
fn a_caller_is_told_that_its_body_cannot_be_read() {
    let sound = start_sound("i-1");
    let site = Site::start("bytes-told", &[(&sound, "app", "")]);
    let mut socket = site.daemon.caller().socket;
    socket.write_all(CHUNKED_HEAD.as_bytes()).unwrap();
    let answer = read_while_sending(&mut socket, b"0").unwrap();
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(sound.requests().is_empty());
}

/// Sends `repeated` slowly until an answer arrives, and returns its first bytes.
fn read_while_sending(socket: &mut TcpStream, repeated: &[u8]) -> io::Result<String> {
    let part = repeated.repeat(4 * 1024);
    socket.set_read_timeout(Some(Duration::from_millis(10)))?;
    let mut answer = [0; 64];
    loop {
        socket.write_all(&part)?;
        match socket.read(&mut answer) {
            Ok(length) => return Ok(String::from_utf8_lossy(&answer[..length]).into_owned()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Frames that a peer repeats without end.
#[derive(Debug, Clone, Copy)]
enum Frames {
    Pings,
    Settings,
    /// Parts of a header section.
    Continuations,
    /// Empty parts of a request to this path.
    Data(&'static str),
}

impl Frames {
    fn repeated(self) -> Vec<u8> {
        match self {
            Self::Pings => frame(6, 0, 0, b"waxwings"),
            Self::Settings => frame(4, 0, 0, b""),
            Self::Continuations => frame(9, 0, 1, b""),
            Self::Data(_) => frame(0, 0, 1, b""),
        }
    }

    /// The start of the connection.
    fn first(self) -> Vec<u8> {
        const END_HEADERS: u8 = 4;
        let opened = match self {
            Self::Pings | Self::Settings => Vec::new(),
            Self::Continuations => frame(1, 0, 1, b"\x83\x86"),
            Self::Data(path) => {
                let length = [0x44, path.len() as u8];
                let fields = [&b"\x83\x86"[..], &length, path.as_bytes()].concat();
                frame(1, END_HEADERS, 1, &fields)
            }
        };
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        [&preface[..], &frame(4, 0, 0, b""), &opened].concat()
    }
}

/// A frame of HTTP/2.
fn frame(kind: u8, flags: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let head = [0, 0, payload.len() as u8, kind, flags, 0, 0, 0, stream];
    [&head[..], payload].concat()
}

#[rstest]
#[case::pings(Frames::Pings)]
#[case::settings(Frames::Settings)]
#[case::continuations(Frames::Continuations)]
#[case::a_list_request(Frames::Data("/exchange/3"))]
#[case::a_presence_request(Frames::Data("/presence/1"))]
#[case::an_unknown_request(Frames::Data("/x"))]
fn a_peer_that_sends_without_end_holds_up_nobody(#[case] frames: Frames) {
    let sound = start_sound("i-1");
    let site = Site::start("bytes-peer", &[(&sound, "app", "")]);
    let endless = (0..ENDLESS_CALLERS).map(|_| {
        let mut socket = TcpStream::connect(site.daemon.peers).unwrap();
        let mut answers = socket.try_clone().unwrap();
        thread::spawn(move || io::copy(&mut answers, &mut io::sink()));
        thread::spawn(move || {
            let repeated = frames.repeated();
            let repeated = repeated.repeat(BATCH_BYTES / repeated.len());
            write_without_end(&mut socket, &frames.first(), &repeated)
        })
    });
    let endless = endless.collect();
    let callers = send_all(&site, "POST /read/1");
    for (response, took) in assert_responsive(&site, callers) {
        assert_eq!(response.status(), 200);
        assert!(took < READY_WITHIN, "{took:?}");
    }
    for took in assert_responsive(&site, endless) {
        assert!(took < PEER_CLOSED_WITHIN, "closed after {took:?}");
    }
}

/// A sound answer is whole, in however small chunks it comes.
#[rstest]
#[case::of_one_byte(1, 200_000)]
#[case::of_some_bytes(100, 20_000)]
#[case::large(64 * 1024, 64)]
#[case::one(4 * 1024 * 1024, 1)]
fn a_sound_answer_in_chunks_is_whole(#[case] size: usize, #[case] count: usize) {
    let replica = Replica::start("i-1", move |request| {
        let body = chunk(&vec![b'x'; size]).repeat(count);
        Action::Send([stream_head(request), body, chunk(b"")].concat())
    });
    let site = Site::start("bytes-sound", &[(&replica, "app", "")]);
    let response = site.send_and_read("POST /read/1", "a1");
    assert_eq!(response.status(), 200);
    assert_eq!(response.body.len(), size * count);
    assert!(response.complete);
    assert_eq!(replica.requests().len(), 1);
}

/// A sound stream is whole although its caller reads nothing for a while.
#[test]
fn a_sound_stream_is_whole_with_a_slow_caller() {
    const EVENTS: usize = 6_000;
    const CHUNK_BYTES: usize = 1_500;
    let data = "x".repeat(1_000);
    let texts = (1..=EVENTS).map(|id| format!("id: {id}\ndata: {data}\n\n"));
    let sent: String = texts.collect();
    let received = sent.clone();
    let replica = Replica::start("i-1", move |request| {
        let chunks = sent.as_bytes().chunks(CHUNK_BYTES).flat_map(chunk);
        let body: Vec<u8> = chunks.collect();
        Action::Send([stream_head(request), body, chunk(b"")].concat())
    });
    let site = Site::start("bytes-slow", &[(&replica, "llm", "decode")]);
    let mut caller = start_generation(&site.daemon, "/draft/1", "a1");
    wait_until("the run starts", || !replica.requests().is_empty());
    thread::sleep(Duration::from_secs(1));
    let response = caller.read();
    assert!(response.complete);
    assert!(response.body == received.into_bytes());
}
