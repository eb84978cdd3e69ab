//! Decode replicas of uneven speed: placement, forecasts and moves.

mod common;

use std::cell::Cell;
use std::time::Duration;

use ident::Time;
use relay::admission::MemoryDemand;
use relay::answer::Answer;
use relay::answer::Limits;
use relay::claims::Claims;
use relay::migration::Move;
use relay::migration::slow;
use relay::pace::PACE_TTL;
use relay::pool::Pool;
use relay::replica::Birth;
use relay::replica::Replica;
use relay::replica::Stage;
use relay::runs::RunId;
use relay::runs::Runs;
use relay::runs::Size;
use relay::score::Criteria;
use relay::server::Key;
use rstest::rstest;

const START: Time = Time::from_millis(100_000);
const MEMORY: u64 = 41_000;
const REPLICAS: usize = 12;
/// Tokens per second of a replica of usual speed.
const USUAL_RATE: f64 = 200.0;
/// Speeds of the replicas by turns, relative to the usual one.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const PATIENCE: Duration = Duration::from_secs(12);
const EVENT_TOKENS: u64 = 10;
const TICK: Duration = Duration::from_millis(100);
const SIZE: Size = Size {
    prompt: 5_000,
    estimate: 900,
    max_tokens: 1_900,
    generated: 0,
};

fn limits(now: Time) -> Limits {
    Limits {
        deadline: now + PATIENCE,
        pause: Some(Duration::from_millis(300)),
        event_tokens: EVENT_TOKENS,
    }
}

const fn pace(speed: f64) -> f64 {
    1.0 / (USUAL_RATE * speed)
}

/// Random numbers that are the same in each test run.
struct Draws(Cell<u64>);

impl Draws {
    const fn new() -> Self {
        Self(Cell::new(7))
    }

    fn next(&self) -> f64 {
        let state = self.0.get();
        let next = state.wrapping_mul(6_364_136_223_846_793_005);
        self.0.set(next.wrapping_add(1_442_695_040_888_963_407));
        (self.0.get() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// A daemon that places all runs of the replicas.
struct Daemon {
    pool: Pool,
    runs: Runs,
    keys: Vec<Key>,
    now: Time,
    draws: Draws,
}

impl Daemon {
    fn new(count: usize) -> Self {
        let mut pool = common::pool(START, common::engines(count, Stage::Decode, 64));
        pool.set_memory("llm", MEMORY);
        let keys = keys(&pool);
        Self {
            pool,
            runs: Runs::new(),
            keys,
            now: START,
            draws: Draws::new(),
        }
    }

    /// Records that the replicas have these speeds, in this order.
    fn measure(&mut self, speeds: &[f64]) {
        for (key, speed) in self.keys.iter().zip(speeds) {
            self.pool.record_token_pace(self.now, *key, pace(*speed));
        }
    }

    /// Lists new incarnations of all replicas, as `version` of the list.
    fn restart(&mut self, version: u64) {
        let restarted = |engine: Replica| Replica {
            birth: Some(Birth(version)),
            ..engine
        };
        let engines = common::engines(self.keys.len(), Stage::Decode, 64).into_iter();
        let list = common::snapshot(version, engines.map(restarted).collect());
        self.pool.apply(self.now, &list).unwrap();
    }

    fn answer(&self, size: Size) -> Answer {
        let limits = limits(self.now);
        self.runs
            .answer(self.now, "llm", size, limits, Duration::ZERO)
    }

    fn demand(&self, size: Size) -> MemoryDemand {
        MemoryDemand {
            curve: self.runs.forecast("llm", size),
            spreads: 3.0,
            spare: 0.0,
        }
    }

    fn choose(&self, size: Size) -> Option<Key> {
        let answer = self.answer(size);
        let criteria = criteria(&[], Some(self.demand(size)), Some(&answer));
        self.pool.choose(self.now, &criteria, || self.draws.next())
    }

    /// Starts a run of `size` at `key`.
    fn begin(&mut self, key: Key, size: Size) -> RunId {
        let run = self.runs.begin("llm", key, size);
        self.runs.set_limits(run, limits(self.now));
        let known = self.pool.token_pace(self.now, key);
        self.runs.set_token_pace(run, known);
        self.pool
            .update_forecast(self.now, key, &self.runs, &Claims::new());
        run
    }

    /// Has `run` generate for `seconds` at `speed`.
    fn generate(&mut self, run: RunId, speed: f64, seconds: f64) {
        let interval = EVENT_TOKENS as f64 * pace(speed);
        let begun = self.now;
        for event in 0..(seconds / interval) as u32 {
            self.now = begun + Duration::from_secs_f64(interval * f64::from(event + 1));
            self.runs.record_tokens(self.now, run, EVENT_TOKENS);
        }
    }

    fn slow_moves(&self) -> Vec<Move> {
        slow::due_moves(
            self.now,
            &self.pool,
            &self.runs,
            |_, _| true,
            |_, from, demand, answer| {
                let tried = [from];
                let criteria = criteria(&tried, Some(demand), Some(answer));
                self.pool.choose(self.now, &criteria, || 0.0)
            },
        )
    }
}

fn criteria<'a>(
    tried: &'a [Key],
    demand: Option<MemoryDemand>,
    answer: Option<&'a Answer>,
) -> Criteria<'a> {
    Criteria {
        answer,
        ..common::criteria("llm", Some(Stage::Decode), tried, demand)
    }
}

/// Keys of all replicas in the order of their numbers.
fn keys(pool: &Pool) -> Vec<Key> {
    let mut keys = Vec::new();
    while let Some(key) = pool.choose(START, &criteria(&keys, None, None), || 0.0) {
        keys.push(key);
    }
    keys.sort_unstable_by_key(|key| number(pool, *key));
    keys
}

fn number(pool: &Pool, key: Key) -> usize {
    pool.get(key).unwrap().replica.id.parse().unwrap()
}

/// What became of the answers of a replay.
#[derive(Debug, Default)]
struct Outcome {
    answers: u32,
    unplaced: u32,
    /// Answers that cannot end before the deadline of their callers.
    late: u32,
    /// Answers by the speed of their replica.
    by_speed: [u32; SPEEDS.len()],
}

/// Replays a minute in which `rate` answers of 20 to 1,900 tokens come in a second; the daemon knows
/// the speeds of the replicas or not.
fn replay(rate: f64, is_known: bool) -> Outcome {
    let mut daemon = Daemon::new(REPLICAS);
    let speeds: Vec<f64> = (0..REPLICAS).map(|n| SPEEDS[n % SPEEDS.len()]).collect();
    let mut running: Vec<(RunId, usize, f64)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut due = 0.0;
    for _ in 0..600 {
        if is_known {
            daemon.measure(&speeds);
        }
        due += rate * TICK.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            outcome.answers += 1;
            let estimate = 20.0 + daemon.draws.next() * 1_600.0;
            let length = (estimate * (0.7 + daemon.draws.next() * 0.6)).clamp(20.0, 1_900.0);
            let size = Size {
                estimate: estimate as u64,
                ..SIZE
            };
            let Some(key) = daemon.choose(size) else {
                outcome.unplaced += 1;
                continue;
            };
            let replica = number(&daemon.pool, key);
            outcome.by_speed[replica % SPEEDS.len()] += 1;
            let took = length * pace(speeds[replica]);
            outcome.late += u32::from(took > PATIENCE.as_secs_f64());
            let run = daemon.begin(key, size);
            running.push((run, replica, length));
        }
        daemon.now = daemon.now + TICK;
        running.retain_mut(|(run, replica, left)| {
            let tokens = USUAL_RATE * speeds[*replica] * TICK.as_secs_f64();
            daemon.runs.record_tokens(daemon.now, *run, tokens as u64);
            *left -= tokens;
            if *left <= 0.0 {
                daemon.runs.end(daemon.now, *run, true);
            }
            *left > 0.0
        });
        let (runs, claims) = (&daemon.runs, Claims::new());
        daemon.pool.update_all_forecasts(daemon.now, runs, &claims);
    }
    outcome
}

/// Demand that fills 70 % of the memory at usual speed.
const RATE: f64 = 12.0;

#[test]
fn long_answers_are_placed_where_they_end_in_time() {
    let (unknown, known) = (replay(RATE, false), replay(RATE, true));
    assert!(unknown.late >= 10, "{unknown:?}");
    assert!(known.late * 4 <= unknown.late, "{known:?}, {unknown:?}");
    assert!(known.unplaced <= unknown.unplaced, "{known:?}, {unknown:?}");
}

#[test]
fn faster_replicas_get_more_answers() {
    let known = replay(RATE, true);
    let [slow, usual, fast] = known.by_speed;
    assert!(slow < usual && usual < fast, "{known:?}");
    assert!(slow > 0, "{known:?}");
}

#[rstest]
#[case::slow(0.6)]
#[case::usual(1.0)]
#[case::fast(1.6)]
fn the_forecast_of_a_new_run_follows_the_speed_of_its_replica(#[case] speed: f64) {
    let mut daemon = Daemon::new(1);
    daemon.measure(&[speed]);
    let run = daemon.begin(daemon.keys[0], SIZE);
    let held = 5_000.0 + USUAL_RATE * speed * 0.7;
    let forecast = daemon.runs.curve(daemon.now, run).most()[2];
    assert!((f64::from(forecast) - held).abs() < 1.0, "{forecast}");
    let answer = daemon.answer(SIZE);
    assert_eq!(answer.curve(pace(speed)), daemon.runs.curve(START, run));
}

#[test]
fn a_fast_replica_has_room_for_fewer_new_runs() {
    let long = Size {
        estimate: 4_000,
        max_tokens: 8_000,
        ..SIZE
    };
    let placed = |speed| {
        let mut daemon = Daemon::new(1);
        daemon.measure(&[speed]);
        let mut count = 0;
        while let Some(key) = daemon.choose(long) {
            daemon.begin(key, long);
            count += 1;
        }
        count
    };
    assert!(placed(4.0) < placed(0.3), "{} {}", placed(4.0), placed(0.3));
}

#[rstest]
#[case::slow(Some(0.3), true)]
#[case::fast(Some(4.0), false)]
#[case::unknown(None, false)]
fn whether_a_run_has_room_follows_the_speed_of_the_replica(
    #[case] speed: Option<f64>,
    #[case] has_room: bool,
) {
    let mut daemon = Daemon::new(1);
    daemon.pool.set_memory("llm", 7_500);
    if let Some(speed) = speed {
        daemon.measure(&[speed]);
    }
    let long = Size {
        estimate: 4_000,
        max_tokens: 8_000,
        ..SIZE
    };
    assert_eq!(daemon.choose(long).is_some(), has_room);
}

#[rstest]
fn a_foreign_pace_keeps_no_run_from_being_placed(
    #[values(0.0, -1.0, f64::NAN, f64::INFINITY, 1e300)] seconds: f64,
) {
    let mut daemon = Daemon::new(1);
    let key = daemon.keys[0];
    daemon.pool.record_token_pace(START, key, seconds);
    assert_eq!(daemon.choose(SIZE), Some(key));
    let run = daemon.begin(key, SIZE);
    let curve = daemon.runs.curve(START, run);
    assert!(curve.mean().iter().all(|mean| mean.is_finite()));
    assert!(curve.peak(3.0) >= 5_000.0);
}

/// Why the speeds of the replicas are not known.
#[derive(Debug, Clone, Copy)]
enum Unknown {
    NeverMeasured,
    Lapsed,
    Restarted,
}

#[rstest]
#[case(Unknown::NeverMeasured)]
#[case(Unknown::Lapsed)]
#[case(Unknown::Restarted)]
fn without_paces_nothing_changes(#[case] unknown: Unknown) {
    let mut daemon = Daemon::new(REPLICAS);
    match unknown {
        Unknown::NeverMeasured => {}
        Unknown::Lapsed => {
            daemon.measure(&[0.1; 6]);
            daemon.now = daemon.now + Duration::from_mins(1);
        }
        Unknown::Restarted => {
            daemon.restart(2);
            daemon.measure(&[0.1; 6]);
            daemon.restart(3);
        }
    }
    let mut placed = 0;
    for step in 0..40 {
        let draw = f64::from(step) / 40.0;
        let demand = Some(daemon.demand(SIZE));
        let answer = daemon.answer(SIZE);
        let choose = |answer| {
            let criteria = criteria(&[], demand, answer);
            daemon.pool.choose(daemon.now, &criteria, || draw)
        };
        let chosen = choose(Some(&answer));
        assert_eq!(chosen, choose(None));
        let Some(key) = chosen else { continue };
        let run = daemon.begin(key, SIZE);
        let curve = daemon.runs.curve(daemon.now, run);
        assert_eq!(curve, daemon.runs.forecast("llm", SIZE));
        placed += 1;
    }
    assert!(placed > REPLICAS, "{placed}");
}

#[test]
fn a_run_is_placed_if_all_replicas_are_slow() {
    let mut daemon = Daemon::new(3);
    daemon.measure(&[0.01, 0.01, 0.01]);
    assert!(daemon.choose(SIZE).is_some());
}

#[test]
fn a_replica_whose_pauses_are_too_long_is_avoided() {
    let mut daemon = Daemon::new(2);
    // Ten tokens take 333 ms; 60 tokens would end in time.
    daemon.measure(&[0.15, 1.0]);
    let short = Size {
        estimate: 20,
        max_tokens: 60,
        ..SIZE
    };
    for _ in 0..4 {
        let key = daemon.choose(short).unwrap();
        assert_eq!(key, daemon.keys[1]);
        daemon.begin(key, short);
    }
}

#[test]
fn of_two_equally_filled_replicas_the_faster_one_is_taken() {
    let mut daemon = Daemon::new(3);
    daemon.measure(&[1.0, 1.0, 1.6]);
    assert_eq!(daemon.choose(SIZE), Some(daemon.keys[2]));
}

#[test]
fn a_single_fast_replica_does_not_get_all_runs() {
    let mut daemon = Daemon::new(REPLICAS);
    let mut speeds = [1.0; REPLICAS];
    speeds[5] = 1.6;
    daemon.measure(&speeds);
    let mut counts = [0; REPLICAS];
    for _ in 0..2 * REPLICAS {
        let key = daemon.choose(SIZE).unwrap();
        counts[number(&daemon.pool, key)] += 1;
        daemon.begin(key, SIZE);
    }
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    assert!(counts[5] <= 4, "{counts:?}");
}

#[test]
fn a_run_at_a_replica_that_turned_slow_moves() {
    let mut daemon = Daemon::new(2);
    daemon.measure(&[1.0, 1.0]);
    let run = daemon.begin(daemon.keys[0], SIZE);
    daemon.generate(run, 1.0, 1.0);
    assert_eq!(daemon.slow_moves(), []);
    daemon.generate(run, 0.12, 2.0);
    let to = daemon.keys[1];
    assert_eq!(daemon.slow_moves(), [Move { run, to }]);
}

/// A run that sends nothing at all has no new rate of its own.
#[test]
fn a_run_that_stopped_generating_moves() {
    let mut daemon = Daemon::new(2);
    daemon.measure(&[1.0, 1.0]);
    let run = daemon.begin(daemon.keys[0], SIZE);
    daemon.generate(run, 1.0, 1.0);
    daemon.now = daemon.now + Duration::from_secs(8);
    assert_eq!(daemon.slow_moves().len(), 1);
}

#[rstest]
#[case::unknown(None)]
#[case::little_faster(Some(0.2))]
#[case::as_slow(Some(0.12))]
fn a_run_stays_if_no_replica_is_known_to_be_much_faster(#[case] target: Option<f64>) {
    let mut daemon = Daemon::new(2);
    let run = daemon.begin(daemon.keys[0], SIZE);
    daemon.generate(run, 0.12, 3.0);
    if let Some(speed) = target {
        daemon
            .pool
            .record_token_pace(daemon.now, daemon.keys[1], pace(speed));
    }
    assert_eq!(daemon.slow_moves(), []);
}

#[test]
fn a_run_stays_if_the_faster_replica_is_gone() {
    let mut daemon = Daemon::new(2);
    daemon.measure(&[1.0, 1.0]);
    let run = daemon.begin(daemon.keys[0], SIZE);
    daemon.generate(run, 0.12, 3.0);
    assert_eq!(daemon.slow_moves().len(), 1);
    let mut list = common::snapshot(2, common::engines(2, Stage::Decode, 64));
    list.replicas[1].draining = true;
    daemon.pool.apply(daemon.now, &list).unwrap();
    assert_eq!(daemon.slow_moves(), []);
}

#[test]
fn a_run_stays_if_the_faster_replica_has_no_room() {
    let mut daemon = Daemon::new(2);
    daemon.measure(&[1.0, 1.0]);
    let run = daemon.begin(daemon.keys[0], SIZE);
    for _ in 0..7 {
        daemon.begin(daemon.keys[1], SIZE);
    }
    daemon.generate(run, 0.12, 3.0);
    assert_eq!(daemon.slow_moves(), []);
}

#[test]
fn the_last_tokens_of_an_answer_do_not_move() {
    let mut daemon = Daemon::new(2);
    daemon.measure(&[1.0, 1.0]);
    let short = Size {
        estimate: 60,
        max_tokens: 70,
        ..SIZE
    };
    let run = daemon.begin(daemon.keys[0], short);
    daemon.generate(run, 0.12, 2.6);
    assert_eq!(daemon.slow_moves(), []);
}

#[test]
fn one_run_at_a_time_leaves_a_slow_replica() {
    let mut daemon = Daemon::new(4);
    daemon.measure(&[0.12, 1.0, 1.0, 1.0]);
    let runs = [0; 3].map(|_| daemon.begin(daemon.keys[0], SIZE));
    for run in runs {
        daemon.runs.record_tokens(daemon.now, run, EVENT_TOKENS);
    }
    daemon.now = daemon.now + Duration::from_millis(100);
    let first = daemon.slow_moves();
    assert_eq!(first.len(), 1);
    let until = daemon.now + Duration::from_millis(500);
    daemon.runs.block_moves(first[0].run, until);
    assert_ne!(daemon.slow_moves()[0].run, first[0].run);
    daemon.runs.block_moves_from_replica(first[0].run, until);
    assert_eq!(daemon.slow_moves(), []);
}

/// A replica that prefills a prompt itself generates next to nothing for some hundred milliseconds.
#[test]
fn a_short_pause_moves_no_run() {
    let mut daemon = Daemon::new(2);
    daemon.measure(&[1.0, 1.6]);
    let run = daemon.begin(daemon.keys[0], SIZE);
    daemon.generate(run, 1.0, 1.05);
    daemon.now = daemon.now + Duration::from_millis(400);
    assert_eq!(daemon.slow_moves(), []);
}

/// Each move of a service for slowness takes from the same reserve of retries.
#[rstest]
#[case::none(0)]
#[case::one(1)]
#[case::two(2)]
#[case::all(3)]
fn no_more_runs_move_at_once_than_may(#[case] most: usize) {
    let mut daemon = Daemon::new(6);
    daemon.measure(&[0.12, 0.12, 0.12, 1.0, 1.0, 1.0]);
    for replica in 0..3 {
        let run = daemon.begin(daemon.keys[replica], SIZE);
        daemon.runs.record_tokens(daemon.now, run, EVENT_TOKENS);
    }
    let moves = slow::due_moves(
        daemon.now,
        &daemon.pool,
        &daemon.runs,
        |service, ordered| service == "llm" && ordered < most,
        |_, from, _, _| Some(daemon.keys[number(&daemon.pool, from) + 3]),
    );
    assert_eq!(moves.len(), most);
}

/// Two runs at a slow replica.
fn two_slow_runs() -> (Daemon, [RunId; 2]) {
    let mut daemon = Daemon::new(4);
    daemon.measure(&[0.12, 1.0, 1.0, 1.0]);
    let runs = [0; 2].map(|_| daemon.begin(daemon.keys[0], SIZE));
    for run in runs {
        daemon.runs.record_tokens(daemon.now, run, EVENT_TOKENS);
    }
    (daemon, runs)
}

#[rstest]
#[case::at_once(0, 0)]
#[case::before_the_pause_ends(999, 0)]
#[case::after_the_pause(1_000, 1)]
fn no_other_run_leaves_a_slow_replica_during_a_pause(#[case] ms: u64, #[case] count: usize) {
    let (mut daemon, runs) = two_slow_runs();
    let (others, same) = (Duration::from_secs(1), Duration::from_secs(5));
    let (others, same) = (daemon.now + others, daemon.now + same);
    daemon.runs.block_slow_moves(runs[0], others, same);
    daemon.now = daemon.now + Duration::from_millis(ms);
    let from = daemon.keys[0];
    assert_eq!(daemon.runs.may_leave_slow(daemon.now, from), count > 0);
    assert!(daemon.runs.may_leave_slow(daemon.now, daemon.keys[1]));
    let moved: Vec<RunId> = daemon.slow_moves().iter().map(|due| due.run).collect();
    assert_eq!(moved, runs[1..][..count]);
}

/// Moves for memory stay possible: without them, the replica would preempt the run.
#[rstest]
#[case::at_once(0, false)]
#[case::before_the_rest_ends(4_999, false)]
#[case::after_the_rest(5_000, true)]
fn a_run_is_not_moved_for_its_slowness_again_for_a_while(
    #[case] ms: u64,
    #[case] may_leave: bool,
    #[values(false, true)] moved: bool,
) {
    let (mut daemon, [run, other]) = two_slow_runs();
    daemon.runs.end(daemon.now, other, false);
    let same = daemon.now + Duration::from_secs(5);
    daemon.runs.block_slow_moves(run, daemon.now, same);
    if moved {
        daemon.runs.record_move(run, daemon.keys[1]);
        daemon.runs.record_tokens(daemon.now, run, EVENT_TOKENS);
        daemon.measure(&[1.0, 0.12, 1.0, 1.0]);
    }
    daemon.now = daemon.now + Duration::from_millis(ms);
    let entry = daemon.runs.get(run).unwrap();
    assert_eq!(entry.may_leave_slow(daemon.now), may_leave);
    assert!(entry.is_movable(daemon.now));
    assert_eq!(!daemon.slow_moves().is_empty(), may_leave);
}

/// A slow caller or a standstill of the process delays events that the replica sent in time.
#[rstest]
#[case::one(false)]
#[case::all(true)]
fn a_run_whose_events_waited_is_measured_anew(#[case] all: bool) {
    let mut daemon = Daemon::new(2);
    daemon.measure(&[1.0, 1.0]);
    let run = daemon.begin(daemon.keys[0], SIZE);
    daemon.generate(run, 1.0, 1.0);
    if all {
        daemon.runs.reset_recent_paces();
    } else {
        daemon.runs.reset_recent_pace(run);
    }
    daemon.now = daemon.now + Duration::from_secs(8);
    assert_eq!(daemon.slow_moves(), []);
    daemon.generate(run, 0.12, 0.45);
    assert_eq!(daemon.slow_moves(), []);
    daemon.generate(run, 0.12, 1.5);
    assert_eq!(daemon.slow_moves().len(), 1);
}

/// A replica that was avoided for its slowness would otherwise get the answers with the least time
/// as soon as its pace has lapsed.
#[rstest]
#[case::lapsed(false)]
#[case::restarted(true)]
fn a_replica_of_unknown_pace_does_not_draw_the_answers_with_little_time(#[case] restarted: bool) {
    let mut daemon = Daemon::new(3);
    daemon.restart(2);
    daemon.keys = keys(&daemon.pool);
    daemon.measure(&[0.12; 3]);
    if restarted {
        daemon.restart(3);
        daemon.keys = keys(&daemon.pool);
    } else {
        daemon.now = daemon.now + PACE_TTL;
    }
    daemon.measure(&[0.35, 0.35]);
    let unknown = daemon.keys[2];
    assert!(daemon.pool.token_pace(daemon.now, unknown).is_none());
    // The others are a little emptier.
    daemon.begin(unknown, SIZE);
    let answer = daemon.answer(SIZE);
    assert!(answer.share_late(pace(0.35)) > 0.5);
    assert_ne!(daemon.choose(SIZE), Some(unknown));
}
