//! State of a daemon and its entry point, [`Node::step`].

use std::collections::VecDeque;
use std::time::Duration;

use ident::Incarnation;
use ident::Instance;
use ident::Replica;
use ident::Time;
use ledger::ids::OrderId;
use ledger::ids::QueryId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wire::Body;
use wire::Frame;

use crate::action::Action;
use crate::decision::Decision;
use crate::decision::Step;
use crate::event::Event;
use crate::ids;
use crate::membership;
use crate::settings::Settings;
use crate::state::Lifecycle;
use crate::state::Members;
use crate::state::OrderPurpose;
use crate::state::Pools;
use crate::state::Replicas;
use crate::state::Requests;
use crate::state::Tables;
use crate::timers::Timers;

/// The decision core of a daemon.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    pub(crate) started: Time,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) members: Members,
    pub(crate) tables: Tables,
    pub(crate) replicas: Replicas,
    pub(crate) pools: Pools,
    pub(crate) requests: Requests,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) timers: Timers,
    /// Messages of this daemon to itself.
    pub(crate) local: VecDeque<Body>,
    counter: u64,
}

impl Node {
    /// Creates a daemon without table, list or open requests.
    pub fn new(settings: Settings, now: Time, seed: u64) -> Self {
        Self {
            now,
            started: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: Members::new(membership::fleet(&settings, now, seed)),
            tables: Tables::new(&settings),
            replicas: Replicas::new(),
            pools: Pools::new(),
            requests: Requests::new(&settings),
            lifecycle: Lifecycle::new(now),
            timers: Timers::new(now),
            local: VecDeque::new(),
            counter: 0,
            settings,
        }
    }

    /// Processes one event and appends the resulting actions to `out`.
    ///
    /// `now` must not decrease. Actions must be carried out in order.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let gap = now.since(self.now);
        self.now = now.max(self.now);
        if gap > self.settings.lease {
            self.handle_pause(out);
        }
        self.handle_event(event, out);
        self.process_local(out);
        if self.now >= self.next_wake() {
            self.run_timers(out);
            self.process_local(out);
        }
    }

    fn handle_event(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrived { call, request } => self.handle_request(call, request, out),
            Event::Resumed {
                call,
                customer,
                token,
                offset,
            } => {
                self.handle_resume(call, &customer, &token, offset, out);
            }
            Event::Disconnected { call } => self.handle_disconnect(call, out),
            Event::Answered { order, reply } => self.handle_reply(order, reply, out),
            Event::Streamed { order, piece } => self.handle_stream(order, piece, out),
            Event::Failed { order, failure } => self.handle_failure(order, failure, out),
            Event::Inspected {
                replica,
                asked,
                state,
            } => self.handle_inspection(replica, asked, state, out),
            Event::Frame(frame) => self.handle_frame(*frame, out),
            Event::Tick => (),
            Event::ListCopy(copy) => self.replicas.list_copy = Some(copy),
            Event::Listed(list) => self.apply_list(list, out),
            Event::StoreReplied { query, outcome } => self.handle_store_reply(query, outcome, out),
            Event::Edited { call, edit } => self.handle_edit(call, edit, out),
            Event::Stop => self.begin_stop(out),
        }
    }

    fn process_local(&mut self, out: &mut Vec<Action>) {
        let me = self.settings.instance;
        while let Some(body) = self.local.pop_front() {
            self.handle_body(me, body, out);
        }
    }

    /// Returns a number that is unique in this run.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }

    /// Returns a number that also differs from those of other runs, except with a probability of
    /// about 2^-64. Peers repeat it in answers, which may arrive after a restart of this instance:
    /// a counter from one could match a question of the new run.
    pub(crate) fn unique_number(&mut self) -> u64 {
        self.next_number() ^ self.incarnation().0
    }

    /// Registers a new order for `purpose`.
    pub(crate) fn new_order(&mut self, purpose: OrderPurpose) -> OrderId {
        let order = ids::OrderId(self.next_number());
        self.requests.orders.insert(order, purpose);
        order
    }

    /// Returns a new identifier of a store request.
    pub(crate) fn new_query(&mut self) -> QueryId {
        ids::QueryId(self.next_number())
    }

    /// Returns the incarnation of this run.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.members.fleet.local_member().incarnation
    }

    /// Returns Unix time in seconds, advanced by the monotonic clock since the start.
    pub(crate) fn unix_s(&self) -> u64 {
        self.unix_ms() / 1_000
    }

    /// Returns Unix time in milliseconds, advanced by the monotonic clock since the start.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.settings.started_ms + self.now.since(self.started).as_millis() as u64
    }

    /// Sends `body` to `to`, which may be this daemon.
    pub(crate) fn send(&mut self, to: Instance, body: Body, out: &mut Vec<Action>) {
        if to == self.settings.instance {
            self.local.push_back(body);
        } else {
            let frame = Frame::new(self.settings.instance, self.incarnation(), body);
            out.push(Action::Send {
                to,
                frame: Box::new(frame),
            });
        }
    }

    /// Returns up to `count` other live members, chosen at random.
    pub(crate) fn random_peers(&mut self, count: usize) -> Vec<Instance> {
        let me = self.settings.instance;
        let mut peers: Vec<Instance> = self
            .members
            .fleet
            .alive()
            .map(|member| member.instance)
            .filter(|peer| *peer != me)
            .collect();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count && !peers.is_empty() {
            let index = self.rng.random_range(0..peers.len());
            chosen.push(peers.swap_remove(index));
        }
        chosen
    }

    /// Logs a decision about `request`.
    pub(crate) fn log(
        &self,
        request: &str,
        step: Step,
        choice: &str,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        self.log_with(request, step, choice, "", reason, out);
    }

    /// Logs a decision about `request` with the alternatives.
    pub(crate) fn log_with(
        &self,
        request: &str,
        step: Step,
        choice: &str,
        alternatives: &str,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Log(Decision {
            request: request.to_owned(),
            step,
            choice: choice.to_owned(),
            alternatives: alternatives.to_owned(),
            reason: reason.to_owned(),
            generation: self.tables.view.generation(),
        }));
    }

    /// Returns the name of a replica, or its hash if it is not listed.
    pub(crate) fn replica_name(&self, replica: Replica) -> String {
        self.replicas
            .listed
            .get(&replica)
            .map_or_else(|| replica.to_string(), |found| found.name.clone())
    }

    /// Returns the name of an instance, or its hash if it is not listed.
    pub(crate) fn instance_name(&self, instance: Instance) -> String {
        self.members
            .listed
            .get(&instance)
            .map_or_else(|| instance.to_string(), |listed| listed.name.clone())
    }

    /// Returns whether requests may be admitted and placed: a list is known, the table is up to
    /// date, and since the last pause a peer was heard or the store was read.
    pub(crate) fn may_decide(&self) -> bool {
        let caught_up = !self.members.fleet.paused(self.now)
            || self.tables.sync.proved_since(self.lifecycle.pause_ended);
        self.tables.view.is_fresh(self.now) && caught_up && self.replicas.has_list
    }
}

/// Returns `span` in whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
