//! Retry budget of one daemon and of all together.

use std::time::Duration;

use ident::Time;
use relay::budget::RetryBudget;
use relay::budget::RetryPolicy;

const POLICY: RetryPolicy = RetryPolicy {
    ratio: 0.2,
    slack: 30.0,
    window: Duration::from_secs(10),
};

fn taken(budget: &mut RetryBudget, now: Time, daemons: usize) -> usize {
    (0..1_000)
        .take_while(|_| budget.take(now, &POLICY, daemons).is_some())
        .count()
}

#[test]
fn all_daemons_together_stay_below_the_limit() {
    for daemons in [1, 3, 9] {
        let mut sum = 0.0;
        let mut requests = 0.0;
        for _ in 0..daemons {
            let mut budget = RetryBudget::new();
            for _ in 0..20 {
                budget.record_request(Time::ZERO, &POLICY);
                requests += 1.0;
            }
            sum += taken(&mut budget, Time::ZERO, daemons) as f64;
        }
        assert!(sum <= requests * POLICY.ratio + POLICY.slack);
        assert!(sum > 0.0);
    }
}

#[test]
fn retries_are_available_again_after_the_window() {
    let mut budget = RetryBudget::new();
    let first = taken(&mut budget, Time::from_millis(60_000), 3);
    assert!(budget.take(Time::from_millis(69_900), &POLICY, 3).is_none());
    assert_eq!(taken(&mut budget, Time::from_millis(70_100), 3), first);
}

/// All daemons may be killed when their budgets are used up; the restarted ones do not know it.
#[test]
fn daemons_that_are_all_killed_and_restarted_stay_below_the_limit() {
    for daemons in [1, 3, 9] {
        let mut sum = 0;
        for _ in 0..daemons {
            let mut before = RetryBudget::new();
            sum += taken(&mut before, Time::from_millis(60_000), daemons);
            let mut after = RetryBudget::new();
            for ms in [0, 3_000, 9_900] {
                sum += taken(&mut after, Time::from_millis(ms), daemons);
            }
        }
        assert!(sum as f64 <= POLICY.slack, "{sum} by {daemons}");
    }
}
