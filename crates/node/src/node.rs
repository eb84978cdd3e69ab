//! The state of a daemon and its one entry point.

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
use crate::state::Life;
use crate::state::Members;
use crate::state::Pools;
use crate::state::Purpose;
use crate::state::Replicas;
use crate::state::Requests;
use crate::state::Tables;
use crate::timers::Timers;

/// The decision core of a daemon.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    pub(crate) begun: Time,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) members: Members,
    pub(crate) tables: Tables,
    pub(crate) replicas: Replicas,
    pub(crate) pools: Pools,
    pub(crate) requests: Requests,
    pub(crate) life: Life,
    pub(crate) timers: Timers,
    /// Frames of this daemon to itself.
    pub(crate) local: VecDeque<Body>,
    counter: u64,
}

impl Node {
    /// A daemon at its start: no table, no list, nothing open.
    pub fn new(settings: Settings, now: Time, seed: u64) -> Self {
        Self {
            now,
            begun: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: Members::new(membership::fleet(&settings, now, seed)),
            tables: Tables::new(&settings),
            replicas: Replicas::new(),
            pools: Pools::new(),
            requests: Requests::new(&settings),
            life: Life::new(now),
            timers: Timers::new(now),
            local: VecDeque::new(),
            counter: 0,
            settings,
        }
    }

    /// Takes one event and appends the actions that follow from it.
    ///
    /// `now` must not go back. Actions are to be carried out in their order.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let gap = now.since(self.now);
        self.now = now.max(self.now);
        if gap > self.settings.lease {
            self.woke(out);
        }
        self.take(event, out);
        self.run_local(out);
        if self.now >= self.wake() {
            self.run_timers(out);
            self.run_local(out);
        }
    }

    fn take(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrived { call, request } => self.arrived(call, request, out),
            Event::Resumed {
                call,
                customer,
                token,
                offset,
            } => {
                self.resumed(call, &customer, &token, offset, out);
            }
            Event::Left { call } => self.left(call, out),
            Event::Answered { order, reply } => self.answered(order, reply, out),
            Event::Streamed { order, piece } => self.streamed(order, piece, out),
            Event::Failed { order, failure } => self.failed(order, failure, out),
            Event::Inspected {
                replica,
                asked,
                state,
            } => self.inspected(replica, asked, state, out),
            Event::Frame(frame) => self.frame(*frame, out),
            Event::Tick => (),
            Event::ListCopy(copy) => self.replicas.list_copy = Some(copy),
            Event::Listed(list) => self.listed(list, out),
            Event::Stored { query, outcome } => self.stored(query, outcome, out),
            Event::Edited { call, edit } => self.edited(call, edit, out),
            Event::Stop => self.stop(out),
        }
    }

    fn run_local(&mut self, out: &mut Vec<Action>) {
        let me = self.settings.instance;
        while let Some(body) = self.local.pop_front() {
            self.body(me, body, out);
        }
    }

    /// A number not used before in this run.
    pub(crate) fn number(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }

    /// A number that differs from those of other runs, but for a chance of about 2^-64 each. Peers repeat it in answers, which may come when this
    /// instance has started again: counted from one, it would name a question of the new run.
    pub(crate) fn unique_number(&mut self) -> u64 {
        self.number() ^ self.incarnation().0
    }

    /// A fresh order for `purpose`.
    pub(crate) fn order(&mut self, purpose: Purpose) -> OrderId {
        let order = ids::OrderId(self.number());
        self.requests.orders.insert(order, purpose);
        order
    }

    /// A fresh query to the store.
    pub(crate) fn query(&mut self) -> QueryId {
        ids::QueryId(self.number())
    }

    /// This run of this daemon.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.members.fleet.local_member().incarnation
    }

    /// Seconds of the Unix clock, moved on by the monotonic clock.
    pub(crate) fn unix_s(&self) -> u64 {
        self.unix_ms() / 1_000
    }

    /// Milliseconds of the Unix clock, moved on by the monotonic clock.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.settings.started_ms + self.now.since(self.begun).as_millis() as u64
    }

    /// Sends `body` to `to`, or to this daemon itself.
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

    /// Up to `count` other live members, chosen at random.
    pub(crate) fn some_peers(&mut self, count: usize) -> Vec<Instance> {
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

    /// Logs a decision about `request` with its alternatives.
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

    /// The name of a replica, for log lines.
    pub(crate) fn replica_name(&self, replica: Replica) -> String {
        self.replicas
            .backends
            .get(&replica)
            .map_or_else(|| replica.to_string(), |found| found.name.clone())
    }

    /// The name of an instance, for log lines.
    pub(crate) fn instance_name(&self, instance: Instance) -> String {
        self.members
            .seats
            .get(&instance)
            .map_or_else(|| instance.to_string(), |seat| seat.name.clone())
    }

    /// Whether decisions may be made now: a list is known, the table is up to date, and after a pause a peer was
    /// heard or the store was read.
    pub(crate) fn may_decide(&self) -> bool {
        let caught_up =
            !self.members.fleet.paused(self.now) || self.tables.desk.proved_since(self.life.woke);
        self.tables.view.fresh(self.now) && caught_up && self.replicas.is_listed
    }
}

/// `span` in whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
