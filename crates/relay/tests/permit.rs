//! Permits for sends, from the request and from the budget.

use std::time::Duration;

use ident::Time;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use relay::budget::RetryBudget;
use relay::budget::RetryPolicy;
use relay::permit::RequestPermits;
use relay::permit::Work;

const POLICY: RetryPolicy = RetryPolicy {
    ratio: 0.2,
    slack: 30.0,
    window: Duration::from_secs(10),
};
const DAEMONS: usize = 3;

#[test]
fn a_request_has_one_permit_for_a_run_and_one_for_a_prefill() {
    let mut permits = RequestPermits::new();
    for work in [Work::Run, Work::Read] {
        assert!(permits.take(work).is_some());
        assert!(permits.take(work).is_none());
    }
}

#[test]
fn a_permit_that_was_not_used_can_be_used_again() {
    let mut permits = RequestPermits::new();
    let permit = permits.take(Work::Run).unwrap();
    assert!(!permits.has(Work::Run));
    permits.put(Work::Run, permit);
    assert!(permits.has(Work::Run));
    assert!(permits.take(Work::Read).is_some());
}

proptest! {
    /// With several daemons and random failures, sends beyond the first of each request stay below
    /// the limit.
    #[test]
    fn sends_beyond_the_first_stay_below_the_limit(
        failures in vec(vec(any::<(bool, bool)>(), 0..6), 1..300),
    ) {
        let mut budgets: Vec<RetryBudget> = (0..DAEMONS).map(|_| RetryBudget::new()).collect();
        let (mut requests, mut sends) = (0, 0);
        for (number, tries) in failures.iter().enumerate() {
            let now = Time::from_millis(number as u64);
            let budget = &mut budgets[number % DAEMONS];
            budget.record_request(now, &POLICY);
            requests += 1;
            let mut permits = RequestPermits::new();
            for (is_prefill, is_sent) in tries {
                let work = if *is_prefill { Work::Read } else { Work::Run };
                if !permits.has(work) {
                    match budget.take(now, &POLICY, DAEMONS) {
                        Some(permit) => permits.put(work, permit),
                        None => break,
                    }
                }
                let Some(permit) = permits.take(work) else { break };
                if *is_sent {
                    sends += 1;
                } else {
                    permits.put(work, permit);
                }
            }
        }
        // The first run and the first prefill of each request need no budget.
        let extra = sends - 2 * requests;
        assert!(f64::from(extra) <= f64::from(requests) * POLICY.ratio + POLICY.slack);
    }
}
