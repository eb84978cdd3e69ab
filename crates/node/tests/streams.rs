//! One core and one stream: who reads it, from where, and what is told.

mod one;

use std::time::Duration;

use node::action::CallerMessage;
use node::action::Outcome;
use node::action::Reason;
use node::action::Task;
use node::event::Event;
use node::event::Failure;
use node::event::Piece;
use node::ids::CallId;
use rstest::rstest;

use crate::one::One;
const FIRST: CallId = CallId(1);
const SECOND: CallId = CallId(2);
/// Not above the fencing number of the reader.
const OWN_FENCE: u64 = 0;
const NOT_FOUND: Failure = Failure::Refused {
    status: 404,
    fence: None,
};

#[test]
fn a_new_connection_gets_the_whole_answer_though_the_engine_was_lost() {
    let mut one = One::new();
    one.arrive(FIRST);
    let (order, _) = one.prefill();
    one.stream(order, 0, 26);
    one.fail(order, NOT_FOUND);
    one.arrive(SECOND);
    let (order, task) = one.prefill();
    let Task::Decode { offset, .. } = task else {
        panic!("{task:?}");
    };
    one.stream(order, offset, 40 - offset);
    let piece = Piece::End { offset: 40 };
    one.feed(Event::Streamed { order, piece });
    assert_eq!(one.tokens(FIRST), [(0, 26)]);
    assert_eq!(one.tokens(SECOND), [(0, 40)]);
    assert!(matches!(
        one.tells.last(),
        Some((SECOND, CallerMessage::Done { tokens: 40 }))
    ));
}

#[test]
fn a_continued_stream_that_is_read_anew_and_lost_again_goes_on_from_what_was_told() {
    let mut one = One::new();
    one.arrive(FIRST);
    let (order, _) = one.prefill();
    one.stream(order, 0, 26);
    one.fail(order, NOT_FOUND);
    let (order, task) = one.prefill();
    assert!(matches!(task, Task::Decode { offset: 26, .. }), "{task:?}");
    one.stream(order, 26, 4);
    one.arrive(SECOND);
    let (order, task) = one.last();
    assert!(matches!(task, Task::Attach { offset: 0 }), "{task:?}");
    one.stream(order, 0, 3);
    one.fail(order, NOT_FOUND);
    let (_, task) = one.last();
    let Task::Prefill {
        prompt_tokens,
        done_tokens,
        ..
    } = task
    else {
        panic!("{task:?}");
    };
    assert_eq!((prompt_tokens, done_tokens), (403, 3));
    assert_eq!(one.tokens(FIRST), [(0, 26), (26, 4)]);
    assert_eq!(one.tokens(SECOND), [(0, 3)]);
}

#[test]
fn an_owner_without_a_caller_does_not_take_a_lost_stream_back() {
    let mut one = One::new();
    one.arrive(FIRST);
    let (order, _) = one.prefill();
    one.stream(order, 0, 5);
    one.feed(Event::Disconnected { call: FIRST });
    one.fail(order, Failure::Lost);
    one.run(Duration::from_secs(1));
    let (last, task) = one.last();
    assert_eq!(last, order, "{task:?}");
    one.feed(Event::Resumed {
        call: SECOND,
        customer: "farm-17".to_owned(),
        token: one.token(),
        offset: 5,
    });
    one.run(Duration::from_millis(200));
    let (order, task) = one.last();
    assert!(matches!(task, Task::Attach { offset: 5 }), "{task:?}");
    one.stream(order, 5, 2);
    assert_eq!(one.tokens(SECOND), [(5, 2)]);
}

#[rstest]
#[case::of_another_customer("farm-18", |token| token)]
#[case::damaged("farm-17", |token: String| token.replace(['a', 'b', 'c', '0'], "_"))]
#[case::cut("farm-17", |token: String| token[..token.len() / 2].to_owned())]
#[case::empty("farm-17", |_| String::new())]
#[case::of_another_alphabet("farm-17", |token: String| format!("{token}\u{e9}"))]
fn a_bad_token_reads_nothing(#[case] customer: &str, #[case] change: fn(String) -> String) {
    let mut one = One::new();
    one.arrive(FIRST);
    let (order, _) = one.prefill();
    one.stream(order, 0, 5);
    let orders = one.orders.len();
    one.feed(Event::Resumed {
        call: SECOND,
        customer: customer.to_owned(),
        token: change(one.token()),
        offset: 0,
    });
    let (call, tell) = one.tells.last().expect("something was told");
    let CallerMessage::Refusal(refusal) = tell else {
        panic!("{tell:?}");
    };
    assert_eq!(*call, SECOND);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert_eq!(refusal.reason, Reason::BadToken);
    assert_eq!(one.orders.len(), orders);
    one.stream(order, 5, 1);
    assert_eq!(one.tokens(FIRST), [(0, 5), (5, 1)]);
}

/// A replica was asked what it holds and answered; the answer lay in the daemon's socket while the
/// daemon was paused. Another daemon took the stream over meanwhile. On waking, the daemon took
/// the old answer for the one to the question it asks on waking, saw itself as the reader, and
/// told its caller the tokens of a stream that was no longer its own.
#[test]
fn a_state_told_before_a_pause_does_not_show_who_reads_a_stream_after_it() {
    let mut one = One::new();
    one.arrive(FIRST);
    let (order, _) = one.prefill();
    one.stream(order, 0, 3);
    one.inspected = false;
    one.run(Duration::from_millis(250));
    let early = std::mem::take(&mut one.inspections);
    assert!(!early.is_empty());
    one.pause(Duration::from_secs(4));
    one.stream(order, 3, 2);
    one.answer_inspections(early, OWN_FENCE);
    assert_eq!(one.tokens(FIRST), [(0, 3)]);
    let own = std::mem::take(&mut one.inspections);
    one.answer_inspections(own, OWN_FENCE);
    assert_eq!(one.tokens(FIRST), [(0, 3), (3, 2)]);
}
