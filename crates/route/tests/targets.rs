//! Targets that no batch can meet.

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

/// A cell whose engines take 100 ms for a token in any batch, as it has learned, and the number of
/// requests that taught it; the target is `tbt`.
fn taught(tbt: Duration) -> (Scheduler, Time, u64) {
    let mut cell = Scheduler::new(Settings::new(), 1);
    cell.set_rules(Time::ZERO, &[Rule { tbt, ..rule(row()) }]);
    cell.set_members(Time::ZERO, &members(PREFILLS, 1, SLOTS));
    let mut now = Time::ZERO + Duration::from_secs(10);
    let mut next = 0;
    for round in 0..60 {
        let batch = 1 + round % PREFILLS as u64;
        let asked: Vec<u64> = (next..next + batch).collect();
        next += batch;
        for n in &asked {
            cell.submit(now, ticket(*n, row()));
        }
        let placed = step(&mut cell, now).iter().filter_map(pair).count();
        now = now + Duration::from_millis(100);
        for n in &asked {
            decode(&mut cell, now, *n);
        }
        // A little longer in a larger batch, as measured times are.
        now = now + Duration::from_millis(1_000 + placed as u64);
        for n in &asked {
            let phase = Phase::Finished { tokens: 10 };
            cell.advance(now, handle(*n), phase);
            cell.advance(now, handle(*n), Phase::Gone);
        }
        step(&mut cell, now);
        now = now + Duration::from_millis(100);
    }
    (cell, now, next)
}

/// Requests placed within half a second, of twenty.
fn placed(tbt: Duration) -> usize {
    let (mut cell, mut now, first) = taught(tbt);
    for n in first..first + 20 {
        cell.submit(now, ticket(n, row()));
    }
    let mut placed = 0;
    for _ in 0..10 {
        let verdicts = step(&mut cell, now);
        let paired = verdicts.iter().filter(|verdict| pair(verdict).is_some());
        let paired: Vec<_> = paired.map(|verdict| verdict.handle).collect();
        placed += paired.len();
        now = now + Duration::from_millis(50);
        for n in first..first + 20 {
            if paired.contains(&handle(n)) {
                decode(&mut cell, now, n);
            }
        }
    }
    placed
}

#[test]
fn a_target_that_can_be_met_keeps_batches_small_enough() {
    assert_eq!(placed(Duration::from_millis(200)), 20);
}

/// Alone in a batch a request would miss it as well, and a thousand slots would stay free.
#[test]
fn a_target_that_no_batch_meets_keeps_nobody_waiting() {
    assert_eq!(placed(Duration::from_millis(50)), 20);
}
