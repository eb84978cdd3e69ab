//! Simulates several cores in virtual time, with callers, operators, replicas, network and store.
//!
//! All events pass through one queue ordered by time, so a plan gives the same run each time.
//! The promises are checked at each action of a core; the first violation ends the run.

mod actions;
mod caller_attempts;
mod callers;
mod check;
mod connections;
mod daemon;
mod engine;
mod execution;
mod faults;
mod network;
mod operators;
pub mod plan;
mod progress;
mod responses;
mod sim_event;
mod store;
mod transport;

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Handle;
use ident::Replica;
use ident::Time;
use node::ids::CallId;
use node::ids::OrderId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use route::replica::Role;
use table::Table;
use table::row::Row;

use self::callers::Caller;
use self::connections::Conn;
use self::daemon::Daemon;
use self::engine::Engine;
use self::engine::Ticket;
use self::network::Network;
use self::operators::Operator;
use self::plan::FAULTS_END_MS;
use self::plan::Fault;
use self::plan::Plan;
use self::sim_event::SimEvent;
use self::store::Store;
use self::transport::OpenOrder;

/// Time without faults within which everything must settle.
const SETTLE_TIME: Duration = Duration::from_mins(1);
/// Interval between checks whether everything has settled.
const SETTLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of events after which a run counts as endless.
const MAX_EVENTS: u64 = 5_000_000;
/// Lease of the table.
const LEASE: Duration = Duration::from_secs(3);
/// Start of the simulation on the Unix clock, in milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;

/// State of a simulation.
#[derive(Debug)]
pub struct Simulation {
    now: Time,
    rng: Pcg64Mcg,
    event_queue: BTreeMap<(Time, u64), SimEvent>,
    counter: u64,
    plan: Plan,
    network: Network,
    store: Store,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    callers: Vec<Caller>,
    operators: Vec<Operator>,
    conns: BTreeMap<CallId, Conn>,
    open_orders: BTreeMap<Ticket, OpenOrder>,
    /// The last daemon that took each stream over, and when.
    takeovers: BTreeMap<Handle, (usize, Time)>,
    /// When the acceptance of each generation reached its operator.
    accepted: BTreeMap<u64, Time>,
    violation: Option<String>,
    faults_ended: bool,
    trace: Option<Vec<String>>,
    digest: u64,
}

/// Result of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of events.
    pub events: u64,
    /// Number of complete answers.
    pub complete: usize,
    /// Number of callers that ended without one.
    pub without_answer: usize,
    /// Hash of all actions of the daemons.
    pub digest: u64,
    /// Virtual time at which everything had settled, in milliseconds.
    pub settled_ms: u64,
}

impl Simulation {
    /// Creates the simulation of `plan` and schedules its first events.
    pub fn new(plan: &Plan) -> Self {
        let mut simulation = Self {
            now: Time::from_millis(1),
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            event_queue: BTreeMap::new(),
            counter: 0,
            plan: plan.clone(),
            network: Network::default(),
            store: Store::new(first_table()),
            daemons: Vec::new(),
            engines: first_engines(),
            callers: Vec::new(),
            operators: Vec::new(),
            conns: BTreeMap::new(),
            open_orders: BTreeMap::new(),
            takeovers: BTreeMap::new(),
            accepted: BTreeMap::new(),
            violation: None,
            faults_ended: false,
            trace: None,
            digest: 0,
        };
        simulation.populate();
        simulation
    }

    /// Prints a trace to standard error.
    #[must_use]
    pub fn with_trace(mut self) -> Self {
        self.trace = Some(Vec::new());
        self
    }

    /// Runs until everything has settled.
    ///
    /// # Errors
    /// Returns the first broken promise and its time.
    pub fn run(mut self) -> Result<Summary, String> {
        let mut events = 0;
        while let Some(((at, _), event)) = self.event_queue.pop_first() {
            self.now = at;
            events += 1;
            let last = matches!(event, SimEvent::CheckSettled) && self.check_settled();
            self.carry_out(event);
            if events >= MAX_EVENTS {
                self.record_violation("the run does not end".to_owned());
            }
            if let Some(violation) = &self.violation {
                return Err(format!("at {} ms: {violation}", self.now.as_millis()));
            }
            if last {
                break;
            }
        }
        Ok(self.summary(events))
    }

    fn populate(&mut self) {
        for daemon in 0..self.plan.daemons {
            let skew = self.rng.random_range(0..40_000);
            self.daemons.push(Daemon::new(daemon, skew));
            let at = Duration::from_millis(self.rng.random_range(0..50));
            self.schedule(at, SimEvent::Start(daemon));
        }
        for caller in 0..self.plan.callers {
            self.add_caller(caller);
        }
        for (index, fault) in self.plan.faults.clone().iter().enumerate() {
            self.schedule(
                Duration::from_millis(fault.at_ms.into()),
                SimEvent::Fault(index),
            );
        }
        let chaos = Duration::from_millis(FAULTS_END_MS.into());
        self.schedule(chaos, SimEvent::EndFaults);
        self.schedule(chaos + SETTLE_CHECK_INTERVAL, SimEvent::CheckSettled);
    }

    fn schedule(&mut self, span: Duration, event: SimEvent) {
        self.counter += 1;
        self.event_queue
            .insert((self.now + span, self.counter), event);
    }

    fn schedule_micros(&mut self, micros: u64, event: SimEvent) {
        self.schedule(Duration::from_micros(micros), event);
    }

    fn record_violation(&mut self, what: String) {
        self.trace_line(|| format!("VIOLATION {what}"));
        self.violation.get_or_insert(what);
    }

    fn trace_line(&mut self, line: impl FnOnce() -> String) {
        if self.trace.is_some() {
            let micros = self.now.0;
            eprintln!("{:>6}.{:03} {}", micros / 1_000, micros % 1_000, line());
        }
    }

    fn carry_out(&mut self, event: SimEvent) {
        match event {
            SimEvent::Wake { daemon, run } => self.wake(daemon, run),
            SimEvent::DaemonEvent { daemon, run, event } => self.deliver_event(daemon, run, event),
            SimEvent::Reply {
                ticket,
                event,
                last,
            } => self.deliver_reply(ticket, event, last),
            SimEvent::Order(arriving) => self.receive_order(arriving),
            SimEvent::WorkStep {
                engine,
                boot,
                handle,
            } => self.advance_work(engine, boot, handle),
            SimEvent::PlainCallEnd {
                engine,
                boot,
                ticket,
                caller,
            } => {
                self.finish_plain(engine, boot, ticket, caller);
            }
            SimEvent::Query {
                daemon,
                run,
                query,
                request,
            } => self.run_query(daemon, run, query, request),
            SimEvent::Inspect {
                daemon,
                run,
                replica,
                asked,
            } => self.inspect(daemon, run, replica, asked),
            SimEvent::Caller { caller, event } => self.handle_caller_event(caller, event),
            SimEvent::Operator { operator, event } => {
                self.handle_operator_event(operator, &event);
            }
            SimEvent::Edit { daemon, selector } => self.add_operator(Fault::Edit, daemon, selector),
            SimEvent::Fault(index) => self.begin_fault(index),
            SimEvent::Start(daemon) => self.start(daemon),
            SimEvent::List(daemon) => self.send_list(daemon),
            SimEvent::EndFaults => self.end_faults(),
            SimEvent::CheckSettled => self.schedule(SETTLE_CHECK_INTERVAL, SimEvent::CheckSettled),
        }
    }

    fn engine_of(&self, replica: Replica) -> Option<usize> {
        self.engines
            .iter()
            .position(|engine| engine.replica == replica)
    }
}

fn first_table() -> Table {
    let booking = Row {
        repeatable: false,
        ..Row::new("booking", "default", "booking")
    };
    let rows = vec![
        booking,
        Row::new("ration", "default", "ration"),
        Row::new("stock", "default", "stock"),
    ];
    Table::new(1, rows)
}

fn first_engines() -> Vec<Engine> {
    vec![
        Engine::new("ration-p0", "ration", Role::Prefill, 4, true),
        Engine::new("ration-p1", "ration", Role::Prefill, 4, false),
        Engine::new("ration-d0", "ration", Role::Decode, 2, true),
        Engine::new("ration-d1", "ration", Role::Decode, 2, false),
        Engine::new("ration-d2", "ration", Role::Decode, 1, true),
        Engine::new("booking-0", "booking", Role::Plain, 2, false),
        Engine::new("booking-1", "booking", Role::Plain, 2, false),
        Engine::new("stock-0", "stock", Role::Plain, 4, false),
    ]
}

/// Identifies `order` of one process of a daemon.
const fn ticket(daemon: usize, run: u32, order: OrderId) -> Ticket {
    Ticket { daemon, run, order }
}
