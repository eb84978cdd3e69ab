//! A machine may be suspended for seconds. Its steady clock does not count that time, and a daemon that
//! measures with it takes what it knew before for fresh: it sends to replicas that have left, goes on with a claim that
//! another daemon has taken over, and grants callers and replicas time that is gone.
//!
//! Here the clock of the timers is stopped, and time passes all the same.

use std::thread;
use std::time::Duration;

use gateway::clock::Clock;

/// How long the machine is suspended.
const SUSPENDED: Duration = Duration::from_millis(300);

#[tokio::test(start_paused = true)]
async fn the_time_that_a_machine_was_suspended_counts() {
    let clock = Clock::new();
    let before = clock.now();
    thread::sleep(SUSPENDED);
    assert!(clock.now().since(before) >= SUSPENDED);
}

#[tokio::test(start_paused = true)]
async fn a_limit_that_passed_meanwhile_is_over() {
    let clock = Clock::new();
    let limit = clock.instant(clock.now() + SUSPENDED / 2);
    thread::sleep(SUSPENDED);
    assert!(limit.elapsed() >= SUSPENDED / 4);
}
