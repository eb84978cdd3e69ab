//! Which answers of peers prove that the table of a core is the newest.

mod harness;

use std::time::Duration;

use fleet::member::Member;
use ident::Incarnation;
use ident::Instance;
use ident::Zone;
use node::action::CallerMessage;
use node::action::Reason;
use node::ids::CallId;
use wire::Body;
use wire::TableStatus;

use crate::harness::Harness;

const CALL: CallId = CallId(1);
const EARLIER: Incarnation = Incarnation(0x2a90_77e1_c3d8_5b16);
/// Longer than a core may use its table without proof that it is the newest.
const STORE_OUTAGE: Duration = Duration::from_secs(5);

fn peer() -> Member {
    let incarnation = Incarnation(0x5b1d_03c7_9e62_a8f4);
    Member::new(
        Instance::new("entry-2"),
        incarnation,
        1,
        Zone::new("osijek-a"),
    )
}

/// Stops the store until the proof of the table is too old; returns the last request to the peer.
fn last_status_request(harness: &mut Harness) -> TableStatus {
    harness.add_peer(&peer());
    harness.store_answers = false;
    harness.run_with_peer(&peer(), STORE_OUTAGE);
    let request = harness.sent.iter().rev().find_map(|(to, body)| match body {
        Body::News(status) if *to == peer().instance && !status.answer => Some(*status),
        _ => None,
    });
    request.expect("a request to the peer")
}

/// Returns the answer of a peer that has just read the store.
fn fresh_status(request: TableStatus) -> Body {
    Body::News(TableStatus {
        store_age_ms: Some(0),
        settled: true,
        answer: true,
        ..request
    })
}

fn is_stale(harness: &mut Harness) -> bool {
    harness.send_request(CALL);
    let mut responses = harness.responses.iter();
    responses.any(|(_, message)| {
        matches!(message, CallerMessage::Refusal(refusal) if refusal.reason == Reason::Stale)
    })
}

/// A daemon requests the age of a peer's table and restarts before the answer arrives. The clocks
/// of both runs begin at zero, so the new run could take the answer for one to its own request
/// and route by a table that is not proved for that time.
#[test]
fn an_answer_to_an_earlier_run_proves_nothing() {
    let mut earlier = Harness::with_incarnation(EARLIER);
    let late = last_status_request(&mut earlier);
    let mut harness = Harness::new();
    last_status_request(&mut harness);
    harness.receive_frame(&peer(), fresh_status(late));
    assert!(is_stale(&mut harness));
}

#[test]
fn an_answer_to_a_request_of_this_run_proves_the_table() {
    let mut harness = Harness::new();
    let own = last_status_request(&mut harness);
    harness.receive_frame(&peer(), fresh_status(own));
    assert!(!is_stale(&mut harness));
}
