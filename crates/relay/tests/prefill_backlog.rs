//! Pending prefills: exchange between daemons, and effect on the choice of replicas.

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
/// Tokens that a replica prefills per millisecond.
const TOKENS_PER_MS: u64 = 55;
const OBJECTIVE: Duration = Duration::from_millis(900);

fn pool(replicas: usize) -> Pool {
    common::pool(NOW, common::engines(replicas, Stage::Prefill, 32))
}

fn choose(pool: &Pool) -> Key {
    let criteria = common::criteria("llm", Some(Stage::Prefill), &[], None);
    pool.choose(NOW, &criteria, || 0.5).unwrap()
}

fn backlog(replica: usize, tokens: u32) -> PrefillBacklog {
    PrefillBacklog {
        replica: claims::incarnation_hash(&replica.to_string(), None),
        tokens,
    }
}

fn update(backlogs: &[PrefillBacklog]) -> ClaimUpdate {
    ClaimUpdate::changed(Vec::new()).with_readings(backlogs.to_vec())
}

#[test]
fn a_replica_that_prefills_for_other_daemons_is_not_chosen() {
    let mut pool = pool(2);
    let mut claims = Claims::new();
    for peer in 0..2 {
        claims.apply(NOW, Instance(peer), update(&[backlog(0, 10_000)]));
    }
    pool.update_pending_prefills(NOW, &claims);
    let chosen = choose(&pool);
    assert_eq!(pool.get(chosen).unwrap().replica.id, "1");
    pool.start_request(chosen, 30_000);
    assert_ne!(choose(&pool), chosen);
}

#[test]
fn completed_prefills_no_longer_count() {
    let mut claims = Claims::new();
    let pending = |claims: &Claims| claims.pending_prefills(NOW).unwrap().values().sum::<u64>();
    claims.apply(
        NOW,
        Instance(1),
        update(&[backlog(0, 9_000), backlog(1, 5_000)]),
    );
    assert_eq!(pending(&claims), 14_000);
    claims.apply(NOW, Instance(1), update(&[backlog(0, 0)]));
    assert_eq!(pending(&claims), 5_000);
    let all = ClaimUpdate::all(Vec::new()).with_readings(vec![backlog(3, 700)]);
    claims.apply(NOW, Instance(1), all);
    assert_eq!(pending(&claims), 700);
    let late = NOW + Duration::from_secs(2);
    claims.remove_expired(late);
    assert!(claims.pending_prefills(late).is_none());
}

/// Guards against an estimate from the mean of past prefills, which shows a queue a second late.
#[test]
fn the_prefill_time_depends_on_the_current_queue() {
    let mut pool = pool(1);
    let key = choose(&pool);
    assert_eq!(pool.estimate_prefill_time(NOW, key, PROMPT), None);
    let took = Duration::from_millis(PROMPT / TOKENS_PER_MS);
    pool.record_prefill(NOW, key, took, PROMPT);
    let ms = |pool: &Pool| {
        pool.estimate_prefill_time(NOW, key, PROMPT)
            .unwrap()
            .as_millis()
    };
    assert!((90..100).contains(&ms(&pool)), "{}", ms(&pool));
    let mut claims = Claims::new();
    claims.apply(NOW, Instance(1), update(&[backlog(0, 9 * PROMPT as u32)]));
    pool.update_pending_prefills(NOW, &claims);
    assert!((900..1_000).contains(&ms(&pool)), "{}", ms(&pool));
}

#[test]
fn slower_prefills_leave_more_prompts_to_decode_replicas() {
    let mut pool = pool(1);
    let key = choose(&pool);
    pool.record_prefill(
        NOW,
        key,
        Duration::from_millis(PROMPT / TOKENS_PER_MS),
        PROMPT,
    );
    let mut shares = Vec::new();
    for waiting in [0, 4, 6, 12] {
        let mut claims = Claims::new();
        claims.apply(
            NOW,
            Instance(1),
            update(&[backlog(0, waiting * PROMPT as u32)]),
        );
        pool.update_pending_prefills(NOW, &claims);
        shares.push(pool.decode_prefill_share(NOW, key, PROMPT, OBJECTIVE));
    }
    assert!(shares[0] < 0.01 && shares[1] < 0.2, "{shares:?}");
    assert!(shares[2] > shares[1] && shares[3] > 0.8, "{shares:?}");
}

#[test]
fn the_start_and_the_end_of_a_prefill_are_published() {
    let mut pool = pool(2);
    let runs = Runs::new();
    let mut publisher = ClaimPublisher::new();
    assert!(publisher.due(NOW, &runs, &pool).is_none());
    let key = choose(&pool);
    pool.start_request(key, PROMPT);
    let update = publisher.due(NOW, &runs, &pool).unwrap();
    assert_eq!(update.readings[0].tokens, PROMPT as u32);
    pool.end_request(key, PROMPT);
    let later = NOW + Duration::from_millis(20);
    let update = publisher.due(later, &runs, &pool).unwrap();
    assert_eq!((update.readings.len(), update.readings[0].tokens), (1, 0));
}

#[test]
fn the_prefill_time_depends_on_the_pace_of_the_replica() {
    let mut pool = pool(1);
    let key = choose(&pool);
    pool.record_prefill(NOW, key, Duration::from_millis(100), PROMPT);
    pool.start_request(key, PROMPT);
    pool.record_token_pace(NOW, key, 40e-6);
    let expected = pool.estimate_prefill_time(NOW, key, PROMPT).unwrap();
    assert_eq!(expected.as_millis(), u128::from(2 * PROMPT * 40 / 1_000));
}
