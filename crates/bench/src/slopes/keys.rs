//! Memory and time of remembered idempotency keys.

use std::hint::black_box;

use bytes::Bytes;
use ident::Incarnation;
use ident::Key;
use ident::Prefix;
use ledger::keys::KeyRegistry;
use ledger::keys::KeyState;

use crate::report::Report;
use crate::usage;

const COLUMNS: [&str; 5] = ["keys", "MB", "B_a_key", "mark_ns", "forget_us"];
const WINDOW_S: u64 = 600;
const NOW: u64 = 1_790_000_000;
/// Bytes of the answer that is kept with each key.
const ANSWER: usize = 64;
/// Keys that are forgotten to time it.
const FORGOTTEN: usize = 50;

/// Measures memories of `sizes` keys.
pub fn measure(sizes: &[usize]) -> Report {
    let mut report = Report::new("keys", &COLUMNS);
    for size in sizes {
        report.push(&format!("{size} keys"), &one(*size));
    }
    report.print();
    report.print_fit("keys", "MB");
    report.print_fit("keys", "forget_us");
    report
}

fn one(size: usize) -> Vec<f64> {
    let before = usage::own_memory().unwrap_or(0.0);
    let mut memory: KeyRegistry<u64> = KeyRegistry::new(WINDOW_S, usize::MAX);
    let begun = usage::thread_time();
    for number in 0..size {
        let mark = KeyState::Answered {
            status: 200,
            body: Some(Bytes::from(vec![b'x'; ANSWER])),
        };
        memory.set(NOW, &key(number), mark);
    }
    let marked = usage::thread_time().saturating_sub(begun);
    let bytes = usage::own_memory().unwrap_or(0.0) - before;
    let begun = usage::thread_time();
    for number in 0..FORGOTTEN.min(size) {
        memory.forget(&key(size / 2 + number));
    }
    let forgot = usage::thread_time().saturating_sub(begun);
    black_box(memory.len());
    vec![
        size as f64,
        bytes / 1_048_576.0,
        bytes / size as f64,
        marked.as_secs_f64() / size as f64 * 1e9,
        forgot.as_secs_f64() / FORGOTTEN as f64 * 1e6,
    ]
}

fn key(number: usize) -> Key {
    let prefix = Prefix::new(Incarnation(0x1234_5678_9abc_def0), NOW);
    let customer = format!("customer-{}", number % 8_300);
    Key::new(&customer, &format!("{prefix}order-{number:012}"))
}
