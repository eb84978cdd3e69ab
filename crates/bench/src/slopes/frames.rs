//! Size of frames, and the time to encode and decode them.

use std::hint::black_box;

use ident::Handle;
use ident::Incarnation;
use ident::Zone;
use route::phase::Phase;
use route::replica::Role;
use route::ticket::Ticket;
use route::ticket::Work;
use route::verdict::Choice;
use route::verdict::DecisionDetails;
use route::verdict::Verdict;
use wire::Body;
use wire::Decoder;
use wire::Frame;
use wire::TableStatus;

use crate::report::Report;
use crate::usage;
use crate::world::list;
use crate::world::size::Size;

const COLUMNS: [&str; 4] = ["size", "bytes", "encode_us", "decode_us"];
/// Processor time that each figure takes at least, in seconds.
const ENOUGH: f64 = 0.05;

/// Measures frames about requests with prompts of `blocks` blocks, and tables of `rows` rows.
pub fn measure(blocks: &[usize], rows: &[usize]) -> Report {
    let mut report = Report::new("frames", &COLUMNS);
    for blocks in blocks {
        let body = Body::Submit(Box::new(ticket(*blocks)));
        report.push(&format!("submit {blocks} blocks"), &one(*blocks, body));
    }
    report.push("verdict", &one(0, Body::Verdict(verdict())));
    report.push("advance", &one(0, advance()));
    report.push("news", &one(0, Body::News(news())));
    for rows in rows {
        let size = Size {
            daemons: 1,
            zones: 1,
            replicas: 0,
            pools: 14,
            rows: *rows,
        };
        let body = Body::Push(Box::new(list::table(&size)));
        report.push(&format!("push {rows} rows"), &one(*rows, body));
    }
    report.print();
    report
}

fn one(size: usize, body: Body) -> Vec<f64> {
    let frame = Frame::new(list::instance(1), incarnation(), body);
    let bytes = wire::encode(&frame).unwrap_or_default();
    let encode = time(|| drop(black_box(wire::encode(&frame))));
    let decode = time(|| {
        let mut decoder = Decoder::new();
        decoder.extend(&bytes);
        drop(black_box(decoder.next_frame()));
    });
    vec![size as f64, bytes.len() as f64, encode, decode]
}

/// Microseconds of processor time that `work` takes.
fn time(work: impl Fn()) -> f64 {
    let begun = usage::thread_time();
    let mut count = 0;
    loop {
        for _ in 0..10 {
            work();
        }
        count += 10;
        let spent = usage::thread_time().saturating_sub(begun).as_secs_f64();
        if spent > ENOUGH {
            return spent / f64::from(count) * 1e6;
        }
    }
}

const fn incarnation() -> Incarnation {
    Incarnation(0x1234_5678_9abc_def0)
}

const fn handle() -> Handle {
    Handle::new(incarnation(), 123_456)
}

fn ticket(blocks: usize) -> Ticket {
    Ticket {
        handle: handle(),
        row: ident::Row::from_parts("model-1", "default", "model-1"),
        work: Work::Model {
            prompt_tokens: blocks as u32 * 64,
            max_tokens: 400,
            blocks: (0..blocks as u64).map(|block| u64::MAX - block).collect(),
            done_tokens: 0,
        },
        waited: std::time::Duration::from_micros(300),
        home: Zone::new("osijek-a"),
        attempt: 0,
        avoid: Vec::new(),
    }
}

fn verdict() -> Verdict {
    let replica = |role: Role| ident::Replica::new(&format!("{role:?}"));
    Verdict {
        handle: handle(),
        choice: Choice::Paired {
            prefill: replica(Role::Prefill),
            decode: replica(Role::Decode),
        },
        why: DecisionDetails::default(),
    }
}

const fn advance() -> Body {
    Body::Advance {
        handle: handle(),
        phase: Phase::Prefilled {
            computed: 2_000,
            cached: 500,
        },
    }
}

const fn news() -> TableStatus {
    TableStatus {
        generation: 12_345,
        store_age_ms: Some(800),
        settled: true,
        asked: 123_456_789_012,
        answer: false,
    }
}
