//! Schemes of enforcing a quota: how much each daemon may admit, and the messages between them.

use std::collections::VecDeque;
use std::time::Duration;

use customer::bucket::Bucket;
use customer::bucket::Verdict;
use customer::keeper::Decision;
use customer::keeper::Keeper;
use customer::keeper::Purpose;
use customer::keeper::QuotaRequest;
use customer::keeper::Role;
use customer::keeper::View;
use customer::list::CustomerId;
use customer::local_budget::LocalBudget;
use customer::quota::Limit;
use customer::rank::Standing;
use customer::subject::Subject;
use ident::Time;

use crate::quota::load::DETECTION;
use crate::quota::load::Load;

/// The only customer.
const CUSTOMER: CustomerId = CustomerId(1);
/// Time between two broadcasts of a daemon.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of a message.
const MESSAGE_DELAY: Duration = Duration::from_millis(10);

/// How the daemons enforce a quota together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scheme {
    /// Each live daemon may use an equal share.
    Share,
    /// Each daemon broadcasts what it admits, and counts what all of them admit.
    Told,
    /// One daemon, the keeper, counts; the others request units from it.
    Keeper,
}

/// State of one daemon.
#[derive(Debug)]
struct Daemon {
    bucket: Bucket,
    keeper: Keeper,
    local_budget: LocalBudget,
    /// Admitted units that are not broadcast yet.
    unreported: f64,
    /// When it last saw the membership change.
    members_changed: Time,
}

/// All daemons and the messages between them.
#[derive(Debug)]
pub struct Fleet {
    scheme: Scheme,
    load: Load,
    daemons: Vec<Daemon>,
    /// Messages in transit: arrival time, sender and units.
    in_transit: VecDeque<(Time, usize, f64)>,
    next_broadcast: Time,
    /// Messages sent so far.
    pub messages: u64,
}

impl Daemon {
    fn new(now: Time, load: &Load) -> Self {
        Self {
            bucket: Bucket::new(now, load.tolerance.initial_level(load.limit)),
            keeper: Keeper::new(),
            local_budget: LocalBudget::new(),
            unreported: 0.0,
            members_changed: now,
        }
    }
}

impl Fleet {
    /// Daemons that start at time zero with the scheme's initial state.
    pub fn new(scheme: Scheme, load: Load) -> Self {
        let daemons = (0..load.daemons).map(|_| Daemon::new(Time::ZERO, &load));
        Self {
            scheme,
            load,
            daemons: daemons.collect(),
            in_transit: VecDeque::new(),
            next_broadcast: Time::ZERO,
            messages: 0,
        }
    }

    /// Restarts `daemon` without its state.
    pub fn restart(&mut self, now: Time, daemon: usize) {
        self.daemons[daemon] = Daemon::new(now, &self.load);
    }

    /// Delivers the messages that arrive, and sends the broadcasts that are due.
    pub fn step(&mut self, now: Time) {
        while self.in_transit.front().is_some_and(|(at, ..)| *at <= now) {
            if let Some((_, from, units)) = self.in_transit.pop_front() {
                self.deliver(now, from, units);
            }
        }
        if self.scheme != Scheme::Told || now < self.next_broadcast {
            return;
        }
        self.next_broadcast = now + BROADCAST_INTERVAL;
        for from in 0..self.daemons.len() {
            let units = std::mem::take(&mut self.daemons[from].unreported);
            if units > 0.0 {
                self.messages += self.daemons.len() as u64 - 1;
                self.in_transit
                    .push_back((now + MESSAGE_DELAY, from, units));
            }
        }
    }

    fn deliver(&mut self, now: Time, from: usize, units: f64) {
        let limit = self.load.limit_at(now);
        for to in 0..self.daemons.len() {
            if to != from && self.reaches(now, from, to) {
                self.daemons[to].bucket.debit(now, limit, units);
            }
        }
    }

    /// Whether `daemon` admits a request of `units`.
    pub fn admits(&mut self, now: Time, daemon: usize, units: f64) -> bool {
        let limit = self.load.limit_at(now);
        match self.scheme {
            Scheme::Share => {
                let live = self.live_count(now, daemon) as f64;
                let share = Limit {
                    rate: limit.rate / live,
                    burst: limit.burst / live,
                };
                self.take_local(now, daemon, share, units)
            }
            Scheme::Told => {
                let taken = self.take_local(now, daemon, limit, units);
                if taken {
                    self.daemons[daemon].unreported += units;
                }
                taken
            }
            Scheme::Keeper => self.admit_with_keeper(now, daemon, limit, units),
        }
    }

    fn take_local(&mut self, now: Time, daemon: usize, limit: Limit, units: f64) -> bool {
        let bucket = &mut self.daemons[daemon].bucket;
        let taken = bucket.take(now, limit, units, Duration::ZERO, Standing::PLAIN);
        matches!(taken, Verdict::Granted { .. })
    }

    fn admit_with_keeper(&mut self, now: Time, daemon: usize, limit: Limit, units: f64) -> bool {
        let tolerance = self.load.tolerance;
        let allowance = tolerance.local_budget(limit, self.daemons.len());
        let local_budget = &mut self.daemons[daemon].local_budget;
        if let Some(number) = local_budget.spend(now, tolerance.window, allowance, units) {
            let reply = self.ask_keeper(now, daemon, limit, Purpose::Ran, units);
            let local_budget = &mut self.daemons[daemon].local_budget;
            match reply {
                Some(Decision::Counted) => local_budget.settle(number),
                Some(Decision::Overdrawn { free_ms }) => {
                    local_budget.ask_keeper_first(now, Duration::from_millis(free_ms.into()));
                }
                _ => {}
            }
            return true;
        }
        let purpose = Purpose::Run { patience_ms: 90 };
        match self.ask_keeper(now, daemon, limit, purpose, units) {
            Some(decision) => matches!(decision, Decision::Granted { .. }),
            None => {
                let local_budget = &mut self.daemons[daemon].local_budget;
                let spent = local_budget.overspend(now, tolerance.window, allowance, units);
                spent.is_some()
            }
        }
    }

    /// Sends a request to the keeper, then to its deputy if the keeper does not decide.
    fn ask_keeper(
        &mut self,
        now: Time,
        from: usize,
        limit: Limit,
        purpose: Purpose,
        units: f64,
    ) -> Option<Decision> {
        let request = QuotaRequest {
            subject: Subject::Customer(CUSTOMER),
            units,
            purpose,
        }
        .ranked(Standing::PLAIN);
        for to in self.keeper_and_deputy(now, from) {
            if to != from {
                self.messages += 1;
            }
            if !self.reaches(now, from, to) {
                continue;
            }
            if to != from {
                self.messages += 1;
            }
            let role = match to {
                _ if 2 * self.live_count(now, to) <= self.daemons.len() => Role::NoMajority,
                _ if self.keeper_and_deputy(now, to).first() == Some(&to) => Role::Keeper,
                _ => Role::Deputy,
            };
            let tolerance = self.load.tolerance;
            let keeper = &mut self.daemons[to];
            let since = keeper.members_changed;
            let ruling =
                keeper
                    .keeper
                    .decide(now, &View::new(role, since), limit, &tolerance, &request);
            if ruling.reply.decision != Decision::Unsure {
                return Some(ruling.reply.decision);
            }
        }
        None
    }

    /// The keeper and its deputy, as `daemon` sees the membership.
    fn keeper_and_deputy(&self, now: Time, daemon: usize) -> Vec<usize> {
        let known = (0..self.daemons.len()).filter(|other| self.believes_live(now, daemon, *other));
        known.take(2).collect()
    }

    /// Number of daemons that `daemon` believes to be live.
    fn live_count(&self, now: Time, daemon: usize) -> usize {
        let others = 0..self.daemons.len();
        others
            .filter(|other| self.believes_live(now, daemon, *other))
            .count()
    }

    /// Whether `daemon` believes `other` to be live, which lags by [`DETECTION`].
    fn believes_live(&self, now: Time, daemon: usize, other: usize) -> bool {
        daemon == other || self.reaches(now - DETECTION, daemon, other)
    }

    fn reaches(&self, now: Time, from: usize, to: usize) -> bool {
        let load = &self.load;
        let cut = load.is_cut(now, from) || load.is_cut(now, to);
        from == to || !(cut || load.is_down(now, to))
    }
}
