//! A scheduler with one row and few replicas, and helpers that drive it.

#![allow(dead_code, reason = "each test file uses its part")]

use std::time::Duration;

use ident::Handle;
use ident::Incarnation;
use ident::Replica;
use ident::Row;
use ident::Time;
use ident::Zone;
use route::phase::Phase;
use route::replica::Member;
use route::replica::Role;
use route::rule::Rule;
use route::scheduler::Scheduler;
use route::settings::Settings;
use route::ticket::Ticket;
use route::ticket::Work;
use route::verdict::Choice;
use route::verdict::Verdict;

/// The row used by most tests.
pub fn row() -> Row {
    Row::from_parts("draft", "farmer", "feed")
}

/// A rule for `row` with wide limits.
pub fn rule(row: Row) -> Rule {
    Rule {
        row,
        share: 1,
        priority: 1,
        ttft: Duration::from_secs(2),
        tbt: Duration::from_millis(30),
        max_wait: Duration::from_secs(10),
        prefill_ceiling: 1_000,
        decode_ceiling: 1_000,
        retry_percent: 10,
        waste_percent: 0,
    }
}

/// Replica `name` in data centre `a`.
pub fn member(name: &str, role: Role, slots: u32) -> Member {
    let replica = Replica::new(name);
    Member {
        replica,
        zone: Zone::new("a"),
        role,
        slots,
        leaving: false,
    }
}

/// `prefills` and `decodes` replicas, named `p0`, … and `d0`, …
pub fn members(prefills: usize, decodes: usize, slots: u32) -> Vec<Member> {
    let prefills = (0..prefills).map(|i| member(&format!("p{i}"), Role::Prefill, 1));
    let decodes = (0..decodes).map(|i| member(&format!("d{i}"), Role::Decode, slots));
    prefills.chain(decodes).collect()
}

/// A scheduler with [`row`] and the given replicas.
pub fn scheduler(members: &[Member]) -> Scheduler {
    let mut scheduler = Scheduler::new(Settings::new(), 1);
    scheduler.set_rules(Time::ZERO, &[rule(row())]);
    scheduler.set_members(Time::ZERO, members);
    scheduler
}

/// Attempt `n` of a fixed owner.
pub fn handle(n: u64) -> Handle {
    Handle::new(Incarnation(7), n)
}

/// A model request of 1,000 tokens.
pub fn ticket(n: u64, row: Row) -> Ticket {
    Ticket {
        handle: handle(n),
        row,
        work: Work::Model {
            prompt_tokens: 1_000,
            max_tokens: 100,
            blocks: vec![n, n + 1],
            done_tokens: 0,
        },
        waited: Duration::ZERO,
        home: Zone::new("a"),
        attempt: 0,
        avoid: Vec::new(),
    }
}

/// A plain call.
pub fn call(n: u64, row: Row) -> Ticket {
    Ticket {
        work: Work::Plain,
        ..ticket(n, row)
    }
}

/// The verdicts of one step.
pub fn step(scheduler: &mut Scheduler, now: Time) -> Vec<Verdict> {
    let mut out = Vec::new();
    scheduler.step(now, &mut out);
    out
}

/// The pair of a verdict.
pub fn pair(verdict: &Verdict) -> Option<(Replica, Replica)> {
    match verdict.choice {
        Choice::Paired { prefill, decode } => Some((prefill, decode)),
        _ => None,
    }
}

/// Moves request `n` from prefill to decode.
pub fn decode(scheduler: &mut Scheduler, now: Time, n: u64) {
    scheduler.advance(
        now,
        handle(n),
        Phase::Prefilled {
            computed: 1_000,
            cached: 0,
        },
    );
    scheduler.advance(now, handle(n), Phase::Decoding);
}
