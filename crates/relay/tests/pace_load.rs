//! Replays of load on prefill replicas of three speeds, by daemons of which each sees few of them.

mod common;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use ident::Instance;
use ident::Time;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::claims::incarnation_hash;
use relay::pace::publisher::Publisher;
use relay::pace::report::PaceReport;
use relay::pool::Pool;
use relay::replica::Stage;
use relay::score::Criteria;
use relay::server::Key;

const START: Time = Time::from_millis(100_000);
const REPLICAS: usize = 16;
const DAEMONS: usize = 24;
/// Microseconds per prompt token of the replicas, by turns.
const PACES: [u64; 3] = [13, 21, 33];
/// Part of the capacity that is used.
const LOAD: f64 = 0.6;
const MIN_PROMPT: u64 = 1_000;
const MAX_PROMPT: u64 = 11_000;
/// Duration of a replay.
const LENGTH: Duration = Duration::from_secs(30);
/// Start of the part that is evaluated; before it, paces are learnt.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time that a datagram takes.
const TRANSIT: Duration = Duration::from_millis(10);

/// Random numbers that are the same in each replay.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Learning {
    /// No paces are known.
    Off,
    /// Paces are measured and announced.
    Told,
}

struct Daemon {
    pool: Pool,
    claims: Claims,
    publisher: Publisher,
}

#[derive(Debug, Clone)]
enum Event {
    Arrival,
    End(Prefill),
    Datagram {
        from: usize,
        to: usize,
        update: ClaimUpdate,
        paces: Vec<PaceReport>,
    },
}

#[derive(Debug, Clone, Copy)]
struct Prefill {
    daemon: usize,
    replica: usize,
    key: Key,
    tokens: u64,
    begun: Time,
    queued_before: u64,
}

struct Replay {
    now: Time,
    random: Random,
    learning: Learning,
    daemons: Vec<Daemon>,
    /// When each replica has prefilled all its prompts.
    free_at: Vec<Time>,
    events: BTreeMap<(Time, u64), Event>,
    added: u64,
    /// Milliseconds that prompts took, after the warm-up.
    took_ms: Vec<u64>,
    /// Tokens by replica, after the warm-up.
    work: Vec<u64>,
}

impl Replay {
    fn new(learning: Learning) -> Self {
        let daemon = || Daemon {
            pool: common::pool(START, common::engines(REPLICAS, Stage::Prefill, 32)),
            claims: Claims::new(),
            publisher: Publisher::new(),
        };
        Self {
            now: START,
            random: Random(0x9e37_79b9_7f4a_7c15),
            learning,
            daemons: (0..DAEMONS).map(|_| daemon()).collect(),
            free_at: vec![START; REPLICAS],
            events: BTreeMap::new(),
            added: 0,
            took_ms: Vec::new(),
            work: vec![0; REPLICAS],
        }
    }

    fn run(mut self) -> Self {
        self.add(START, Event::Arrival);
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > START + LENGTH {
                break;
            }
            self.now = now;
            match event {
                Event::Arrival => self.arrive(),
                Event::End(prefill) => self.end(prefill),
                Event::Datagram {
                    from,
                    to,
                    update,
                    paces,
                } => self.receive(from, to, update, &paces),
            }
        }
        self
    }

    fn add(&mut self, at: Time, event: Event) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    fn arrive(&mut self) {
        let capacity: f64 = (0..REPLICAS)
            .map(|replica| 1.0 / pace(replica) as f64)
            .sum();
        let mean_tokens = (MIN_PROMPT + MAX_PROMPT) as f64 / 2.0;
        let gap = -(1.0 - self.random.next()).ln() * mean_tokens / (capacity * LOAD);
        self.add(self.now + Duration::from_micros(gap as u64), Event::Arrival);
        let span = (MAX_PROMPT - MIN_PROMPT) as f64;
        let tokens = MIN_PROMPT + (self.random.next() * span) as u64;
        let number = (self.random.next() * DAEMONS as f64) as usize;
        self.send(number, tokens);
    }

    fn send(&mut self, number: usize, tokens: u64) {
        let daemon = &mut self.daemons[number];
        daemon
            .pool
            .update_pending_prefills(self.now, &daemon.claims);
        let draws: Vec<f64> = (0..REPLICAS).map(|_| self.random.next()).collect();
        let next = Cell::new(0);
        let draw = || draws[next.replace(next.get() + 1) % REPLICAS];
        let criteria = Criteria {
            prompt_tokens: tokens,
            ..common::criteria("llm", Some(Stage::Prefill), &[], None)
        };
        let key = daemon.pool.choose(self.now, &criteria, draw).unwrap();
        let queued_before = daemon.pool.queued_tokens(key);
        daemon.pool.start_request(key, tokens);
        let id = &daemon.pool.get(key).unwrap().replica.id;
        let replica: usize = id.parse().unwrap();
        let work = Duration::from_micros(tokens * pace(replica));
        let end = self.free_at[replica].max(self.now) + work;
        self.free_at[replica] = end;
        self.announce(number);
        self.add(
            end,
            Event::End(Prefill {
                daemon: number,
                replica,
                key,
                tokens,
                begun: self.now,
                queued_before,
            }),
        );
    }

    fn end(&mut self, prefill: Prefill) {
        let daemon = &mut self.daemons[prefill.daemon];
        daemon.pool.end_request(prefill.key, prefill.tokens);
        let took = self.now.since(prefill.begun);
        if self.learning == Learning::Told && prefill.queued_before == 0 {
            let pool = &mut daemon.pool;
            pool.measure_prefill(self.now, prefill.key, took, prefill.tokens);
            daemon.publisher.note_measured(prefill.key);
        }
        if prefill.begun > START + WARM_UP {
            self.took_ms.push(took.as_millis() as u64);
            self.work[prefill.replica] += prefill.tokens;
        }
        self.announce(prefill.daemon);
    }

    /// Sends what the daemon `from` has at work to all others.
    fn announce(&mut self, from: usize) {
        let backlogs = self.daemons[from].pool.prefill_backlogs().collect();
        let update = ClaimUpdate::all(Vec::new()).with_readings(backlogs);
        for to in (0..DAEMONS).filter(|to| *to != from) {
            let daemon = &mut self.daemons[from];
            let paces = daemon.publisher.due(self.now, &mut daemon.pool);
            let update = update.clone();
            let datagram = Event::Datagram {
                from,
                to,
                update,
                paces,
            };
            self.add(self.now + TRANSIT, datagram);
        }
    }

    fn receive(&mut self, from: usize, to: usize, update: ClaimUpdate, paces: &[PaceReport]) {
        let daemon = &mut self.daemons[to];
        daemon.claims.apply(self.now, Instance(from as u64), update);
        for report in paces {
            daemon.pool.merge_pace(self.now, report);
        }
    }

    /// The time within which 95 of 100 prompts were prefilled, in milliseconds.
    fn percentile_95(&mut self) -> u64 {
        self.took_ms.sort_unstable();
        self.took_ms[self.took_ms.len() * 95 / 100]
    }

    /// Fraction of the time for which the replicas of each pace worked.
    fn utilization(&self) -> [f64; PACES.len()] {
        let evaluated = LENGTH.saturating_sub(WARM_UP).as_micros() as f64;
        std::array::from_fn(|kind| {
            let replicas = (0..REPLICAS).filter(|replica| replica % PACES.len() == kind);
            let count = replicas.clone().count() as f64;
            let busy = replicas.map(|replica| self.work[replica] * pace(replica));
            busy.sum::<u64>() as f64 / (count * evaluated)
        })
    }

    /// Mean tokens of the replicas of each pace.
    fn tokens(&self) -> [f64; PACES.len()] {
        let utilization = self.utilization();
        std::array::from_fn(|kind| utilization[kind] / PACES[kind] as f64)
    }
}

/// Microseconds per token of `replica`.
const fn pace(replica: usize) -> u64 {
    PACES[replica % PACES.len()]
}

#[test]
fn prompts_are_ready_sooner_and_fast_replicas_get_more_work() {
    let mut off = Replay::new(Learning::Off).run();
    let mut told = Replay::new(Learning::Told).run();
    let (before, after) = (off.percentile_95(), told.percentile_95());
    assert!(after < before, "{after} ms, without paces {before} ms");
    let [fast, usual, slow] = told.tokens();
    assert!(fast > usual && usual > slow, "{:?}", told.utilization());
    let ratio = |replay: &Replay| replay.tokens()[0] / replay.tokens()[2];
    assert!(ratio(&told) > ratio(&off));
    assert!(told.utilization().iter().all(|used| *used < 0.95));
}

/// All daemons learn of a fast replica at once; the prompts that they send it show to the others
/// after the time of a datagram.
#[test]
fn a_replica_that_was_just_seen_fast_does_not_get_all_prompts() {
    let mut replay = Replay::new(Learning::Off);
    for daemon in &mut replay.daemons {
        for replica in 0..REPLICAS {
            let report = PaceReport {
                replica: incarnation_hash(&replica.to_string(), None),
                stage: Stage::Prefill,
                us_per_token: if replica == 3 { 13 } else { 21 },
                age_ds: 0,
            };
            daemon.pool.merge_pace(START, &report);
        }
    }
    let mut chosen = vec![0; REPLICAS];
    for number in 0..DAEMONS {
        let now = START + Duration::from_millis(2) * number as u32;
        while let Some(((at, _), event)) = replay.events.pop_first() {
            if at > now {
                replay.add(at, event);
                break;
            }
            replay.now = at;
            if let Event::Datagram {
                from,
                to,
                update,
                paces,
            } = event
            {
                replay.receive(from, to, update, &paces);
            }
        }
        replay.now = now;
        let before = replay.free_at.clone();
        replay.send(number, 6_000);
        let after = &replay.free_at;
        let replica = (0..REPLICAS).find(|replica| before[*replica] != after[*replica]);
        chosen[replica.unwrap()] += 1;
    }
    assert!((1..=8).contains(&chosen[3]), "{chosen:?}");
    assert!(
        chosen.iter().filter(|count| **count > 0).count() >= 8,
        "{chosen:?}"
    );
}
