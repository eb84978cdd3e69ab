//! Placing requests: slots, leaving replicas, repeats.

mod common;

use ident::Replica;
use ident::Time;
use route::phase::Phase;
use route::replica::Member;
use route::replica::Role;
use route::verdict::Choice;
use rstest::rstest;

use common::call;
use common::cell;
use common::decode;
use common::handle;
use common::member;
use common::members;
use common::pair;
use common::row;
use common::step;
use common::ticket;

#[rstest]
fn a_request_gets_a_pair() {
    let mut cell = cell(&members(1, 1, 2));
    cell.submit(Time::ZERO, ticket(1, row()));
    let verdicts = step(&mut cell, Time::ZERO);
    assert_eq!(
        pair(&verdicts[0]),
        Some((Replica::new("p0"), Replica::new("d0")))
    );
    assert_eq!(cell.in_progress(), 1);
}

#[rstest]
fn no_prefill_starts_without_a_decode_slot() {
    let mut cell = cell(&members(4, 1, 2));
    for n in 0..5 {
        cell.submit(Time::ZERO, ticket(n, row()));
    }
    assert_eq!(step(&mut cell, Time::ZERO).len(), 2);
    assert_eq!(cell.claimed_slots(Replica::new("d0")), 2);
    assert_eq!(cell.waiting(), 3);
}

#[rstest]
#[case(Phase::Finished { tokens: 5 })]
#[case(Phase::Gone)]
fn an_end_frees_the_slot(#[case] end: Phase) {
    let mut cell = cell(&members(2, 1, 1));
    cell.submit(Time::ZERO, ticket(1, row()));
    cell.submit(Time::ZERO, ticket(2, row()));
    assert_eq!(step(&mut cell, Time::ZERO).len(), 1);
    let now = Time::from_millis(100);
    decode(&mut cell, now, 1);
    assert!(step(&mut cell, now).is_empty());
    cell.advance(now, handle(1), end);
    assert_eq!(step(&mut cell, now).len(), 1);
}

#[rstest]
fn a_repeat_gets_the_same_verdict() {
    let mut cell = cell(&members(1, 1, 2));
    cell.submit(Time::ZERO, ticket(1, row()));
    let first = step(&mut cell, Time::ZERO);
    cell.submit(Time::ZERO, ticket(1, row()));
    assert_eq!(step(&mut cell, Time::ZERO), first);
    assert_eq!(cell.claimed_slots(Replica::new("d0")), 1);
    cell.advance(Time::ZERO, handle(1), Phase::Gone);
    cell.submit(Time::ZERO, ticket(1, row()));
    assert_eq!(step(&mut cell, Time::ZERO), first);
    assert_eq!(cell.in_progress(), 0);
}

#[rstest]
fn a_leaving_replica_gets_nothing() {
    let mut all = members(1, 2, 4);
    all[1].leaving = true;
    let mut cell = cell(&all);
    for n in 0..4 {
        let now = Time::from_millis(n * 200);
        cell.submit(now, ticket(n, row()));
        let verdicts = step(&mut cell, now);
        assert_eq!(
            pair(&verdicts[0]).map(|pair| pair.1),
            Some(Replica::new("d1"))
        );
        decode(&mut cell, now, n);
    }
}

#[rstest]
fn a_rejected_decode_is_placed_elsewhere() {
    let mut cell = cell(&members(1, 2, 1));
    cell.submit(Time::ZERO, ticket(1, row()));
    let first = pair(&step(&mut cell, Time::ZERO)[0]).expect("a pair");
    cell.advance(
        Time::ZERO,
        handle(1),
        Phase::Prefilled {
            computed: 1_000,
            cached: 0,
        },
    );
    cell.mark_lost(Time::ZERO, first.1);
    let left: Vec<Member> = members(1, 2, 1)
        .into_iter()
        .filter(|member| member.replica != first.1)
        .collect();
    cell.set_members(Time::ZERO, &left);
    cell.advance(Time::ZERO, handle(1), Phase::Rejected);
    let second = pair(&step(&mut cell, Time::ZERO)[0]).expect("a pair");
    assert_eq!(second.0, first.0);
    assert_ne!(second.1, first.1);
}

#[rstest]
fn plain_calls_fill_the_free_slots() {
    let mut cell = cell(&[member("x", Role::Plain, 2), member("y", Role::Plain, 1)]);
    for n in 0..4 {
        cell.submit(Time::ZERO, call(n, row()));
    }
    let verdicts = step(&mut cell, Time::ZERO);
    assert_eq!(verdicts.len(), 3);
    assert!(
        verdicts
            .iter()
            .all(|verdict| matches!(verdict.choice, Choice::Single { .. }))
    );
    cell.advance(Time::ZERO, handle(0), Phase::Finished { tokens: 0 });
    assert_eq!(step(&mut cell, Time::ZERO).len(), 1);
}
