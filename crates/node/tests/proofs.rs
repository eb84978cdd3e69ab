//! What proves to a core that its table is the newest.

mod one;

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

use crate::one::One;

const CALL: CallId = CallId(1);
const EARLIER: Incarnation = Incarnation(0x2a90_77e1_c3d8_5b16);
/// Longer than a table may be decided by without proof.
const OUTAGE: Duration = Duration::from_secs(5);

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
fn question(one: &mut One) -> TableStatus {
    one.join(&peer());
    one.stored = false;
    one.run_beside(&peer(), OUTAGE);
    let asked = one.sent.iter().rev().find_map(|(to, body)| match body {
        Body::News(news) if *to == peer().instance && !news.answer => Some(*news),
        _ => None,
    });
    asked.expect("the peer is asked")
}

/// The answer of a peer that has just read the store.
fn answer(question: TableStatus) -> Body {
    Body::News(TableStatus {
        store_age_ms: Some(0),
        settled: true,
        answer: true,
        ..question
    })
}

fn is_stale(one: &mut One) -> bool {
    one.arrive(CALL);
    let mut told = one.tells.iter();
    told.any(|(_, tell)| matches!(tell, CallerMessage::Refusal(refusal) if refusal.reason == Reason::Stale))
}

/// A daemon asked a peer how old its table was, and was started again. The answer came to the new
/// run, whose clock begins at zero too: it counted as the answer to a question of its own, asked
/// just now, and the daemon decided by a table that nobody had proved for that time.
#[test]
fn an_answer_to_an_earlier_run_proves_nothing() {
    let mut earlier = One::with_incarnation(EARLIER);
    let late = question(&mut earlier);
    let mut one = One::new();
    question(&mut one);
    one.hear(&peer(), answer(late));
    assert!(is_stale(&mut one));
}

#[test]
fn an_answer_to_a_question_of_this_run_proves_the_table() {
    let mut one = One::new();
    let own = question(&mut one);
    one.hear(&peer(), answer(own));
    assert!(!is_stale(&mut one));
}
