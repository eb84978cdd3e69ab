//! Guards against taking the second answer to a request for the answer to the next one on the same connection. A prefill
//! replica answers some requests twice, the second time when the answer to the next prefill is due. Unless the request id
//! in its answers is checked, each generation from then on uses the KV cache of the one before it, and all look answered.
//! With one answer in ten doubled, three daemons continued a generation from the KV cache of another request 159 times
//! in 20 runs of five seconds, at least once in each run; no plain call got the answer to another one.
//! The log line `read` shows the fault by a `cache` that the line before names too, with `exchanges_before` above 0.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::start_generation;

/// Longer than the time for which a replica that answered twice gets a new connection for each request.
const TRUST_RESTORED_AFTER: Duration = Duration::from_millis(10_500);

/// Number of repetitions of the request id in a body that exceeds the buffers of a connection.
const BODY_IDS: usize = 100_000;
/// Time from second answers to the answer that is due.
const OWN_ANSWER_DELAY: Duration = Duration::from_millis(50);

fn id(request: &Message) -> &str {
    request.header("request-id").unwrap_or_default()
}

/// Starts a prefill replica that names each KV cache after the request.
fn start_prefill() -> Replica {
    Replica::start("i-p", |request| {
        let body = json!({"kv-handle": format!("k-{}", id(request)), "tokens": 1460, "version": 1});
        let headers = [
            ("request-id", id(request)),
            ("content-type", "application/json"),
        ];
        Action::Send(answer(200, &headers, body.to_string().as_bytes()))
    })
}

fn start_decode(name: &str) -> Replica {
    Replica::start(name, |request| {
        Action::Send([stream_head(request), events(1, 5), chunk(b"")].concat())
    })
}

/// Requests that a decode replica received, each with the KV cache that it continues from, if any.
fn kv_sources(decode: &Replica) -> Vec<(String, Option<String>)> {
    let received = decode.requests().into_iter();
    let source = |request: &Message| {
        let (_, handle) = request.header("kv-source")?.rsplit_once('/')?;
        Some(handle.to_owned())
    };
    received
        .map(|request| (id(&request).to_owned(), source(&request)))
        .collect()
}

#[test]
fn a_generation_uses_its_own_kv_cache_where_prefills_are_answered_twice() {
    let prefill = start_prefill();
    prefill.answer_twice_if(|_| true);
    let decode = start_decode("i-d");
    let site = Site::start_with_prefill("read-twice", &prefill, &[&decode]);
    for number in 0..6 {
        let response = start_generation(&site.daemon, "/resume/1", &format!("a{number}")).read();
        assert!(
            response.complete && response.status() == 200,
            "{}",
            response.line
        );
    }
    assert!(prefill.second_answer_count() > 0);
    for (id, source) in kv_sources(&decode) {
        assert!(
            source
                .as_ref()
                .is_none_or(|handle| *handle == format!("k-{id}")),
            "{id} continued from {source:?}"
        );
    }
}

/// Starts an application that answers with the request id as the body, and in a header if `names_request`.
fn start_application(names_request: bool) -> Replica {
    Replica::start("i-a", move |request| {
        let headers = [("request-id", id(request)), ("response-seal", "s.1")];
        let headers = if names_request {
            &headers[..]
        } else {
            &headers[1..]
        };
        Action::Send(answer(200, headers, id(request).as_bytes()))
    })
}

/// Sends calls one after another; returns those that got the answer to another call.
fn foreign_answers(site: &Site) -> Vec<(String, String)> {
    let asked = (0..6).map(|number| {
        let id = format!("a{number}");
        let response = site.send_and_read("GET /read/1", &id);
        let body = String::from_utf8_lossy(&response.body).into_owned();
        (id, response.status(), body)
    });
    let answered = asked.filter(|(id, status, body)| *status == 200 && id != body);
    answered.map(|(id, _, body)| (id, body)).collect()
}

#[test]
fn a_call_gets_its_own_answer_where_calls_are_answered_twice() {
    let replica = start_application(true);
    replica.answer_twice_if(|_| true);
    let site = Site::start("called-twice", &[(&replica, "app", "")]);
    assert_eq!(foreign_answers(&site), []);
    assert!(replica.second_answer_count() > 0);
}

/// On a connection that carried other requests, an answer without an id may be the second answer to any of them.
#[test]
fn a_call_gets_its_own_answer_where_answers_name_no_request() {
    let replica = start_application(false);
    replica.answer_twice_if(|_| true);
    let site = Site::start("unnamed", &[(&replica, "app", "")]);
    assert_eq!(foreign_answers(&site), []);
    assert_eq!(site.send_and_read("GET /read/1", "last").status(), 200);
}

#[test]
fn a_stream_has_its_own_events_where_streams_are_answered_twice() {
    let decode = Replica::start("i-d", |request| {
        let event = chunk(format!("id: 1\ndata: {}\n\n", id(request)).as_bytes());
        Action::Send([stream_head(request), event, chunk(b"")].concat())
    });
    decode.answer_twice_if(|request| request.path() == "/resume/1");
    let site = Site::start("streamed-twice", &[(&decode, "llm", "decode")]);
    for number in 0..6 {
        let id = format!("a{number}");
        let response = start_generation(&site.daemon, "/resume/1", &id).read();
        let body = String::from_utf8_lossy(&response.body).into_owned();
        assert!(
            response.status() != 200 || body == format!("id: 1\ndata: {id}\n\n"),
            "{body}"
        );
    }
    assert!(decode.second_answer_count() > 0);
}

/// The answer to the next request on the connection of a second answer is read after it; after that, the replica gets new
/// connections.
#[test]
fn a_replica_that_answers_twice_costs_no_request() {
    let replica = start_application(true);
    replica.answer_twice_if(|_| true);
    let site = Site::start("stutter", &[(&replica, "app", "")]);
    let status = |number: usize| {
        site.send_and_read("GET /read/1", &format!("a{number}"))
            .status()
    };
    let lost = (0..12).filter(|number| status(*number) != 200).count();
    assert_eq!((lost, replica.second_answer_count()), (0, 1));
    let metrics = site.daemon.metrics();
    assert!(
        metrics.contains("waxwing_gateway_foreign_answers_total 1"),
        "{metrics}"
    );
}

/// Guards against losing the answer to a request behind late second answers to earlier requests on its connection.
#[rstest]
#[case::one("skip-one", 1)]
#[case::two("skip-two", 2)]
#[case::three("skip-three", 3)]
fn a_call_gets_its_own_answer_after_several_second_answers(
    #[case] name: &str,
    #[case] count: usize,
) {
    let answers = Mutex::new(Vec::new());
    let replica = Replica::start("i-a", move |request| {
        let headers = [("request-id", id(request)), ("response-seal", "s.1")];
        let own = answer(200, &headers, id(request).repeat(BODY_IDS).as_bytes());
        let mut earlier = answers.lock().unwrap();
        if earlier.len() == count {
            return Action::SendSlowly(vec![earlier.concat(), own], OWN_ANSWER_DELAY);
        }
        earlier.push(own.clone());
        Action::Send(own)
    });
    let site = Site::start(name, &[(&replica, "app", "")]);
    for number in 0..=count {
        let id = format!("a{number}");
        let response = site.send_and_read("GET /read/1", &id);
        assert!(response.complete, "{}", response.line);
        assert_eq!(response.body, id.repeat(BODY_IDS).as_bytes());
    }
    assert_eq!(replica.connection_count(), 1);
    assert_eq!(replica.requests().len(), count + 1);
}

/// Guards against counting a request as not sent that may have run.
#[rstest]
#[case::nothing("cut-after", b"")]
#[case::no_answer("garbage-after", b"garbage\r\n\r\n")]
fn a_call_without_an_answer_after_a_second_answer_is_lost(
    #[case] name: &str,
    #[case] rest: &'static [u8],
) {
    let replica = Replica::start("i-a", move |request| {
        let headers = [("request-id", "a0"), ("response-seal", "s.1")];
        let first = answer(200, &headers, b"x");
        match id(request) {
            "a1" => Action::SendAndClose([&first, rest].concat()),
            _ => Action::Send(first),
        }
    });
    let site = Site::start(name, &[(&replica, "app", "")]);
    assert_eq!(site.send_and_read("GET /read/1", "a0").status(), 200);
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 502);
    let metrics = site.daemon.metrics();
    let lost = "waxwing_gateway_sends_total{outcome=\"lost\"} 1";
    assert!(metrics.contains(lost), "{metrics}");
}

/// An id that no request on the connection had does not announce a further answer.
#[test]
fn a_call_with_an_answer_that_names_an_unknown_request_fails_at_once() {
    let replica = Replica::start("i-a", |request| {
        let named = if id(request) == "a1" {
            "x1"
        } else {
            id(request)
        };
        let headers = [("request-id", named), ("response-seal", "s.1")];
        Action::Send(answer(200, &headers, b"x"))
    });
    let site = Site::start("unknown", &[(&replica, "app", "")]);
    assert_eq!(site.send_and_read("GET /read/1", "a0").status(), 200);
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 502);
    assert_eq!(site.send_and_read("GET /read/1", "a2").status(), 200);
}

/// A request is prefilled twice when its stream is cut and resumed elsewhere. Both prefills have the same request id, so
/// the id does not distinguish the second answer to the first prefill from the answer to the second prefill. The resumed
/// stream must not continue from a KV cache that was already used: its name may belong to another request by then, and the
/// new KV cache would never be used.
#[test]
fn a_resumed_stream_does_not_reuse_a_kv_cache() {
    let reads = AtomicUsize::new(0);
    let prefill = Replica::start("i-p", move |request| {
        let read = reads.fetch_add(1, Ordering::SeqCst) + 1;
        let body = json!({"kv-handle": format!("k{read}"), "tokens": 1460, "version": 1});
        let headers = [("request-id", id(request))];
        Action::Send(answer(200, &headers, body.to_string().as_bytes()))
    });
    prefill.answer_twice_if(|_| true);
    let script = |request: &Message| match request.header("last-event-id") {
        Some("2") => Action::Send([stream_head(request), events(3, 5), chunk(b"")].concat()),
        _ => Action::SendAndClose([stream_head(request), events(1, 2)].concat()),
    };
    let one = Replica::start("i-1", script);
    let two = Replica::start("i-2", script);
    let site = Site::start_with_prefill("resumed-read-twice", &prefill, &[&one, &two]);
    start_generation(&site.daemon, "/resume/1", "a1").read();
    let used: Vec<_> = [&one, &two].into_iter().flat_map(kv_sources).collect();
    assert_eq!(used.len(), 2, "{used:?}");
    let distinct: HashSet<_> = used
        .iter()
        .filter_map(|(_, source)| source.as_ref())
        .collect();
    let from_caches = used.iter().filter(|(_, source)| source.is_some()).count();
    assert_eq!(distinct.len(), from_caches, "{used:?}");
}

/// Both answers arrive at once, or the second one arrives in two parts: the first part together with the first answer, the
/// rest later, while the connection is idle or the next answer is due.
#[rstest]
#[case::whole("at-once", 1.0)]
#[case::cut_in_the_head("cut-in-head", 0.3)]
#[case::cut_in_the_body("cut-in-body", 0.97)]
fn a_call_gets_its_own_answer_where_second_answers_come_early(
    #[case] name: &str,
    #[case] part: f64,
) {
    let replica = Replica::start("i-a", move |request| {
        let headers = [("request-id", id(request)), ("response-seal", "s.1")];
        let bytes = answer(200, &headers, id(request).as_bytes());
        let (first, rest) = bytes.split_at((bytes.len() as f64 * part) as usize);
        let at_once = [&bytes, first].concat();
        Action::SendSlowly(vec![at_once, rest.to_vec()], Duration::from_millis(3))
    });
    let site = Site::start(&format!("early-{name}"), &[(&replica, "app", "")]);
    let mut lost = 0;
    for number in 0..40 {
        let id = format!("a{number}");
        let response = site.send_and_read("GET /read/1", &id);
        let body = String::from_utf8_lossy(&response.body).into_owned();
        assert!(response.status() != 200 || body == id, "{id}: {body}");
        lost += usize::from(response.status() != 200);
    }
    assert!(lost < 5, "{lost} of 40 were lost");
}

/// An answer without a request id on a used connection may be the second answer to the request before.
#[test]
fn a_call_does_not_get_an_unnamed_answer_on_a_connection_that_was_used() {
    let replica = Replica::start("i-a", |request| {
        let headers = [("request-id", id(request)), ("response-seal", "s.1")];
        let headers = if id(request) == "a0" {
            &headers[..]
        } else {
            &headers[1..]
        };
        Action::Send(answer(200, headers, id(request).as_bytes()))
    });
    let site = Site::start("unnamed-later", &[(&replica, "app", "")]);
    assert_eq!(site.send_and_read("GET /read/1", "a0").status(), 200);
    assert_ne!(site.send_and_read("GET /read/1", "a1").status(), 200);
    assert_eq!(site.send_and_read("GET /read/1", "a2").status(), 200);
}

/// After a second answer each connection carries only one exchange for some time, and several again after that.
#[test]
fn a_replica_that_answered_twice_once_is_trusted_again() {
    let replica = start_application(true);
    replica.answer_twice_if(|request| id(request) == "a0");
    let site = Site::start("stutter-ends", &[(&replica, "app", "")]);
    for number in 0..4 {
        site.send_and_read("GET /read/1", &format!("a{number}"));
    }
    assert_eq!(replica.connection_count(), 3);
    assert_eq!(replica.second_answer_count(), 1);
    thread::sleep(TRUST_RESTORED_AFTER);
    for number in 4..8 {
        let response = site.send_and_read("GET /read/1", &format!("a{number}"));
        assert_eq!(response.status(), 200);
    }
    assert_eq!(replica.connection_count(), 4);
}

/// Guards against forwarding the second answer to an earlier request as the end of an answer that has no length: it
/// comes before the connection ends, where more of the body may come.
#[test]
fn an_answer_without_a_length_is_not_taken_from_a_connection_with_earlier_requests() {
    let is_done = Arc::new(AtomicBool::new(false));
    let start = |name: &str| {
        let is_done = Arc::clone(&is_done);
        let previous = Mutex::new(None::<String>);
        Replica::start(name, move |request| {
            let earlier = previous.lock().unwrap().replace(id(request).to_owned());
            match earlier {
                Some(earlier) if !is_done.swap(true, Ordering::SeqCst) => {
                    let seal = "response-seal: s.1\r\n";
                    let own = id(request);
                    let unframed =
                        format!("HTTP/1.1 200 X\r\nrequest-id: {own}\r\n{seal}\r\n{own}");
                    let headers = [("request-id", earlier.as_str()), ("response-seal", "s.1")];
                    let second = answer(200, &headers, earlier.as_bytes());
                    Action::SendAndClose([unframed.into_bytes(), second].concat())
                }
                _ => Action::Send(signed_answer(request, 200, id(request).as_bytes())),
            }
        })
    };
    let (one, other) = (start("i-1"), start("i-2"));
    let replicas = [(&one, "app", ""), (&other, "app", "")];
    let site = Site::start("second-behind-unframed", &replicas);
    for number in 0..6 {
        let request = format!("a{number}");
        let response = site.send_and_read("GET /read/1", &request);
        let body = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!((response.status(), body), (200, request));
    }
    assert!(is_done.load(Ordering::SeqCst));
}
