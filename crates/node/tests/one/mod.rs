//! One core with idle replicas and a store; the test answers its orders.
#![allow(dead_code, reason = "no test file uses all of it")]

use std::time::Duration;

use bytes::Bytes;
use fleet::Message;
use fleet::member::Member;
use ident::Handle;
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
use node::event::Failure;
use node::event::HeldAttempt;
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
use wire::Body;
use wire::Frame;

const INCARNATION: Incarnation = Incarnation(0x91c5_b8f0_aa31_e2d4);
const STARTED_MS: u64 = 1_700_000_000_000;
const ZONE: &str = "osijek-a";
const PACE: Duration = Duration::from_millis(1);
/// How long a peer takes to answer a ping.
const PING_ANSWER: Duration = Duration::from_millis(20);

/// A core with idle replicas and a store; orders are answered by the test.
pub struct One {
    node: Node,
    now: Time,
    pub orders: Vec<(OrderId, Task)>,
    pub tells: Vec<(CallId, CallerMessage)>,
    pub sent: Vec<(Instance, Body)>,
    /// Whether replicas answer inspections.
    pub inspected: bool,
    /// Inspections that the test is to answer.
    pub inspections: Vec<(Replica, Time)>,
    /// Whether the store answers.
    pub stored: bool,
}

impl One {
    pub fn new() -> Self {
        Self::with_incarnation(INCARNATION)
    }

    /// The core as the run `incarnation` of its instance.
    pub fn with_incarnation(incarnation: Incarnation) -> Self {
        let settings = Settings {
            incarnation,
            ..settings()
        };
        let mut one = Self {
            node: Node::new(settings, Time::ZERO, 7),
            now: Time::ZERO,
            orders: Vec::new(),
            tells: Vec::new(),
            sent: Vec::new(),
            inspected: true,
            inspections: Vec::new(),
            stored: true,
        };
        one.feed(Event::Listed(list()));
        one.run(Duration::from_millis(500));
        one
    }

    pub fn feed(&mut self, event: Event) {
        let mut events = vec![event];
        while !events.is_empty() {
            let mut actions = Vec::new();
            for event in events.drain(..) {
                self.now = self.now + PACE;
                self.node.step(self.now, event, &mut actions);
            }
            for action in actions {
                events.extend(self.carry_out(action));
            }
        }
    }

    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Order { order, task, .. } => self.orders.push((order, task)),
            Action::SendToCaller { call, message } => self.tells.push((call, message)),
            Action::Send { to, frame } => self.sent.push((to, frame.body)),
            Action::Fault { cause } => panic!("fault: {cause}"),
            Action::Query { query, request } => {
                let outcome = if self.stored {
                    answer(&request)
                } else {
                    failed()
                };
                return Some(Event::StoreReplied { query, outcome });
            }
            Action::Inspect { replica, asked, .. } if self.inspected => {
                let state = Some(idle());
                return Some(Event::Inspected {
                    replica,
                    asked,
                    state,
                });
            }
            Action::Inspect { replica, asked, .. } => self.inspections.push((replica, asked)),
            _ => (),
        }
        None
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let wake = self.node.next_wake().max(self.now + PACE).min(end);
            self.now = wake - PACE;
            self.feed(Event::Tick);
        }
    }

    /// The last order that is not a cancel.
    pub fn last(&self) -> (OrderId, Task) {
        let is_work = |(_, task): &&(OrderId, Task)| !matches!(task, Task::Cancel);
        let found = self.orders.iter().rev().find(is_work);
        found.cloned().expect("an order was put out")
    }

    pub fn arrive(&mut self, call: CallId) {
        let request = request();
        self.feed(Event::Arrived { call, request });
        self.run(Duration::from_millis(100));
    }

    /// Lets the core take a frame from `peer`, a live member.
    pub fn hear(&mut self, peer: &Member, body: Body) {
        let frame = Box::new(Frame::new(peer.instance, peer.incarnation, body));
        self.feed(Event::Frame(frame));
    }

    /// Lets `peer` join.
    pub fn join(&mut self, peer: &Member) {
        let news = vec![*peer];
        self.hear(peer, Body::Gossip(Message::Ping { seq: 1, news }));
    }

    /// Answers `inspections`: each replica holds the stream told last, with this core as its reader
    /// and `fence`.
    pub fn answer_inspections(&mut self, inspections: Vec<(Replica, Time)>, fence: u64) {
        let held = HeldAttempt {
            handle: self.handle(),
            owner: INCARNATION,
            fence,
            done: false,
        };
        for (replica, asked) in inspections {
            let state = Some(Inspection {
                works: vec![held],
                ..idle()
            });
            self.feed(Event::Inspected {
                replica,
                asked,
                state,
            });
        }
    }

    fn handle(&self) -> Handle {
        let mut heads = self.tells.iter().rev().filter_map(|(_, tell)| match tell {
            CallerMessage::Head { handle, .. } => Some(*handle),
            _ => None,
        });
        heads.next().expect("a head was told")
    }

    /// Lets time pass in which the core is paused.
    pub fn pause(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// Runs for `span`, in which `peer` answers the pings it gets.
    pub fn run_beside(&mut self, peer: &Member, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let first = self.sent.len();
            self.run(PING_ANSWER);
            let pings = self.sent[first..]
                .iter()
                .filter_map(|(to, body)| match body {
                    Body::Gossip(Message::Ping { seq, .. }) if *to == peer.instance => Some(*seq),
                    _ => None,
                });
            for seq in pings.collect::<Vec<u32>>() {
                let news = vec![*peer];
                self.hear(peer, Body::Gossip(Message::Ack { seq, news }));
            }
        }
    }

    /// Lets the prefill that was ordered last end well; the decode order that follows.
    pub fn prefill(&mut self) -> (OrderId, Task) {
        let (order, task) = self.last();
        assert!(matches!(task, Task::Prefill { .. }), "{task:?}");
        let reply = Reply::Prefilled {
            computed: 400,
            cached: 0,
            boot: 1,
        };
        self.feed(Event::Answered { order, reply });
        self.last()
    }

    pub fn stream(&mut self, order: OrderId, from: u32, count: u32) {
        let tokens = Piece::Tokens {
            offset: from,
            count,
            text: Bytes::from(format!("{from}+{count}")),
        };
        for piece in [Piece::Imported, tokens] {
            self.feed(Event::Streamed { order, piece });
        }
    }

    pub fn fail(&mut self, order: OrderId, failure: Failure) {
        self.feed(Event::Failed { order, failure });
        self.run(Duration::from_millis(200));
    }

    /// Offsets and counts of the tokens that `call` was told.
    pub fn tokens(&self, call: CallId) -> Vec<(u32, u32)> {
        let told = self.tells.iter().filter(|(to, _)| *to == call);
        told.filter_map(|(_, tell)| match tell {
            CallerMessage::Tokens { offset, count, .. } => Some((*offset, *count)),
            _ => None,
        })
        .collect()
    }

    pub fn token(&self) -> String {
        let heads = self.tells.iter().rev();
        let mut tokens = heads.filter_map(|(_, tell)| match tell {
            CallerMessage::Head { token, .. } => Some(token.clone()),
            _ => None,
        });
        tokens.next().expect("a head was told")
    }
}

fn answer(ask: &StoreRequest) -> StoreReply {
    match ask {
        StoreRequest::Generation => StoreReply::Generation { generation: 1 },
        StoreRequest::Table => StoreReply::Table(Box::new(table())),
        StoreRequest::Outcome { .. } => StoreReply::Outcome(None),
        StoreRequest::Record { .. } => StoreReply::Recorded,
        StoreRequest::Commit(_) => failed(),
    }
}

fn failed() -> StoreReply {
    StoreReply::Failed {
        maybe: false,
        cause: "not answered here".to_owned(),
    }
}

pub fn idle() -> Inspection {
    let report = Report {
        age: Duration::ZERO,
        boot: 1,
        running: 0,
        waiting: 0,
        queued_tokens: 0,
        works: 0,
        events: Vec::new(),
    };
    Inspection {
        report,
        works: Vec::new(),
    }
}

/// The beginning of the keys that name the run `runner`.
pub fn prefix(runner: Incarnation) -> Prefix {
    Prefix::new(runner, STARTED_MS / 1_000)
}

pub fn request() -> Request {
    let prefix = prefix(INCARNATION);
    Request {
        customer: "farm-17".to_owned(),
        class: "default".to_owned(),
        service: "ration".to_owned(),
        key: Some(format!("{prefix}draft")),
        repeatable: true,
        work: Work::Model {
            prompt_tokens: 400,
            max_tokens: 40,
            blocks: vec![1],
        },
    }
}

fn table() -> Table {
    Table::new(1, vec![Row::new("ration", "default", "ration")])
}

fn list() -> PlatformList {
    let backend = |name: &str, role| ListedReplica {
        replica: Replica::new(name),
        name: name.to_owned(),
        zone: Zone::new(ZONE),
        pool: Pool::new("ration"),
        role,
        slots: 20,
        fences: true,
        leaving: false,
    };
    let seat = ListedInstance {
        instance: Instance::new("entry-1"),
        name: "entry-1".to_owned(),
        zone: Zone::new(ZONE),
        caller: "127.0.0.1:7001".to_owned(),
        leaving: false,
    };
    PlatformList {
        instances: vec![seat],
        replicas: vec![
            backend("ration-p0", Role::Prefill),
            backend("ration-d0", Role::Decode),
            backend("ration-d1", Role::Decode),
        ],
    }
}

fn settings() -> Settings {
    Settings {
        instance: Instance::new("entry-1"),
        name: "entry-1".to_owned(),
        zone: Zone::new(ZONE),
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
