//! Plan, replicas and reachability of the store, with the age of each.

use std::rc::Rc;
use std::time::Duration;

use customer::subject::Subject;
use ident::Time;
use relay::plan::Plan;
use relay::replica::Birth;
use relay::replica::Source;
use relay::replica::Update;
use relay::replica_state::ReplicaState;
use relay::replica_state::StateChange;
use relay::revision::Revision;
use relay::server::Key;

use crate::begins::message::LIFETIME_FACTOR;
use crate::poller_status::PollerStatus;
use crate::shared::Shared;
use crate::store;

/// Maximum number of lines about replicas that changed together. A line for each replica of a large
/// fleet takes a small instance longer than reading the list.
const MAX_CHANGE_LINES: usize = 50;

/// Longest time for which a stream that begins under `plan` may be resumed.
fn lifetime_under(plan: &Plan) -> Duration {
    let streams = plan.routes.iter().filter(|route| route.mode.streams());
    let longest = streams.map(|route| route.timeout * LIFETIME_FACTOR).max();
    longest.unwrap_or_default()
}

impl Shared {
    /// The plan in force.
    pub fn plan(&self) -> Option<Rc<Plan>> {
        self.plan.borrow().clone()
    }

    /// Version of the plan in force; 0 if there is none.
    pub fn plan_version(&self) -> u64 {
        self.plan.borrow().as_ref().map_or(0, |plan| plan.version)
    }

    /// Store version of the list of replicas.
    pub fn replicas_version(&self) -> Revision {
        self.pool.borrow().version()
    }

    /// Puts `plan` in force if it is newer than the current one; `source` says where it came from.
    pub fn apply_plan(&self, source: &'static str, mut plan: Plan) {
        let before = self.plan_version();
        if plan.version <= before {
            return;
        }
        // A peer may have sent any numbers.
        plan.reduce_numbers();
        log::info!(kind = "plan", version = plan.version, before = before, source = source, routes = plan.routes.len() as u64; "a plan is in force");
        for (name, service) in &plan.services {
            let mut pool = self.pool.borrow_mut();
            pool.set_cold_start(name, service.cold_start);
            if let Some(engine) = service.engine {
                pool.set_memory(name, engine.memory_tokens);
            }
        }
        // Streams that began under an earlier plan may last longer.
        let lifetime = self.stream_lifetime.get().max(lifetime_under(&plan));
        self.stream_lifetime.set(lifetime);
        let is_route = |name: &String| plan.routes.iter().any(|route| route.name == *name);
        let mut caller_timeouts = self.caller_timeouts.borrow_mut();
        caller_timeouts.retain(|name, _| is_route(name));
        let customers = plan.customers.as_ref();
        let is_customer = |id| customers.is_some_and(|customers| customers.get(id).is_some());
        let pool = self.pool.borrow();
        let is_known = |subject| match subject {
            Subject::Customer(id) => is_customer(id),
            Subject::Replica(hash) => pool.servers().any(|server| server.hash == hash),
        };
        self.quotas.borrow_mut().retain(is_known);
        drop(pool);
        if let Some(customers) = customers {
            self.label_customers(customers);
        }
        self.metrics.plan_version.set(plan.version);
        *self.plan.borrow_mut() = Some(Rc::new(plan));
    }

    /// Applies an update of the replicas that reflects the store as of `read_at`.
    pub fn apply_replicas(&self, source: Source, read_at: Time, update: &Update) {
        let (revision, known) = (update.version(), self.replicas_version());
        let (now, era) = (self.clock.now(), self.era());
        let changes = self
            .pool
            .borrow_mut()
            .apply_read(now, era, source, read_at, update);
        let Some(changes) = changes else {
            log::info!(kind = "replicas", era = revision.era, version = revision.version, known_era = known.era, known_version = known.version, source = source.name(); "ignored an outdated list of replicas");
            return;
        };
        self.log_changes(source.name(), &changes);
    }

    /// Records that the store confirms that the whole system starts for the first time.
    pub fn note_first_start(&self) {
        self.is_first_start.set(true);
        if self.settings().version_records {
            self.pool.borrow_mut().note_first_start();
        }
    }

    /// Whether the store has confirmed that the whole system starts for the first time.
    pub const fn is_first_start(&self) -> bool {
        self.is_first_start.get()
    }

    /// Longest time for which a stream that begins under the plan in force may be resumed; zero without
    /// a plan.
    pub fn plan_lifetime(&self) -> Duration {
        let plan = self.plan();
        plan.map_or(Duration::ZERO, |plan| lifetime_under(&plan))
    }

    /// Records that the store has `recorded` as the time for which a stream may be resumed; zero if it
    /// has none.
    pub fn note_recorded_lifetime(&self, recorded: Duration) {
        let lifetime = self.stream_lifetime.get().max(recorded);
        self.stream_lifetime.set(lifetime);
        self.knows_recorded_lifetime.set(true);
    }

    /// Whether it is known for how long streams that began before the start of this daemon may be
    /// resumed.
    pub const fn knows_recorded_lifetime(&self) -> bool {
        self.knows_recorded_lifetime.get()
    }

    /// Longest time for which a stream may be resumed after its begin, as far as this daemon knows.
    pub const fn stream_lifetime(&self) -> Duration {
        self.stream_lifetime.get()
    }

    /// The only software version that served `service` for as long as a stream can be resumed; `None` if
    /// there were several, or if this daemon cannot exclude it.
    pub fn only_version(&self, service: &str) -> Option<String> {
        if !self.knows_recorded_lifetime() {
            return None;
        }
        let (now, period) = (self.clock.now(), self.stream_lifetime.get());
        let pool = self.pool.borrow();
        pool.only_version(now, service, period).map(str::to_owned)
    }

    /// The only software version that can have begun a stream of `service` before `asked_at`.
    pub fn only_version_at(&self, asked_at: Time, service: &str) -> Option<String> {
        if !self.knows_recorded_lifetime() {
            return None;
        }
        let (now, period) = (self.clock.now(), self.stream_lifetime.get());
        let pool = self.pool.borrow();
        let only = pool.only_version_at(now, service, period, asked_at);
        only.map(str::to_owned)
    }

    /// Whether this daemon has seen no other software version of `service` than the present one for as
    /// long as a stream can be resumed, or since it started.
    pub fn follows_one_version(&self, service: &str) -> bool {
        let (now, period) = (self.clock.now(), self.stream_lifetime.get());
        self.pool
            .borrow()
            .has_seen_one_version(now, service, period)
    }

    /// Records the start time of the replica behind `key`, taken from one of its answers.
    pub fn update_birth(&self, key: Key, birth: Option<Birth>) {
        let now = self.clock.now();
        let changes = self.pool.borrow_mut().update_birth(now, key, birth);
        self.log_changes("answer", &changes);
    }

    pub(super) fn log_changes(&self, source: &'static str, changes: &[StateChange]) {
        let Revision { era, version } = self.replicas_version();
        let omitted = changes.len().saturating_sub(MAX_CHANGE_LINES);
        if omitted > 0 {
            log::info!(kind = "replicas", era = era, version = version, source = source, omitted = omitted as u64; "more replicas changed than are logged");
        }
        for change in changes.iter().take(MAX_CHANGE_LINES) {
            log::info!(kind = "replica", replica = change.id, belief = format!("{:?}", change.now), era = era, version = version, source = source; "a replica changed");
        }
        let restarted = changes.iter();
        let restarted = restarted.filter(|change| change.now == ReplicaState::Restarted);
        for change in restarted {
            self.drop_earlier_incarnation(&change.id);
        }
    }

    /// Ends what is in progress at an earlier incarnation of the replica `id`, which will send
    /// nothing more.
    fn drop_earlier_incarnation(&self, id: &str) {
        let address = self.pool.borrow().address(id);
        if let Some(address) = address {
            self.connections.close_idle(address);
        }
        self.restarts.notify_waiters();
    }

    /// Whether the replica behind `key` has restarted.
    pub fn has_restarted(&self, key: Key) -> bool {
        self.pool.borrow().has_restarted(key)
    }

    /// Waits until the replica behind `key` has restarted; forever if it does not.
    pub async fn restarted(&self, key: Key) {
        loop {
            let restarted = self.restarts.notified();
            if self.has_restarted(key) {
                return;
            }
            restarted.await;
        }
    }

    /// The update for a peer whose list of replicas has `version` and the hash `digest`; `None` if
    /// it needs none.
    pub fn newer_replicas(&self, version: Revision, digest: u64) -> Option<Update> {
        let pool = self.pool.borrow();
        pool.update_for_peer(self.clock.now(), version, digest)
    }

    /// Records that the replicas equal those that a peer read at store version `version`, `age`
    /// ago. Lists of two eras confirm nothing of each other.
    pub fn confirm_replicas(&self, version: Revision, age: Duration) {
        let now = self.clock.now();
        let read = now - age;
        let mut pool = self.pool.borrow_mut();
        if !pool.confirm_read(now, read, version) {
            return;
        }
        self.store_answered_at
            .set(self.store_answered_at.get().max(read));
    }

    /// When the replicas were last known to be up to date.
    pub fn replicas_current_at(&self) -> Time {
        self.pool.borrow().current_at()
    }

    /// Time since then.
    pub fn replicas_age(&self) -> Duration {
        self.clock.now().since(self.replicas_current_at())
    }

    /// The reply to a status request of a daemon whose replicas have the hash `digest`.
    pub fn poller_status(&self, digest: u64) -> PollerStatus {
        let pool = self.pool.borrow();
        PollerStatus::new(
            self.plan_version(),
            pool.version(),
            pool.confirms(self.clock.now(), digest),
            self.replicas_age(),
            self.store_failing.get(),
            self.overload.borrow().is_reported(self.clock.now()),
        )
    }

    /// Records that the replicas could not be read.
    pub fn note_outage(&self) {
        self.pool.borrow_mut().note_outage(self.clock.now());
    }

    /// Records that the store answered.
    pub fn store_answered(&self, step: &'static str) {
        self.store_answered_at.set(self.clock.now());
        if self.store_failing.replace(false) {
            log::info!(kind = "store", step = step; "the store answers again");
        }
    }

    /// Records that a call of the store failed.
    pub fn store_failed(&self, step: &'static str, error: &store::Error) {
        self.metrics.store_failures.inc();
        if !self.store_failing.replace(true) {
            log::warn!(kind = "store", step = step, cause = error.to_string(); "the store does not answer");
        }
    }

    /// Time since the store last answered.
    pub fn time_since_store_answer(&self) -> Duration {
        self.clock.now().since(self.store_answered_at.get())
    }

    /// Begins fetching plan `version` from a peer; `false` if that version or a newer one is being
    /// fetched.
    pub fn begin_plan_fetch(&self, version: u64) -> bool {
        if self.plan_being_fetched.get() >= version {
            return false;
        }
        self.plan_being_fetched.set(version);
        true
    }

    /// Records that the fetch has ended.
    pub fn end_plan_fetch(&self) {
        self.plan_being_fetched.set(0);
    }
}
