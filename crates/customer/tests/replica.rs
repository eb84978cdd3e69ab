//! Request limits of replicas, enforced by the keeper.

use std::time::Duration;

use customer::keeper::Decision;
use customer::keeper::Keeper;
use customer::keeper::Purpose;
use customer::keeper::QuotaRequest;
use customer::keeper::Role;
use customer::keeper::View;
use customer::quota::Limit;
use customer::quota::Tolerance;
use customer::rank::Standing;
use customer::subject::Subject;
use ident::Time;
use rstest::rstest;

const LIMIT: Limit = Limit {
    rate: 2.0,
    burst: 1.0,
};
/// Tolerance for customer quotas; must not apply to replicas.
const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(8),
    excess: 0.1,
    slack: 190_000.0,
};
const START: Time = Time::from_millis(10_000);

fn decide(keeper: &mut Keeper, ms: u64, since: Time, role: Role) -> Decision {
    let ask = QuotaRequest {
        subject: Subject::Replica(7),
        units: 1.0,
        purpose: Purpose::Run { patience_ms: 0 },
    }
    .ranked(Standing::PLAIN);
    let now = START + Duration::from_millis(ms);
    let ruling = keeper.decide(now, &View::new(role, since), LIMIT, &TOLERANCE, &ask);
    ruling.reply.decision
}

/// Guards against a customer tolerance that is applied to a replica.
#[test]
fn requests_to_a_replica_are_granted_at_its_rate() {
    let mut keeper = Keeper::new();
    let mut granted = 0;
    for ms in (0..4_000).step_by(10) {
        let decision = decide(&mut keeper, ms, Time::ZERO, Role::Keeper);
        granted += u32::from(matches!(decision, Decision::Granted { .. }));
    }
    // The burst of one is spent at 0 ms, and a unit becomes available every 500 ms after that.
    assert_eq!(granted, 8);
}

/// Guards against exceeding the limit when the previous keeper has just granted a request.
#[test]
fn a_new_keeper_grants_nothing_at_once() {
    let mut keeper = Keeper::new();
    let decision = decide(&mut keeper, 0, START, Role::Keeper);
    assert_eq!(decision, Decision::Refused { come_back_ms: 500 });
}

/// Guards against several daemons that grant requests to the same replica independently.
#[rstest]
#[case(Role::Deputy)]
#[case(Role::NoMajority)]
fn only_the_keeper_grants_requests_to_a_replica(#[case] role: Role) {
    let decision = decide(&mut Keeper::new(), 0, Time::ZERO, role);
    assert_eq!(decision, Decision::Unsure);
}
