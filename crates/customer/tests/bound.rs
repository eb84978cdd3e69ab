//! All daemons together must stay within the quota and its tolerance, also under partitions and
//! restarts.

use std::collections::HashMap;
use std::time::Duration;

use customer::keeper::Decision;
use customer::keeper::Keeper;
use customer::keeper::Purpose;
use customer::keeper::QuotaRequest;
use customer::keeper::Role;
use customer::keeper::View;
use customer::list::CustomerId;
use customer::local_budget::LocalBudget;
use customer::quota::Limit;
use customer::quota::Tolerance;
use customer::rank::RANKS;
use customer::rank::Rank;
use customer::rank::Standing;
use customer::subject::Subject;
use ident::Time;
use proptest::collection::vec;
use proptest::prelude::*;

const DAEMONS: usize = 12;
const CUSTOMER: CustomerId = CustomerId(7);
/// Length of one step.
const STEP_MS: u64 = 50;
/// Time after which all daemons know which members are in reach.
const DETECTION_MS: u64 = 1_500;
const WINDOW: Duration = Duration::from_secs(8);
const LIMIT: Limit = Limit {
    rate: 1_000.0,
    burst: 1_000.0,
};
/// As in the users' requirements, scaled to their smallest quota.
const TOLERANCE: Tolerance = Tolerance {
    window: WINDOW,
    excess: 0.1,
    slack: 4_000.0,
};
/// Units of the largest request.
const MAX_REQUEST_UNITS: u64 = 85;

/// An event of the simulation.
#[derive(Debug, Clone)]
enum Event {
    /// A request arrives at a daemon.
    Request {
        daemon: usize,
        units: u64,
        standing: Standing,
    },
    /// The daemons from this index on are cut off from the others; `DAEMONS` heals the partition.
    Cut { from: usize },
    /// A daemon is killed and restarts without state.
    Kill { daemon: usize },
    /// All daemons are killed and restart without state.
    KillAll,
    /// The daemon stands still; `None` lets the one that does go on.
    Freeze { daemon: Option<usize> },
}

/// The state of all daemons.
struct Simulation {
    keepers: Vec<Keeper>,
    local_budgets: Vec<LocalBudget>,
    /// The first daemon that is cut off.
    first_cut_off: usize,
    /// The value of `first_cut_off` that the daemons have detected.
    noticed_cut_off: usize,
    /// The daemon that stands still.
    frozen: Option<usize>,
    /// The value of `frozen` that the other daemons have detected.
    noticed_frozen: Option<usize>,
    /// When each daemon last saw the members change.
    members_since: Vec<Time>,
    /// Until when each daemon was last not the keeper in its own view, or stood still.
    keeper_since: Vec<Time>,
    limit: Limit,
    tolerance: Tolerance,
    admitted: Vec<(Time, f64)>,
}

impl Simulation {
    fn new(limit: Limit, tolerance: Tolerance) -> Self {
        Self {
            keepers: (0..DAEMONS).map(|_| Keeper::new()).collect(),
            local_budgets: (0..DAEMONS).map(|_| LocalBudget::new()).collect(),
            first_cut_off: DAEMONS,
            noticed_cut_off: DAEMONS,
            frozen: None,
            noticed_frozen: None,
            members_since: vec![Time::ZERO; DAEMONS],
            keeper_since: vec![Time::ZERO; DAEMONS],
            limit,
            tolerance,
            admitted: Vec::new(),
        }
    }

    fn is_cut(&self, daemon: usize) -> bool {
        daemon >= self.first_cut_off
    }

    /// The keeper and its deputy in the view of `daemon`: the first daemons in reach on its side.
    fn ranked(&self, daemon: usize) -> Vec<usize> {
        let cut_off = daemon >= self.noticed_cut_off;
        let side = (0..DAEMONS).filter(|other| (*other >= self.noticed_cut_off) == cut_off);
        let gone = self.noticed_frozen.filter(|frozen| *frozen != daemon);
        side.filter(|other| Some(*other) != gone).take(2).collect()
    }

    fn role(&self, daemon: usize) -> Role {
        let side = if daemon >= self.noticed_cut_off {
            DAEMONS - self.noticed_cut_off
        } else {
            self.noticed_cut_off
        };
        match daemon {
            _ if 2 * side <= DAEMONS => Role::NoMajority,
            _ if self.ranked(daemon)[0] == daemon => Role::Keeper,
            _ => Role::Deputy,
        }
    }

    fn ask(
        &mut self,
        now: Time,
        daemon: usize,
        purpose: Purpose,
        units: f64,
        standing: Standing,
    ) -> Option<Decision> {
        let ask = QuotaRequest {
            subject: Subject::Customer(CUSTOMER),
            units,
            purpose,
        }
        .ranked(standing);
        for keeper in self.ranked(daemon) {
            if self.is_cut(keeper) != self.is_cut(daemon) || self.frozen == Some(keeper) {
                continue;
            }
            let view = View::new(self.role(keeper), self.members_since[keeper])
                .with_keeper_since(self.keeper_since[keeper]);
            let ruling = self.keepers[keeper].decide(now, &view, self.limit, &self.tolerance, &ask);
            if ruling.reply.decision != Decision::Unsure {
                return Some(ruling.reply.decision);
            }
        }
        None
    }

    /// Decides on a request in the same way as the gateway.
    fn request(&mut self, now: Time, daemon: usize, units: f64, standing: Standing) {
        if self.frozen == Some(daemon) {
            return;
        }
        let allowance = self.tolerance.local_budget(self.limit, DAEMONS);
        if let Some(spend_id) = self.local_budgets[daemon].spend(now, WINDOW, allowance, units) {
            self.admitted.push((now, units));
            match self.ask(now, daemon, Purpose::Ran, units, standing) {
                Some(Decision::Counted) => self.local_budgets[daemon].settle(spend_id),
                Some(Decision::Overdrawn { free_ms }) => {
                    let free_in = Duration::from_millis(free_ms.into());
                    self.local_budgets[daemon].ask_keeper_first(now, free_in);
                }
                _ => {}
            }
            return;
        }
        // Who may wait is of a later rank, as where objectives grow with the ranks.
        let patience_ms = 20 * u32::from(standing.rank.value());
        let purpose = Purpose::Run { patience_ms };
        let admitted = match self.ask(now, daemon, purpose, units, standing) {
            Some(Decision::Granted { .. }) => true,
            Some(_) => false,
            None => {
                let local_budget = &mut self.local_budgets[daemon];
                local_budget
                    .overspend(now, WINDOW, allowance, units)
                    .is_some()
            }
        };
        if admitted {
            self.admitted.push((now, units));
        }
    }

    fn kill(&mut self, now: Time, daemon: usize) {
        self.members_since[daemon] = now;
        self.keepers[daemon] = Keeper::new();
        self.local_budgets[daemon] = LocalBudget::new();
    }

    /// Notes which daemons are not the keeper at `now`.
    fn note_keepers(&mut self, now: Time) {
        for daemon in 0..DAEMONS {
            if self.frozen == Some(daemon) || self.role(daemon) != Role::Keeper {
                self.keeper_since[daemon] = now;
            }
        }
    }

    /// Maximum number of units admitted in any window.
    fn max_in_window(&self) -> f64 {
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
        400 => (0..DAEMONS, 1..=MAX_REQUEST_UNITS, 0..RANKS as u8, any::<bool>()).prop_map(
            |(daemon, units, rank, returned)| Event::Request {
                daemon,
                units,
                standing: Standing::new(Rank::new(rank)).with_returned(returned),
            },
        ),
        2 => (1..=DAEMONS).prop_map(|from| Event::Cut { from }),
        1 => (0..DAEMONS).prop_map(|daemon| Event::Kill { daemon }),
        1 => (0..3_usize).prop_map(|daemon| Event::Freeze { daemon: Some(daemon) }),
        2 => Just(Event::Freeze { daemon: None }),
    ]
}

fn simulate(events: &[Vec<Event>]) -> Simulation {
    simulate_quota(LIMIT, TOLERANCE, events)
}

fn simulate_quota(limit: Limit, tolerance: Tolerance, events: &[Vec<Event>]) -> Simulation {
    let mut simulation = Simulation::new(limit, tolerance);
    let mut cut_since = HashMap::new();
    let mut frozen_since = Time::ZERO;
    for (step, events) in events.iter().enumerate() {
        let now = Time::from_millis(10_000 + step as u64 * STEP_MS);
        if simulation.noticed_cut_off != simulation.first_cut_off
            && now.since(cut_since[&simulation.first_cut_off])
                >= Duration::from_millis(DETECTION_MS)
        {
            simulation.noticed_cut_off = simulation.first_cut_off;
            simulation.members_since = vec![now; DAEMONS];
        }
        if simulation.noticed_frozen != simulation.frozen
            && now.since(frozen_since) >= Duration::from_millis(DETECTION_MS)
        {
            simulation.noticed_frozen = simulation.frozen;
            simulation.members_since = vec![now; DAEMONS];
        }
        simulation.note_keepers(now);
        for event in events {
            match event {
                Event::Request {
                    daemon,
                    units,
                    standing,
                } => simulation.request(now, *daemon, *units as f64, *standing),
                Event::Cut { from } => {
                    simulation.first_cut_off = *from;
                    cut_since.insert(*from, now);
                }
                Event::Kill { daemon } => simulation.kill(now, *daemon),
                Event::Freeze { daemon } if simulation.frozen != *daemon => {
                    simulation.frozen = *daemon;
                    frozen_since = now;
                }
                Event::Freeze { .. } => {}
                Event::KillAll => (0..DAEMONS).for_each(|daemon| simulation.kill(now, daemon)),
            }
        }
    }
    simulation
}

fn allowed() -> f64 {
    LIMIT.rate * WINDOW.as_secs_f64() + LIMIT.burst + TOLERANCE.tolerated_units(LIMIT)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    // Ten requests per step of 43 units on average request eight times the quota. A new partition
    // occurs nearly every second, and a daemon is killed every other second.
    #[test]
    fn partitions_and_kills_admit_no_more_than_tolerated(events in vec(vec(event(), 10), 320)) {
        let simulation = simulate(&events);
        prop_assert!(simulation.max_in_window() <= allowed(), "{} of {}", simulation.max_in_window(), allowed());
    }
}

/// `requests` per step for `steps` steps, distributed over all daemons.
fn load(steps: usize, requests: usize, units: u64) -> Vec<Vec<Event>> {
    let step = |step: usize| {
        let of_step = (0..requests).map(move |number| Event::Request {
            daemon: (step * requests + number * 5) % DAEMONS,
            units,
            standing: Standing::PLAIN,
        });
        of_step.collect()
    };
    (0..steps).map(step).collect()
}

#[test]
fn an_overloading_customer_gets_its_quota_and_no_more() {
    let simulation = simulate(&load(320, 10, 40));
    let quota = LIMIT.rate * WINDOW.as_secs_f64();
    assert!(simulation.max_in_window() <= allowed());
    assert!(
        simulation.max_in_window() >= quota,
        "{}",
        simulation.max_in_window()
    );
}

#[test]
fn a_customer_within_its_quota_is_never_refused() {
    // 800 of 1,000 units per second.
    let simulation = simulate(&load(320, 1, 40));
    assert_eq!(simulation.admitted.len(), 320);
}

#[test]
fn daemons_killed_together_do_not_each_restart_with_a_full_burst() {
    let mut events = load(320, 10, 40);
    events[160].push(Event::KillAll);
    assert!(simulate(&events).max_in_window() <= allowed());
}

#[test]
fn a_minority_partition_stays_within_its_local_budgets() {
    let mut events = load(320, 10, 40);
    events[100].push(Event::Cut { from: 8 });
    let simulation = simulate(&events);
    assert!(simulation.max_in_window() <= allowed());
}

/// Guards against a keeper that adds to its bucket what another keeper has granted while it stood still.
#[test]
fn a_keeper_that_stood_still_does_not_grant_the_burst_again() {
    let limit = Limit {
        burst: 4_000.0,
        ..LIMIT
    };
    let tolerance = Tolerance {
        slack: 240.0,
        ..TOLERANCE
    };
    let allowed =
        limit.rate * WINDOW.as_secs_f64() + limit.burst + tolerance.tolerated_units(limit);
    for frozen_steps in [40, 80, 120] {
        let mut events = load(100, 0, 0);
        events.extend(load(320, 10, 40));
        events[115].push(Event::Freeze { daemon: Some(0) });
        events[115 + frozen_steps].push(Event::Freeze { daemon: None });
        let most = simulate_quota(limit, tolerance, &events).max_in_window();
        assert!(most <= allowed, "{most} of {allowed}");
    }
}
