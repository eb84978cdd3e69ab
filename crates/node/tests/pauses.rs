//! What a core holds of its own past after a pause.

mod one;

use std::time::Duration;

use node::action::CallerMessage;
use node::action::Outcome;
use node::event::Event;
use node::ids::CallId;
use rstest::rstest;

use crate::one::One;

const CALL: CallId = CallId(1);
/// Longer than the others wait before they run a repeatable request of a silent daemon.
const PAUSE: Duration = Duration::from_secs(10);
/// Until a stopping daemon takes no more requests.
const CLOSED: Duration = Duration::from_millis(4_100);

/// A daemon was paused so long that others took it for dead, and one of them ran a request whose
/// key named this daemon. The caller repeated it here after the pause: the daemon did not know
/// that it had been paused, and told that the request had never run.
#[rstest]
#[case::paused(PAUSE, Outcome::Unknown)]
#[case::not_paused(Duration::ZERO, Outcome::NotRun)]
fn after_a_pause_nobody_is_told_that_a_key_never_ran(
    #[case] pause: Duration,
    #[case] expected: Outcome,
) {
    let mut one = One::new();
    one.pause(pause);
    one.run(Duration::from_secs(1));
    one.feed(Event::Stop);
    one.run(CLOSED);
    one.arrive(CALL);
    let outcome = one.tells.iter().find_map(|(_, tell)| match tell {
        CallerMessage::Refusal(refusal) => Some(refusal.outcome),
        _ => None,
    });
    assert_eq!(outcome, Some(expected));
}
