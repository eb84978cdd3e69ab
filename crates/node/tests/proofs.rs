//! What proves to a core that its table is the newest.

mod harness;

use std::time::Duration;

use fleet::member::Member;
use ident::Incarnation;
use ident::Instance;
use ident::Zone;
use node::action::Reason;
use node::action::Tell;
use node::ids::Call;
use wire::Body;
use wire::News;

use crate::harness::Harness;

const CALL: Call = Call(1);
const EARLIER: Incarnation = Incarnation(0x2a90_77e1_c3d8_5b16);
/// Longer than a table may be decided by without proof.
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

/// Lets `one` ask its peer while the store is silent, until its proof is too old; its last question.
fn last_status_request(harness: &mut Harness) -> News {
    harness.add_peer(&peer());
    harness.store_answers = false;
    harness.run_with_peer(&peer(), STORE_OUTAGE);
    let asked = harness.sent.iter().rev().find_map(|(to, body)| match body {
        Body::News(news) if *to == peer().instance && !news.answer => Some(*news),
        _ => None,
    });
    asked.expect("the peer is asked")
}

/// The answer of a peer that has just read the store.
fn fresh_status(request: News) -> Body {
    Body::News(News {
        store_age_ms: Some(0),
        settled: true,
        answer: true,
        ..request
    })
}

fn is_stale(harness: &mut Harness) -> bool {
    harness.send_request(CALL);
    let mut responses = harness.responses.iter();
    responses
        .any(|(_, tell)| matches!(tell, Tell::Refusal(refusal) if refusal.reason == Reason::Stale))
}

/// A daemon asked a peer how old its table was, and was started again. The answer came to the new
/// run, whose clock begins at zero too: it counted as the answer to a question of its own, asked
/// just now, and the daemon decided by a table that nobody had proved for that time.
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
fn an_answer_to_a_question_of_this_run_proves_the_table() {
    let mut harness = Harness::new();
    let own = last_status_request(&mut harness);
    harness.receive_frame(&peer(), fresh_status(own));
    assert!(!is_stale(&mut harness));
}
