//! Replicas that start again under their id while they are at work, and entries of other programs.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::generate;

const FIRST: u64 = 1_780_000_000_000;
const SECOND: u64 = FIRST + 700;
/// Well below the time that the routes of the tests allow, 4 s.
const SOON: Duration = Duration::from_secs(3);

fn row(replica: &Replica, service: &str, stage: &str, born: u64) -> Value {
    let mut row = replica.row(service, stage);
    row["born"] = born.into();
    row
}

/// Lists `replica` as started at `born`, and waits until that is believed and the daemon takes requests: it reads
/// the plan apart from the replicas, and until then it refuses them.
fn list(site: &Site, replica: &Replica, service: &str, stage: &str, born: u64) {
    let before = site.daemon.logged("a replica changed").len();
    let row = row(replica, service, stage, born);
    site.store.put("servers", &replica.id, &row);
    wait_until("it is believed", || {
        site.daemon.logged("a replica changed").len() > before
    });
    site.daemon.wait_until_ready();
}

fn begins_and_hangs(request: &Message) -> Action {
    Action::SendAndHang([stream_head(request), events(1, 2)].concat())
}

fn rest(request: &Message) -> Action {
    Action::Send([stream_head(request), events(3, 5), chunk(b"")].concat())
}

/// A replica that was cut off sends no end; without news of its start the caller would wait on.
#[test]
fn a_stream_whose_replica_started_again_ends_at_once() {
    let decode = Replica::start("i-d", begins_and_hangs);
    let site = Site::start("reborn-stream", &[]);
    list(&site, &decode, "llm", "decode", FIRST);
    let begun = Instant::now();
    let mut caller = generate(&site.daemon, "/draft/1", "a1");
    wait_until("it runs", || decode.requests().len() == 1);
    list(&site, &decode, "llm", "decode", SECOND);
    let response = caller.read();
    assert!(!response.complete);
    assert!(begun.elapsed() < SOON);
    assert_eq!(decode.requests().len(), 1);
}

#[test]
fn a_resumable_stream_goes_on_elsewhere_when_its_replica_started_again() {
    let script = |request: &Message| match request.header("last-event-id") {
        Some("2") => rest(request),
        _ => begins_and_hangs(request),
    };
    let one = Replica::start("i-1", script);
    let two = Replica::start("i-2", script);
    let site = Site::start("reborn-resume", &[]);
    list(&site, &one, "llm", "decode", FIRST);
    let begun = Instant::now();
    let mut caller = generate(&site.daemon, "/resume/1", "a1");
    wait_until("it runs", || one.requests().len() == 1);
    list(&site, &two, "llm", "decode", FIRST);
    list(&site, &one, "llm", "decode", SECOND);
    assert!(caller.read().complete);
    assert!(begun.elapsed() < SOON);
}

#[test]
fn a_call_whose_replica_started_again_is_answered_at_once() {
    let hangs = Replica::start("i-1", |_| Action::SendAndHang(Vec::new()));
    let site = Site::start("reborn-call", &[]);
    list(&site, &hangs, "app", "", FIRST);
    let begun = Instant::now();
    let mut caller = site.daemon.caller();
    caller.start_request("POST /book/1", &crate::site::headers("a1"), b"");
    wait_until("it arrives", || hangs.requests().len() == 1);
    list(&site, &hangs, "app", "", SECOND);
    // It may have run, so it is not sent again and not said not to have run.
    assert_eq!(caller.read().status(), 502);
    assert!(begun.elapsed() < SOON);
    assert_eq!(hangs.requests().len(), 1);
}

/// The replica answers the reservation before its new entry is listed.
#[test]
fn a_reservation_at_a_new_incarnation_is_used_at_that_one() {
    let decode = Replica::start("i-d", |request| {
        Action::Send([stream_head(request), events(1, 5), chunk(b"")].concat())
    });
    let site = Site::start("reborn-reserved", &[]);
    list(&site, &decode, "llm", "decode", FIRST);
    decode.set_start_time(SECOND);
    let response = generate(&site.daemon, "/draft/1", "a1").read();
    assert!(response.complete);
    assert_eq!(decode.requests().len(), 1);
    let restarted = || site.daemon.logged("Restarted").len();
    wait_until("its log line is read", || restarted() > 0);
    assert_eq!(restarted(), 1);
}

#[test]
fn an_old_entry_that_comes_late_changes_nothing() {
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    let site = Site::start("old-entry", &[]);
    list(&site, &replica, "app", "", SECOND);
    let mut old = row(&replica, "app", "", FIRST);
    old["state"] = "draining".into();
    site.store.put("servers", "i-1", &old);
    let other = Replica::start("i-2", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    list(&site, &other, "app", "", FIRST);
    assert!(site.daemon.logged("Draining").is_empty());
}

/// A prompt that is read once more arrives at the service once more.
#[test]
fn the_prompt_of_a_resumed_stream_is_read_again_only_within_the_budget() {
    let prefill = Replica::start_prefill("i-p");
    let script = |request: &Message| match request.header("last-event-id") {
        Some("2") => rest(request),
        _ => {
            Action::SendAndClose([stream_head(request), events(1, 2), chunk(b"id: 3\nda")].concat())
        }
    };
    let one = Replica::start("i-1", script);
    let two = Replica::start("i-2", script);
    let site = Site::staged("read-again", &prefill, &[&one, &two]);
    // Enough for one retry, in the window that begins with the daemon.
    let (usual, little) = ("slack: 50, window_s: 10", "slack: 4, window_s: 600");
    site.change_settings(
        &format!("ratio: 0.2, {usual}"),
        &format!("ratio: 0.0, {little}"),
    );
    let response = generate(&site.daemon, "/resume/1", "a1").read();
    assert!(response.complete);
    assert_eq!(prefill.requests().len(), 1);
    assert_eq!(one.requests().len() + two.requests().len(), 2);
}

#[test]
fn entries_of_another_program_hide_no_replica_and_are_told_a_few_times() {
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    let site = Site::start("foreign", &[(&replica, "app", "")]);
    for number in 0..300 {
        let id = format!("foreign-{number}");
        match number % 3 {
            0 => site.store.put_bytes("servers", &id, b"\xff\xfe{"),
            1 => site.store.put("servers", &id, &json!({"service": 7})),
            _ => site.store.put("servers", &id, &json!(["app"])),
        }
    }
    // An entry that names the daemon itself: requests would come back as those of a caller.
    let mut own = replica.row("app", "");
    own["addr"] = site.daemon.callers.to_string().into();
    site.store.put("servers", "i-own", &own);
    let late = Replica::start("i-2", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    site.store.put("servers", "i-2", &late.row("app", ""));
    wait_until("the last one is known", || {
        !site.daemon.logged("\"replica\":\"i-2\"").is_empty()
    });
    for number in 0..20 {
        assert_eq!(
            site.send_and_read("GET /read/1", &format!("a{number}"))
                .status(),
            200
        );
    }
    assert!(replica.requests().len() + late.requests().len() >= 20);
    assert!(site.daemon.logged("cannot be read").len() <= 100);
}
