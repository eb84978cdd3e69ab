//! What the parts of the daemon share.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ident::Time;
use ident::Zone;
use relay::budget::Budget;
use relay::budget::Rule;
use relay::directory::Breadth;
use relay::plan::Plan;
use relay::pool::Pool;
use relay::replica::Update;
use relay::score::Want;
use relay::server::Key;
use relay::strain::Strain;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::card::Card;
use crate::clock::Clock;
use crate::links::Links;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::news::News;
use crate::settings::Settings;
use crate::store;
use crate::store::Store;

/// Time after SIGTERM in which any request is taken; callers may hold an old address answer for
/// so long. After it, only those that are over by the end of the grace.
const TAKING: Duration = Duration::from_millis(2_700);

/// Time before the end of the grace at which a stopping daemon ends, whatever is in progress.
pub const RESERVE: Duration = Duration::from_millis(300);
/// Time of a decode replica for an answer until one was seen: some hundred tokens of 8 ms.
const ANSWER_LENGTH: Duration = Duration::from_secs(3);
/// Lines about rejected requests in a second at most; a caller that sends nothing but improper
/// requests must not fill the logs.
const MAX_REJECTED_LINES: u64 = 50;
/// Weight of the newest answer in the mean.
const LENGTH_STEP: f64 = 0.1;

/// State of the daemon; one thread uses it.
#[derive(Debug)]
pub struct Shared {
    /// Settings in force.
    settings: RefCell<Rc<Settings>>,
    /// Its clock.
    pub clock: Clock,
    /// Client of the store.
    pub store: Store,
    /// Connections to replicas.
    pub links: Links,
    /// The other instances.
    pub members: RefCell<Members>,
    /// The replicas.
    pub pool: RefCell<Pool>,
    /// Counters and histograms.
    pub metrics: Metrics,
    plan: RefCell<Option<Rc<Plan>>>,
    budgets: RefCell<HashMap<String, Budget>>,
    /// Mean time of a decode replica for an answer, by service.
    lengths: RefCell<HashMap<String, Duration>>,
    strain: RefCell<Strain>,
    near: Zone,
    own: Card,
    /// Socket for datagrams to other daemons, once it is open.
    pub datagrams: OnceCell<UdpSocket>,
    /// Questions to the poller that wait for an answer.
    pub questions: RefCell<HashMap<u32, oneshot::Sender<News>>>,
    /// When the replicas were last known to be up to date.
    replicas_heard: Cell<Time>,
    /// When the store last answered.
    store_heard: Cell<Time>,
    /// Whether the store's last call failed.
    store_lost: Cell<bool>,
    /// When SIGTERM came.
    stopping: Cell<Option<Time>>,
    /// Requests in progress.
    open: Cell<usize>,
    /// Version of the plan that a peer is being asked for.
    asking: Cell<u64>,
    /// The present second, and the rejected requests in it.
    rejected: Cell<(u64, u64)>,
}

impl Shared {
    /// The state of a daemon with `settings` that starts now.
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let near = Zone::new(&settings.data_centre);
        let own = Card {
            name: settings.instance.clone(),
            data_centre: near,
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            capacity: settings.processor.capacity(),
        };
        Self {
            clock: Clock::new(),
            store: Store::new(settings.store),
            links: Links::new(),
            members: RefCell::new(Members::new(own.clone())),
            pool: RefCell::new(Pool::new()),
            metrics,
            plan: RefCell::new(None),
            budgets: RefCell::new(HashMap::new()),
            lengths: RefCell::new(HashMap::new()),
            strain: RefCell::new(Strain::new()),
            near,
            own,
            datagrams: OnceCell::new(),
            questions: RefCell::new(HashMap::new()),
            replicas_heard: Cell::new(Time::ZERO),
            store_heard: Cell::new(Time::ZERO),
            store_lost: Cell::new(false),
            stopping: Cell::new(None),
            open: Cell::new(0),
            asking: Cell::new(0),
            rejected: Cell::new((0, 0)),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts `settings` in force.
    pub fn take_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    fn rule(&self) -> Rule {
        self.settings.borrow().retry_rule()
    }

    /// The own card.
    pub fn own_card(&self) -> Card {
        self.own.clone()
    }

    /// The plan in force.
    pub fn plan(&self) -> Option<Rc<Plan>> {
        self.plan.borrow().clone()
    }

    /// Version of the plan in force; 0 if there is none.
    pub fn plan_version(&self) -> u64 {
        self.plan.borrow().as_ref().map_or(0, |plan| plan.version)
    }

    /// Version of the store at which the replicas stand.
    pub fn replicas_version(&self) -> u64 {
        self.pool.borrow().version()
    }

    /// Puts `plan` in force, unless one as new is; `source` is where it came from.
    pub fn take_plan(&self, source: &'static str, plan: Plan) {
        let before = self.plan_version();
        if plan.version <= before {
            return;
        }
        log::info!(kind = "plan", version = plan.version, before = before, source = source, routes = plan.routes.len() as u64; "a plan is in force");
        for (name, service) in &plan.services {
            if let Some(engine) = service.engine {
                self.pool
                    .borrow_mut()
                    .set_memory(name, engine.memory_tokens);
            }
        }
        self.metrics.plan_version.set(plan.version);
        *self.plan.borrow_mut() = Some(Rc::new(plan));
    }

    /// Takes news of the replicas.
    pub fn take_replicas(&self, source: &'static str, update: &Update) {
        let version = update.version();
        let changes = self.pool.borrow_mut().take(self.clock.now(), update);
        let Some(changes) = changes else {
            log::info!(kind = "replicas", version = version, source = source; "older news of the replicas are ignored");
            return;
        };
        self.replicas_heard.set(self.clock.now());
        for change in changes {
            log::info!(kind = "replica", replica = change.id, belief = format!("{:?}", change.now), version = version, source = source; "a replica changed");
        }
    }

    /// What changed of the replicas after `version`, if anything did.
    pub fn newer_replicas(&self, version: u64) -> Option<Update> {
        let pool = self.pool.borrow();
        (pool.version() > version).then(|| pool.update(self.clock.now(), version))
    }

    /// Notes that the replicas are the same as those that a peer has from `version`, which was read
    /// `age` ago.
    pub fn confirm_replicas(&self, version: u64, age: Duration) {
        self.pool.borrow_mut().confirm(version);
        let read = self.clock.now() - age;
        self.replicas_heard.set(self.replicas_heard.get().max(read));
        self.store_heard.set(self.store_heard.get().max(read));
    }

    /// Time since the replicas were up to date.
    pub fn replicas_age(&self) -> Duration {
        self.clock.now().since(self.replicas_heard.get())
    }

    /// The news for a daemon whose replicas have the hash `digest`.
    pub fn news(&self, digest: u64) -> News {
        let pool = self.pool.borrow();
        News::new(
            self.plan_version(),
            pool.version(),
            pool.digest() == digest,
            self.replicas_age(),
            self.store_lost.get(),
            self.strain.borrow().is_near(self.clock.now()),
        )
    }

    /// Notes that the replicas could not be read.
    pub fn note_outage(&self) {
        self.pool.borrow_mut().note_outage(self.clock.now());
    }

    /// The replica to send a request to, and marks it as at work on it.
    pub fn choose(
        &self,
        service: &str,
        stage: Option<relay::replica::Stage>,
        tried: &[Key],
    ) -> Option<Key> {
        self.choose_near(service, stage, tried, self.near)
    }

    /// The same, preferring replicas of the data centre `near`.
    pub fn choose_near(
        &self,
        service: &str,
        stage: Option<relay::replica::Stage>,
        tried: &[Key],
        near: Zone,
    ) -> Option<Key> {
        let want = Want {
            service,
            stage,
            tried,
            near,
        };
        let pool = self.pool.borrow();
        pool.choose(self.clock.now(), &want, rand::random)
    }

    /// The data centre of `key`; this daemon's own if the replica is gone.
    pub fn data_centre_of(&self, key: Key) -> Zone {
        let pool = self.pool.borrow();
        pool.get(key)
            .map_or(self.near, |server| server.replica.data_centre)
    }

    /// Part of the prompts that decode replicas are to read, since `key` is slow or fails.
    pub fn own_reads(&self, key: Key, objective: Duration) -> f64 {
        let pool = self.pool.borrow();
        pool.own_reads(self.clock.now(), key, objective)
    }

    /// Notes that `key` took `took` to read a prompt.
    pub fn note_read(&self, key: Key, took: Duration) {
        let now = self.clock.now();
        self.pool.borrow_mut().note_read(now, key, took);
    }

    /// Notes that `key` took `took` for `units` of work.
    pub fn note_pace(&self, key: Key, took: Duration, units: f64) {
        let now = self.clock.now();
        self.pool.borrow_mut().note_pace(now, key, took, units);
    }

    /// Notes how long a decode replica was at work on an answer of `service`.
    pub fn note_answer(&self, service: &str, took: Duration) {
        let mut lengths = self.lengths.borrow_mut();
        let mean = lengths.entry(service.to_owned()).or_insert(ANSWER_LENGTH);
        *mean = mean.mul_f64(1.0 - LENGTH_STEP) + took.mul_f64(LENGTH_STEP);
    }

    /// When a caller of `service` may come back that found no room: about when the answers that
    /// are being made have ended, spread so that callers do not come back together.
    pub fn come_back(&self, service: &str) -> Duration {
        let lengths = self.lengths.borrow();
        let mean = lengths.get(service).copied().unwrap_or(ANSWER_LENGTH);
        mean.mul_f64(rand::random_range(0.75..1.25))
    }

    /// Closes the idle connections to `key`, which had no answer in time.
    pub fn forget_links(&self, key: Key) {
        let address = self.pool.borrow().get(key).map(|s| s.replica.address);
        if let Some(address) = address {
            self.links.forget(address);
        }
    }

    /// Counts a request for `service` in its budget of retries.
    pub fn count_request(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.request(self.clock.now(), &self.rule());
    }

    /// Whether a retry is left in the budget of `service`.
    pub fn has_retry(&self, service: &str) -> bool {
        let sharers = self.members.borrow().sharers();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.left(self.clock.now(), &self.rule(), sharers) >= 1.0
    }

    /// Takes a retry for `request` out of the budget of `service`, if one is left.
    pub fn take_retry(&self, service: &str, request: &str) -> bool {
        let sharers = self.members.borrow().sharers();
        let now = self.clock.now();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        let left = budget.left(now, &self.rule(), sharers);
        let taken = budget.take(now, &self.rule(), sharers);
        self.metrics.retries(service, taken);
        log::info!(kind = "retry", request = request, service = service, granted = taken, left = format!("{left:.1}"), sharers = sharers as u64; "a retry was asked of the budget");
        taken
    }

    /// Brings up to date the figures that are read at a scrape.
    pub fn refresh_metrics(&self) {
        let now = self.clock.now();
        let members = self.members.borrow();
        let metrics = &self.metrics;
        metrics.members.set(members.count() as u64);
        metrics.replicas_version.set(self.replicas_version());
        metrics.replicas_age.set(self.replicas_age().as_secs_f64());
        for (service, budget) in self.budgets.borrow_mut().iter_mut() {
            let left = budget.left(now, &self.rule(), members.sharers());
            metrics.retries_left(service, left);
        }
    }

    /// Whether one more line about a rejected request may be logged in this second; tells how many
    /// were left out in the last one.
    pub fn may_log(&self) -> Option<u64> {
        let second = self.clock.now().as_millis() / 1_000;
        let (last, count) = self.rejected.get();
        if last != second {
            self.rejected.set((second, 1));
            return Some(count.saturating_sub(MAX_REJECTED_LINES));
        }
        self.rejected.set((second, count + 1));
        (count < MAX_REJECTED_LINES).then_some(0)
    }

    /// Notes that the store answered.
    pub fn store_answered(&self, step: &'static str) {
        self.store_heard.set(self.clock.now());
        if self.store_lost.replace(false) {
            log::info!(kind = "store", step = step; "the store answers again");
        }
    }

    /// Notes that a call of the store failed.
    pub fn store_failed(&self, step: &'static str, error: &store::Error) {
        self.metrics.store_failures.inc();
        if !self.store_lost.replace(true) {
            log::warn!(kind = "store", step = step, cause = error.to_string(); "the store does not answer");
        }
    }

    /// Time since the store last answered.
    pub fn store_silence(&self) -> Duration {
        self.clock.now().since(self.store_heard.get())
    }

    /// Notes that a timer of this daemon came `late`.
    pub fn note_late(&self, late: Duration) {
        self.strained(|strain, now| strain.note(now, late));
    }

    /// Notes that another instance of this data centre told that it is strained.
    pub fn heard_strain(&self) {
        self.strained(Strain::heard);
    }

    /// Notes that an instance heard of one of this data centre that is strained.
    pub fn told_strain(&self) {
        self.strained(Strain::told);
    }

    fn strained(&self, change: impl FnOnce(&mut Strain, Time)) {
        let now = self.clock.now();
        let mut strain = self.strain.borrow_mut();
        let before = strain.spreads(now);
        change(&mut strain, now);
        if strain.spreads(now) && !before {
            log::info!(kind = "strain", own = strain.is_own(); "an instance is strained; callers are told of all instances of the data centre");
        }
    }

    /// Whether this daemon is strained.
    pub fn is_strained(&self) -> bool {
        self.strain.borrow().is_own()
    }

    /// Which instances callers are told of.
    pub fn breadth(&self) -> Breadth {
        let spreads = self.strain.borrow().spreads(self.clock.now());
        if spreads {
            Breadth::All
        } else {
            Breadth::Large
        }
    }

    /// Whether callers are taken: a plan is known and the daemon is not stopping.
    pub fn is_ready(&self) -> bool {
        self.plan_version() > 0 && !self.pool.borrow().is_empty() && !self.is_stopping()
    }

    /// Whether the daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Notes that SIGTERM came.
    pub fn stop(&self) {
        self.stopping.set(Some(self.clock.now()));
    }

    /// Whether a request that may last for `longest` is taken; a stopping daemon takes none that it
    /// may have to cut.
    pub fn takes(&self, longest: Duration) -> bool {
        let Some(since) = self.stopping.get() else {
            return true;
        };
        let elapsed = self.clock.now().since(since);
        elapsed < TAKING || elapsed + longest < self.settings().grace().saturating_sub(RESERVE)
    }

    /// Requests in progress.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Counts the requests in progress anew.
    pub fn set_open(&self, count: usize) {
        self.open.set(count);
        self.metrics.open.set(count as u64);
    }

    /// Begins to ask a peer for plan `version`; `false` if that is being done.
    pub fn begin_asking(&self, version: u64) -> bool {
        if self.asking.get() >= version {
            return false;
        }
        self.asking.set(version);
        true
    }

    /// Ends it.
    pub fn end_asking(&self) {
        self.asking.set(0);
    }
}
