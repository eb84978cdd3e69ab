//! Guards against ending an answer because its replica is silent for a moment: a sound one may be, and goes on.

use std::time::Duration;

use rstest::rstest;
use serde_json::Value;

use crate::common::daemon::wait_until;
use crate::common::gate::Cut;
use crate::common::gate::Gate;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::event_texts;
use crate::common::replica::events;
use crate::common::replica::not_run_answer;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::config;
use crate::site::start_generation;

/// Events of a complete answer.
const EVENT_COUNT: u64 = 5;

/// A replica that pauses before each half of the answer, and does or does not answer reports. Resumed
/// streams have no pause.
fn start_pausing(id: &str, pause: Duration, reports: bool) -> Replica {
    let replica = Replica::start(id, move |request| match request.header("last-event-id") {
        Some(last) => Action::Send(rest(request, last.parse().unwrap())),
        None => Action::SendSlowly(
            vec![
                [stream_head(request), events(1, 2)].concat(),
                [events(3, EVENT_COUNT), chunk(b"")].concat(),
            ],
            pause,
        ),
    });
    replica.answer_reports_if(move || reports);
    replica
}

fn rest(request: &Message, last: u64) -> Vec<u8> {
    [
        stream_head(request),
        events(last + 1, EVENT_COUNT),
        chunk(b""),
    ]
    .concat()
}

/// Checks that a resumable stream which begins at `pausing` is whole, with `other` in place during the pause.
fn assert_whole(name: &str, pausing: &Replica, other: &Replica) {
    assert_whole_with_plan(name, &config(1), pausing, other);
}

/// The same with `plan`.
fn assert_whole_with_plan(name: &str, plan: &Value, pausing: &Replica, other: &Replica) {
    let site = Site::start_with_plan(name, plan, &[(pausing, "llm", "decode")]);
    let mut caller = start_generation(&site.daemon, "/resume/1", "a1");
    wait_until("the run starts", || !pausing.requests().is_empty());
    let row = other.row("llm", "decode");
    site.store.put("servers", &other.id, &row);
    let response = caller.read();
    let body = String::from_utf8_lossy(&response.body);
    assert_eq!(
        (response.complete, body),
        (true, event_texts(1, EVENT_COUNT).into())
    );
}

#[rstest]
#[case::that_answers_probes(1_900, true)]
#[case::that_answers_nothing(1_800, false)]
fn a_stream_stays_at_a_silent_replica_if_no_other_takes_it(
    #[case] pause_ms: u64,
    #[case] reports: bool,
) {
    let pausing = start_pausing("i-1", Duration::from_millis(pause_ms), reports);
    let other = Replica::start("i-2", |request| Action::Send(not_run_answer(request)));
    assert_whole(&format!("silent-{pause_ms}"), &pausing, &other);
    assert!(!other.requests().is_empty());
}

/// The silent replica is the last one that may run the stream.
#[test]
fn a_stream_stays_at_a_silent_replica_if_no_other_may_run_it() {
    let pausing = start_pausing("i-1", Duration::from_millis(1_800), false);
    let other = start_pausing("i-2", Duration::ZERO, true);
    let mut plan = config(1);
    plan["routes"][3]["max-attempts"] = 1.into();
    assert_whole_with_plan("silent-last", &plan, &pausing, &other);
    assert!(other.requests().is_empty());
}

/// The other replica would begin later than the silent one goes on.
#[test]
fn a_stream_stays_at_a_silent_replica_that_goes_on_first() {
    let pausing = start_pausing("i-1", Duration::from_millis(1_800), false);
    let other = Replica::start("i-2", |request| {
        Action::SendSlowly(vec![rest(request, 2)], Duration::from_millis(1_500))
    });
    assert_whole("silent-first", &pausing, &other);
    assert!(!other.requests().is_empty());
}

/// It accepts connections all the time. If the stream went on elsewhere, two replicas would work on it until the silent one
/// notices that its connection is closed.
#[test]
fn a_stream_is_not_run_twice_when_its_replica_is_silent_for_a_second() {
    let pausing = start_pausing("i-1", Duration::from_millis(1_200), false);
    let other = start_pausing("i-2", Duration::ZERO, true);
    assert_whole("silent-twice-run", &pausing, &other);
    assert_eq!(other.requests().len(), 0);
}

/// The same before the first event, on a route whose objective is short.
#[test]
fn a_stream_is_not_begun_twice_when_its_replica_is_silent_for_a_second() {
    let pausing = start_pausing("i-1", Duration::from_millis(1_200), false);
    let other = start_pausing("i-2", Duration::ZERO, true);
    let mut plan = config(1);
    plan["routes"][3]["slo-ms"] = 300.into();
    assert_whole_with_plan("silent-begin", &plan, &pausing, &other);
    assert_eq!(other.requests().len(), 0);
}

/// The other replica works on the stream and sends nothing until the silent one, which answers reports, has been left.
#[test]
fn a_silent_replica_is_left_while_another_one_works_on_its_stream() {
    let silent = Replica::start("i-1", |request| {
        Action::SendAndHang([stream_head(request), events(1, 2)].concat())
    });
    let left = silent.clone();
    let other = Replica::start("i-2", move |request| {
        wait_until("the silent replica is left", || left.abandoned_count() == 1);
        Action::Send(rest(request, 2))
    });
    assert_whole("silent-overlap", &silent, &other);
    assert_eq!(other.requests().len(), 1);
}

/// The silent replica has been left by the time the other one refuses.
#[test]
fn a_stream_that_is_refused_late_goes_on_at_a_third_replica() {
    let silent = Replica::start("i-1", |request| {
        Action::SendAndHang([stream_head(request), events(1, 2)].concat())
    });
    let left = silent.clone();
    let refusing = Replica::start("i-2", move |request| {
        wait_until("the silent replica is left", || left.abandoned_count() == 1);
        Action::Send(not_run_answer(request))
    });
    let third = Replica::start("i-3", |request| Action::Send(rest(request, 2)));
    let site = Site::start("silent-third", &[(&silent, "llm", "decode")]);
    let mut caller = start_generation(&site.daemon, "/resume/1", "a1");
    wait_until("the run starts", || !silent.requests().is_empty());
    let row = refusing.row("llm", "decode");
    site.store.put("servers", &refusing.id, &row);
    wait_until("the second replica is asked", || {
        !refusing.requests().is_empty()
    });
    site.store
        .put("servers", &third.id, &third.row("llm", "decode"));
    let response = caller.read();
    let body = String::from_utf8_lossy(&response.body);
    assert_eq!(
        (response.complete, body),
        (true, event_texts(1, EVENT_COUNT).into())
    );
}

/// No connection to the silent replica can be opened, which the log tells from one that does not answer.
#[test]
fn a_stream_goes_on_elsewhere_when_its_replica_cannot_be_reached() {
    let silent = Replica::start("i-1", |request| {
        Action::SendAndHang([stream_head(request), events(1, 2)].concat())
    });
    let other = start_pausing("i-2", Duration::ZERO, true);
    let gate = Gate::start(silent.address);
    let site = Site::start("silent-cut", &[]);
    let mut row = silent.row("llm", "decode");
    row["addr"] = gate.address.to_string().into();
    site.store.put("servers", &silent.id, &row);
    site.daemon.wait_until_ready();
    let mut caller = start_generation(&site.daemon, "/resume/1", "a1");
    wait_until("the stream has begun", || {
        !site.daemon.logged("the first event").is_empty()
    });
    gate.cut(Cut::Silent);
    site.store
        .put("servers", &other.id, &other.row("llm", "decode"));
    let response = caller.read();
    let body = String::from_utf8_lossy(&response.body);
    assert_eq!(
        (response.complete, body),
        (true, event_texts(1, EVENT_COUNT).into())
    );
    let silences = site.daemon.logged("\"kind\":\"silence\"");
    assert!(silences[0].contains("\"presence\":\"Unreachable\""));
}

#[test]
fn a_stream_goes_on_at_a_replica_that_begins_before_the_silent_one() {
    let pausing = start_pausing("i-1", Duration::from_millis(1_900), false);
    let other = start_pausing("i-2", Duration::ZERO, true);
    assert_whole("silent-second", &pausing, &other);
    assert_eq!(other.requests().len(), 1);
}

/// A run may be preempted more than once; each time, its replica gets the same time.
#[test]
fn a_stream_stays_at_a_replica_that_is_silent_twice() {
    let pausing = Replica::start("i-1", |request| {
        let first = [stream_head(request), events(1, 2)].concat();
        let parts = vec![
            first,
            events(3, 4),
            [events(5, EVENT_COUNT), chunk(b"")].concat(),
        ];
        Action::SendSlowly(parts, Duration::from_millis(1_100))
    });
    let other = Replica::start("i-2", |request| Action::Send(rest(request, 0)));
    assert_whole("silent-twice", &pausing, &other);
    assert_eq!(other.requests().len(), 0);
}

/// The other replica is about to answer when the silent one closes its connection.
#[test]
fn a_stream_that_is_being_resumed_survives_the_end_of_its_replica() {
    let pausing = Replica::start("i-1", |request| {
        let first = [stream_head(request), events(1, 2)].concat();
        Action::SendAndReset(first, Duration::from_millis(1_900))
    });
    let other = Replica::start("i-2", |request| {
        let last = request.header("last-event-id").unwrap_or("0");
        let answer = rest(request, last.parse().unwrap());
        Action::SendSlowly(vec![answer], Duration::from_millis(700))
    });
    assert_whole("reset-while-resumed", &pausing, &other);
    assert_eq!(other.requests().len(), 1);
}

/// A replica may run a request and lose its answer.
#[test]
fn a_stream_without_a_head_begins_elsewhere() {
    let silent = Replica::start("i-1", |_| Action::SendAndHang(Vec::new()));
    let other = Replica::start("i-2", |request| Action::Send(rest(request, 0)));
    assert_whole("no-head", &silent, &other);
    wait_until("the silent replica is given up", || {
        silent.abandoned_count() == 1
    });
}

/// No other replica has room.
#[test]
fn a_stream_whose_head_is_late_is_waited_for() {
    let late = Replica::start("i-1", |request| {
        Action::SendSlowly(vec![rest(request, 0)], Duration::from_secs(3))
    });
    let other = Replica::start("i-2", |request| Action::Send(not_run_answer(request)));
    other.set_call_handler(|request| {
        let is_reservation = request.path() == "/api/hold-take";
        is_reservation.then(|| answer(503, &[], b""))
    });
    assert_whole("late-head", &late, &other);
    assert_eq!(other.requests().len(), 0);
}
