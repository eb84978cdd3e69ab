//! Prompts that a decode replica prefills itself.

mod common;

use std::time::Duration;

use ident::Instance;
use ident::Time;
use relay::claims;
use relay::claims::Claim;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::forecast::Curve;
use relay::pool::Pool;
use relay::replica::Stage;
use relay::runs::RunId;
use relay::runs::Runs;
use relay::runs::Size;
use relay::server::Key;
use rstest::rstest;

const NOW: Time = Time::from_millis(100_000);
const EVENT_TOKENS: u64 = 8;
const SIZE: Size = Size {
    prompt: 5_000,
    estimate: 4_000,
    max_tokens: 8_000,
    generated: 0,
};

/// A daemon that knows one decode replica.
struct Daemon {
    pool: Pool,
    runs: Runs,
    claims: Claims,
    decode: Key,
    longest_pause: Option<Duration>,
}

impl Daemon {
    fn new() -> Self {
        let replica = common::replica("d", "llm", Some(Stage::Decode), 64);
        let pool = common::pool(NOW, vec![replica]);
        let decode = key(&pool, Stage::Decode);
        Self {
            pool,
            runs: Runs::new(),
            claims: Claims::new(),
            decode,
            longest_pause: None,
        }
    }

    fn run(&mut self) -> RunId {
        self.runs.begin("llm", self.decode, SIZE)
    }

    fn may_prefill(&mut self) -> bool {
        self.pool
            .update_all_forecasts(NOW, &self.runs, &self.claims);
        self.pool
            .may_prefill(NOW, self.decode, EVENT_TOKENS, self.longest_pause)
    }
}

fn key(pool: &Pool, stage: Stage) -> Key {
    let criteria = common::criteria("llm", Some(stage), &[], None);
    pool.choose(NOW, &criteria, || 0.0).unwrap()
}

#[test]
fn a_replica_prefills_one_prompt_beside_its_streams() {
    let mut daemon = Daemon::new();
    daemon.run();
    daemon.run();
    assert!(daemon.may_prefill());
}

#[test]
fn a_replica_without_streams_may_prefill_again() {
    let mut daemon = Daemon::new();
    let prefilling = daemon.run();
    daemon.runs.mark_prefilling(prefilling);
    assert!(daemon.may_prefill());
}

#[test]
fn two_prompts_are_not_prefilled_at_once() {
    let mut daemon = Daemon::new();
    daemon.run();
    let prefilling = daemon.run();
    daemon.runs.mark_prefilling(prefilling);
    assert!(!daemon.may_prefill());
    daemon.runs.record_tokens(NOW, prefilling, 64);
    assert!(daemon.may_prefill());
}

#[test]
fn prefills_of_other_daemons_count() {
    let mut daemon = Daemon::new();
    daemon.run();
    let claim = Claim::new(
        claims::incarnation_hash("d", None),
        1,
        1,
        u16::MAX,
        &Curve::flat(5_000.0),
    );
    daemon
        .claims
        .apply(NOW, Instance(1), ClaimUpdate::all(vec![claim]));
    assert!(!daemon.may_prefill());
}

/// A slow replica pauses its streams for longer than their callers accept.
#[rstest]
#[case::usual_replica(8, Some(400), 2, true)]
#[case::slow_replica(13, Some(400), 2, false)]
#[case::no_limit(13, None, 2, true)]
#[case::no_other_stream(13, Some(400), 1, true)]
fn a_prompt_that_would_pause_streams_for_too_long_is_not_prefilled(
    #[case] ms_per_token: u64,
    #[case] longest_ms: Option<u64>,
    #[case] runs: usize,
    #[case] expected: bool,
) {
    let mut daemon = Daemon::new();
    for _ in 0..runs {
        daemon.run();
    }
    daemon.longest_pause = longest_ms.map(Duration::from_millis);
    assert!(daemon.may_prefill(), "its pace is not known");
    let pace = Duration::from_millis(ms_per_token).as_secs_f64();
    daemon.pool.record_token_pace(NOW, daemon.decode, pace);
    assert_eq!(daemon.may_prefill(), expected);
}
