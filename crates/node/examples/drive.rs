//! Drives one core by events and actions alone: no sockets, files, clock or threads.
//!
//! One daemon with a prefill engine, a decode engine and a plain application streams a model
//! request to its end and answers a booking. A real driver does the same as [`Drive::carry_out`],
//! with replicas, callers and a store behind it.
//!
//! Run it with `cargo run -p node --example drive`.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use ident::Incarnation;
use ident::Instance;
use ident::Pool;
use ident::Prefix;
use ident::Replica;
use ident::Time;
use ident::Zone;
use node::Node;
use node::action::Action;
use node::action::CallerMessage;
use node::action::StoreRequest;
use node::action::Task;
use node::event::Event;
use node::event::Inspection;
use node::event::Piece;
use node::event::Reply;
use node::event::StoreReply;
use node::ids::CallId;
use node::ids::OrderId;
use node::list::ListedInstance;
use node::list::ListedReplica;
use node::list::PlatformList;
use node::request::Request;
use node::request::Work;
use node::settings::Settings;
use route::replica::Report;
use route::replica::Role;
use table::Table;
use table::row::Row;

const INCARNATION: Incarnation = Incarnation(0x91c5_b8f0_aa31_e2d4);
/// Start of the daemon on the Unix clock, in milliseconds.
const STARTED_MS: u64 = 1_700_000_000_000;
const TOKENS: u32 = 3;
/// Virtual time between two events.
const PACE: Duration = Duration::from_millis(1);

fn main() {
    let mut drive = Drive::new();
    drive.feed(Event::Listed(list()));
    drive.run(Duration::from_millis(50));

    println!("-- a model request, streamed to its end");
    drive.feed(Event::Arrived {
        call: CallId(1),
        request: draft(),
    });
    drive.run(Duration::from_secs(1));

    println!("-- a booking that may run only once, and its retry with the same key");
    for call in [CallId(2), CallId(3)] {
        let request = booking();
        drive.feed(Event::Arrived { call, request });
        drive.run(Duration::from_secs(1));
    }

    println!("-- a planned stop");
    drive.feed(Event::Stop);
    drive.run(Duration::from_secs(10));
}

/// The core, its clock and the pending events.
struct Drive {
    node: Node,
    now: Time,
    events: VecDeque<Event>,
}

impl Drive {
    fn new() -> Self {
        let now = Time::ZERO;
        Self {
            node: Node::new(settings(), now, 7),
            now,
            events: VecDeque::new(),
        }
    }

    fn feed(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Steps the core for `span` of virtual time, with pending events or at its next due time.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            let event = self.events.pop_front();
            self.now = match event {
                Some(_) => self.now + PACE,
                None => self.node.next_wake().max(self.now + PACE).min(end),
            };
            let event = event.unwrap_or(Event::Tick);
            self.node.step(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    /// Carries out an action; replicas and store answer at once.
    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Order { order, task, .. } => self.answer_order(order, &task),
            Action::Query { query, request } => {
                let outcome = answer_query(&request);
                self.feed(Event::StoreReplied { query, outcome });
            }
            Action::Inspect { replica, asked, .. } => {
                let state = Some(idle());
                self.feed(Event::Inspected {
                    replica,
                    asked,
                    state,
                });
            }
            Action::SendToCaller { call, message } => {
                println!("{call:?} receives {}", shown(&message));
            }
            Action::Log(decision) => println!(
                "  {} {}: {} ({})",
                decision.step.as_str(),
                decision.request,
                decision.choice,
                decision.reason
            ),
            Action::Fault { cause } => println!("fault: {cause}"),
            Action::Finished => println!("nothing is in progress; the process may end"),
            // There are no other daemons and no connections here.
            Action::Send { .. } | Action::Abort { .. } | Action::UseList(_) | Action::Count(_) => {}
        }
    }

    fn answer_order(&mut self, order: OrderId, task: &Task) {
        match task {
            Task::Prefill { prompt_tokens, .. } => {
                let reply = Reply::Prefilled {
                    computed: *prompt_tokens,
                    cached: 0,
                    boot: 1,
                };
                self.feed(Event::Answered { order, reply });
            }
            Task::Decode { offset, .. } | Task::Attach { offset } => self.stream(order, *offset),
            Task::Cancel => {
                let reply = Reply::Cancelled;
                self.feed(Event::Answered { order, reply });
            }
            Task::Plain { .. } => {
                let reply = Reply::Plain {
                    status: 200,
                    body: Bytes::from_static(b"lorry 12 at the mill at 6"),
                };
                self.feed(Event::Answered { order, reply });
            }
        }
    }

    fn stream(&mut self, order: OrderId, from: u32) {
        let tokens = (from..TOKENS).map(|offset| Piece::Tokens {
            offset,
            count: 1,
            text: Bytes::from(format!(" w{offset}")),
        });
        let end = Piece::End { offset: TOKENS };
        let pieces = [Piece::Imported].into_iter().chain(tokens).chain([end]);
        for piece in pieces {
            self.feed(Event::Streamed { order, piece });
        }
        let reply = Reply::StreamEnded;
        self.feed(Event::Answered { order, reply });
    }
}

fn answer_query(request: &StoreRequest) -> StoreReply {
    match request {
        StoreRequest::Generation => StoreReply::Generation { generation: 1 },
        StoreRequest::Table => StoreReply::Table(Box::new(table())),
        StoreRequest::Record { .. } => StoreReply::Recorded,
        StoreRequest::Outcome { .. } => StoreReply::Outcome(None),
        StoreRequest::Commit(_) => StoreReply::Failed {
            maybe: false,
            cause: "this store takes no edits".to_owned(),
        },
    }
}

/// Returns the state of an idle replica.
fn idle() -> Inspection {
    Inspection {
        report: Report {
            age: Duration::ZERO,
            boot: 1,
            running: 0,
            waiting: 0,
            queued_tokens: 0,
            works: 0,
            events: Vec::new(),
        },
        works: Vec::new(),
    }
}

fn shown(message: &CallerMessage) -> String {
    match message {
        CallerMessage::Head { handle, .. } => format!("the head of {handle}, with a resume token"),
        _ => format!("{message:?}"),
    }
}

fn settings() -> Settings {
    Settings {
        instance: Instance::new("entry-1"),
        name: "entry-1".to_owned(),
        zone: Zone::new("osijek-a"),
        incarnation: INCARNATION,
        started_ms: STARTED_MS,
        seeds: Vec::new(),
        secret: b"sixteen bytes or more".to_vec(),
        lease: Duration::from_secs(3),
        window: Duration::from_mins(10),
        address_ttl: Duration::from_secs(2),
        orphan_grace: Duration::from_secs(4),
        inspect_every: Duration::from_millis(250),
        poll_every: Duration::from_millis(500),
        max_open: 64,
        max_keys: 1_024,
    }
}

fn table() -> Table {
    let booking = Row {
        repeatable: false,
        ..Row::new("booking", "default", "booking")
    };
    Table::new(1, vec![Row::new("ration", "default", "ration"), booking])
}

fn list() -> PlatformList {
    let zone = Zone::new("osijek-a");
    let replica = |name: &str, pool: &str, role| ListedReplica {
        replica: Replica::new(name),
        name: name.to_owned(),
        zone,
        pool: Pool::new(pool),
        role,
        slots: 20,
        fences: true,
        leaving: false,
    };
    let instance = ListedInstance {
        instance: Instance::new("entry-1"),
        name: "entry-1".to_owned(),
        zone,
        caller: "127.0.0.1:7001".to_owned(),
        leaving: false,
    };
    PlatformList {
        instances: vec![instance],
        replicas: vec![
            replica("ration-prefill", "ration", Role::Prefill),
            replica("ration-decode", "ration", Role::Decode),
            replica("booking-app", "booking", Role::Plain),
        ],
    }
}

fn draft() -> Request {
    Request {
        customer: "farm-17".to_owned(),
        class: "default".to_owned(),
        service: "ration".to_owned(),
        key: None,
        repeatable: true,
        work: Work::Model {
            prompt_tokens: 400,
            max_tokens: 64,
            blocks: vec![1, 2, 3],
        },
    }
}

fn booking() -> Request {
    let prefix = Prefix::new(INCARNATION, STARTED_MS / 1_000);
    Request {
        customer: "farm-17".to_owned(),
        class: "default".to_owned(),
        service: "booking".to_owned(),
        key: Some(format!("{prefix}lorry-to-vinkovci")),
        repeatable: false,
        work: Work::Plain,
    }
}
