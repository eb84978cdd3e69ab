//! Guards against a daemon that uses more memory than its settings allow, which the system kills with all requests that
//! it has accepted: answers without end, large requests and slow callers, each bounded, may be many at once.

use std::io::Read;
use std::io::Write;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use socket2::SockRef;

use crate::common::caller::Caller;
use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::gate::Cut;
use crate::common::http;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::common::replica::stream_head_without_length;
use crate::cut_site::Kind;
use crate::cut_site::Site as CutSite;
use crate::site::Site;
use crate::site::config;
use crate::site::headers;
use crate::site::start_generation;

/// Memory in the settings of the daemons, as on the smallest machines.
const MEMORY_MB: usize = 110;
/// Largest body of a request in the plan.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Callers at once.
const CALLER_COUNT: usize = 40;
/// Requests at once to replicas whose answers have no end.
const ENDLESS_COUNT: usize = 24;
/// Size of the chunks of a request in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Size of a large answer that passes whole.
const LARGE_ANSWER_BYTES: usize = 6 * 1024 * 1024;
/// Time for which a slow caller reads nothing.
const READ_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a daemon calls a store, some ten times for each of its tables.
const STORE_TIME: Duration = Duration::from_secs(5);
/// Receive buffer of a slow caller in bytes.
const SLOW_RECEIVE_BUFFER: usize = 16 * 1024;

/// The plan of other tests, with larger bodies, and a route `/pour/` of calls that may run once to the service `pour`.
fn plan() -> Value {
    let mut plan = config(1);
    plan["limits"]["max-body-bytes"] = MAX_BODY_BYTES.into();
    let mut route = plan["routes"][1].clone();
    route["name"] = "pour".into();
    route["prefix"] = "/pour/".into();
    route["service"] = "pour".into();
    plan["routes"].as_array_mut().unwrap().push(route);
    let service = json!({"name": "pour", "health-path": "/healthz", "max-conns": 50});
    plan["services"].as_array_mut().unwrap().push(service);
    plan
}

/// A daemon with the memory of the smallest machines in front of `replicas`.
fn start_site(name: &str, replicas: &[(&Replica, &str, &str)]) -> Site {
    let settings = format!("memory_mb: {MEMORY_MB}\n");
    Site::start_with_settings(name, &plan(), replicas, &settings)
}

/// A replica that answers each call.
fn start_sound() -> Replica {
    Replica::start("i-sound", |request| {
        Action::Send(signed_answer(request, 200, b"sound"))
    })
}

fn assert_sound_call(site: &Site, id: &str) {
    let response = site.send_and_read("GET /read/1", id);
    assert_eq!(
        (response.status(), &response.body[..]),
        (200, &b"sound"[..])
    );
}

/// Checks the peak, and that nothing is held any more.
fn assert_memory(site: &Site) {
    let peak = site.daemon.peak_memory();
    let megabytes = peak as f64 / 1e6;
    println!("peak of {megabytes:.0} MB");
    assert!(peak < MEMORY_MB * 1_000_000, "peak of {megabytes:.0} MB");
    wait_until("all memory is given back", || {
        site.daemon
            .metric("waxwing_gateway_memory_held_bytes{for=\"requests\"}")
            == 0.0
            && site
                .daemon
                .metric("waxwing_gateway_memory_held_bytes{for=\"answers\"}")
                == 0.0
    });
}

/// Runs `action` at the same time for each of `count` numbers; returns the results.
fn run_at_once<T: Send>(count: usize, action: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let action = &action;
        let threads: Vec<_> = (0..count)
            .map(|number| scope.spawn(move || action(number)))
            .collect();
        let results = threads.into_iter().map(|thread| thread.join().unwrap());
        results.collect()
    })
}

fn chunked_head(request: &Message) -> Vec<u8> {
    stream_head(request)
}

#[rstest]
#[case::in_chunks(chunked_head, &[b'x'; 16 * 1024], true)]
#[case::in_small_chunks(chunked_head, b"x", true)]
#[case::without_a_length(stream_head_without_length, &[b'x'; 16 * 1024], false)]
fn answers_without_end_stay_within_the_memory(
    #[case] head: fn(&Message) -> Vec<u8>,
    #[case] repeated: &[u8],
    #[case] is_chunked: bool,
) {
    let repeated = if is_chunked {
        chunk(repeated)
    } else {
        repeated.to_vec()
    };
    let endless = Replica::start("i-endless", move |request| {
        Action::SendWithoutEnd(head(request), repeated.clone(), Duration::ZERO)
    });
    let sound = start_sound();
    let site = start_site("pour", &[(&endless, "pour", ""), (&sound, "app", "")]);
    let statuses = run_at_once(ENDLESS_COUNT + 1, |number| {
        if number < ENDLESS_COUNT {
            let id = format!("e{number}");
            return site.send_and_read("GET /pour/1", &id).status();
        }
        for call in 0..20 {
            assert_sound_call(&site, &format!("s{call}"));
            thread::sleep(Duration::from_millis(50));
        }
        502
    });
    let is_unknown = |status: &u16| matches!(status, 502 | 504);
    assert!(statuses.iter().all(is_unknown), "{statuses:?}");
    assert_memory(&site);
}

/// Sends a request whose body of `length` bytes arrives but for the last byte before `all_sent`, and reads the answer.
fn send_body(site: &Site, id: &str, length: usize, in_chunks: bool, all_sent: &Barrier) -> Message {
    let mut caller = site.daemon.caller();
    let (framing, body) = if in_chunks {
        (
            "transfer-encoding: chunked".to_owned(),
            chunk(&[b'x'; CHUNK_BYTES]).repeat(length / CHUNK_BYTES),
        )
    } else {
        (format!("content-length: {length}"), vec![b'x'; length])
    };
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {id}\r\n{framing}\r\n\r\n"
    );
    // Fails if the request is refused before its body is read.
    let _ = caller.socket.write_all(head.as_bytes());
    let _ = caller.socket.write_all(&body[..body.len() - 1]);
    all_sent.wait();
    let _ = caller.socket.write_all(&body[body.len() - 1..]);
    if in_chunks {
        let _ = caller.socket.write_all(&chunk(b""));
    }
    caller.read()
}

#[rstest]
#[case::with_a_length(MAX_BODY_BYTES, false)]
#[case::in_chunks(MAX_BODY_BYTES, true)]
fn requests_under_way_stay_within_the_memory(#[case] length: usize, #[case] in_chunks: bool) {
    let sound = start_sound();
    let site = start_site("bodies", &[(&sound, "app", "")]);
    let all_sent = Barrier::new(CALLER_COUNT + 1);
    let responses = run_at_once(CALLER_COUNT + 1, |number| {
        if number < CALLER_COUNT {
            let id = format!("b{number}");
            let response = send_body(&site, &id, length, in_chunks, &all_sent);
            return (id, response);
        }
        thread::sleep(READ_PAUSE);
        for call in 0..20 {
            assert_sound_call(&site, &format!("s{call}"));
        }
        all_sent.wait();
        ("s".to_owned(), Message::default())
    });
    let (_, bodies) = responses.split_last().unwrap();
    let seen = sound.requests();
    for (id, response) in bodies {
        let is_seen = seen.iter().any(|r| r.header("request-id") == Some(id));
        assert_eq!(response.header("request-id"), Some(id.as_str()));
        match response.status() {
            200 => assert!(is_seen),
            503 => {
                assert!(response.header("retry-after").is_some());
                assert!(!is_seen, "{id} is refused and has run");
            }
            status => panic!("{id} is answered with {status}: {response:?}"),
        }
    }
    assert!(bodies.iter().any(|(_, response)| response.status() == 200));
    assert_memory(&site);
}

/// Callers that announce a large body and send nothing keep nobody else out.
#[test]
fn announced_bodies_keep_nobody_out() {
    let sound = start_sound();
    let site = start_site("announced", &[(&sound, "app", "")]);
    let silent: Vec<Caller> = (0..CALLER_COUNT)
        .map(|number| {
            let mut caller = site.daemon.caller();
            let head = format!(
                "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: q{number}\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
            );
            caller.socket.write_all(head.as_bytes()).unwrap();
            caller
        })
        .collect();
    wait_until("the silent requests are open", || {
        site.daemon.metric("waxwing_gateway_open_requests ") >= CALLER_COUNT as f64
    });
    let body = vec![b'x'; MAX_BODY_BYTES];
    let mut caller = site.daemon.caller();
    let response = caller.send_and_read("POST /book/1", &headers("a1"), &body);
    assert_eq!(response.status(), 200);
    drop(silent);
    assert_memory(&site);
}

/// A caller with a small receive buffer.
fn slow_caller(site: &Site) -> Caller {
    let caller = site.daemon.caller();
    SockRef::from(&caller.socket)
        .set_recv_buffer_size(SLOW_RECEIVE_BUFFER)
        .unwrap();
    caller
}

#[test]
fn large_answers_to_slow_callers_stay_within_the_memory_and_pass_whole() {
    let large = Replica::start("i-large", |request| {
        Action::Send(signed_answer(request, 200, &vec![b'x'; LARGE_ANSWER_BYTES]))
    });
    let sound = start_sound();
    let site = start_site("slow", &[(&large, "pour", ""), (&sound, "app", "")]);
    let all_sent = Barrier::new(CALLER_COUNT + 1);
    let lengths = run_at_once(CALLER_COUNT + 1, |number| {
        let id = format!("l{number}");
        if number == CALLER_COUNT {
            all_sent.wait();
            for call in 0..20 {
                assert_sound_call(&site, &format!("s{call}"));
            }
            return (200, LARGE_ANSWER_BYTES);
        }
        let mut caller = slow_caller(&site);
        caller.start_request("GET /pour/1", &headers(&id), b"");
        all_sent.wait();
        thread::sleep(READ_PAUSE);
        let response = caller.read();
        (response.status(), response.body.len())
    });
    // What does not get memory in time is not answered; nothing is cut.
    let whole = lengths.iter().filter(|(status, _)| *status == 200);
    assert!(whole.count() > CALLER_COUNT / 4, "{lengths:?}");
    for (status, length) in &lengths {
        match status {
            200 => assert_eq!(*length, LARGE_ANSWER_BYTES),
            status => assert_eq!(*status, 504, "{lengths:?}"),
        }
    }
    assert_memory(&site);
}

#[test]
fn streams_to_slow_callers_stay_within_the_memory() {
    const EVENT_BYTES: usize = 60 * 1024;
    const SLOW_STREAMS: usize = 8;
    const EVENT_PAUSE: Duration = Duration::from_millis(5);
    let event = [b"id: 1\ndata: ", &vec![b'x'; EVENT_BYTES][..], b"\n\n"].concat();
    let event = chunk(&event);
    let start = |number: usize| {
        let event = event.clone();
        Replica::start(&format!("i-{number}"), move |request| {
            if request.path() == "/draft/small" {
                let event = chunk(b"id: 1\ndata: t\n\n");
                return Action::Send([stream_head(request), event, chunk(b"")].concat());
            }
            Action::SendWithoutEnd(stream_head(request), event.clone(), EVENT_PAUSE)
        })
    };
    let decode: Vec<Replica> = (0..=CALLER_COUNT / 8).map(start).collect();
    let replicas: Vec<_> = decode.iter().map(|r| (r, "llm", "decode")).collect();
    let site = start_site("slow-streams", &replicas);
    let mut callers: Vec<Caller> = (0..CALLER_COUNT)
        .map(|number| {
            let caller = start_generation(&site.daemon, "/draft/1", &format!("l{number}"));
            thread::sleep(4 * EVENT_PAUSE);
            SockRef::from(&caller.socket)
                .set_recv_buffer_size(SLOW_RECEIVE_BUFFER)
                .unwrap();
            caller
        })
        .collect();
    // Those that find no place in time are refused.
    wait_until("some streams run", || {
        let begun = decode.iter().map(|replica| replica.requests().len());
        begun.sum::<usize>() >= SLOW_STREAMS
    });
    thread::sleep(READ_PAUSE);
    thread::sleep(READ_PAUSE);
    let response = start_generation(&site.daemon, "/draft/small", "a1").read();
    assert_eq!((response.status(), response.complete), (200, true));
    thread::sleep(READ_PAUSE);
    let mut start = vec![0; EVENT_BYTES];
    callers[0].socket.read_exact(&mut start).unwrap();
    assert!(start.starts_with(b"HTTP/1.1 200"));
    drop(callers);
    assert_memory(&site);
}

/// A peer that has no memory for the body of a request refuses it before it runs.
#[test]
fn requests_that_are_handed_over_stay_within_the_memory_of_the_peer() {
    let settings = ["memory_mb: 512\n", "memory_mb: 64\n"];
    let site = CutSite::start_with_each("handed-over", &plan(), settings);
    site.cut(Cut::Reset, &["app", "llm"]);
    wait_until("the service is unreachable", || {
        Kind::Book.is_served_by(&site.cut, "early");
        !site
            .cut
            .logged("no connection to the replicas of a service")
            .is_empty()
    });
    let body = vec![b'x'; MAX_BODY_BYTES];
    let responses = run_at_once(CALLER_COUNT, |number| {
        let id = format!("b{number}");
        let mut caller = site.cut.caller();
        let response = caller.send_and_read("POST /book/slow", &headers(&id), &body);
        (id, response)
    });
    let seen: Vec<Message> = site.replicas.iter().flat_map(Replica::requests).collect();
    for (id, response) in &responses {
        let is_seen = seen.iter().any(|r| r.header("request-id") == Some(id));
        assert_eq!(response.header("request-id"), Some(id.as_str()));
        match response.status() {
            200 => assert!(is_seen),
            503 => assert!(!is_seen, "{id} is refused and has run"),
            status => panic!("{id} is answered with {status}: {response:?}"),
        }
    }
    let count = |status| {
        let with_status = responses.iter().filter(|(_, r)| r.status() == status);
        with_status.count()
    };
    assert!(count(200) > 0 && count(503) > 0);
    let peak = site.sound.peak_memory();
    assert!(peak < 64_000_000, "peak of {peak} bytes");
}

/// All kinds at once.
/// Most of a long event arrives, and then nothing.
#[test]
fn unfinished_events_are_charged() {
    const STREAM_COUNT: usize = 4;
    const UNFINISHED_BYTES: usize = 500_000;
    let silent = Replica::start("i-1", |request| {
        let line = chunk(&vec![b'x'; UNFINISHED_BYTES]);
        Action::SendAndHang([stream_head(request), line].concat())
    });
    let site = start_site("memory-events", &[(&silent, "llm", "decode")]);
    let callers: Vec<Caller> = (0..STREAM_COUNT)
        .map(|number| start_generation(&site.daemon, "/draft/1", &format!("a{number}")))
        .collect();
    wait_until("all but the allowances are charged", || {
        let held = site
            .daemon
            .metric("waxwing_gateway_memory_held_bytes{for=\"answers\"}");
        held >= (STREAM_COUNT * (UNFINISHED_BYTES - CHUNK_BYTES)) as f64
    });
    drop(callers);
    assert_memory(&site);
}

#[test]
fn all_that_is_held_at_once_stays_within_the_memory() {
    let endless = Replica::start("i-endless", |request| match request.path() {
        "/pour/large" => Action::Send(signed_answer(request, 200, &vec![b'x'; LARGE_ANSWER_BYTES])),
        _ => {
            let repeated = chunk(&[b'x'; CHUNK_BYTES]);
            Action::SendWithoutEnd(stream_head(request), repeated, Duration::ZERO)
        }
    });
    let sound = start_sound();
    let site = start_site("all", &[(&endless, "pour", ""), (&sound, "app", "")]);
    let all_sent = Barrier::new(CALLER_COUNT + 1);
    run_at_once(3 * CALLER_COUNT + 1, |number| {
        let id = format!("a{number}");
        match number % 3 {
            _ if number == 3 * CALLER_COUNT => {
                all_sent.wait();
                for call in 0..20 {
                    assert_sound_call(&site, &format!("s{call}"));
                }
            }
            0 => {
                let response = send_body(&site, &id, MAX_BODY_BYTES, false, &all_sent);
                assert!(matches!(response.status(), 200 | 503), "{response:?}");
            }
            1 => {
                let mut caller = slow_caller(&site);
                caller.start_request("GET /pour/large", &headers(&id), b"");
                thread::sleep(READ_PAUSE);
                caller.read();
            }
            _ => {
                site.send_and_read("GET /pour/1", &id);
            }
        }
    });
    assert_memory(&site);
}

#[test]
fn a_large_answer_passes_whole_beside_answers_without_end() {
    let script = |request: &Message| match request.path() {
        "/pour/large" => Action::Send(signed_answer(request, 200, &vec![b'x'; LARGE_ANSWER_BYTES])),
        _ => Action::SendWithoutEnd(
            stream_head(request),
            chunk(&[b'x'; 16 * 1024]),
            Duration::ZERO,
        ),
    };
    let one = Replica::start("i-1", script);
    let site = start_site("large", &[(&one, "pour", "")]);
    let results = run_at_once(ENDLESS_COUNT + 3, |number| {
        let id = format!("e{number}");
        if number < ENDLESS_COUNT {
            return site.send_and_read("GET /pour/1", &id).status() == 502;
        }
        let response = site.send_and_read("GET /pour/large", &id);
        response.status() == 200 && response.body.len() == LARGE_ANSWER_BYTES
    });
    assert!(results.iter().all(|is_right| *is_right), "{results:?}");
    assert_memory(&site);
}

/// An endless answer to a call that the daemon makes for itself.
fn pour(request: &Message) -> Action {
    Action::SendWithoutEnd(
        chunked_head(request),
        chunk(&[b'x'; 16 * 1024]),
        Duration::ZERO,
    )
}

/// Guards against reports, reservations and prefills whose answers have no end.
#[test]
fn answers_without_end_to_the_calls_of_the_daemon_stay_within_the_memory() {
    let decode = Replica::start("i-decode", pour);
    decode.set_call_floods(|request| Some(pour(request)));
    let prefill = Replica::start("i-prefill", pour);
    prefill.set_call_floods(|request| Some(pour(request)));
    let plain = Replica::start("i-plain", |request| {
        Action::SendAndClose(chunked_head(request))
    });
    plain.set_call_floods(|request| Some(pour(request)));
    let replicas = [
        (&decode, "llm", "decode"),
        (&prefill, "llm", "prefill"),
        (&plain, "pour", ""),
    ];
    let site = start_site("endless-calls", &replicas);
    let answers = run_at_once(CALLER_COUNT, |number| {
        let line = if number % 2 == 0 {
            "POST /resume/1"
        } else {
            "POST /pour/1"
        };
        site.send_and_read(line, &format!("a{number}")).status()
    });
    assert!(answers.iter().all(|status| *status >= 500), "{answers:?}");
    assert_memory(&site);
}

/// Guards against a store whose answers have no end.
#[test]
fn answers_without_end_of_the_store_stay_within_the_memory() {
    let store = http::serve("127.0.0.1", |socket| {
        if matches!(http::read(socket), Ok(Some(_))) {
            let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            http::send(socket, head);
            while http::send(socket, &chunk(&[b'x'; 16 * 1024])) {}
        }
    });
    let settings = format!("memory_mb: {MEMORY_MB}\n");
    let daemon = Daemon::start_with_settings("endless-store", &new_ip(), store, &[], &settings);
    thread::sleep(STORE_TIME);
    let peak = daemon.peak_memory();
    assert!(peak < MEMORY_MB * 1_000_000, "peak of {peak} bytes");
    assert_eq!(daemon.readiness(), 503);
}
