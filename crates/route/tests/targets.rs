//! Targets for the time between tokens, also ones that no batch can meet.

mod common;

use std::time::Duration;

use ident::Time;
use route::phase::Phase;
use route::rule::Rule;
use route::scheduler::Scheduler;
use route::settings::Settings;

use common::decode;
use common::handle;
use common::members;
use common::pair;
use common::row;
use common::rule;
use common::step;
use common::ticket;

const PREFILLS: usize = 8;
const SLOTS: u32 = 64;

/// A scheduler with the target `tbt` that has learned that its engines take 100 ms per token in any
/// batch, and the number of requests that trained it.
fn trained_scheduler(tbt: Duration) -> (Scheduler, Time, u64) {
    let mut scheduler = Scheduler::new(Settings::new(), 1);
    scheduler.set_rules(Time::ZERO, &[Rule { tbt, ..rule(row()) }]);
    scheduler.set_members(Time::ZERO, &members(PREFILLS, 1, SLOTS));
    let mut now = Time::ZERO + Duration::from_secs(10);
    let mut next = 0;
    for round in 0..60 {
        let batch = 1 + round % PREFILLS as u64;
        let asked: Vec<u64> = (next..next + batch).collect();
        next += batch;
        for n in &asked {
            scheduler.submit(now, ticket(*n, row()));
        }
        let placed = step(&mut scheduler, now).iter().filter_map(pair).count();
        now = now + Duration::from_millis(100);
        for n in &asked {
            decode(&mut scheduler, now, *n);
        }
        // Slightly longer in a larger batch, as real times are.
        now = now + Duration::from_millis(1_000 + placed as u64);
        for n in &asked {
            let phase = Phase::Finished { tokens: 10 };
            scheduler.advance(now, handle(*n), phase);
            scheduler.advance(now, handle(*n), Phase::Gone);
        }
        step(&mut scheduler, now);
        now = now + Duration::from_millis(100);
    }
    (scheduler, now, next)
}

/// Requests of twenty that are placed within half a second.
fn placed_requests(tbt: Duration) -> usize {
    let (mut scheduler, mut now, first) = trained_scheduler(tbt);
    for n in first..first + 20 {
        scheduler.submit(now, ticket(n, row()));
    }
    let mut placed = 0;
    for _ in 0..10 {
        let verdicts = step(&mut scheduler, now);
        let paired = verdicts.iter().filter(|verdict| pair(verdict).is_some());
        let paired: Vec<_> = paired.map(|verdict| verdict.handle).collect();
        placed += paired.len();
        now = now + Duration::from_millis(50);
        for n in first..first + 20 {
            if paired.contains(&handle(n)) {
                decode(&mut scheduler, now, n);
            }
        }
    }
    placed
}

#[test]
fn an_attainable_target_limits_batches() {
    assert_eq!(placed_requests(Duration::from_millis(200)), 20);
}

/// A request misses such a target even alone, so limiting the batch would leave slots free for no
/// gain.
#[test]
fn an_unattainable_target_does_not_limit_batches() {
    assert_eq!(placed_requests(Duration::from_millis(50)), 20);
}
