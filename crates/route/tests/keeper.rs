//! Changes of keeper, and lost replicas.

mod common;

use std::time::Duration;

use ident::Replica;
use ident::Time;
use route::phase::Phase;
use route::replica::Member;
use route::replica::Report;
use route::replica::Role;
use route::scheduler::Hold;
use route::settings::Settings;
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

fn hold(n: u64, phase: Option<Phase>) -> Hold {
    let prefill = Some(Replica::new("p0"));
    Hold {
        ticket: ticket(n, row()),
        prefill,
        decode: Replica::new("d0"),
        phase,
    }
}

fn after_grace() -> Time {
    Time::ZERO + Settings::new().grace
}

#[rstest]
fn a_new_keeper_grants_nothing_in_its_grace_period() {
    let mut scheduler = scheduler(&members(2, 1, 2));
    scheduler.begin_takeover(Time::ZERO);
    scheduler.submit(Time::ZERO, ticket(1, row()));
    assert!(step(&mut scheduler, Time::from_millis(100)).is_empty());
    assert_eq!(step(&mut scheduler, after_grace()).len(), 1);
}

#[rstest]
fn the_grace_period_ends_early_once_all_owners_have_reported() {
    let mut scheduler = scheduler(&members(2, 1, 2));
    scheduler.begin_takeover(Time::ZERO);
    scheduler.submit(Time::ZERO, ticket(1, row()));
    let now = Time::from_millis(50);
    scheduler.end_grace(now);
    assert_eq!(step(&mut scheduler, now).len(), 1);
}

#[rstest]
#[case(None)]
#[case(Some(Phase::Prefilled { computed: 1_000, cached: 0 }))]
#[case(Some(Phase::Decoding))]
fn adopted_holds_count_against_slots(#[case] phase: Option<Phase>) {
    let mut scheduler = scheduler(&members(2, 1, 2));
    scheduler.adopt(Time::ZERO, &hold(1, phase));
    scheduler.adopt(Time::ZERO, &hold(1, phase));
    assert_eq!(scheduler.claimed_slots(Replica::new("d0")), 1);
    assert_eq!(scheduler.row_usage(row()).1, 1);
    scheduler.submit(Time::ZERO, ticket(2, row()));
    scheduler.submit(Time::ZERO, ticket(3, row()));
    assert!(step(&mut scheduler, Time::from_millis(100)).is_empty());
    assert_eq!(step(&mut scheduler, after_grace()).len(), 1);
    scheduler.advance(after_grace(), handle(1), Phase::Finished { tokens: 3 });
    assert_eq!(step(&mut scheduler, after_grace()).len(), 1);
}

#[rstest]
fn an_adopted_plain_call_counts() {
    let mut scheduler = scheduler(&[member("x", Role::Plain, 1)]);
    let decode = Replica::new("x");
    let hold = Hold {
        ticket: call(1, row()),
        prefill: None,
        decode,
        phase: None,
    };
    scheduler.adopt(Time::ZERO, &hold);
    scheduler.submit(Time::ZERO, call(2, row()));
    assert!(step(&mut scheduler, after_grace()).is_empty());
    scheduler.advance(after_grace(), handle(1), Phase::Finished { tokens: 0 });
    let verdicts = step(&mut scheduler, after_grace());
    assert_eq!(verdicts[0].choice, Choice::Single { replica: decode });
}

#[rstest]
fn a_repeated_ticket_of_an_adopted_request_gets_its_placement() {
    let mut scheduler = scheduler(&members(1, 1, 1));
    scheduler.adopt(Time::ZERO, &hold(1, None));
    scheduler.submit(Time::ZERO, ticket(1, row()));
    let verdicts = step(&mut scheduler, Time::ZERO);
    assert_eq!(
        pair(&verdicts[0]),
        Some((Replica::new("p0"), Replica::new("d0")))
    );
}

fn report(boot: u64, works: u32) -> Report {
    Report {
        age: Duration::ZERO,
        boot,
        running: works,
        waiting: 0,
        queued_tokens: 0,
        works,
        events: Vec::new(),
    }
}

#[rstest]
fn a_lost_replica_gets_no_work_until_it_reports() {
    let mut scheduler = scheduler(&members(1, 1, 2));
    scheduler.mark_lost(Time::ZERO, Replica::new("d0"));
    scheduler.submit(Time::ZERO, ticket(1, row()));
    assert!(step(&mut scheduler, Time::ZERO).is_empty());
    scheduler.apply_report(Time::ZERO, Replica::new("d0"), &report(1, 0));
    assert_eq!(step(&mut scheduler, Time::ZERO).len(), 1);
}

#[rstest]
fn a_reboot_frees_the_slots() {
    let mut scheduler = scheduler(&members(1, 1, 1));
    scheduler.apply_report(Time::ZERO, Replica::new("d0"), &report(1, 0));
    scheduler.submit(Time::ZERO, ticket(1, row()));
    step(&mut scheduler, Time::ZERO);
    decode(&mut scheduler, Time::ZERO, 1);
    assert_eq!(scheduler.claimed_slots(Replica::new("d0")), 1);
    scheduler.apply_report(Time::ZERO, Replica::new("d0"), &report(2, 0));
    assert_eq!(scheduler.claimed_slots(Replica::new("d0")), 0);
    assert_eq!(scheduler.in_progress(), 1);
    scheduler.advance(Time::ZERO, handle(1), Phase::Gone);
    assert_eq!(scheduler.in_progress(), 0);
}

#[rstest]
fn foreign_load_takes_slots() {
    let mut scheduler = scheduler(&members(1, 1, 2));
    scheduler.apply_report(Time::ZERO, Replica::new("d0"), &report(1, 2));
    scheduler.submit(Time::ZERO, ticket(1, row()));
    assert!(step(&mut scheduler, Time::ZERO).is_empty());
    scheduler.apply_report(Time::ZERO, Replica::new("d0"), &report(1, 1));
    assert_eq!(step(&mut scheduler, Time::ZERO).len(), 1);
}

#[rstest]
fn a_member_that_is_no_longer_listed_is_lost() {
    let mut scheduler = scheduler(&members(1, 2, 1));
    let left: Vec<Member> = members(1, 2, 1)
        .into_iter()
        .filter(|m| m.replica != Replica::new("d0"))
        .collect();
    scheduler.set_members(Time::ZERO, &left);
    scheduler.submit(Time::ZERO, ticket(1, row()));
    let verdicts = step(&mut scheduler, Time::ZERO);
    assert_eq!(
        pair(&verdicts[0]).map(|pair| pair.1),
        Some(Replica::new("d1"))
    );
}

#[rstest]
fn a_replica_that_failed_an_attempt_is_avoided() {
    let mut scheduler = scheduler(&members(2, 2, 1));
    let mut ticket = ticket(1, row());
    ticket.avoid = vec![Replica::new("p0"), Replica::new("d0")];
    scheduler.submit(Time::ZERO, ticket);
    let verdicts = step(&mut scheduler, Time::ZERO);
    assert_eq!(
        pair(&verdicts[0]),
        Some((Replica::new("p1"), Replica::new("d1")))
    );
}
