//! Record of how long streams can be resumed.

use std::time::Duration;

use ident::Time;
use relay::lifetime_record::LifetimeRecord;

const LONG: Duration = Duration::from_secs(40);
const SHORT: Duration = Duration::from_secs(1);

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(1_000 + seconds)
}

#[test]
fn a_longer_lifetime_is_recorded_at_once() {
    let mut record = LifetimeRecord::new();
    assert_eq!(record.change(at(0), Duration::ZERO, SHORT), Some(SHORT));
    assert_eq!(record.change(at(1), SHORT, SHORT), None);
    assert_eq!(record.change(at(2), SHORT, LONG), Some(LONG));
}

/// A daemon that is cut off may begin streams by the earlier plan for minutes.
#[test]
fn a_shorter_lifetime_is_recorded_once_no_stream_of_the_earlier_plan_can_be_resumed() {
    let mut record = LifetimeRecord::new();
    assert_eq!(record.change(at(0), LONG, SHORT), None);
    assert_eq!(record.change(at(639), LONG, SHORT), None);
    assert_eq!(record.change(at(640), LONG, SHORT), Some(SHORT));
}

#[test]
fn a_plan_that_lengthens_the_timeouts_again_keeps_the_record() {
    let mut record = LifetimeRecord::new();
    assert_eq!(record.change(at(0), LONG, SHORT), None);
    assert_eq!(record.change(at(600), LONG, LONG), None);
    assert_eq!(record.change(at(700), LONG, SHORT), None);
    assert_eq!(record.change(at(1_300), LONG, SHORT), None);
}
