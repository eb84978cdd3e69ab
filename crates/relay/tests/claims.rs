//! Claims of other daemons.

use std::time::Duration;

use ident::Instance;
use ident::Time;
use relay::claims;
use relay::claims::Claim;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::forecast::Curve;
use rstest::rstest;

const START: Time = Time::from_millis(100_000);
const HERE: &str = "i-1";

fn here() -> u64 {
    claims::incarnation_hash(HERE, None)
}

fn peer(number: u64) -> Instance {
    Instance(number)
}

fn claim(id: &str, runs: u16, newest_ms: u16, tokens: f64) -> Claim {
    Claim::new(
        claims::incarnation_hash(id, None),
        runs,
        0,
        newest_ms,
        &Curve::flat(tokens),
    )
}

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

#[test]
fn claims_of_all_peers_add_up_by_replica() {
    let mut claims = Claims::new();
    claims.apply(
        START,
        peer(1),
        ClaimUpdate::all(vec![claim(HERE, 2, 500, 16_000.0)]),
    );
    claims.apply(
        START,
        peer(2),
        ClaimUpdate::all(vec![
            claim(HERE, 1, 300, 8_000.0),
            claim("i-2", 1, 1, 8_000.0),
        ]),
    );
    let usage = claims.peer_usage(START, here());
    assert_eq!(usage.runs, 3);
    assert!((usage.curve.peak(0.0) - 24_000.0).abs() < 32.0);
    assert_eq!(usage.newest, Some(Duration::from_millis(300)));
}

#[test]
fn a_newer_claim_replaces_the_older_one() {
    let mut claims = Claims::new();
    claims.apply(
        START,
        peer(1),
        ClaimUpdate::all(vec![claim(HERE, 2, 500, 16_000.0)]),
    );
    claims.apply(after(100), peer(1), ClaimUpdate::all(Vec::new()));
    assert_eq!(claims.peer_usage(after(100), here()).runs, 0);
    assert_eq!(claims.active_peers().count(), 0);
}

#[test]
fn claims_of_a_silent_peer_expire() {
    let mut claims = Claims::new();
    claims.apply(
        START,
        peer(1),
        ClaimUpdate::all(vec![claim(HERE, 2, 500, 16_000.0)]),
    );
    assert_eq!(claims.peer_usage(after(1_000), here()).runs, 2);
    assert_eq!(claims.peer_usage(after(1_300), here()).runs, 0);
    claims.remove_expired(after(1_300));
    assert_eq!(claims.active_peers().count(), 0);
}

#[test]
fn runs_age_without_further_updates() {
    let mut claims = Claims::new();
    claims.apply(
        START,
        peer(1),
        ClaimUpdate::all(vec![claim(HERE, 1, 300, 8_000.0)]),
    );
    let newest = claims.peer_usage(after(200), here()).newest;
    assert_eq!(newest, Some(Duration::from_millis(500)));
}

#[test]
fn a_run_that_does_not_generate_yet_is_not_the_newest() {
    let mut claims = Claims::new();
    claims.apply(
        START,
        peer(1),
        ClaimUpdate::all(vec![claim(HERE, 1, u16::MAX, 8_000.0)]),
    );
    assert_eq!(claims.peer_usage(START, here()).newest, None);
}

#[rstest]
#[case(0.0)]
#[case(5_000.0)]
#[case(1e9)]
fn claims_of_any_size_can_be_encoded(#[case] tokens: f64) {
    let mut claims = Claims::new();
    claims.apply(
        START,
        peer(1),
        ClaimUpdate::all(vec![claim(HERE, 1, 0, tokens)]),
    );
    let claimed = claims.peer_usage(START, here()).curve.peak(0.0);
    assert!(claimed <= tokens + 16.0);
    assert!(claimed >= tokens.min(1_000_000.0) - 16.0);
}
