//! Which of a customer's requests are granted while it sends more than its quota.

use std::time::Duration;

use customer::rank::Rank;
use customer::rank::Standing;
use rstest::rstest;

use crate::crowd::Crowd;
use crate::crowd::LIMIT;
use crate::load::BEYOND;
use crate::load::MARGIN;
use crate::load::WITHIN;
use crate::load::assert_bounds;
use crate::load::groups;

#[rstest]
#[case(WITHIN, 1)]
#[case(WITHIN, 30)]
#[case(BEYOND, 1)]
#[case(BEYOND, 30)]
fn urgent_ranks_are_served_first(#[case] rates: [f64; 4], #[case] daemons: usize) {
    for seed in 1..=4 {
        let outcome = Crowd::new(groups(rates), seed).with_daemons(daemons).play();
        let shares: Vec<f64> = (0..4).map(|group| outcome.first_share(group)).collect();
        for rank in 0..2 {
            assert!(shares[rank] >= shares[rank + 1] - MARGIN, "{shares:?}");
        }
        assert_bounds(&outcome);
    }
}

#[rstest]
#[case(WITHIN)]
#[case(BEYOND)]
fn calls_are_served_for_the_most_part(#[case] rates: [f64; 4]) {
    let outcome = Crowd::new(groups(rates), 1).play();
    let share = outcome.served_share(3);
    assert!(share > 0.5, "{share}");
}

#[test]
fn an_urgent_rank_within_the_quota_is_served_in_full() {
    let outcome = Crowd::new(groups(WITHIN), 1).play();
    let share = outcome.first_share(0);
    assert!(share > 0.95, "{share}");
}

/// Guards against late callers that take the places of those who could be in time.
#[rstest]
#[case(WITHIN)]
#[case(BEYOND)]
fn returned_callers_get_what_first_attempts_leave(#[case] rates: [f64; 4]) {
    // Long enough for callers to return for as long as others come.
    let length = Duration::from_secs(12);
    for seed in 1..=4 {
        let crowd = Crowd::new(groups(rates), seed).with_length(length);
        let outcome = crowd.play();
        for rank in 0..3 {
            let standing = Standing::new(Rank::new(rank));
            let missed = outcome.refused_units(standing);
            let returned = outcome.granted_units(standing.with_returned(true));
            // Where first attempts are refused, those who return get what is kept for them: the tenth
            // of the rate is for three standings at least.
            let kept = 0.1 / 3.0 * LIMIT.rate * length.as_secs_f64();
            let is_short = missed > 0.1 * LIMIT.rate * length.as_secs_f64();
            assert!(!is_short || returned <= kept, "{rank}: {missed} {returned}");
        }
    }
}

#[rstest]
#[case(WITHIN)]
#[case(BEYOND)]
fn no_standing_starves(#[case] rates: [f64; 4]) {
    for seed in 1..=4 {
        let outcome = Crowd::new(groups(rates), seed).play();
        assert_eq!(outcome.starved(Duration::from_secs(3)), Vec::new());
    }
}
