//! The order within a quota while keepers change, and with messages of other versions.

use std::time::Duration;

use customer::keeper::Decision;
use customer::keeper::Keeper;
use customer::keeper::Purpose;
use customer::keeper::QuotaRequest;
use customer::keeper::Role;
use customer::keeper::Ruling;
use customer::keeper::View;
use customer::list::CustomerId;
use customer::rank::Rank;
use customer::rank::Standing;
use customer::subject::Subject;
use ident::Time;
use rstest::rstest;
use serde::Deserialize as _;
use serde::de::IntoDeserializer as _;
use serde::de::value;
use serde::de::value::U8Deserializer;

use crate::crowd::Crowd;
use crate::crowd::LENGTH;
use crate::crowd::LIMIT;
use crate::crowd::START;
use crate::crowd::TOLERANCE;
use crate::load::GENERATION;
use crate::load::MARGIN;
use crate::load::WITHIN;
use crate::load::assert_bounds;
use crate::load::groups;
use crate::outcome::Record;

/// A new keeper knows no demand, so the order needs a second of it.
#[test]
fn a_new_keeper_regains_the_order() {
    let replaced = Duration::from_secs(3);
    let crowd = Crowd::new(groups(WITHIN), 1).with_new_keeper(replaced);
    let outcome = crowd.play();
    let is_ordered_again = |record: &Record| record.at >= START + replaced + Duration::from_secs(1);
    let share = |group| {
        outcome.share(|record| {
            is_ordered_again(record) && record.group == group && !record.standing.returned
        })
    };
    assert!(share(0) > 0.95, "{}", share(0));
    assert!(share(0) > share(1) && share(1) > share(2) - MARGIN);
    let allowed = LIMIT.burst + LIMIT.rate * LENGTH.as_secs_f64();
    assert!(outcome.used() <= allowed, "{}", outcome.used());
}

#[test]
fn a_deputy_keeps_the_order_within_its_part() {
    let outcome = Crowd::new(groups(WITHIN), 1).at_deputy().play();
    assert!(outcome.first_share(0) > outcome.first_share(2));
    let part = TOLERANCE.deputy_limit(LIMIT);
    let allowed = part.burst + part.rate * (LENGTH.as_secs_f64() + 0.2);
    assert!(outcome.used() <= allowed, "{} of {allowed}", outcome.used());
}

/// Requests of an older daemon are of the middle, so that they neither go first nor starve.
#[test]
fn an_older_daemon_among_newer_ones_spoils_neither_order_nor_bound() {
    let crowd = Crowd::new(groups(WITHIN), 1).with_older_daemon(10);
    let outcome = crowd.play();
    assert!(outcome.first_share(0) > 0.85, "{}", outcome.first_share(0));
    assert!(outcome.first_share(0) > outcome.first_share(2));
    assert_bounds(&outcome);
}

#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(f64::NEG_INFINITY)]
#[case(-1.0)]
fn units_that_cannot_be_counted_are_refused_and_change_nothing(#[case] units: f64) {
    let mut keeper = Keeper::new();
    for purpose in [
        Purpose::Run { patience_ms: 100 },
        Purpose::Ran,
        Purpose::GiveBack,
    ] {
        let ruling = ask(&mut keeper, units, purpose);
        assert_eq!(ruling.reply.decision, Decision::Unsure);
    }
    let ruling = ask(&mut keeper, GENERATION, Purpose::Run { patience_ms: 0 });
    let missing = LIMIT.burst - ruling.reply.left;
    assert!((missing - GENERATION).abs() < 1e-6, "{missing}");
}

fn ask(keeper: &mut Keeper, units: f64, purpose: Purpose) -> Ruling {
    let request = QuotaRequest {
        subject: Subject::Customer(CustomerId(7)),
        units,
        purpose,
    };
    let ask = request.ranked(Standing::PLAIN);
    keeper.decide(
        START,
        &View::new(Role::Keeper, Time::ZERO),
        LIMIT,
        &TOLERANCE,
        &ask,
    )
}

/// Guards the order against a rank in a message that is out of range.
#[rstest]
#[case(0, 0)]
#[case(9, 9)]
#[case(10, 9)]
#[case(255, 9)]
fn decoded_ranks_are_in_range(#[case] sent: u8, #[case] decoded: u8) {
    let deserializer: U8Deserializer<value::Error> = sent.into_deserializer();
    let rank = Rank::deserialize(deserializer).unwrap();
    assert_eq!(rank.value(), decoded);
}
