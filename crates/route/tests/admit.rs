//! Admission: refusals, ceilings, priorities, shares and retry budgets.

mod common;

use std::time::Duration;

use ident::Row;
use ident::Time;
use route::phase::Phase;
use route::rule::Rule;
use route::scheduler::Scheduler;
use route::settings::Settings;
use route::ticket::Ticket;
use route::verdict::Choice;
use route::verdict::Reason;
use route::verdict::Verdict;
use rstest::rstest;

use common::decode;
use common::handle;
use common::members;
use common::row;
use common::rule;
use common::step;
use common::ticket;

fn refusal(verdict: &Verdict) -> Option<(Reason, Duration)> {
    match verdict.choice {
        Choice::Refused {
            reason,
            retry_after,
        } => Some((reason, retry_after)),
        _ => None,
    }
}

fn scheduler_with(rules: &[Rule], prefills: usize, slots: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(Settings::new(), 1);
    scheduler.set_rules(Time::ZERO, rules);
    scheduler.set_members(Time::ZERO, &members(prefills, 1, slots));
    scheduler
}

#[rstest]
fn an_unknown_row_is_refused() {
    let mut scheduler = scheduler_with(&[], 1, 1);
    scheduler.submit(Time::ZERO, ticket(1, row()));
    let verdicts = step(&mut scheduler, Time::ZERO);
    let (reason, retry_after) = refusal(&verdicts[0]).expect("a refusal");
    assert_eq!(reason, Reason::UnknownRow);
    assert!(retry_after > Duration::ZERO);
}

#[rstest]
#[case(Rule { decode_ceiling: 0, ..rule(row()) })]
#[case(Rule { prefill_ceiling: 0, ..rule(row()) })]
fn a_row_with_a_zero_ceiling_is_refused(#[case] rule: Rule) {
    let mut scheduler = scheduler_with(&[rule], 1, 1);
    scheduler.submit(Time::ZERO, ticket(1, row()));
    let verdicts = step(&mut scheduler, Time::ZERO);
    assert_eq!(
        refusal(&verdicts[0]).map(|refusal| refusal.0),
        Some(Reason::Ceiling)
    );
}

#[rstest]
#[case(Rule { decode_ceiling: 2, ..rule(row()) })]
#[case(Rule { prefill_ceiling: 2, ..rule(row()) })]
fn requests_above_a_ceiling_wait(#[case] rule: Rule) {
    let mut scheduler = scheduler_with(&[rule], 8, 20);
    for n in 0..5 {
        scheduler.submit(Time::ZERO, ticket(n, row()));
    }
    assert_eq!(step(&mut scheduler, Time::ZERO).len(), 2);
    scheduler.advance(Time::ZERO, handle(0), Phase::Gone);
    assert_eq!(step(&mut scheduler, Time::ZERO).len(), 1);
}

#[rstest]
fn a_doomed_request_is_refused_with_retry_after() {
    let mut scheduler = scheduler_with(&[rule(row())], 1, 1);
    scheduler.submit(Time::ZERO, ticket(1, row()));
    step(&mut scheduler, Time::ZERO);
    scheduler.submit(Time::ZERO, ticket(2, row()));
    assert!(step(&mut scheduler, Time::from_millis(1_000)).is_empty());
    let verdicts = step(&mut scheduler, Time::from_millis(10_001));
    let (reason, retry_after) = refusal(&verdicts[0]).expect("a refusal");
    assert_eq!(reason, Reason::Doomed);
    assert!(retry_after > Duration::ZERO);
    assert_eq!(scheduler.waiting(), 0);
}

#[rstest]
fn a_refused_handle_is_refused_again() {
    let mut scheduler = scheduler_with(&[], 1, 1);
    scheduler.submit(Time::ZERO, ticket(1, row()));
    let first = step(&mut scheduler, Time::ZERO);
    scheduler.submit(Time::ZERO, ticket(1, row()));
    assert_eq!(step(&mut scheduler, Time::ZERO), first);
}

#[rstest]
fn waiting_requests_of_a_dropped_row_are_refused() {
    let mut scheduler = scheduler_with(&[rule(row())], 1, 1);
    scheduler.submit(Time::ZERO, ticket(1, row()));
    step(&mut scheduler, Time::ZERO);
    scheduler.submit(Time::ZERO, ticket(2, row()));
    scheduler.set_rules(Time::ZERO, &[]);
    let verdicts = step(&mut scheduler, Time::ZERO);
    assert_eq!(
        refusal(&verdicts[0]).map(|refusal| refusal.0),
        Some(Reason::UnknownRow)
    );
    scheduler.advance(Time::ZERO, handle(1), Phase::Gone);
    assert_eq!(scheduler.in_progress(), 0);
}

#[rstest]
fn a_more_urgent_row_goes_first() {
    let (draft, basket) = (Row::new("draft"), Row::new("basket"));
    let urgent = Rule {
        priority: 0,
        ..rule(basket)
    };
    let mut scheduler = scheduler_with(&[rule(draft), urgent], 1, 1);
    scheduler.submit(Time::ZERO, ticket(1, draft));
    scheduler.submit(Time::ZERO, ticket(2, basket));
    let verdicts = step(&mut scheduler, Time::ZERO);
    assert_eq!(verdicts[0].handle, handle(2));
}

#[rstest]
fn the_request_due_first_goes_first_within_a_row() {
    let mut scheduler = scheduler_with(&[rule(row())], 1, 1);
    let waited = Duration::from_millis(500);
    scheduler.submit(Time::from_millis(600), ticket(1, row()));
    scheduler.submit(
        Time::from_millis(600),
        Ticket {
            waited,
            ..ticket(2, row())
        },
    );
    let verdicts = step(&mut scheduler, Time::from_millis(600));
    assert_eq!(verdicts[0].handle, handle(2));
}

/// Serves 600 requests one after the other and counts them by row.
fn serve(rows: &[Row], shares: &[u32]) -> Vec<usize> {
    let long = Duration::from_secs(100_000);
    let rules: Vec<Rule> = rows
        .iter()
        .zip(shares)
        .map(|(row, share)| Rule {
            share: *share,
            ttft: long,
            max_wait: long,
            ..rule(*row)
        })
        .collect();
    let mut scheduler = scheduler_with(&rules, 1, 1);
    let mut now = Time::ZERO;
    for n in 0..1_800 {
        scheduler.submit(now, ticket(n, rows[n as usize % rows.len()]));
    }
    let mut counts = vec![0; rows.len()];
    for _ in 0..600 {
        let verdicts = step(&mut scheduler, now);
        let n = verdicts[0].handle.sequence;
        counts[n as usize % rows.len()] += 1;
        now = now + Duration::from_millis(100);
        decode(&mut scheduler, now, n);
        now = now + Duration::from_millis(1_900);
        scheduler.advance(now, handle(n), Phase::Finished { tokens: 50 });
    }
    counts
}

#[rstest]
fn shares_are_kept_under_saturation() {
    let rows = [Row::new("x"), Row::new("y"), Row::new("z")];
    let counts = serve(&rows, &[3, 2, 1]);
    for (count, expected) in counts.iter().zip([300_usize, 200, 100]) {
        assert!(count.abs_diff(expected) <= 20, "{counts:?}");
    }
}

#[rstest]
fn retries_stay_within_their_budget() {
    let mut scheduler = scheduler_with(&[rule(row())], 1, 20);
    let retries = (0..20).map(|n| Ticket {
        attempt: 1,
        ..ticket(n, row())
    });
    retries.for_each(|retry| scheduler.submit(Time::ZERO, retry));
    let verdicts = step(&mut scheduler, Time::ZERO);
    let refused = verdicts.iter().filter_map(refusal);
    assert_eq!(
        refused
            .filter(|refusal| refusal.0 == Reason::RetryBudget)
            .count(),
        8
    );
}
