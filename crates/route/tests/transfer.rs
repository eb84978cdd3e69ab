//! Transfers over stalled links, and prefixes cached on replicas.

mod common;

use std::time::Duration;

use ident::Replica;
use ident::Time;
use ident::Zone;
use route::phase::Phase;
use route::replica::CacheEvent;
use route::replica::Member;
use route::replica::Report;
use route::replica::Role;
use route::scheduler::Scheduler;
use route::ticket::Ticket;
use route::ticket::Work;
use rstest::rstest;

use common::decode;
use common::handle;
use common::member;
use common::members;
use common::pair;
use common::row;
use common::scheduler;
use common::step;
use common::ticket;

fn in_zone(zone: &str, name: &str) -> Member {
    Member {
        zone: Zone::new(zone),
        ..member(name, Role::Decode, 4)
    }
}

/// Places request 1 on `d0` in data centre `b`; its transfer never ends.
fn stall_transfer(scheduler: &mut Scheduler) {
    scheduler.submit(Time::ZERO, ticket(1, row()));
    step(scheduler, Time::ZERO);
    scheduler.advance(
        Time::from_millis(100),
        handle(1),
        Phase::Prefilled {
            computed: 1_000,
            cached: 0,
        },
    );
}

/// Submits request 2 at `now` and returns when and where it is granted.
fn granted_at(scheduler: &mut Scheduler, now: Time) -> Option<(Time, Replica)> {
    let late = now + Duration::from_secs(9);
    scheduler.submit(now, ticket(2, row()));
    let mut at = now;
    while at < late {
        if let Some((_, decode)) = step(scheduler, at).first().and_then(pair) {
            return Some((at, decode));
        }
        at = at + Duration::from_millis(20);
    }
    None
}

#[rstest]
fn a_stalled_link_is_avoided_while_there_is_another() {
    let mut scheduler = scheduler(&[member("p0", Role::Prefill, 1), in_zone("b", "d0")]);
    stall_transfer(&mut scheduler);
    let all = [
        member("p0", Role::Prefill, 1),
        in_zone("b", "d0"),
        in_zone("c", "d1"),
    ];
    scheduler.set_members(Time::from_millis(900), &all);
    let granted = granted_at(&mut scheduler, Time::from_millis(1_000));
    assert_eq!(
        granted,
        Some((Time::from_millis(1_000), Replica::new("d1")))
    );
}

#[rstest]
fn the_only_link_is_retried_soon_after_a_stall() {
    let mut scheduler = scheduler(&[member("p0", Role::Prefill, 1), in_zone("b", "d0")]);
    stall_transfer(&mut scheduler);
    scheduler.advance(Time::from_millis(30_000), handle(1), Phase::Gone);
    let (at, _) = granted_at(&mut scheduler, Time::from_millis(30_100)).expect("a grant");
    assert!(at <= Time::from_millis(32_000), "{at:?}");
}

/// A request of 40 blocks that shares the first 32 with all others of its kind.
fn shared_prefix_ticket(n: u64) -> Ticket {
    let shared = 0..32;
    let own = (32..40).map(|i| n * 1_000 + i);
    let work = Work::Model {
        prompt_tokens: 8_000,
        max_tokens: 10,
        blocks: shared.chain(own).collect(),
        done_tokens: 0,
    };
    Ticket {
        work,
        ..ticket(n, row())
    }
}

fn report(events: Vec<CacheEvent>) -> Report {
    Report {
        age: Duration::ZERO,
        boot: 1,
        running: 0,
        waiting: 0,
        queued_tokens: 0,
        works: 0,
        events,
    }
}

#[rstest]
fn a_request_goes_to_the_replica_that_caches_its_prefix() {
    let mut scheduler = scheduler(&members(3, 1, 20));
    for n in 1..6 {
        let now = Time::from_millis(n * 2_000);
        scheduler.submit(now, shared_prefix_ticket(n));
        let verdicts = step(&mut scheduler, now);
        let first = pair(&verdicts[0]).map(|pair| pair.0);
        assert_eq!(first, Some(Replica::new("p0")));
        assert_eq!(verdicts[0].why.cached_blocks > 20, n > 1);
        decode(&mut scheduler, now + Duration::from_millis(800), n);
    }
}

#[rstest]
fn evicted_blocks_do_not_attract_requests() {
    let mut scheduler = scheduler(&members(3, 1, 20));
    let event = |seq, stored| CacheEvent {
        seq,
        block: seq % 100,
        stored,
    };
    let stored = (0..32).map(|i| event(100 + i, true)).collect();
    scheduler.apply_report(Time::ZERO, Replica::new("p2"), &report(stored));
    let evicted = (0..32).map(|i| event(200 + i, false)).collect();
    scheduler.apply_report(Time::ZERO, Replica::new("p2"), &report(evicted));
    scheduler.submit(Time::ZERO, shared_prefix_ticket(1));
    let verdicts = step(&mut scheduler, Time::ZERO);
    assert_eq!(verdicts[0].why.cached_blocks, 0);
    assert_eq!(
        pair(&verdicts[0]).map(|pair| pair.0),
        Some(Replica::new("p0"))
    );
}

#[rstest]
fn reported_blocks_attract_requests() {
    let mut scheduler = scheduler(&members(3, 1, 20));
    let event = |i| CacheEvent {
        seq: 100 + i,
        block: i,
        stored: true,
    };
    scheduler.apply_report(
        Time::ZERO,
        Replica::new("p2"),
        &report((0..32).map(event).collect()),
    );
    scheduler.submit(Time::ZERO, shared_prefix_ticket(1));
    let verdicts = step(&mut scheduler, Time::ZERO);
    assert_eq!(
        pair(&verdicts[0]).map(|pair| pair.0),
        Some(Replica::new("p2"))
    );
}
