//! Avoidance of slow replicas, and the expected end of prefills.

mod common;

use std::time::Duration;

use ident::Instance;
use ident::Time;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::pool::Pool;
use relay::replica::Stage;
use relay::score::Criteria;
use relay::server::Key;
use rstest::rstest;

const START: Time = Time::from_millis(100_000);

fn pool(stage: Option<Stage>, ids: &[&str]) -> Pool {
    let replicas = ids.iter().map(|id| common::replica(id, "app", stage, 4));
    common::pool(START, replicas.collect())
}

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn criteria(stage: Option<Stage>, tried: &[Key]) -> Criteria<'_> {
    common::criteria("app", stage, tried, None)
}

/// Ids in the order in which the replicas are chosen.
fn order(pool: &Pool, stage: Option<Stage>, now: Time) -> Vec<String> {
    let mut tried: Vec<Key> = Vec::new();
    let mut ids = Vec::new();
    loop {
        let Some(key) = pool.choose(now, &criteria(stage, &tried), || 0.0) else {
            return ids;
        };
        tried.push(key);
        ids.extend(pool.get(key).map(|server| server.replica.id.clone()));
    }
}

fn key(pool: &Pool, stage: Option<Stage>, id: &str) -> Key {
    let mut tried = Vec::new();
    loop {
        let key = pool
            .choose(START, &criteria(stage, &tried), || 0.0)
            .unwrap();
        if pool.get(key).unwrap().replica.id == id {
            return key;
        }
        tried.push(key);
    }
}

fn record(pool: &mut Pool, stage: Option<Stage>, id: &str, ms: u64) {
    let key = key(pool, stage, id);
    pool.record_work(START, key, Duration::from_millis(ms), 1.0);
}

#[rstest]
#[case(None)]
#[case(Some(Stage::Prefill))]
#[case(Some(Stage::Decode))]
fn a_slow_replica_is_chosen_last(#[case] stage: Option<Stage>) {
    let mut pool = pool(stage, &["slow", "one", "two"]);
    record(&mut pool, stage, "slow", 240);
    record(&mut pool, stage, "one", 30);
    record(&mut pool, stage, "two", 40);
    assert_eq!(order(&pool, stage, after(500)).last().unwrap(), "slow");
}

#[test]
fn a_slow_replica_is_tried_again_after_a_while() {
    let mut pool = pool(None, &["slow", "one", "two"]);
    record(&mut pool, None, "slow", 240);
    record(&mut pool, None, "one", 30);
    record(&mut pool, None, "two", 30);
    assert_eq!(order(&pool, None, after(3_100))[0], "slow");
}

/// One answer may be slow by chance, for example because this machine was busy.
#[rstest]
#[case::single(&[0], 1_100, true)]
#[case::single_before(&[0], 900, false)]
#[case::confirmed(&[0, 1_100], 4_000, false)]
#[case::confirmed_after(&[0, 1_100], 4_200, true)]
fn a_single_slow_answer_counts_for_a_shorter_time(
    #[case] slow_answers: &[u64],
    #[case] at: u64,
    #[case] is_first: bool,
) {
    let mut pool = pool(None, &["slow", "one", "two"]);
    let keys = ["slow", "one", "two"].map(|id| key(&pool, None, id));
    for ms in slow_answers {
        pool.record_work(after(*ms), keys[0], Duration::from_millis(240), 1.0);
    }
    for key in &keys[1..] {
        pool.record_work(after(at - 100), *key, Duration::from_millis(30), 1.0);
    }
    assert_eq!(order(&pool, None, after(at))[0] == "slow", is_first);
}

#[rstest]
#[case::just_said(299, "two")]
#[case::before(300, "one")]
fn a_replica_that_says_that_work_takes_longer_is_avoided_for_a_moment(
    #[case] at: u64,
    #[case] first: &str,
) {
    let mut pool = pool(None, &["one", "two"]);
    assert_eq!(order(&pool, None, after(at))[0], "one");
    let slow = key(&pool, None, "one");
    pool.record_slowdown(START, slow, 2.0);
    assert_eq!(order(&pool, None, after(at))[0], first);
}

/// A slow replica still serves; one that always fails does not.
#[test]
fn a_very_slow_replica_is_preferred_to_one_that_fails() {
    let mut pool = pool(None, &["failing", "slow"]);
    let [failing, slow] = ["failing", "slow"].map(|id| key(&pool, None, id));
    for ms in 0..50 {
        pool.record_result(after(ms), failing, true);
    }
    pool.record_slowdown(after(50), slow, 50.0);
    assert_eq!(order(&pool, None, after(50))[0], "slow");
}

#[test]
fn a_replica_that_works_as_usual_is_chosen_as_if_it_said_nothing() {
    let mut pool = pool(None, &["one", "two"]);
    for id in ["one", "two"] {
        let usual = key(&pool, None, id);
        pool.record_slowdown(START, usual, 1.0);
    }
    assert_eq!(order(&pool, None, START), ["one", "two"]);
}

/// A busy machine or network easily makes a quick answer some milliseconds later.
#[test]
fn differences_of_some_milliseconds_make_no_replica_slow() {
    let mut pool = pool(None, &["later", "one", "two"]);
    record(&mut pool, None, "later", 9);
    record(&mut pool, None, "one", 1);
    record(&mut pool, None, "two", 1);
    assert_eq!(order(&pool, None, after(500))[0], "later");
}

#[test]
fn a_replica_up_to_twice_as_slow_is_not_penalized() {
    let mut pool = pool(None, &["long", "one", "two"]);
    record(&mut pool, None, "long", 59);
    record(&mut pool, None, "one", 30);
    record(&mut pool, None, "two", 30);
    assert_eq!(order(&pool, None, after(500))[0], "long");
}

#[test]
fn long_prompts_make_no_replica_slow() {
    let stage = Some(Stage::Prefill);
    let mut pool = pool(stage, &["one", "two"]);
    let one = key(&pool, stage, "one");
    let two = key(&pool, stage, "two");
    pool.record_work(START, one, Duration::from_millis(200), 11_000.0);
    pool.record_work(START, two, Duration::from_millis(20), 1_100.0);
    assert_eq!(order(&pool, stage, after(500))[0], "one");
}

/// Prefill replicas `one` to `three` with `queued` tokens each, of which peers report none.
fn prefill_pool(queued: [u64; 3]) -> Pool {
    let stage = Some(Stage::Prefill);
    let mut pool = pool(stage, &["one", "two", "three"]);
    let update = ClaimUpdate::all(Vec::new()).with_readings(Vec::new());
    let mut claims = Claims::new();
    claims.apply(START, Instance(1), update);
    pool.update_pending_prefills(START, &claims);
    let keys = ["one", "two", "three"].map(|id| key(&pool, stage, id));
    for (key, tokens) in keys.into_iter().zip(queued) {
        pool.start_request(key, tokens);
    }
    pool
}

/// Ids of the prefill replicas in the order in which a prompt of `tokens` chooses them.
fn prefill_order(pool: &Pool, tokens: u64) -> Vec<String> {
    let mut tried: Vec<Key> = Vec::new();
    let choose = |tried: &[Key]| {
        let criteria = Criteria {
            prompt_tokens: tokens,
            ..criteria(Some(Stage::Prefill), tried)
        };
        pool.choose(START, &criteria, || 0.0)
    };
    while let Some(key) = choose(&tried) {
        tried.push(key);
    }
    let servers = tried.iter().filter_map(|key| pool.get(*key));
    servers.map(|server| server.replica.id.clone()).collect()
}

fn set_pace(pool: &mut Pool, id: &str, us_per_token: f64) {
    let key = key(pool, Some(Stage::Prefill), id);
    pool.record_token_pace(START, key, us_per_token * 1e-6);
}

#[rstest]
#[case([0, 0, 0], 500, "one")]
#[case([6_000, 3_000, 4_000], 11_000, "two")]
#[case([6_000, 6_001, 5_999], 1_000, "three")]
fn without_paces_the_length_of_a_prompt_does_not_matter(
    #[case] queued: [u64; 3],
    #[case] tokens: u64,
    #[case] first: &str,
) {
    let pool = prefill_pool(queued);
    let order = prefill_order(&pool, tokens);
    assert_eq!(order[0], first);
    assert_eq!(order, prefill_order(&pool, 0));
}

/// With 13, 21 and 33 us per token: the replica where the prompt is ready first is chosen.
#[rstest]
#[case::idle([0, 0, 0], 6_000, ["one", "two", "three"])]
#[case::queue_at_the_fast_one([6_000, 0, 0], 6_000, ["two", "one", "three"])]
#[case::long_prompt([6_000, 0, 0], 11_000, ["one", "two", "three"])]
#[case::long_queues([20_000, 20_000, 0], 1_000, ["three", "one", "two"])]
fn the_prefill_replica_that_is_ready_first_is_chosen(
    #[case] queued: [u64; 3],
    #[case] tokens: u64,
    #[case] expected: [&str; 3],
) {
    let mut pool = prefill_pool(queued);
    for (id, pace) in [("one", 13.0), ("two", 21.0), ("three", 33.0)] {
        set_pace(&mut pool, id, pace);
    }
    assert_eq!(prefill_order(&pool, tokens), expected);
}

#[rstest]
#[case::queue_at_the_median([0, 100, 0], "three")]
#[case::queue_at_the_unknown([0, 0, 100], "two")]
#[case::long_queues([0, 9_000, 9_000], "one")]
fn an_unknown_pace_counts_as_the_median(#[case] queued: [u64; 3], #[case] first: &str) {
    let mut pool = prefill_pool(queued);
    set_pace(&mut pool, "one", 40.0);
    set_pace(&mut pool, "two", 20.0);
    assert_eq!(prefill_order(&pool, 6_000)[0], first);
}
