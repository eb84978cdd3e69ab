//! Leave for sends, and where it comes from.

use std::time::Duration;

use ident::Time;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use relay::budget::RetryBudget;
use relay::budget::RetryPolicy;
use relay::permit::RequestPermits;
use relay::permit::Work;

const RULE: RetryPolicy = RetryPolicy {
    ratio: 0.2,
    slack: 30.0,
    window: Duration::from_secs(10),
};
const DAEMONS: usize = 3;

#[test]
fn a_request_may_be_run_and_have_its_prompt_read_once() {
    let mut allowance = RequestPermits::new();
    for work in [Work::Run, Work::Read] {
        assert!(allowance.take(work).is_some());
        assert!(allowance.take(work).is_none());
    }
}

#[test]
fn a_permit_that_was_not_used_can_be_used_again() {
    let mut allowance = RequestPermits::new();
    let permit = allowance.take(Work::Run).unwrap();
    assert!(!allowance.has(Work::Run));
    allowance.put(Work::Run, permit);
    assert!(allowance.has(Work::Run));
    assert!(allowance.take(Work::Read).is_some());
}

proptest! {
    /// Several daemons, random failures: sends beyond the first of each request stay below the rule.
    #[test]
    fn sends_beyond_the_first_stay_below_the_rule(
        failures in vec(vec(any::<(bool, bool)>(), 0..6), 1..300),
    ) {
        let mut budgets: Vec<RetryBudget> = (0..DAEMONS).map(|_| RetryBudget::new()).collect();
        let (mut requests, mut sends) = (0, 0);
        for (number, tries) in failures.iter().enumerate() {
            let now = Time::from_millis(number as u64);
            let budget = &mut budgets[number % DAEMONS];
            budget.record_request(now, &RULE);
            requests += 1;
            let mut allowance = RequestPermits::new();
            for (is_read, left) in tries {
                let work = if *is_read { Work::Read } else { Work::Run };
                if !allowance.has(work) {
                    match budget.take(now, &RULE, DAEMONS) {
                        Some(permit) => allowance.put(work, permit),
                        None => break,
                    }
                }
                let Some(permit) = allowance.take(work) else { break };
                if *left {
                    sends += 1;
                } else {
                    allowance.put(work, permit);
                }
            }
        }
        // The first run and the first read of each request are free.
        let extra = sends - 2 * requests;
        assert!(f64::from(extra) <= f64::from(requests) * RULE.ratio + RULE.slack);
    }
}
