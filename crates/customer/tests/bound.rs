//! What all daemons together admit stays within the quota and what is tolerated beyond it, whatever happens to them.

use std::collections::HashMap;
use std::time::Duration;

use customer::keeper::Decision;
use customer::keeper::Keeper;
use customer::keeper::Purpose;
use customer::keeper::QuotaRequest;
use customer::keeper::Role;
use customer::list::CustomerId;
use customer::local_budget::LocalBudget;
use customer::quota::Limit;
use customer::quota::Tolerance;
use customer::subject::Subject;
use ident::Time;
use proptest::collection::vec;
use proptest::prelude::*;

const DAEMONS: usize = 12;
const CUSTOMER: CustomerId = CustomerId(7);
/// Length of one step.
const STEP_MS: u64 = 50;
/// Time after which all daemons see who is in reach.
const NOTICED_MS: u64 = 1_500;
const WINDOW: Duration = Duration::from_secs(8);
const LIMIT: Limit = Limit {
    rate: 1_000.0,
    burst: 1_000.0,
};
/// As the users set it, in parts of their smallest quota.
const TOLERANCE: Tolerance = Tolerance {
    window: WINDOW,
    excess: 0.1,
    slack: 4_000.0,
};
/// Units of the largest request.
const LARGEST: u64 = 85;

/// What happens at one moment.
#[derive(Debug, Clone)]
enum Event {
    /// A request comes to a daemon.
    Request { daemon: usize, units: u64 },
    /// The daemons from this one on are cut off from the others; nobody is, if there are none.
    Cut { from: usize },
    /// A daemon is killed, and starts again with empty hands.
    Kill { daemon: usize },
    /// All are.
    KillAll,
}

/// All daemons, as they know of each other.
struct World {
    keepers: Vec<Keeper>,
    pockets: Vec<LocalBudget>,
    /// First daemon that is cut off.
    cut_at: usize,
    /// What the daemons take for it.
    noticed: usize,
    /// When each last saw the members change.
    changed: Vec<Time>,
    admitted: Vec<(Time, f64)>,
}

impl World {
    fn new() -> Self {
        Self {
            keepers: (0..DAEMONS).map(|_| Keeper::new()).collect(),
            pockets: (0..DAEMONS).map(|_| LocalBudget::new()).collect(),
            cut_at: DAEMONS,
            noticed: DAEMONS,
            changed: vec![Time::ZERO; DAEMONS],
            admitted: Vec::new(),
        }
    }

    fn is_cut(&self, daemon: usize) -> bool {
        daemon >= self.cut_at
    }

    /// The keeper and its deputy, as `daemon` takes them to be: the first ones of its side.
    fn ranked(&self, daemon: usize) -> [usize; 2] {
        if daemon >= self.noticed {
            [self.noticed, (self.noticed + 1).min(DAEMONS - 1)]
        } else {
            [0, 1]
        }
    }

    fn role(&self, daemon: usize) -> Role {
        let side = if daemon >= self.noticed {
            DAEMONS - self.noticed
        } else {
            self.noticed
        };
        match daemon {
            _ if 2 * side <= DAEMONS => Role::NoMajority,
            _ if self.ranked(daemon)[0] == daemon => Role::Keeper,
            _ => Role::Deputy,
        }
    }

    fn ask(&mut self, now: Time, daemon: usize, purpose: Purpose, units: f64) -> Option<Decision> {
        let ask = QuotaRequest {
            subject: Subject::Customer(CUSTOMER),
            units,
            purpose,
        };
        for keeper in self.ranked(daemon) {
            if self.is_cut(keeper) != self.is_cut(daemon) {
                continue;
            }
            let role = self.role(keeper);
            let told = self.keepers[keeper].decide(
                now,
                self.changed[keeper],
                role,
                LIMIT,
                &TOLERANCE,
                &ask,
            );
            if told.decision != Decision::Unsure {
                return Some(told.decision);
            }
        }
        None
    }

    /// A daemon's decision, as the gateway takes it.
    fn request(&mut self, now: Time, daemon: usize, units: f64) {
        let allowance = TOLERANCE.local_budget(LIMIT, DAEMONS);
        if let Some(number) = self.pockets[daemon].spend(now, WINDOW, allowance, units) {
            self.admitted.push((now, units));
            match self.ask(now, daemon, Purpose::Ran, units) {
                Some(Decision::Counted) => self.pockets[daemon].settle(number),
                Some(Decision::Overdrawn { free_ms }) => {
                    let free_in = Duration::from_millis(free_ms.into());
                    self.pockets[daemon].ask_keeper_first(now, free_in);
                }
                _ => {}
            }
            return;
        }
        let admitted = match self.ask(now, daemon, Purpose::Run { patience_ms: 0 }, units) {
            Some(Decision::Granted { .. }) => true,
            Some(_) => false,
            None => {
                let pocket = &mut self.pockets[daemon];
                pocket.overspend(now, WINDOW, allowance, units).is_some()
            }
        };
        if admitted {
            self.admitted.push((now, units));
        }
    }

    fn kill(&mut self, now: Time, daemon: usize) {
        self.changed[daemon] = now;
        self.keepers[daemon] = Keeper::new();
        self.pockets[daemon] = LocalBudget::new();
    }

    /// Most units admitted in any window.
    fn worst(&self) -> f64 {
        let in_window = |end: Time| {
            let admitted = self.admitted.iter();
            let inside = admitted.filter(|(at, _)| *at <= end && end.since(*at) < WINDOW);
            inside.map(|(_, units)| units).sum()
        };
        self.admitted
            .iter()
            .map(|(at, _)| in_window(*at))
            .fold(0.0, f64::max)
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        400 => (0..DAEMONS, 1..=LARGEST).prop_map(|(daemon, units)| Event::Request { daemon, units }),
        2 => (1..=DAEMONS).prop_map(|from| Event::Cut { from }),
        1 => (0..DAEMONS).prop_map(|daemon| Event::Kill { daemon }),
    ]
}

fn play(events: &[Vec<Event>]) -> World {
    let mut world = World::new();
    let mut cut_since = HashMap::new();
    for (step, events) in events.iter().enumerate() {
        let now = Time::from_millis(10_000 + step as u64 * STEP_MS);
        if world.noticed != world.cut_at
            && now.since(cut_since[&world.cut_at]) >= Duration::from_millis(NOTICED_MS)
        {
            world.noticed = world.cut_at;
            world.changed = vec![now; DAEMONS];
        }
        for event in events {
            match event {
                Event::Request { daemon, units } => world.request(now, *daemon, *units as f64),
                Event::Cut { from } => {
                    world.cut_at = *from;
                    cut_since.insert(*from, now);
                }
                Event::Kill { daemon } => world.kill(now, *daemon),
                Event::KillAll => (0..DAEMONS).for_each(|daemon| world.kill(now, daemon)),
            }
        }
    }
    world
}

fn allowed() -> f64 {
    LIMIT.rate * WINDOW.as_secs_f64() + LIMIT.burst + TOLERANCE.tolerated_units(LIMIT)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    // Ten requests a step of 43 units in the mean ask for eight times the quota; nearly each second the members are cut apart
    // anew, and each other second one of them is killed.
    #[test]
    fn cuts_and_kills_admit_no_more_than_is_tolerated(events in vec(vec(event(), 10), 320)) {
        let world = play(&events);
        prop_assert!(world.worst() <= allowed(), "{} of {}", world.worst(), allowed());
    }
}

/// `requests` a step for so many steps, over all daemons in turn.
fn load(steps: usize, requests: usize, units: u64) -> Vec<Vec<Event>> {
    let step = |step: usize| {
        let of_step = (0..requests).map(move |number| Event::Request {
            daemon: (step * requests + number * 5) % DAEMONS,
            units,
        });
        of_step.collect()
    };
    (0..steps).map(step).collect()
}

#[test]
fn a_hot_customer_gets_its_quota_and_no_more() {
    let world = play(&load(320, 10, 40));
    let quota = LIMIT.rate * WINDOW.as_secs_f64();
    assert!(world.worst() <= allowed());
    assert!(world.worst() >= quota, "{}", world.worst());
}

#[test]
fn a_customer_within_its_quota_is_never_refused() {
    // 800 units a second of 1,000.
    let world = play(&load(320, 1, 40));
    assert_eq!(world.admitted.len(), 320);
}

#[test]
fn daemons_that_are_killed_together_do_not_start_with_a_burst_each() {
    let mut events = load(320, 10, 40);
    events[160].push(Event::KillAll);
    assert!(play(&events).worst() <= allowed());
}

#[test]
fn a_minority_that_is_cut_off_stays_within_its_pockets() {
    let mut events = load(320, 10, 40);
    events[100].push(Event::Cut { from: 8 });
    let world = play(&events);
    assert!(world.worst() <= allowed());
}
