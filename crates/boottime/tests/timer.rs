//! Waits while the runtime's clock is stopped and time passes, as during suspension.

use std::future::pending;
use std::thread;
use std::time::Duration;

use boottime::Instant;
use boottime::timer;
use boottime::timer::Elapsed;

/// How long the machine is suspended.
const SUSPENDED: Duration = Duration::from_millis(300);

#[tokio::test(start_paused = true)]
async fn a_wait_that_expired_during_suspension_ends_when_it_is_noticed() {
    let runtime_start = tokio::time::Instant::now();
    let end = Instant::now() + SUSPENDED / 2;
    let wait = tokio::spawn(timer::timeout_at(end, pending::<()>()));
    tokio::task::yield_now().await;
    thread::sleep(SUSPENDED);
    assert!(!wait.is_finished());
    timer::wake_all();
    assert_eq!(wait.await.unwrap(), Err(Elapsed));
    assert_eq!(runtime_start.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_longer_wait_continues_for_the_remaining_time() {
    let start = Instant::now();
    let wait = tokio::spawn(timer::sleep_until(start + 2 * SUSPENDED));
    tokio::task::yield_now().await;
    thread::sleep(SUSPENDED);
    timer::wake_all();
    tokio::task::yield_now().await;
    assert!(!wait.is_finished());
    tokio::time::resume();
    wait.await.unwrap();
    assert!(start.elapsed() >= 2 * SUSPENDED);
}

#[tokio::test]
async fn a_future_that_ends_in_time_returns_its_output() {
    let limit = Duration::from_hours(1);
    assert_eq!(timer::timeout(limit, async { 7 }).await, Ok(7));
    let past = Instant::now() - Duration::from_secs(1);
    assert_eq!(timer::timeout_at(past, async { 7 }).await, Ok(7));
    assert_eq!(timer::timeout_at(past, pending::<()>()).await, Err(Elapsed));
}

#[test]
fn no_suspension_is_reported_without_one() {
    let mut detector = timer::SuspendDetector::new();
    thread::sleep(Duration::from_millis(50));
    assert_eq!(detector.check(), None);
}

#[test]
fn instants_are_ordered_and_saturate_at_the_start() {
    let now = Instant::now();
    let later = now + Duration::from_secs(5);
    assert!(later > now);
    assert_eq!(later.saturating_duration_since(now), Duration::from_secs(5));
    assert_eq!(now.saturating_duration_since(later), Duration::ZERO);
    assert_eq!(later.elapsed(), Duration::ZERO);
    assert!(now - Duration::from_hours(1_000_000) <= now);
}
