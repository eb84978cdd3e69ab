//! Prompts that are being read: what daemons know of each other's, and what follows.

mod common;

use std::time::Duration;

use ident::Instance;
use ident::Time;
use relay::claim_publisher::ClaimPublisher;
use relay::claims;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::claims::PrefillBacklog;
use relay::pool::Pool;
use relay::replica::Stage;
use relay::runs::Runs;
use relay::server::Key;

const NOW: Time = Time::from_millis(100_000);
const PROMPT: u64 = 5_200;
/// Tokens that a replica reads in a millisecond.
const PACE: u64 = 55;
const OBJECTIVE: Duration = Duration::from_millis(900);

fn pool(replicas: usize) -> Pool {
    common::pool(NOW, common::engines(replicas, Stage::Prefill, 32))
}

fn choose(pool: &Pool) -> Key {
    let want = common::want("llm", Some(Stage::Prefill), &[], None);
    pool.choose(NOW, &want, || 0.5).unwrap()
}

fn reading(replica: usize, tokens: u32) -> PrefillBacklog {
    PrefillBacklog {
        replica: claims::incarnation_hash(&replica.to_string(), None),
        tokens,
    }
}

fn told(readings: &[PrefillBacklog]) -> ClaimUpdate {
    ClaimUpdate::changed(Vec::new()).with_readings(readings.to_vec())
}

#[test]
fn a_replica_that_reads_for_other_daemons_is_not_chosen() {
    let mut pool = pool(2);
    let mut claims = Claims::new();
    for peer in 0..2 {
        claims.apply(NOW, Instance(peer), told(&[reading(0, 10_000)]));
    }
    pool.update_pending_prefills(NOW, &claims);
    let chosen = choose(&pool);
    assert_eq!(pool.get(chosen).unwrap().replica.id, "1");
    pool.start_request(chosen, 30_000);
    assert_ne!(choose(&pool), chosen);
}

#[test]
fn prompts_that_were_read_count_no_longer() {
    let mut claims = Claims::new();
    let unread = |claims: &Claims| claims.pending_prefills(NOW).unwrap().values().sum::<u64>();
    claims.apply(
        NOW,
        Instance(1),
        told(&[reading(0, 9_000), reading(1, 5_000)]),
    );
    assert_eq!(unread(&claims), 14_000);
    claims.apply(NOW, Instance(1), told(&[reading(0, 0)]));
    assert_eq!(unread(&claims), 5_000);
    let all = ClaimUpdate::all(Vec::new()).with_readings(vec![reading(3, 700)]);
    claims.apply(NOW, Instance(1), all);
    assert_eq!(unread(&claims), 700);
    let late = NOW + Duration::from_secs(2);
    claims.remove_expired(late);
    assert!(claims.pending_prefills(late).is_none());
}

/// The time follows from what waits at this moment; a mean of past reads told of a queue a second late.
#[test]
fn the_time_of_a_read_follows_from_what_waits() {
    let mut pool = pool(1);
    let key = choose(&pool);
    assert_eq!(pool.estimate_prefill_time(NOW, key, PROMPT), None);
    let took = Duration::from_millis(PROMPT / PACE);
    pool.record_prefill(NOW, key, took, PROMPT);
    let ms = |pool: &Pool| {
        pool.estimate_prefill_time(NOW, key, PROMPT)
            .unwrap()
            .as_millis()
    };
    assert!((90..100).contains(&ms(&pool)), "{}", ms(&pool));
    let mut claims = Claims::new();
    claims.apply(NOW, Instance(1), told(&[reading(0, 9 * PROMPT as u32)]));
    pool.update_pending_prefills(NOW, &claims);
    assert!((900..1_000).contains(&ms(&pool)), "{}", ms(&pool));
}

#[test]
fn the_longer_reads_take_the_more_are_left_to_decode_replicas() {
    let mut pool = pool(1);
    let key = choose(&pool);
    pool.record_prefill(NOW, key, Duration::from_millis(PROMPT / PACE), PROMPT);
    let mut parts = Vec::new();
    for waiting in [0, 4, 6, 12] {
        let mut claims = Claims::new();
        claims.apply(
            NOW,
            Instance(1),
            told(&[reading(0, waiting * PROMPT as u32)]),
        );
        pool.update_pending_prefills(NOW, &claims);
        parts.push(pool.decode_prefill_share(NOW, key, PROMPT, OBJECTIVE));
    }
    assert!(parts[0] < 0.01 && parts[1] < 0.2, "{parts:?}");
    assert!(parts[2] > parts[1] && parts[3] > 0.8, "{parts:?}");
}

#[test]
fn what_is_read_is_told_when_it_begins_and_when_it_ends() {
    let mut pool = pool(2);
    let runs = Runs::new();
    let mut teller = ClaimPublisher::new();
    assert!(teller.due(NOW, &runs, &pool).is_none());
    let key = choose(&pool);
    pool.start_request(key, PROMPT);
    let told = teller.due(NOW, &runs, &pool).unwrap();
    assert_eq!(told.readings[0].tokens, PROMPT as u32);
    pool.end_request(key, PROMPT);
    let later = NOW + Duration::from_millis(20);
    let told = teller.due(later, &runs, &pool).unwrap();
    assert_eq!((told.readings.len(), told.readings[0].tokens), (1, 0));
}
