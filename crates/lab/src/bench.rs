//! Wall-clock time of one decision.

use std::time::Duration;
use std::time::Instant;

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

/// Decisions that one measurement takes.
const DECISIONS: u64 = 20_000;
/// Time that a request stays.
const STAY: Duration = Duration::from_secs(5);
/// Rows of the table.
const ROWS: u64 = 40;
/// Data centres.
const ZONES: u64 = 11;
/// Blocks of a prompt.
const BLOCKS: u64 = 40;

/// Median and 99th percentile of one decision: a ticket, the step that places it, and the phases
/// until its end, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Half of the decisions took less.
    pub median: f64,
    /// One in a hundred took longer.
    pub p99: f64,
}

/// Times decisions of a cell of `replicas` with `busy` requests in progress and `queued` waiting.
///
/// With a queue the cell is full: each decision is a ticket that queues, an end that frees a slot,
/// and the step that grants it to another request.
pub fn measure(replicas: u64, busy: u64, queued: u64) -> Timing {
    let mut cell = cell(replicas, busy, queued > 0);
    let mut now = Time::from_millis(1);
    let mut out = Vec::new();
    let mut live = std::collections::VecDeque::new();
    let mut next = 0;
    let pause = STAY / busy as u32;
    while (live.len() as u64) < busy {
        now = now + pause;
        place(&mut cell, now, next, &mut out, &mut live);
        next += 1;
    }
    for _ in 0..queued {
        cell.submit(now, ticket(next));
        next += 1;
    }
    cell.step(now, &mut out);
    take(&mut cell, now, &mut out, &mut live);
    let mut samples = Vec::new();
    for _ in 0..DECISIONS {
        now = now + pause;
        let ticket = ticket(next);
        let oldest = live.pop_front();
        let begin = Instant::now();
        if let Some(oldest) = oldest {
            cell.advance(now, oldest, Phase::Finished { tokens: 200 });
        }
        cell.submit(now, ticket);
        cell.step(now, &mut out);
        samples.push(begin.elapsed().as_secs_f64() * 1e6);
        take(&mut cell, now, &mut out, &mut live);
        next += 1;
    }
    samples.sort_by(f64::total_cmp);
    let at = |part: f64| samples[(samples.len() as f64 * part) as usize];
    Timing {
        median: at(0.5),
        p99: at(0.99),
    }
}

fn place(
    cell: &mut Scheduler,
    now: Time,
    n: u64,
    out: &mut Vec<Verdict>,
    live: &mut std::collections::VecDeque<Handle>,
) {
    cell.submit(now, ticket(n));
    cell.step(now, out);
    take(cell, now, out, live);
}

fn take(
    cell: &mut Scheduler,
    now: Time,
    out: &mut Vec<Verdict>,
    live: &mut std::collections::VecDeque<Handle>,
) {
    for verdict in out.drain(..) {
        if let Choice::Paired { .. } = verdict.choice {
            let phase = Phase::Prefilled {
                computed: 4_000,
                cached: 1_000,
            };
            cell.advance(now, verdict.handle, phase);
            cell.advance(now, verdict.handle, Phase::Decoding);
            live.push_back(verdict.handle);
        }
    }
}

fn row(n: u64) -> Row {
    Row::from_parts("bench", &format!("c{}", n % ROWS), "pool")
}

fn cell(replicas: u64, busy: u64, full: bool) -> Scheduler {
    let mut cell = Scheduler::new(Settings::new(), 1);
    let rules: Vec<Rule> = (0..ROWS).map(rule).collect();
    cell.set_rules(Time::ZERO, &rules);
    let prefills = replicas / 3;
    let each = busy / (replicas - prefills);
    let slots = if full {
        each.max(1)
    } else {
        (2 * each).max(20)
    } as u32;
    let members: Vec<Member> = (0..replicas)
        .map(|i| Member {
            replica: Replica::new(&format!("r{i}")),
            zone: Zone::new(&format!("z{}", i % ZONES)),
            role: if i < prefills {
                Role::Prefill
            } else {
                Role::Decode
            },
            slots,
            leaving: false,
        })
        .collect();
    cell.set_members(Time::ZERO, &members);
    cell
}

fn rule(n: u64) -> Rule {
    Rule {
        row: row(n),
        share: 1 + n as u32 % 5,
        priority: 5,
        ttft: Duration::from_secs(1_000_000),
        tbt: Duration::from_millis(50),
        max_wait: Duration::from_secs(1_000_000),
        prefill_ceiling: 100_000,
        decode_ceiling: 100_000,
        retry_percent: 10,
        waste_percent: 50,
    }
}

fn ticket(n: u64) -> Ticket {
    let customer = n % 997;
    let blocks = (0..BLOCKS).map(|i| {
        if i < 32 {
            customer << 16 | i
        } else {
            n << 32 | i
        }
    });
    Ticket {
        handle: Handle::new(Incarnation(1), n),
        row: row(n),
        work: Work::Model {
            prompt_tokens: 5_000,
            max_tokens: 400,
            blocks: blocks.collect(),
            done_tokens: 0,
        },
        waited: Duration::from_millis(1),
        home: Zone::new("z0"),
        attempt: 0,
        avoid: Vec::new(),
    }
}
