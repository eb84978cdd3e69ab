//! Drives one core with idle replicas, a store and peers; tests answer its orders.
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
const STEP_TIME: Duration = Duration::from_millis(1);
/// Time that a peer takes to answer a ping.
const PING_DELAY: Duration = Duration::from_millis(20);

/// A core whose store queries and inspections are answered here, and whose orders the test answers.
pub struct Harness {
    node: Node,
    now: Time,
    pub orders: Vec<(OrderId, Task)>,
    pub responses: Vec<(CallId, CallerMessage)>,
    pub sent: Vec<(Instance, Body)>,
    /// Whether replicas answer inspections.
    pub replicas_answer: bool,
    /// Inspections that wait for an answer from the test.
    pub inspections: Vec<(Replica, Time)>,
    /// Whether the store answers.
    pub store_answers: bool,
}

impl Harness {
    pub fn new() -> Self {
        Self::with_incarnation(INCARNATION)
    }

    /// Starts the core with `incarnation`, as one run of its instance.
    pub fn with_incarnation(incarnation: Incarnation) -> Self {
        let settings = Settings {
            incarnation,
            ..settings()
        };
        let mut harness = Self {
            node: Node::new(settings, Time::ZERO, 7),
            now: Time::ZERO,
            orders: Vec::new(),
            responses: Vec::new(),
            sent: Vec::new(),
            replicas_answer: true,
            inspections: Vec::new(),
            store_answers: true,
        };
        harness.feed(Event::Listed(list()));
        harness.run_for(Duration::from_millis(500));
        harness
    }

    pub fn feed(&mut self, event: Event) {
        let mut events = vec![event];
        while !events.is_empty() {
            let mut actions = Vec::new();
            for event in events.drain(..) {
                self.now = self.now + STEP_TIME;
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
            Action::SendToCaller { call, message } => self.responses.push((call, message)),
            Action::Send { to, frame } => self.sent.push((to, frame.body)),
            Action::Fault { cause } => panic!("fault: {cause}"),
            Action::Query { query, request } => {
                let outcome = if self.store_answers {
                    store_answer(&request)
                } else {
                    query_failed()
                };
                return Some(Event::StoreReplied { query, outcome });
            }
            Action::Inspect { replica, asked, .. } if self.replicas_answer => {
                let state = Some(idle_inspection());
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

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let wake = self.node.next_wake().max(self.now + STEP_TIME).min(end);
            self.now = wake - STEP_TIME;
            self.feed(Event::Tick);
        }
    }

    /// Returns the last order that is not a cancellation.
    pub fn last_order(&self) -> (OrderId, Task) {
        let is_work = |(_, task): &&(OrderId, Task)| !matches!(task, Task::Cancel);
        let found = self.orders.iter().rev().find(is_work);
        found.cloned().expect("an order was sent")
    }

    pub fn send_request(&mut self, call: CallId) {
        let request = request();
        self.feed(Event::Arrived { call, request });
        self.run_for(Duration::from_millis(100));
    }

    /// Delivers a frame from `peer`, a live member.
    pub fn receive_frame(&mut self, peer: &Member, body: Body) {
        let frame = Box::new(Frame::new(peer.instance, peer.incarnation, body));
        self.feed(Event::Frame(frame));
    }

    /// Makes `peer` a known member by a ping from it.
    pub fn add_peer(&mut self, peer: &Member) {
        let news = vec![*peer];
        self.receive_frame(peer, Body::Gossip(Message::Ping { seq: 1, news }));
    }

    /// Answers `inspections`: each replica holds the last stream begun, with this core as its owner
    /// and the fencing number `fence`.
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
                ..idle_inspection()
            });
            self.feed(Event::Inspected {
                replica,
                asked,
                state,
            });
        }
    }

    fn handle(&self) -> Handle {
        let mut heads = self
            .responses
            .iter()
            .rev()
            .filter_map(|(_, message)| match message {
                CallerMessage::Head { handle, .. } => Some(*handle),
                _ => None,
            });
        heads.next().expect("a head was sent")
    }

    /// Advances the clock by `span` without running the core, as if the process were paused.
    pub fn pause(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// Runs for `span` while `peer` answers pings.
    pub fn run_with_peer(&mut self, peer: &Member, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let first = self.sent.len();
            self.run_for(PING_DELAY);
            let pings = self.sent[first..]
                .iter()
                .filter_map(|(to, body)| match body {
                    Body::Gossip(Message::Ping { seq, .. }) if *to == peer.instance => Some(*seq),
                    _ => None,
                });
            for seq in pings.collect::<Vec<u32>>() {
                let news = vec![*peer];
                self.receive_frame(peer, Body::Gossip(Message::Ack { seq, news }));
            }
        }
    }

    /// Completes the last prefill and returns the decode order that follows.
    pub fn finish_prefill(&mut self) -> (OrderId, Task) {
        let (order, task) = self.last_order();
        assert!(matches!(task, Task::Prefill { .. }), "{task:?}");
        let reply = Reply::Prefilled {
            computed: 400,
            cached: 0,
            boot: 1,
        };
        self.feed(Event::Answered { order, reply });
        self.last_order()
    }

    pub fn send_tokens(&mut self, order: OrderId, from: u32, count: u32) {
        let tokens = Piece::Tokens {
            offset: from,
            count,
            text: Bytes::from(format!("{from}+{count}")),
        };
        for piece in [Piece::Imported, tokens] {
            self.feed(Event::Streamed { order, piece });
        }
    }

    pub fn fail_order(&mut self, order: OrderId, failure: Failure) {
        self.feed(Event::Failed { order, failure });
        self.run_for(Duration::from_millis(200));
    }

    /// Returns the offsets and counts of the tokens sent to `call`.
    pub fn tokens_sent(&self, call: CallId) -> Vec<(u32, u32)> {
        let responses = self.responses.iter().filter(|(to, _)| *to == call);
        responses
            .filter_map(|(_, message)| match message {
                CallerMessage::Tokens { offset, count, .. } => Some((*offset, *count)),
                _ => None,
            })
            .collect()
    }

    pub fn resume_token(&self) -> String {
        let heads = self.responses.iter().rev();
        let mut tokens = heads.filter_map(|(_, message)| match message {
            CallerMessage::Head { token, .. } => Some(token.clone()),
            _ => None,
        });
        tokens.next().expect("a head was sent")
    }
}

fn store_answer(request: &StoreRequest) -> StoreReply {
    match request {
        StoreRequest::Generation => StoreReply::Generation { generation: 1 },
        StoreRequest::Table => StoreReply::Table(Box::new(table())),
        StoreRequest::Outcome { .. } => StoreReply::Outcome(None),
        StoreRequest::Record { .. } => StoreReply::Recorded,
        StoreRequest::Commit(_) => query_failed(),
    }
}

fn query_failed() -> StoreReply {
    StoreReply::Failed {
        maybe: false,
        cause: "not answered here".to_owned(),
    }
}

pub fn idle_inspection() -> Inspection {
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

/// Returns the prefix of the keys that name the run `runner`.
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
    let replica = |name: &str, role| ListedReplica {
        replica: Replica::new(name),
        name: name.to_owned(),
        zone: Zone::new(ZONE),
        pool: Pool::new("ration"),
        role,
        slots: 20,
        fences: true,
        leaving: false,
    };
    let instance = ListedInstance {
        instance: Instance::new("entry-1"),
        name: "entry-1".to_owned(),
        zone: Zone::new(ZONE),
        caller: "127.0.0.1:7001".to_owned(),
        leaving: false,
    };
    PlatformList {
        instances: vec![instance],
        replicas: vec![
            replica("ration-p0", Role::Prefill),
            replica("ration-d0", Role::Decode),
            replica("ration-d1", Role::Decode),
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
