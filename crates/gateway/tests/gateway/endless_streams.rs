//! Guards against streams that are kept alive by bytes that are no event: a replica may send such bytes without end.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::event_texts;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::start_generation;

/// Events of a complete answer.
const EVENT_COUNT: u64 = 5;
/// Deadline of the request, plus the half second after which an answer counts as late.
const LATEST_END: Duration = Duration::from_millis(4_500);
/// Most bytes that a caller may get beyond the events.
const MAX_EXTRA_BYTES: usize = 1024 * 1024;

/// A replica that sends `repeated` without end after three events, with `pause_ms` after each time.
fn start_endless(id: &str, repeated: &[u8], pause_ms: u64) -> Replica {
    let repeated = chunk(repeated);
    Replica::start(id, move |request| match request.header("last-event-id") {
        Some(last) => Action::Send(rest(request, last.parse().unwrap())),
        None => Action::SendWithoutEnd(
            [stream_head(request), events(1, 3)].concat(),
            repeated.clone(),
            Duration::from_millis(pause_ms),
        ),
    })
}

fn rest(request: &Message, last: u64) -> Vec<u8> {
    [
        stream_head(request),
        events(last + 1, EVENT_COUNT),
        chunk(b""),
    ]
    .concat()
}

/// The events in `body`.
fn only_events(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let blocks = text.split_inclusive("\n\n");
    blocks.filter(|block| block.contains("data:")).collect()
}

#[rstest]
#[case::a_line(b"x", 0)]
#[case::a_slow_line(b"x", 20)]
#[case::comments(b": c\n\n", 0)]
#[case::slow_comments(b": c\n\n", 20)]
#[case::fields(b"data: t\n", 0)]
#[case::slow_fields(b"data: t\n", 20)]
#[case::unknown_fields(b"x\n\n", 0)]
#[case::slow_unknown_fields(b"x\n\n", 20)]
#[case::ids_alone(b"id: 9\n\n", 0)]
fn a_stream_continues_elsewhere_after_bytes_that_are_no_event(
    #[case] repeated: &[u8],
    #[case] pause_ms: u64,
) {
    let endless = start_endless("i-1", repeated, pause_ms);
    let site = Site::start("endless", &[(&endless, "llm", "decode")]);
    let mut caller = start_generation(&site.daemon, "/resume/1", "a1");
    wait_until("the run starts", || !endless.requests().is_empty());
    let other = Replica::start("i-2", |request| {
        let last = request.header("last-event-id").unwrap_or("0");
        Action::Send(rest(request, last.parse().unwrap()))
    });
    let row = other.row("llm", "decode");
    site.store.put("servers", &other.id, &row);
    let response = caller.read();
    assert!(response.complete);
    assert_eq!(only_events(&response.body), event_texts(1, EVENT_COUNT));
    assert!(response.body.len() < MAX_EXTRA_BYTES);
    wait_until("the endless stream is closed", || {
        endless.abandoned_count() == 1
    });
}

#[rstest]
#[case::a_line(b"x", 0)]
#[case::comments(b": c\n\n", 0)]
#[case::slow_comments(b": c\n\n", 20)]
#[case::fields(b"data: t\n", 0)]
fn a_stream_that_may_run_once_is_cut(#[case] repeated: &[u8], #[case] pause_ms: u64) {
    let endless = start_endless("i-1", repeated, pause_ms);
    let site = Site::start("endless-once", &[(&endless, "llm", "decode")]);
    let sent = Instant::now();
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    let took = sent.elapsed();
    assert_eq!((response.status(), response.complete), (200, false));
    assert!(took < LATEST_END, "{took:?}");
    assert!(response.body.len() < MAX_EXTRA_BYTES);
    wait_until("the endless stream is closed", || {
        endless.abandoned_count() == 1
    });
}

/// Events without end are an answer, but only up to the deadline.
#[test]
fn a_stream_of_events_without_end_is_cut_at_its_deadline() {
    let endless = start_endless("i-1", b"id: 9\ndata: t\n\n", 0);
    let site = Site::start("endless-events", &[(&endless, "llm", "decode")]);
    let sent = Instant::now();
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    let took = sent.elapsed();
    assert_eq!((response.status(), response.complete), (200, false));
    assert!(took < LATEST_END, "{took:?}");
}

/// A sound replica may be silent while it has preempted a run, and send comments meanwhile.
#[test]
fn a_stream_stays_at_a_replica_that_sends_comments_for_a_second() {
    let pausing = Replica::start("i-1", |request| {
        let first = [stream_head(request), events(1, 2)].concat();
        let last = [events(3, EVENT_COUNT), chunk(b"")].concat();
        let comments = vec![chunk(b": c\n\n"); 9];
        let parts = [vec![first], comments, vec![last]].concat();
        Action::SendSlowly(parts, Duration::from_millis(120))
    });
    let other = Replica::start("i-2", |request| Action::Send(rest(request, 2)));
    let site = Site::start("comments", &[(&pausing, "llm", "decode")]);
    let mut caller = start_generation(&site.daemon, "/resume/1", "a1");
    wait_until("the run starts", || !pausing.requests().is_empty());
    let row = other.row("llm", "decode");
    site.store.put("servers", &other.id, &row);
    let response = caller.read();
    assert!(response.complete);
    assert_eq!(only_events(&response.body), event_texts(1, EVENT_COUNT));
    assert_eq!(other.requests().len(), 0);
}
