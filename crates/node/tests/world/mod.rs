//! A small world in virtual time: several cores with stand-ins for all that is round them.
//!
//! Everything that happens is an item on one agenda, in the order of its time, so that a plan
//! gives the same run each time. The promises are checked wherever the cores act; the first one
//! broken ends the run.

mod actions;
mod answers;
mod callers;
mod check;
mod conns;
mod engine;
mod faults;
mod host;
mod item;
mod net;
mod operators;
pub mod plan;
mod progress;
mod replicas;
mod store;
mod visits;
mod works;

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
use self::conns::Conn;
use self::engine::Engine;
use self::engine::Ticket;
use self::host::Host;
use self::item::Item;
use self::net::Net;
use self::operators::Operator;
use self::plan::CHAOS_MS;
use self::plan::Fault;
use self::plan::Plan;
use self::replicas::Sent;
use self::store::Store;

/// How long all is well at the end before everything must have settled.
const QUIET: Duration = Duration::from_mins(1);
/// Time between two looks at whether everything has settled.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Items after which a run counts as one that never settles.
const MAX_ITEMS: u64 = 5_000_000;
/// Lease of the table.
const LEASE: Duration = Duration::from_secs(3);
/// Start of the world on the Unix clock, in milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;

/// The world.
#[derive(Debug)]
pub struct World {
    now: Time,
    rng: Pcg64Mcg,
    agenda: BTreeMap<(Time, u64), Item>,
    counter: u64,
    plan: Plan,
    net: Net,
    store: Store,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    callers: Vec<Caller>,
    operators: Vec<Operator>,
    conns: BTreeMap<CallId, Conn>,
    sent: BTreeMap<Ticket, Sent>,
    /// Which daemon last took a stream over, and when.
    taken: BTreeMap<Handle, (usize, Time)>,
    /// When each generation was accepted, as its operator was told.
    accepted: BTreeMap<u64, Time>,
    violation: Option<String>,
    healed: bool,
    trace: Option<Vec<String>>,
    digest: u64,
}

/// What a run came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Figures {
    /// Items carried out.
    pub items: u64,
    /// Complete answers.
    pub complete: usize,
    /// Callers that ended without one.
    pub without: usize,
    /// Sum over everything that the daemons did.
    pub digest: u64,
    /// When it had settled, in virtual milliseconds.
    pub settled_ms: u64,
}

impl World {
    /// The world of `plan`, before anything has happened.
    pub fn new(plan: &Plan) -> Self {
        let mut world = Self {
            now: Time::from_millis(1),
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            agenda: BTreeMap::new(),
            counter: 0,
            plan: plan.clone(),
            net: Net::default(),
            store: Store::new(first_table()),
            hosts: Vec::new(),
            engines: first_engines(),
            callers: Vec::new(),
            operators: Vec::new(),
            conns: BTreeMap::new(),
            sent: BTreeMap::new(),
            taken: BTreeMap::new(),
            accepted: BTreeMap::new(),
            violation: None,
            healed: false,
            trace: None,
            digest: 0,
        };
        world.populate();
        world
    }

    /// The same world, which prints what happens to standard error.
    #[must_use]
    pub fn with_trace(mut self) -> Self {
        self.trace = Some(Vec::new());
        self
    }

    /// Runs to the end.
    ///
    /// # Errors
    /// The first promise that was broken, with its time.
    pub fn run(mut self) -> Result<Figures, String> {
        let mut items = 0;
        while let Some(((at, _), item)) = self.agenda.pop_first() {
            self.now = at;
            items += 1;
            let last = matches!(item, Item::Look) && self.look();
            self.carry_out(item);
            if items >= MAX_ITEMS {
                self.violate("the run does not end".to_owned());
            }
            if let Some(violation) = &self.violation {
                return Err(format!("at {} ms: {violation}", self.now.as_millis()));
            }
            if last {
                break;
            }
        }
        Ok(self.figures(items))
    }

    fn populate(&mut self) {
        for host in 0..self.plan.hosts {
            let skew = self.rng.random_range(0..40_000);
            self.hosts.push(Host::new(host, skew));
            let at = Duration::from_millis(self.rng.random_range(0..50));
            self.after(at, Item::Start(host));
        }
        for caller in 0..self.plan.callers {
            self.add_caller(caller);
        }
        for (index, stroke) in self.plan.strokes.clone().iter().enumerate() {
            self.after(
                Duration::from_millis(stroke.at_ms.into()),
                Item::Stroke(index),
            );
        }
        let chaos = Duration::from_millis(CHAOS_MS.into());
        self.after(chaos, Item::Heal);
        self.after(chaos + LOOK_EVERY, Item::Look);
    }

    fn after(&mut self, span: Duration, item: Item) {
        self.counter += 1;
        self.agenda.insert((self.now + span, self.counter), item);
    }

    fn after_micros(&mut self, micros: u64, item: Item) {
        self.after(Duration::from_micros(micros), item);
    }

    fn violate(&mut self, what: String) {
        self.note(|| format!("VIOLATION {what}"));
        self.violation.get_or_insert(what);
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        if self.trace.is_some() {
            let micros = self.now.0;
            eprintln!("{:>6}.{:03} {}", micros / 1_000, micros % 1_000, line());
        }
    }

    fn carry_out(&mut self, item: Item) {
        match item {
            Item::Wake { host, run } => self.wake(host, run),
            Item::Event { host, run, event } => self.event(host, run, event),
            Item::Reply {
                ticket,
                event,
                last,
            } => self.reply_arrives(ticket, event, last),
            Item::Order(arriving) => self.order_arrives(arriving),
            Item::Work {
                engine,
                boot,
                handle,
            } => self.work_goes_on(engine, boot, handle),
            Item::Plain {
                engine,
                boot,
                ticket,
                caller,
            } => {
                self.plain_ends(engine, boot, ticket, caller);
            }
            Item::Query {
                host,
                run,
                query,
                ask,
            } => self.query_arrives(host, run, query, ask),
            Item::Inspect {
                host,
                run,
                replica,
                asked,
            } => self.inspect(host, run, replica, asked),
            Item::Caller { caller, note } => self.caller_notes(caller, note),
            Item::Operator { operator, verdict } => self.operator_hears(operator, &verdict),
            Item::Edit { host, which } => self.add_operator(Fault::Edit, host, which),
            Item::Stroke(index) => self.strike(index),
            Item::Start(host) => self.start(host),
            Item::List(host) => self.tell_list(host),
            Item::Heal => self.heal(),
            Item::Look => self.after(LOOK_EVERY, Item::Look),
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

/// The order that `order` stands for, at its daemon.
const fn ticket(host: usize, run: u32, order: OrderId) -> Ticket {
    Ticket { host, run, order }
}
