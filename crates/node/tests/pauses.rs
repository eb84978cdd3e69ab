//! What a core may claim about earlier requests after its process was paused.

mod harness;

use std::time::Duration;

use node::action::CallerMessage;
use node::action::Outcome;
use node::event::Event;
use node::ids::CallId;
use rstest::rstest;

use crate::harness::Harness;

const CALL: CallId = CallId(1);
/// Longer than other daemons wait before they run a repeatable request of an unresponsive one.
const PAUSE: Duration = Duration::from_secs(10);
/// Time after which a stopping daemon accepts no more requests.
const REQUESTS_CLOSED: Duration = Duration::from_millis(4_100);

/// During a long pause, other daemons declare this one dead, and one of them runs a request whose
/// key names it. Without noticing the pause, the daemon would answer a repeat of that request
/// with `not run`.
#[rstest]
#[case::paused(PAUSE, Outcome::Unknown)]
#[case::not_paused(Duration::ZERO, Outcome::NotRun)]
fn after_a_pause_a_key_is_not_reported_as_never_run(
    #[case] pause: Duration,
    #[case] expected: Outcome,
) {
    let mut harness = Harness::new();
    harness.pause(pause);
    harness.run_for(Duration::from_secs(1));
    harness.feed(Event::Stop);
    harness.run_for(REQUESTS_CLOSED);
    harness.send_request(CALL);
    let outcome = harness
        .responses
        .iter()
        .find_map(|(_, message)| match message {
            CallerMessage::Refusal(refusal) => Some(refusal.outcome),
            _ => None,
        });
    assert_eq!(outcome, Some(expected));
}
