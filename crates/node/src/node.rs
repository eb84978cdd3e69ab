//! The state of a daemon and its one entry point.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use fleet::Fleet;
use ident::Handle;
use ident::Incarnation;
use ident::Instance;
use ident::Pool;
use ident::Replica;
use ident::Time;
use ledger::holds::Holds;
use ledger::ids::Call;
use ledger::ids::Order;
use ledger::ids::Query;
use ledger::keys::Memory;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;
use table::view::View;
use wire::Body;
use wire::Frame;

use crate::action::Action;
use crate::asking::Question;
use crate::decision::Decision;
use crate::decision::Step;
use crate::event::Event;
use crate::ids;
use crate::keeping::Kept;
use crate::list::Backend;
use crate::list::Seat;
use crate::members;
use crate::open::Open;
use crate::open::OpenKey;
use crate::recording::Journal;
use crate::rows::Rows;
use crate::settings::Settings;
use crate::tables::Desk;
use crate::timers::Timers;

/// What an order was for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Purpose {
    /// Prefill of an open request.
    Prefill(OpenKey),
    /// Decode of an open request, or reading its stream.
    Decode(OpenKey),
    /// Plain call of an open request.
    Plain(OpenKey),
    /// Release of a hold.
    Cancel,
}

/// The decision core of a daemon.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    pub(crate) begun: Time,
    /// When the last pause longer than the lease ended.
    pub(crate) woke: Time,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) fleet: Fleet,
    /// Former incarnations of this process, given up after a pause.
    pub(crate) former: Vec<Incarnation>,
    pub(crate) view: View,
    pub(crate) desk: Desk,
    pub(crate) rows: Rows,
    pub(crate) seats: BTreeMap<Instance, Seat>,
    pub(crate) backends: BTreeMap<Replica, Backend>,
    /// Whether a list was told; without one no replica is known.
    pub(crate) is_listed: bool,
    /// The part of the replicas that was inspected last.
    pub(crate) inspect_part: u64,
    pub(crate) list_copy: Option<Bytes>,
    pub(crate) open: SlotMap<OpenKey, Open>,
    pub(crate) by_handle: HashMap<Handle, OpenKey>,
    pub(crate) by_call: HashMap<Call, OpenKey>,
    pub(crate) orders: HashMap<Order, Purpose>,
    pub(crate) holds: Holds,
    pub(crate) keys: Memory<OpenKey>,
    pub(crate) cells: BTreeMap<Pool, Kept>,
    pub(crate) keepers: BTreeMap<Pool, Instance>,
    pub(crate) questions: HashMap<u64, Question>,
    pub(crate) journal: Journal,
    pub(crate) timers: Timers,
    pub(crate) leaving: Option<Time>,
    pub(crate) finished: bool,
    /// Since when a planned stop waits for records and releases only.
    pub(crate) idle_since: Option<Time>,
    /// Since when the table marks this instance to drain.
    pub(crate) drained: Option<Time>,
    /// Frames of this daemon to itself.
    pub(crate) local: VecDeque<Body>,
    counter: u64,
}

impl Node {
    /// A daemon at its start: no table, no list, nothing open.
    pub fn new(settings: Settings, now: Time, seed: u64) -> Self {
        let fleet = members::fleet(&settings, now, seed);
        let window = settings.window.as_secs();
        Self {
            now,
            begun: now,
            woke: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            fleet,
            former: Vec::new(),
            view: View::new(settings.lease),
            desk: Desk::new(),
            rows: Rows::new(),
            seats: BTreeMap::new(),
            backends: BTreeMap::new(),
            is_listed: false,
            inspect_part: 0,
            list_copy: None,
            open: SlotMap::with_key(),
            by_handle: HashMap::new(),
            by_call: HashMap::new(),
            orders: HashMap::new(),
            holds: Holds::new(),
            keys: Memory::new(window, settings.max_keys),
            cells: BTreeMap::new(),
            keepers: BTreeMap::new(),
            questions: HashMap::new(),
            journal: Journal::new(),
            timers: Timers::new(now),
            leaving: None,
            finished: false,
            idle_since: None,
            drained: None,
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
            Event::Inspected { replica, state } => self.inspected(replica, state, out),
            Event::Frame(frame) => self.frame(*frame, out),
            Event::Unreachable { .. } | Event::Tick => (),
            Event::ListCopy(copy) => self.list_copy = Some(copy),
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

    /// The open requests that `wanted` holds for.
    pub(crate) fn open_where(&self, wanted: impl Fn(&Open) -> bool) -> Vec<OpenKey> {
        let found = self.open.iter().filter(|(_, entry)| wanted(entry));
        found.map(|(opened, _)| opened).collect()
    }

    /// A fresh order for `purpose`.
    pub(crate) fn order(&mut self, purpose: Purpose) -> Order {
        let order = ids::Order(self.number());
        self.orders.insert(order, purpose);
        order
    }

    /// A fresh query to the store.
    pub(crate) fn query(&mut self) -> Query {
        ids::Query(self.number())
    }

    /// This run of this daemon.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.fleet.me().incarnation
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
            generation: self.view.generation(),
        }));
    }

    /// The name of a replica, for log lines.
    pub(crate) fn replica_name(&self, replica: Replica) -> String {
        self.backends
            .get(&replica)
            .map_or_else(|| replica.to_string(), |found| found.name.clone())
    }

    /// The name of an instance, for log lines.
    pub(crate) fn instance_name(&self, instance: Instance) -> String {
        self.seats
            .get(&instance)
            .map_or_else(|| instance.to_string(), |seat| seat.name.clone())
    }

    /// Whether decisions may be made now: a list is known, the table is up to date, and after a pause a peer was
    /// heard or the store was read.
    pub(crate) fn may_decide(&self) -> bool {
        let caught_up = !self.fleet.paused(self.now) || self.desk.proved_since(self.woke);
        self.view.fresh(self.now) && caught_up && self.is_listed
    }
}

/// `span` in whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
