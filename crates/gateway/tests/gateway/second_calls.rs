//! Replicas answered some calls twice, the second time late. The daemon's own calls of a replica shared the connections
//! of requests, and their answers name nothing: the second answer to one call was taken for the answer to the next. Two
//! generations were given one reservation, a run that was moved went on from the memory of another run, and a report
//! told of a replica what an earlier one at its address had said. The log had no wrong line: each call had an answer of
//! the right form.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::common::caller::Caller;
use crate::common::daemon::until;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Act;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::config;
use crate::site::generate;
use crate::site::headers;

/// Generations that follow each other in a test.
const GENERATIONS: usize = 6;
/// Events of a run that is moved.
const EVENTS: u64 = 40;
/// Time between two of them.
const PAUSE: Duration = Duration::from_millis(60);
/// Time for a prompt; long enough for another generation to begin meanwhile.
const READING: Duration = Duration::from_millis(300);

fn id(request: &Message) -> &str {
    request.header("request-id").unwrap_or_default()
}

fn writer(name: &str) -> Replica {
    Replica::start(name, |request| {
        Act::Send([stream_head(request), events(1, 5), chunk(b"")].concat())
    })
}

/// The reservations that requests came with, in order.
fn reservations(decode: &Replica) -> Vec<String> {
    let seen = decode.seen().into_iter();
    seen.filter_map(|request| request.header("kv-hold").map(str::to_owned))
        .collect()
}

#[test]
fn each_generation_has_a_reservation_of_its_own_where_reservations_are_answered_twice() {
    let prefill = Replica::start("i-p", |request| {
        let told = json!({"kv-handle": format!("k-{}", id(request)), "tokens": 1460, "version": 1});
        let headers = [("request-id", id(request))];
        let told = answer(200, &headers, told.to_string().as_bytes());
        Act::Slowly(vec![told], READING)
    });
    let decode = writer("i-d");
    let reserved = Arc::new(AtomicUsize::new(0));
    let own_reserved = Arc::clone(&reserved);
    decode.answer_twice_if(move |request| {
        let twice = request.path() == "/api/hold-take";
        own_reserved.fetch_add(usize::from(twice), Ordering::SeqCst);
        twice
    });
    let site = Site::staged("reserved-twice", &prefill, &[&decode]);
    let mut callers = Vec::new();
    for number in 1..=3 {
        callers.push(generate(&site.daemon, "/draft/1", &format!("a{number}")));
        until("it has a reservation", || {
            reserved.load(Ordering::SeqCst) == number
        });
    }
    for mut caller in callers {
        caller.read();
    }
    let used = reservations(&decode);
    let distinct: HashSet<_> = used.iter().collect();
    assert!(!used.is_empty());
    assert_eq!(distinct.len(), used.len(), "{used:?}");
}

/// The connection of a stream that was answered twice is kept; a reservation on it got the stream, and a replica that
/// had room was passed over as silent. The second answer costs the stream that is sent next on it, and no other; a
/// stream that may run once would be lost with it, and is sent on a connection of its own.
#[rstest]
#[case("resumed-then-reserve", "/resume/1", 1)]
#[case("draft-then-reserve", "/draft/1", 0)]
fn a_reservation_is_not_answered_by_a_stream_where_streams_are_answered_twice(
    #[case] name: &str,
    #[case] path: &'static str,
    #[case] lost: usize,
) {
    let decode = writer("i-d");
    decode.answer_twice_if(move |request| request.path() == path);
    let site = Site::start(name, &[(&decode, "llm", "decode")]);
    let is_lost = |number: &usize| {
        let told = generate(&site.daemon, path, &format!("a{number}")).read();
        !told.whole || told.status() != 200
    };
    assert_eq!((0..GENERATIONS).filter(is_lost).count(), lost);
    assert!(site.daemon.logged("a replica did not answer").is_empty());
}

/// A second answer to a reservation met the generation that went on with its connection.
#[test]
fn no_generation_is_lost_where_reservations_are_answered_twice() {
    let decode = writer("i-d");
    decode.answer_twice_if(|request| request.path() == "/api/hold-take");
    let site = Site::start("reserve-then-stream", &[(&decode, "llm", "decode")]);
    for number in 0..GENERATIONS {
        let told = generate(&site.daemon, "/draft/1", &format!("a{number}")).read();
        assert!(told.whole && told.status() == 200, "{}", told.line);
    }
}

/// Each reservation needs a connection of its own, and so does a stream that may run once; the others share one.
#[rstest]
#[case("connections", "/resume/1", GENERATIONS + 1)]
#[case("new-connections", "/draft/1", 2 * GENERATIONS)]
fn generations_open_few_connections(
    #[case] name: &str,
    #[case] path: &str,
    #[case] connections: usize,
) {
    let decode = writer("i-d");
    let site = Site::start(name, &[(&decode, "llm", "decode")]);
    for number in 0..GENERATIONS {
        let told = generate(&site.daemon, path, &format!("a{number}")).read();
        assert!(told.whole && told.status() == 200, "{}", told.line);
    }
    assert_eq!(decode.connections(), connections);
}

/// The replica closes the connection of a reservation soon, and a request that met the close would be lost.
#[test]
fn a_generation_does_not_go_on_with_a_connection_that_is_about_to_close() {
    let prefill = Replica::start("i-p", |request| {
        let headers = [("request-id", id(request))];
        let told = answer(
            200,
            &headers,
            br#"{"kv-handle":"k1","tokens":1460,"version":1}"#,
        );
        // Longer than six tenths of a second.
        Act::Slowly(vec![told], 2 * READING + PAUSE)
    });
    let decode = writer("i-d");
    decode.set_calls(|request| {
        let reserves = request.path() == "/api/hold-take";
        reserves.then(|| answer(200, &[("keep-alive", "timeout=1")], br#"{"hold":"h1"}"#))
    });
    let site = Site::staged("closes-soon", &prefill, &[&decode]);
    let told = generate(&site.daemon, "/draft/1", "a1").read();
    assert!(told.whole && told.status() == 200, "{}", told.line);
    assert_eq!(decode.connections(), 2);
}

/// The parts of a stream that goes on after the event `after`.
fn parts(request: &Message) -> Vec<Vec<u8>> {
    let last = request.header("last-event-id");
    let after: u64 = last.map_or(0, |last| last.parse().unwrap());
    let mut parts = vec![stream_head(request)];
    parts.extend((after + 1..=EVENTS).map(|id| events(id, id)));
    parts.push(chunk(b""));
    parts
}

/// Makes events until it is asked to move a run, whose memory it names after the request.
fn source() -> Replica {
    let stops: Arc<Mutex<HashMap<String, Arc<AtomicBool>>>> = Arc::default();
    Replica::start("i-1", move |request| match request.path() {
        "/api/kv-move" => {
            let asked: Value = serde_json::from_slice(&request.body).unwrap();
            let id = asked["id"].as_str().unwrap();
            if let Some(stop) = stops.lock().unwrap().get(id) {
                stop.store(true, Ordering::SeqCst);
            }
            let told = json!({"kv-handle": format!("m-{id}"), "created": 5});
            Act::Send(answer(200, &[], told.to_string().as_bytes()))
        }
        path if path.starts_with("/api/") => Act::Send(answer(200, &[], b"{}")),
        _ => {
            let stop = Arc::new(AtomicBool::new(false));
            let id = id(request).to_owned();
            stops.lock().unwrap().insert(id, Arc::clone(&stop));
            Act::UntilStopped(parts(request), PAUSE, stop)
        }
    })
}

/// Four generations at `source`, which holds their prompts and about half of what they make.
fn four_runs(site: &Site, source: &Replica) -> Vec<Caller> {
    let mut small = config(2);
    let engine = &mut small["services"][1]["engine"];
    engine["kv-tokens"] = 12_000.into();
    engine["moves"] = true.into();
    engine["stride"] = 70.into();
    site.store.put("op", "config", &small);
    until("the plan is in force", || {
        let plans = site.daemon.logged("\"kind\":\"plan\"");
        plans.iter().any(|line| line.contains("\"version\":2"))
    });
    let begun = |count| source.seen().len() == count;
    let ids = 1..=4;
    ids.map(|number| {
        let caller = generate(&site.daemon, "/draft/1", &format!("a{number}"));
        until("it runs", || begun(number));
        caller
    })
    .collect()
}

#[test]
fn a_run_goes_on_from_its_own_memory_where_moves_are_answered_twice() {
    let source = source();
    source.answer_twice_if(|request| request.path() == "/api/kv-move");
    let target = Replica::start("i-2", |request| Act::Slowly(parts(request), PAUSE));
    let site = Site::start("moved-twice", &[(&source, "llm", "decode")]);
    let callers = four_runs(&site, &source);
    site.store
        .put("servers", &target.id, &target.row("llm", "decode"));
    for mut caller in callers {
        assert!(caller.read().whole);
    }
    let moved: Vec<(String, String)> = target.seen().iter().filter_map(memory).collect();
    assert!(moved.len() > 1, "{moved:?}");
    for (id, handle) in moved {
        assert_eq!(handle, format!("m-{id}"));
    }
}

/// The request, and the name of the memory that it goes on from.
fn memory(request: &Message) -> Option<(String, String)> {
    let (_, handle) = request.header("kv-source")?.rsplit_once('/')?;
    Some((id(request).to_owned(), handle.to_owned()))
}

/// The replica that answers a report as `aimed`: another one's name is refused.
fn report(request: &Message, aimed: &str) -> Option<Vec<u8>> {
    if request.path() != "/api/report" {
        return None;
    }
    Some(match request.header("expect-instance") {
        Some(meant) if meant == aimed => answer(200, &[], br#"{"busy":false,"seq":0}"#),
        _ => answer(421, &[], b""),
    })
}

/// A report told of the second replica at an address what had been asked about the first one, and the other way round:
/// requests were quarantined for the ends of replicas that were there, and ends were overlooked.
#[rstest]
#[case::is_there("i-2", "Here")]
#[case::is_gone("i-1", "Ended")]
fn what_a_report_tells_is_of_the_replica_that_was_asked_about(
    #[case] second: &str,
    #[case] presence: &str,
) {
    let replica = Replica::start("i-1", |_| Act::SendAndClose(Vec::new()));
    let gone = Arc::new(AtomicBool::new(second == "i-2"));
    let own_gone = Arc::clone(&gone);
    replica.set_calls(move |request| {
        let there = if own_gone.load(Ordering::SeqCst) {
            "i-2"
        } else {
            "i-1"
        };
        report(request, there)
    });
    replica.answer_twice_if(|request| request.path() == "/api/report");
    let site = Site::start(&format!("reported-{second}"), &[(&replica, "app", "")]);
    let verdicts = || site.daemon.logged("a replica was lost while at work");
    assert_eq!(lose(&site, "c1"), 502);
    until("the first one is asked about", || verdicts().len() == 1);
    gone.store(true, Ordering::SeqCst);
    if second == "i-2" {
        site.store.remove("servers", "i-1");
        site.store.put("servers", "i-2", &replica.row("app", ""));
        until("the second one is listed", || {
            !site.daemon.logged("\"replica\":\"i-2\"").is_empty()
        });
    }
    assert_eq!(lose(&site, "c2"), 502);
    until("the second one is asked about", || verdicts().len() == 2);
    assert!(
        verdicts()[1].contains(&format!("\"presence\":\"{presence}\"")),
        "{:?}",
        verdicts()
    );
}

/// Sends a call whose replica breaks off, and gives the status that its caller sees.
fn lose(site: &Site, id: &str) -> u16 {
    let mut caller = site.daemon.caller();
    let told = caller.ask(&format!("POST /book/{id}"), &headers(id), b"");
    told.status()
}

/// Statuses with which engines answer orders, one after another.
const STATUSES: [u16; 4] = [202, 409, 200, 412];

/// An engine that notes how it answered each order.
fn engine(name: &str) -> (Replica, Arc<Mutex<Vec<u16>>>) {
    let given: Arc<Mutex<Vec<u16>>> = Arc::default();
    let own_given = Arc::clone(&given);
    let engine = Replica::start(name, move |_| {
        let mut given = own_given.lock().unwrap();
        let status = STATUSES[given.len() % STATUSES.len()];
        given.push(status);
        Act::Send(answer(status, &[], b""))
    });
    (engine, given)
}

/// The statuses of orders to `engine` in the log of the daemon.
fn logged_orders(site: &Site, engine: &str) -> Vec<u16> {
    let lines = site.daemon.logged("ordered a change of stage");
    let lines = lines.iter().map(|line| {
        let line: Value = serde_json::from_str(line).unwrap();
        (line["replica"] == engine, line["status"].as_u64().unwrap())
    });
    lines
        .filter(|(own, _)| *own)
        .map(|(_, status)| status as u16)
        .collect()
}

/// An engine that always carries out an order of somebody else's.
fn busy(name: &str) -> Replica {
    let engine = writer(name);
    engine.set_calls(|request| {
        let asked = request.path() == "/api/report";
        asked.then(|| answer(200, &[], br#"{"busy":true,"seq":0}"#))
    });
    engine
}

/// The second answer to a report was taken for the one to the order after it: an order that was refused counted as
/// carried out. That to an order was taken for the next report.
#[rstest]
#[case::reports("/api/report")]
#[case::orders("/api/order")]
fn an_order_has_its_own_answer_where_calls_are_answered_twice(#[case] path: &'static str) {
    let (engine, given) = engine("i-0");
    engine.answer_twice_if(move |request| request.path() == path);
    let others = ["i-1", "i-2", "i-3"].map(busy);
    let engines = others.iter().chain([&engine]);
    let listed: Vec<_> = engines.map(|engine| (engine, "llm", "prefill")).collect();
    let site = Site::start(&format!("ordered{}", path.replace('/', "-")), &listed);
    let mut quick = config(2);
    quick["services"][1]["engine"]["stage-switch-s"] = 0.1.into();
    site.store.put("op", "config", &quick);
    site.change_settings("grace_s: 8", "grace_s: 8\nprefill_share: 0.1");
    until("several orders are given", || {
        given.lock().unwrap().len() >= 3
    });
    let logged = logged_orders(&site, &engine.id);
    let given = given.lock().unwrap().clone();
    assert!(logged.len() > 1);
    assert!(
        given.starts_with(&logged),
        "{given:?}, in the log {logged:?}"
    );
    let unread = site.daemon.logged("an engine did not report its state");
    assert!(unread.is_empty(), "{unread:?}");
}
