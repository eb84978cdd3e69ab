//! What follows a send that did not end in an answer.

use relay::attempt::Attempt;
use relay::attempt::Next;
use relay::attempt::Outcome;
use relay::plan::Mode;
use rstest::rstest;

const RESUMABLE: Mode = Mode::Stream { resumable: true };
const ONE_WAY: Mode = Mode::Stream { resumable: false };

#[rstest]
// A request that has run is never refused as if it had not.
#[case(Mode::Once, 3, Outcome::Lost, true, Next::Unknown)]
#[case(ONE_WAY, 3, Outcome::Lost, true, Next::Unknown)]
#[case(Mode::Once, 3, Outcome::Failed, true, Next::Relay)]
// One that has not run goes on, whatever its kind, while there is budget.
#[case(Mode::Once, 1, Outcome::NotRun, true, Next::Retry)]
#[case(Mode::Once, 1, Outcome::NotRun, false, Next::Refuse)]
// What never left costs no budget.
#[case(Mode::Once, 1, Outcome::NotSent, false, Next::Retry)]
// One that ended replicas is sent to no other one, and has not run where this is its first send.
#[case(Mode::Idempotent, 2, Outcome::Quarantined, true, Next::Refuse)]
#[case(Mode::Once, 1, Outcome::Quarantined, true, Next::Refuse)]
// What may be repeated is, while attempts and budget last.
#[case(Mode::Idempotent, 2, Outcome::Lost, true, Next::Retry)]
#[case(Mode::Idempotent, 2, Outcome::Lost, false, Next::Unknown)]
#[case(Mode::Idempotent, 1, Outcome::Lost, true, Next::Unknown)]
#[case(Mode::Idempotent, 1, Outcome::Failed, true, Next::Relay)]
#[case(RESUMABLE, 2, Outcome::Lost, true, Next::Retry)]
fn the_first_send(
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
fn a_request_that_may_have_run_stays_so_when_the_next_replica_refuses() {
    let mut attempt = Attempt::new(Mode::Idempotent, 2);
    attempt.record_send();
    assert_eq!(attempt.next_step(Outcome::Lost, || true), Next::Retry);
    attempt.record_send();
    assert_eq!(attempt.next_step(Outcome::NotRun, || false), Next::Unknown);
}

#[test]
fn a_request_that_has_run_and_is_held_is_not_refused() {
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
fn no_more_replicas_run_it_than_the_route_allows() {
    let mut attempt = Attempt::new(Mode::Idempotent, 2);
    attempt.record_send();
    attempt.next_step(Outcome::Lost, || true);
    attempt.record_send();
    assert_eq!(attempt.next_step(Outcome::Lost, || true), Next::Unknown);
}

#[test]
fn sends_that_do_not_arrive_end_as_well() {
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
fn a_request_moves_on_only_if_one_more_replica_may_run_it(
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
