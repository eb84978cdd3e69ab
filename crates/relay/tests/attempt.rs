//! Next steps after a send without a usable answer.

use relay::attempt::Attempt;
use relay::attempt::Next;
use relay::attempt::Outcome;
use relay::plan::Mode;
use rstest::rstest;

const RESUMABLE: Mode = Mode::Stream { resumable: true };
const ONE_WAY: Mode = Mode::Stream { resumable: false };

#[rstest]
// A request that may have run is never reported as not run.
#[case(Mode::Once, 3, Outcome::Lost, true, Next::Unknown)]
#[case(ONE_WAY, 3, Outcome::Lost, true, Next::Unknown)]
#[case(Mode::Once, 3, Outcome::Failed, true, Next::Relay)]
// One that has not run is retried in any mode while there is budget.
#[case(Mode::Once, 1, Outcome::NotRun, true, Next::Retry)]
#[case(Mode::Once, 1, Outcome::NotRun, false, Next::Refuse)]
// A send of which no byte left needs no budget.
#[case(Mode::Once, 1, Outcome::NotSent, false, Next::Retry)]
// A quarantined request is not sent to another replica, and has not run if this is its first send.
#[case(Mode::Idempotent, 2, Outcome::Quarantined, true, Next::Refuse)]
#[case(Mode::Once, 1, Outcome::Quarantined, true, Next::Refuse)]
// A repeatable request is retried while attempts and budget last.
#[case(Mode::Idempotent, 2, Outcome::Lost, true, Next::Retry)]
#[case(Mode::Idempotent, 2, Outcome::Lost, false, Next::Unknown)]
#[case(Mode::Idempotent, 1, Outcome::Lost, true, Next::Unknown)]
#[case(Mode::Idempotent, 1, Outcome::Failed, true, Next::Relay)]
#[case(RESUMABLE, 2, Outcome::Lost, true, Next::Retry)]
fn next_step_after_the_first_send(
    #[case] mode: Mode,
    #[case] max_runs: u32,
    #[case] outcome: Outcome,
    #[case] budget: bool,
    #[case] expected: Next,
) {
    let mut attempt = Attempt::new(mode, max_runs);
    attempt.record_send();
    assert_eq!(attempt.next_step(outcome, || budget), expected);
}

#[test]
fn a_request_that_may_have_run_is_unknown_when_the_next_replica_refuses() {
    let mut attempt = Attempt::new(Mode::Idempotent, 2);
    attempt.record_send();
    assert_eq!(attempt.next_step(Outcome::Lost, || true), Next::Retry);
    attempt.record_send();
    assert_eq!(attempt.next_step(Outcome::NotRun, || false), Next::Unknown);
}

#[test]
fn a_quarantined_request_that_may_have_run_is_unknown() {
    let mut attempt = Attempt::new(Mode::Idempotent, 3);
    attempt.record_send();
    assert_eq!(attempt.next_step(Outcome::Lost, || true), Next::Retry);
    attempt.record_send();
    assert_eq!(
        attempt.next_step(Outcome::Quarantined, || true),
        Next::Unknown
    );
}

#[test]
fn a_request_runs_on_at_most_the_allowed_number_of_replicas() {
    let mut attempt = Attempt::new(Mode::Idempotent, 2);
    attempt.record_send();
    attempt.next_step(Outcome::Lost, || true);
    attempt.record_send();
    assert_eq!(attempt.next_step(Outcome::Lost, || true), Next::Unknown);
}

#[test]
fn the_number_of_unsent_attempts_is_limited() {
    let mut attempt = Attempt::new(Mode::Once, 1);
    let mut sends = 0;
    loop {
        attempt.record_send();
        sends += 1;
        if attempt.next_step(Outcome::NotSent, || true) == Next::Refuse {
            break;
        }
    }
    assert!(sends < 10);
}

#[rstest]
#[case(Mode::Idempotent, 2, true)]
#[case(Mode::Idempotent, 1, false)]
#[case(RESUMABLE, 2, true)]
#[case(Mode::Once, 3, false)]
#[case(ONE_WAY, 3, false)]
fn a_request_fails_over_only_if_one_more_replica_may_run_it(
    #[case] mode: Mode,
    #[case] max_runs: u32,
    #[case] expected: bool,
) {
    let mut attempt = Attempt::new(mode, max_runs);
    attempt.record_send();
    assert_eq!(attempt.may_fail_over(), expected);
    attempt.next_step(Outcome::Lost, || true);
    attempt.record_send();
    assert!(!attempt.may_fail_over());
}
