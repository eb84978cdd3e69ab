//! Waits while the runtime's clock stands and time passes all the same, as when the machine is suspended.

use std::future::pending;
use std::thread;
use std::time::Duration;

use boottime::Instant;
use boottime::timer;
use boottime::timer::Elapsed;

/// How long the machine is suspended.
const SUSPENDED: Duration = Duration::from_millis(300);

#[tokio::test(start_paused = true)]
async fn a_wait_that_ended_meanwhile_ends_when_the_suspension_is_noticed() {
    let steady = tokio::time::Instant::now();
    let end = Instant::now() + SUSPENDED / 2;
    let wait = tokio::spawn(timer::timeout_at(end, pending::<()>()));
    tokio::task::yield_now().await;
    thread::sleep(SUSPENDED);
    assert!(!wait.is_finished());
    timer::wake_all();
    assert_eq!(wait.await.unwrap(), Err(Elapsed));
    assert_eq!(steady.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_wait_that_lasts_longer_goes_on_for_what_is_left() {
    let begun = Instant::now();
    let wait = tokio::spawn(timer::sleep_until(begun + 2 * SUSPENDED));
    tokio::task::yield_now().await;
    thread::sleep(SUSPENDED);
    timer::wake_all();
    tokio::task::yield_now().await;
    assert!(!wait.is_finished());
    tokio::time::resume();
    wait.await.unwrap();
    assert!(begun.elapsed() >= 2 * SUSPENDED);
}

#[tokio::test]
async fn what_ends_in_time_is_given() {
    let limit = Duration::from_hours(1);
    assert_eq!(timer::timeout(limit, async { 7 }).await, Ok(7));
    let past = Instant::now() - Duration::from_secs(1);
    assert_eq!(timer::timeout_at(past, async { 7 }).await, Ok(7));
    assert_eq!(timer::timeout_at(past, pending::<()>()).await, Err(Elapsed));
}

#[test]
fn a_machine_that_was_not_suspended_is_not_said_to_have_been() {
    let mut watch = timer::SuspendDetector::new();
    thread::sleep(Duration::from_millis(50));
    assert_eq!(watch.check(), None);
}

#[test]
fn moments_are_ordered_and_never_before_the_start() {
    let now = Instant::now();
    let later = now + Duration::from_secs(5);
    assert!(later > now);
    assert_eq!(later.saturating_duration_since(now), Duration::from_secs(5));
    assert_eq!(now.saturating_duration_since(later), Duration::ZERO);
    assert_eq!(later.elapsed(), Duration::ZERO);
    assert!(now - Duration::from_hours(1_000_000) <= now);
}
