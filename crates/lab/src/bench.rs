//! Measures the wall-clock time of one scheduling decision.

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

/// Decisions timed in one measurement.
const DECISIONS: u64 = 20_000;
/// Simulated time that a request is in progress.
const REQUEST_DURATION: Duration = Duration::from_secs(5);
/// Rows of the configuration table.
const ROWS: u64 = 40;
/// Data centres.
const DATA_CENTRES: u64 = 11;
/// Blocks of a prompt.
const BLOCKS: u64 = 40;

/// Median and 99th percentile, in microseconds, of one decision: the end of an old request, a new
/// ticket, and the step that places it.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Median.
    pub median: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Times decisions of a scheduler with `replicas` replicas, `busy` requests in progress and `queued`
/// waiting.
///
/// With a queue the scheduler is full: each decision queues a ticket, ends a request, which frees a
/// slot, and runs the step that grants the slot to another request.
pub fn measure(replicas: u64, busy: u64, queued: u64) -> Timing {
    let mut scheduler = scheduler(replicas, busy, queued > 0);
    let mut now = Time::from_millis(1);
    let mut out = Vec::new();
    let mut live = std::collections::VecDeque::new();
    let mut next = 0;
    let pause = REQUEST_DURATION / busy as u32;
    while (live.len() as u64) < busy {
        now = now + pause;
        place(&mut scheduler, now, next, &mut out, &mut live);
        next += 1;
    }
    for _ in 0..queued {
        scheduler.submit(now, ticket(next));
        next += 1;
    }
    scheduler.step(now, &mut out);
    apply_verdicts(&mut scheduler, now, &mut out, &mut live);
    let mut samples = Vec::new();
    for _ in 0..DECISIONS {
        now = now + pause;
        let ticket = ticket(next);
        let oldest = live.pop_front();
        let begin = Instant::now();
        if let Some(oldest) = oldest {
            scheduler.advance(now, oldest, Phase::Finished { tokens: 200 });
        }
        scheduler.submit(now, ticket);
        scheduler.step(now, &mut out);
        samples.push(begin.elapsed().as_secs_f64() * 1e6);
        apply_verdicts(&mut scheduler, now, &mut out, &mut live);
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
    scheduler: &mut Scheduler,
    now: Time,
    n: u64,
    out: &mut Vec<Verdict>,
    live: &mut std::collections::VecDeque<Handle>,
) {
    scheduler.submit(now, ticket(n));
    scheduler.step(now, out);
    apply_verdicts(scheduler, now, out, live);
}

fn apply_verdicts(
    scheduler: &mut Scheduler,
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
            scheduler.advance(now, verdict.handle, phase);
            scheduler.advance(now, verdict.handle, Phase::Decoding);
            live.push_back(verdict.handle);
        }
    }
}

fn row(n: u64) -> Row {
    Row::from_parts("bench", &format!("c{}", n % ROWS), "pool")
}

fn scheduler(replicas: u64, busy: u64, full: bool) -> Scheduler {
    let mut scheduler = Scheduler::new(Settings::new(), 1);
    let rules: Vec<Rule> = (0..ROWS).map(rule).collect();
    scheduler.set_rules(Time::ZERO, &rules);
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
            zone: Zone::new(&format!("z{}", i % DATA_CENTRES)),
            role: if i < prefills {
                Role::Prefill
            } else {
                Role::Decode
            },
            slots,
            leaving: false,
        })
        .collect();
    scheduler.set_members(Time::ZERO, &members);
    scheduler
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
