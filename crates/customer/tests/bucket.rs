//! Token buckets: grants, retry times and refunds.

use std::time::Duration;

use customer::bucket::Bucket;
use customer::bucket::Verdict;
use customer::quota::Limit;
use customer::rank::Standing;
use ident::Time;
use rstest::rstest;

const LIMIT: Limit = Limit {
    rate: 100.0,
    burst: 300.0,
};

fn granted(after_ms: u64) -> Verdict {
    Verdict::Granted {
        after: Duration::from_millis(after_ms),
    }
}

fn take(bucket: &mut Bucket, at_ms: u64, units: f64, patience_ms: u64) -> Verdict {
    let patience = Duration::from_millis(patience_ms);
    bucket.take(
        Time::from_millis(at_ms),
        LIMIT,
        units,
        patience,
        Standing::PLAIN,
    )
}

#[test]
fn the_burst_may_be_used_at_once_and_the_rest_as_it_refills() {
    let mut bucket = Bucket::new(Time::ZERO, LIMIT.burst);
    assert_eq!(take(&mut bucket, 0, 300.0, 0), granted(0));
    let come_back = Duration::from_secs(1);
    assert_eq!(
        take(&mut bucket, 0, 100.0, 0),
        Verdict::Refused { come_back }
    );
    assert_eq!(take(&mut bucket, 1_000, 100.0, 0), granted(0));
}

#[test]
fn a_request_that_can_wait_uses_units_refilled_meanwhile() {
    let mut bucket = Bucket::new(Time::ZERO, 0.0);
    assert_eq!(take(&mut bucket, 0, 10.0, 100), granted(100));
    // The next request would have to wait longer.
    let come_back = Duration::from_millis(200);
    assert_eq!(
        take(&mut bucket, 0, 10.0, 100),
        Verdict::Refused { come_back }
    );
}

#[test]
fn retry_times_of_refused_requests_are_staggered() {
    let mut bucket = Bucket::new(Time::ZERO, 0.0);
    let mut retry_after = || match take(&mut bucket, 0, 100.0, 0) {
        Verdict::Refused { come_back } => come_back.as_secs(),
        Verdict::Granted { .. } => 0,
    };
    assert_eq!([retry_after(), retry_after(), retry_after()], [1, 2, 3]);
    // Callers that retry at the given time are granted.
    assert_eq!(take(&mut bucket, 1_000, 100.0, 0), granted(0));
    assert_eq!(take(&mut bucket, 2_000, 100.0, 0), granted(0));
}

#[test]
fn a_request_that_is_larger_than_the_bucket_runs_when_it_is_full() {
    let mut bucket = Bucket::new(Time::ZERO, 200.0);
    let come_back = Duration::from_secs(1);
    assert_eq!(
        take(&mut bucket, 0, 900.0, 0),
        Verdict::Refused { come_back }
    );
    assert_eq!(take(&mut bucket, 1_000, 900.0, 0), granted(0));
    // Units used beyond the bucket must be refilled first.
    assert_eq!(
        take(&mut bucket, 6_000, 1.0, 0),
        Verdict::Refused {
            come_back: Duration::from_millis(1_010)
        }
    );
}

#[rstest]
// Refunded units are available again, up to the burst.
#[case(300.0, 200.0, 300.0)]
#[case(100.0, 200.0, 100.0)]
fn units_of_a_request_that_did_not_run_are_refunded(
    #[case] level: f64,
    #[case] units: f64,
    #[case] after: f64,
) {
    let mut bucket = Bucket::new(Time::ZERO, level);
    bucket.take(
        Time::ZERO,
        LIMIT,
        units,
        Duration::from_secs(5),
        Standing::PLAIN,
    );
    bucket.refund(Time::ZERO, LIMIT, units);
    assert!((bucket.level(Time::ZERO, LIMIT) - after).abs() < 1e-9);
}

#[test]
fn a_lower_limit_applies_at_once() {
    let mut bucket = Bucket::new(Time::ZERO, LIMIT.burst);
    let lower = Limit {
        rate: 1.0,
        burst: 10.0,
    };
    let taken = bucket.take(Time::ZERO, lower, 10.0, Duration::ZERO, Standing::PLAIN);
    assert_eq!(taken, granted(0));
    let taken = bucket.take(Time::ZERO, lower, 10.0, Duration::ZERO, Standing::PLAIN);
    assert!(matches!(taken, Verdict::Refused { .. }));
}
