//! Runs of a stream are delivered in order, in whatever order they arrive.

use bytes::Bytes;
use ledger::reassembly::Arrival;
use ledger::reassembly::MAX_EARLY;
use ledger::reassembly::Reassembler;
use ledger::reassembly::TokenRun;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use rstest::rstest;

fn run(offset: u32, count: u32) -> TokenRun {
    let words = (offset..offset + count).map(|index| format!(" w{index}"));
    TokenRun {
        offset,
        count,
        text: Bytes::from(words.collect::<String>()),
    }
}

/// A stream from token `first` on, split into runs.
fn split(first: u32, counts: &[u32]) -> Vec<TokenRun> {
    let mut offset = first;
    let mut runs = Vec::new();
    for count in counts {
        runs.push(run(offset, *count));
        offset += count;
    }
    runs
}

fn shuffled() -> impl Strategy<Value = (u32, Vec<TokenRun>, Vec<TokenRun>)> {
    let counts = vec(1..4_u32, 1..MAX_EARLY);
    let runs = (0..100_u32, counts).prop_map(|(first, counts)| (first, split(first, &counts)));
    runs.prop_flat_map(|(first, runs)| {
        // Each run arrives at least once, and some twice.
        let doubled = prop::sample::subsequence(runs.clone(), 0..=runs.len());
        (Just(first), Just(runs), doubled)
    })
    .prop_flat_map(|(first, runs, doubled)| {
        let arrivals: Vec<TokenRun> = runs.iter().cloned().chain(doubled).collect();
        (Just(first), Just(runs), Just(arrivals).prop_shuffle())
    })
}

proptest! {
    #[test]
    fn every_token_is_delivered_once_and_in_order((first, runs, arrivals) in shuffled()) {
        let mut reassembler = Reassembler::new(first);
        let mut out = Vec::new();
        for run in arrivals {
            let before = out.len();
            let arrival = reassembler.push(run, &mut out);
            prop_assert!(arrival != Arrival::Broken);
            prop_assert_eq!(arrival == Arrival::Ready, out.len() > before);
        }
        prop_assert_eq!(&out, &runs);
        let end = runs.iter().map(|run| run.count).sum::<u32>() + first;
        prop_assert_eq!(reassembler.delivered(), end);
    }

    #[test]
    fn no_token_is_repeated_or_skipped(
        first in 0..20_u32,
        arrivals in vec((0..60_u32, 0..6_u32), 0..200),
    ) {
        let mut reassembler = Reassembler::new(first);
        let mut out = Vec::new();
        for (offset, count) in arrivals {
            reassembler.push(run(offset, count), &mut out);
        }
        let mut due = first;
        for run in &out {
            prop_assert_eq!(run.offset, due);
            due += run.count;
        }
        prop_assert_eq!(reassembler.delivered(), due);
    }

    #[test]
    fn hostile_numbers_never_panic(
        first in any::<u32>(),
        arrivals in vec((any::<u32>(), any::<u32>()), 0..4),
    ) {
        let mut reassembler = Reassembler::new(first);
        let mut out = Vec::new();
        let due = std::iter::once((first, 1));
        for (offset, count) in arrivals.into_iter().chain(due) {
            let text = Bytes::new();
            reassembler.push(TokenRun { offset, count, text }, &mut out);
        }
        prop_assert!(reassembler.delivered() >= first);
    }
}

#[rstest]
#[case::delivered_before(run(2, 3), Arrival::Repeated)]
#[case::partly_delivered(run(3, 4), Arrival::Broken)]
#[case::due(run(5, 1), Arrival::Ready)]
#[case::early(run(6, 1), Arrival::Early)]
fn a_run_after_five_tokens(#[case] arriving: TokenRun, #[case] expected: Arrival) {
    let mut reassembler = Reassembler::new(5);
    assert_eq!(reassembler.push(arriving, &mut Vec::new()), expected);
}

#[test]
fn too_many_early_runs_break_the_stream_until_a_reset() {
    let mut reassembler = Reassembler::new(0);
    let mut out = Vec::new();
    for offset in 1..=MAX_EARLY as u32 {
        assert_eq!(reassembler.push(run(offset, 1), &mut out), Arrival::Early);
    }
    let next = run(MAX_EARLY as u32 + 1, 1);
    assert_eq!(reassembler.push(next, &mut out), Arrival::Broken);
    reassembler.reset();
    assert_eq!(reassembler.push(run(0, 1), &mut out), Arrival::Ready);
    assert_eq!(out, [run(0, 1)]);
}

#[test]
fn an_early_run_with_an_overflowing_count_never_panics() {
    let mut reassembler = Reassembler::new(0);
    let mut out = Vec::new();
    let text = Bytes::new();
    let count = u32::MAX;
    reassembler.push(
        TokenRun {
            offset: 5,
            count,
            text,
        },
        &mut out,
    );
    reassembler.push(run(0, 5), &mut out);
    assert!(reassembler.delivered() >= 5);
}
