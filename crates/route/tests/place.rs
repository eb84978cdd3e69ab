//! Placement of requests: slots, leaving replicas and repeated tickets.

mod common;

use ident::Replica;
use ident::Time;
use route::phase::Phase;
use route::replica::Member;
use route::replica::Role;
use route::verdict::Choice;
use rstest::rstest;

use common::call;
use common::decode;
use common::handle;
use common::member;
use common::members;
use common::pair;
use common::row;
use common::scheduler;
use common::step;
use common::ticket;

#[rstest]
fn a_request_gets_a_pair() {
    let mut scheduler = scheduler(&members(1, 1, 2));
    scheduler.submit(Time::ZERO, ticket(1, row()));
    let verdicts = step(&mut scheduler, Time::ZERO);
    assert_eq!(
        pair(&verdicts[0]),
        Some((Replica::new("p0"), Replica::new("d0")))
    );
    assert_eq!(scheduler.in_progress(), 1);
}

#[rstest]
fn no_prefill_starts_without_a_decode_slot() {
    let mut scheduler = scheduler(&members(4, 1, 2));
    for n in 0..5 {
        scheduler.submit(Time::ZERO, ticket(n, row()));
    }
    assert_eq!(step(&mut scheduler, Time::ZERO).len(), 2);
    assert_eq!(scheduler.claimed_slots(Replica::new("d0")), 2);
    assert_eq!(scheduler.waiting(), 3);
}

#[rstest]
#[case(Phase::Finished { tokens: 5 })]
#[case(Phase::Gone)]
fn the_end_of_a_request_frees_its_slot(#[case] end: Phase) {
    let mut scheduler = scheduler(&members(2, 1, 1));
    scheduler.submit(Time::ZERO, ticket(1, row()));
    scheduler.submit(Time::ZERO, ticket(2, row()));
    assert_eq!(step(&mut scheduler, Time::ZERO).len(), 1);
    let now = Time::from_millis(100);
    decode(&mut scheduler, now, 1);
    assert!(step(&mut scheduler, now).is_empty());
    scheduler.advance(now, handle(1), end);
    assert_eq!(step(&mut scheduler, now).len(), 1);
}

#[rstest]
fn a_repeated_ticket_gets_the_same_verdict() {
    let mut scheduler = scheduler(&members(1, 1, 2));
    scheduler.submit(Time::ZERO, ticket(1, row()));
    let first = step(&mut scheduler, Time::ZERO);
    scheduler.submit(Time::ZERO, ticket(1, row()));
    assert_eq!(step(&mut scheduler, Time::ZERO), first);
    assert_eq!(scheduler.claimed_slots(Replica::new("d0")), 1);
    scheduler.advance(Time::ZERO, handle(1), Phase::Gone);
    scheduler.submit(Time::ZERO, ticket(1, row()));
    assert_eq!(step(&mut scheduler, Time::ZERO), first);
    assert_eq!(scheduler.in_progress(), 0);
}

#[rstest]
fn a_leaving_replica_gets_no_work() {
    let mut all = members(1, 2, 4);
    all[1].leaving = true;
    let mut scheduler = scheduler(&all);
    for n in 0..4 {
        let now = Time::from_millis(n * 200);
        scheduler.submit(now, ticket(n, row()));
        let verdicts = step(&mut scheduler, now);
        assert_eq!(
            pair(&verdicts[0]).map(|pair| pair.1),
            Some(Replica::new("d1"))
        );
        decode(&mut scheduler, now, n);
    }
}

#[rstest]
fn a_rejected_decode_is_placed_elsewhere() {
    let mut scheduler = scheduler(&members(1, 2, 1));
    scheduler.submit(Time::ZERO, ticket(1, row()));
    let first = pair(&step(&mut scheduler, Time::ZERO)[0]).expect("a pair");
    scheduler.advance(
        Time::ZERO,
        handle(1),
        Phase::Prefilled {
            computed: 1_000,
            cached: 0,
        },
    );
    scheduler.mark_lost(Time::ZERO, first.1);
    let left: Vec<Member> = members(1, 2, 1)
        .into_iter()
        .filter(|member| member.replica != first.1)
        .collect();
    scheduler.set_members(Time::ZERO, &left);
    scheduler.advance(Time::ZERO, handle(1), Phase::Rejected);
    let second = pair(&step(&mut scheduler, Time::ZERO)[0]).expect("a pair");
    assert_eq!(second.0, first.0);
    assert_ne!(second.1, first.1);
}

#[rstest]
fn plain_calls_fill_the_free_slots() {
    let mut scheduler = scheduler(&[member("x", Role::Plain, 2), member("y", Role::Plain, 1)]);
    for n in 0..4 {
        scheduler.submit(Time::ZERO, call(n, row()));
    }
    let verdicts = step(&mut scheduler, Time::ZERO);
    assert_eq!(verdicts.len(), 3);
    assert!(
        verdicts
            .iter()
            .all(|verdict| matches!(verdict.choice, Choice::Single { .. }))
    );
    scheduler.advance(Time::ZERO, handle(0), Phase::Finished { tokens: 0 });
    assert_eq!(step(&mut scheduler, Time::ZERO).len(), 1);
}
