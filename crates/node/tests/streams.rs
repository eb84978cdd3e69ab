//! One core and one stream: who reads it, from which token, and what is sent to callers.

mod harness;

use std::time::Duration;

use bytes::Bytes;
use ledger::reassembly::MAX_EARLY;
use node::action::CallerMessage;
use node::action::Outcome;
use node::action::Reason;
use node::action::Task;
use node::event::Event;
use node::event::Failure;
use node::event::Piece;
use node::ids::CallId;
use rstest::rstest;

use crate::harness::Harness;

const FIRST: CallId = CallId(1);
const SECOND: CallId = CallId(2);
/// Fencing number that replicas report, not above that of the reader.
const OWN_FENCE: u64 = 0;
const NOT_FOUND: Failure = Failure::Refused {
    status: 404,
    fence: None,
};

#[test]
fn a_new_connection_gets_the_whole_answer_though_the_engine_was_lost() {
    let mut harness = Harness::new();
    harness.send_request(FIRST);
    let (order, _) = harness.finish_prefill();
    harness.send_tokens(order, 0, 26);
    harness.fail_order(order, NOT_FOUND);
    harness.send_request(SECOND);
    let (order, task) = harness.finish_prefill();
    let Task::Decode { offset, .. } = task else {
        panic!("{task:?}");
    };
    harness.send_tokens(order, offset, 40 - offset);
    let piece = Piece::End { offset: 40 };
    harness.feed(Event::Streamed { order, piece });
    assert_eq!(harness.tokens_sent(FIRST), [(0, 26)]);
    assert_eq!(harness.tokens_sent(SECOND), [(0, 40)]);
    assert!(matches!(
        harness.responses.last(),
        Some((SECOND, CallerMessage::Done { tokens: 40 }))
    ));
}

#[test]
fn a_stream_lost_while_read_again_resumes_after_the_last_token_sent() {
    let mut harness = Harness::new();
    harness.send_request(FIRST);
    let (order, _) = harness.finish_prefill();
    harness.send_tokens(order, 0, 26);
    harness.fail_order(order, NOT_FOUND);
    let (order, task) = harness.finish_prefill();
    assert!(matches!(task, Task::Decode { offset: 26, .. }), "{task:?}");
    harness.send_tokens(order, 26, 4);
    harness.send_request(SECOND);
    let (order, task) = harness.last_order();
    assert!(matches!(task, Task::Attach { offset: 0 }), "{task:?}");
    harness.send_tokens(order, 0, 3);
    harness.fail_order(order, NOT_FOUND);
    let (_, task) = harness.last_order();
    let Task::Prefill {
        prompt_tokens,
        done_tokens,
        ..
    } = task
    else {
        panic!("{task:?}");
    };
    assert_eq!((prompt_tokens, done_tokens), (403, 3));
    assert_eq!(harness.tokens_sent(FIRST), [(0, 26), (26, 4)]);
    assert_eq!(harness.tokens_sent(SECOND), [(0, 3)]);
}

#[test]
fn an_owner_without_a_caller_does_not_resume_a_lost_stream() {
    let mut harness = Harness::new();
    harness.send_request(FIRST);
    let (order, _) = harness.finish_prefill();
    harness.send_tokens(order, 0, 5);
    harness.feed(Event::Disconnected { call: FIRST });
    harness.fail_order(order, Failure::Lost);
    harness.run_for(Duration::from_secs(1));
    let (last, task) = harness.last_order();
    assert_eq!(last, order, "{task:?}");
    harness.feed(Event::Resumed {
        call: SECOND,
        customer: "farm-17".to_owned(),
        token: harness.resume_token(),
        offset: 5,
    });
    harness.run_for(Duration::from_millis(200));
    let (order, task) = harness.last_order();
    assert!(matches!(task, Task::Attach { offset: 5 }), "{task:?}");
    harness.send_tokens(order, 5, 2);
    assert_eq!(harness.tokens_sent(SECOND), [(5, 2)]);
}

#[rstest]
#[case::of_another_customer("farm-18", |token| token)]
#[case::damaged("farm-17", |token: String| token.replace(['a', 'b', 'c', '0'], "_"))]
#[case::cut("farm-17", |token: String| token[..token.len() / 2].to_owned())]
#[case::empty("farm-17", |_| String::new())]
#[case::of_another_alphabet("farm-17", |token: String| format!("{token}\u{e9}"))]
fn a_bad_token_is_refused(#[case] customer: &str, #[case] change: fn(String) -> String) {
    let mut harness = Harness::new();
    harness.send_request(FIRST);
    let (order, _) = harness.finish_prefill();
    harness.send_tokens(order, 0, 5);
    let orders = harness.orders.len();
    harness.feed(Event::Resumed {
        call: SECOND,
        customer: customer.to_owned(),
        token: change(harness.resume_token()),
        offset: 0,
    });
    let (call, message) = harness.responses.last().expect("a response was sent");
    let CallerMessage::Refusal(refusal) = message else {
        panic!("{message:?}");
    };
    assert_eq!(*call, SECOND);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert_eq!(refusal.reason, Reason::BadToken);
    assert_eq!(harness.orders.len(), orders);
    harness.send_tokens(order, 5, 1);
    assert_eq!(harness.tokens_sent(FIRST), [(0, 5), (5, 1)]);
}

/// The answer to an inspection waits in the socket of a paused daemon while another daemon takes
/// over the stream. After the pause, the daemon could take it for the answer to its new inspection,
/// see itself as the reader, and send tokens of a stream that it no longer owns.
#[test]
fn an_inspection_from_before_a_pause_does_not_show_who_reads_a_stream() {
    let mut harness = Harness::new();
    harness.send_request(FIRST);
    let (order, _) = harness.finish_prefill();
    harness.send_tokens(order, 0, 3);
    harness.replicas_answer = false;
    harness.run_for(Duration::from_millis(250));
    let early = std::mem::take(&mut harness.inspections);
    assert!(!early.is_empty());
    harness.pause(Duration::from_secs(4));
    harness.send_tokens(order, 3, 2);
    harness.answer_inspections(early, OWN_FENCE);
    assert_eq!(harness.tokens_sent(FIRST), [(0, 3)]);
    let own = std::mem::take(&mut harness.inspections);
    harness.answer_inspections(own, OWN_FENCE);
    assert_eq!(harness.tokens_sent(FIRST), [(0, 3), (3, 2)]);
}

/// Guards against a stream that is kept since pieces arrive which bring its caller nothing.
#[rstest]
#[case::imports(Piece::Imported)]
#[case::repeated_tokens(tokens(0))]
#[case::tokens_behind_a_gap(tokens(9))]
fn pieces_without_progress_do_not_keep_a_stream(#[case] piece: Piece) {
    let mut harness = Harness::new();
    harness.send_request(FIRST);
    let (order, _) = harness.finish_prefill();
    harness.send_tokens(order, 0, 5);
    for _ in 0..20 {
        harness.run_for(Duration::from_millis(250));
        let piece = piece.clone();
        harness.feed(Event::Streamed { order, piece });
    }
    let (last, task) = harness.last_order();
    assert_ne!(last, order, "{task:?}");
    assert!(
        matches!(task, Task::Prefill { done_tokens: 5, .. }),
        "{task:?}"
    );
}

/// Guards against a replica that is asked for the rest of a stream without end.
#[rstest]
#[case::imports(vec![Piece::Imported])]
#[case::repeated_tokens(vec![tokens(0)])]
#[case::too_many_tokens_behind_a_gap((9..=9 + MAX_EARLY as u32).map(tokens).collect())]
#[case::an_end_before_the_last_token(vec![Piece::End { offset: 40 }])]
fn a_replica_that_brings_no_progress_is_left(#[case] pieces: Vec<Piece>) {
    let mut harness = Harness::new();
    harness.send_request(FIRST);
    let (order, _) = harness.finish_prefill();
    harness.send_tokens(order, 0, 5);
    for _ in 0..20 {
        let (order, task) = harness.last_order();
        if matches!(task, Task::Prefill { .. }) {
            return;
        }
        for piece in pieces.clone() {
            harness.feed(Event::Streamed { order, piece });
        }
        harness.fail_order(order, Failure::Lost);
    }
    panic!("{:?}", harness.last_order());
}

fn tokens(offset: u32) -> Piece {
    Piece::Tokens {
        offset,
        count: 1,
        text: Bytes::from_static(b"w"),
    }
}

/// Guards against a stream that goes on without end.
#[test]
fn an_answer_ends_with_the_most_tokens_that_were_asked_for() {
    const MOST: u32 = 40;
    let mut harness = Harness::new();
    harness.send_request(FIRST);
    let (order, _) = harness.finish_prefill();
    harness.send_tokens(order, 0, MOST - 1);
    for offset in MOST - 1..2 * MOST {
        let piece = tokens(offset);
        harness.feed(Event::Streamed { order, piece });
    }
    assert_eq!(harness.tokens_sent(FIRST), [(0, MOST - 1), (MOST - 1, 1)]);
    assert!(matches!(
        harness.responses.last(),
        Some((FIRST, CallerMessage::Done { tokens: MOST }))
    ));
    // The engine still generates once its stream is aborted.
    harness.fail_order(order, Failure::Lost);
    assert!(matches!(harness.orders.last(), Some((_, Task::Cancel))));
}
