//! Plan, replicas and store: what this daemon knows and how old it is.

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
use relay::server::Key;

use crate::news::News;
use crate::shared::Shared;
use crate::store;

impl Shared {
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
        let is_route = |name: &String| plan.routes.iter().any(|route| route.name == *name);
        let mut patiences = self.patiences.borrow_mut();
        patiences.retain(|name, _| is_route(name));
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
            self.name_customers(customers);
        }
        self.metrics.plan_version.set(plan.version);
        *self.plan.borrow_mut() = Some(Rc::new(plan));
    }

    /// Applies an update of the replicas that reflects the store as of `read_at`.
    pub fn take_replicas(&self, source: Source, read_at: Time, update: &Update) {
        let version = update.version();
        let now = self.clock.now();
        let changes = self.pool.borrow_mut().apply_update(now, source, update);
        let Some(changes) = changes else {
            log::info!(kind = "replicas", version = version, source = source.name(); "older news of the replicas are ignored");
            return;
        };
        self.note_replicas_read(read_at);
        self.tell_changes(source.name(), &changes);
    }

    /// Takes from an answer of `key` when its replica started.
    pub fn note_birth(&self, key: Key, birth: Option<Birth>) {
        let now = self.clock.now();
        let changes = self.pool.borrow_mut().update_birth(now, key, birth);
        self.tell_changes("answer", &changes);
    }

    fn tell_changes(&self, source: &'static str, changes: &[StateChange]) {
        let version = self.replicas_version();
        for change in changes {
            log::info!(kind = "replica", replica = change.id, belief = format!("{:?}", change.now), version = version, source = source; "a replica changed");
            if change.now == ReplicaState::Restarted {
                self.forget_earlier(&change.id);
            }
        }
    }

    /// Ends what began at an earlier incarnation of the replica `id`: it will send nothing more.
    fn forget_earlier(&self, id: &str) {
        let address = self.pool.borrow().address(id);
        if let Some(address) = address {
            self.connections.close_idle(address);
        }
        self.restarts.notify_waiters();
    }

    /// Waits until the replica behind `key` has started again; forever if it does not.
    pub async fn restarted(&self, key: Key) {
        loop {
            let told = self.restarts.notified();
            if self.pool.borrow().has_restarted(key) {
                return;
            }
            told.await;
        }
    }

    /// What a peer is told whose replicas stand at `version` and have the hash `digest`.
    pub fn newer_replicas(&self, version: u64, digest: u64) -> Option<Update> {
        let pool = self.pool.borrow();
        pool.update_for_peer(self.clock.now(), version, digest)
    }

    /// Notes that the replicas are the same as those that a peer has from `version`, which was read
    /// `age` ago.
    pub fn confirm_replicas(&self, version: u64, age: Duration) {
        let now = self.clock.now();
        self.pool.borrow_mut().confirm(now, version);
        let read = now - age;
        self.note_replicas_read(read);
        self.store_heard.set(self.store_heard.get().max(read));
    }

    /// Advances the time at which the replicas were last known to be current; never moves it back.
    fn note_replicas_read(&self, read_at: Time) {
        self.replicas_heard
            .set(self.replicas_heard.get().max(read_at));
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
            self.overload.borrow().is_reported(self.clock.now()),
        )
    }

    /// Notes that the replicas could not be read.
    pub fn note_outage(&self) {
        self.pool.borrow_mut().note_outage(self.clock.now());
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
