//! What a core holds of its own past after a pause.

mod harness;

use std::time::Duration;

use node::action::Outcome;
use node::action::Tell;
use node::event::Event;
use node::ids::Call;
use rstest::rstest;

use crate::harness::Harness;

const CALL: Call = Call(1);
/// Longer than the others wait before they run a repeatable request of a silent daemon.
const PAUSE: Duration = Duration::from_secs(10);
/// Until a stopping daemon takes no more requests.
const REQUESTS_CLOSED: Duration = Duration::from_millis(4_100);

/// A daemon was paused so long that others took it for dead, and one of them ran a request whose
/// key named this daemon. The caller repeated it here after the pause: the daemon did not know
/// that it had been paused, and told that the request had never run.
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
    let outcome = harness.responses.iter().find_map(|(_, tell)| match tell {
        Tell::Refusal(refusal) => Some(refusal.outcome),
        _ => None,
    });
    assert_eq!(outcome, Some(expected));
}
