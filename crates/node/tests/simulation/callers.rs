//! Callers that follow the interface; some drop their connections or abandon their requests.

use std::time::Duration;

use node::action::Outcome;
use node::ids::CallId;
use node::request::Request;
use node::request::Work;
use rand::RngExt;

use super::Simulation;
use super::connections::Peer;
use super::sim_event::CallerEvent;
use super::sim_event::SimEvent;

/// Most tokens requested by a caller that waits for its answer.
const MAX_TOKENS: u32 = 40;
/// Tokens requested by a caller that abandons its request: far more than are generated before the
/// run ends, so only a cancellation frees the slot.
const ENDLESS_TOKENS: u32 = 20_000;

/// State of the request of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The answer is not complete; the caller keeps trying.
    Trying,
    /// The whole answer has arrived.
    Complete,
    /// The request ended with an outcome that forbids a retry.
    NoAnswer(Outcome),
    /// The caller abandoned the request.
    Gone,
}

/// A caller with one request.
#[derive(Debug)]
pub struct Caller {
    pub service: &'static str,
    /// Length of the answer, in tokens.
    pub length: u32,
    pub repeatable: bool,
    pub state: State,
    /// Number of connections that reached a daemon.
    pub connections: u32,
    /// Whether a byte of the request has reached a replica under its current key.
    pub reached_replica: bool,
    /// How often a replica began to run the request.
    pub runs: u32,
    pub keyed: bool,
    pub key: Option<String>,
    pub token: Option<String>,
    pub received_tokens: u32,
    pub conn: Option<CallId>,
    /// Daemon named by the last address list or refusal, tried first at the next attempt.
    pub next_daemon: Option<usize>,
    pub tries: u32,
}

impl Caller {
    const fn new(service: &'static str, length: u32, repeatable: bool, keyed: bool) -> Self {
        Self {
            service,
            length,
            repeatable,
            state: State::Trying,
            connections: 0,
            reached_replica: false,
            runs: 0,
            keyed,
            key: None,
            token: None,
            received_tokens: 0,
            conn: None,
            next_daemon: None,
            tries: 0,
        }
    }

    /// Whether the request may run only once.
    pub fn is_single(&self) -> bool {
        !self.repeatable || self.service == "booking"
    }

    pub(super) fn request(&self, caller: usize) -> Request {
        let work = if self.service == "ration" {
            Work::Model {
                prompt_tokens: 50 + caller as u32 * 10,
                max_tokens: self.length.max(MAX_TOKENS),
                blocks: vec![caller as u64 / 3],
            }
        } else {
            Work::Plain
        };
        Request {
            customer: format!("farm-{}", caller % 4),
            class: "default".to_owned(),
            service: self.service.to_owned(),
            key: self.key.clone(),
            repeatable: self.repeatable,
            work,
        }
    }
}

impl Simulation {
    pub(super) fn add_caller(&mut self, caller: usize) {
        let length = self.rng.random_range(1..=MAX_TOKENS);
        let kind = self.rng.random_range(0..100);
        self.callers.push(match kind {
            0..50 => Caller::new("ration", length, true, true),
            50..58 => Caller::new("ration", length, true, false),
            58..64 => Caller::new("ration", length, false, true),
            64..88 => Caller::new("booking", 0, true, true),
            88..97 => Caller::new("stock", 0, true, true),
            _ => Caller::new("booking", 0, true, false),
        });
        let begin = self.rng.random_range(200..9_000);
        self.schedule_caller(begin, caller, CallerEvent::Try);
        let later = begin + self.rng.random_range(1..3_000);
        match self.rng.random_range(0..100) {
            0..16 => {
                self.callers[caller].length = ENDLESS_TOKENS;
                self.schedule_caller(later, caller, CallerEvent::Abandon);
            }
            16..32 => self.schedule_caller(later, caller, CallerEvent::Drop),
            32..48 => self.schedule_caller(later, caller, CallerEvent::OpenSecond),
            _ => (),
        }
    }

    pub(super) fn schedule_caller(&mut self, ms: u64, caller: usize, event: CallerEvent) {
        self.schedule(
            Duration::from_millis(ms),
            SimEvent::Caller { caller, event },
        );
    }

    pub(super) fn handle_caller_event(&mut self, caller: usize, event: CallerEvent) {
        if self.callers[caller].state != State::Trying {
            return;
        }
        match event {
            CallerEvent::Try => self.connect_or_give_up(caller),
            CallerEvent::OpenSecond => {
                if self.callers[caller].conn.is_some() {
                    self.connect_somewhere(caller);
                }
            }
            CallerEvent::Drop => {
                if let Some(call) = self.callers[caller].conn.take() {
                    self.close_conn(call);
                    let ms = self.rng.random_range(10..5_000);
                    self.schedule_caller(ms, caller, CallerEvent::Try);
                }
            }
            CallerEvent::Abandon => self.end_caller(caller, State::Gone),
            CallerEvent::Connect { daemon, resume } => self.connect(caller, daemon, resume),
            CallerEvent::Received { call, message } => self.receive(caller, call, message),
            CallerEvent::Disconnected { call } if call == self.callers[caller].conn => {
                self.callers[caller].conn = None;
                let ms = self.rng.random_range(50..800);
                self.schedule_caller(ms, caller, CallerEvent::Try);
            }
            CallerEvent::Disconnected { .. } => (),
        }
    }

    pub(super) fn end_caller(&mut self, caller: usize, state: State) {
        self.trace_line(|| format!("caller {caller} ends: {state:?}"));
        self.callers[caller].state = state;
        self.callers[caller].conn = None;
        let of_caller = |peer| peer == Peer::Caller(caller) || peer == Peer::Reader(caller);
        let open = self.conns.iter().filter(|(_, conn)| of_caller(conn.peer));
        let open: Vec<CallId> = open.map(|(call, _)| *call).collect();
        for call in open {
            self.close_conn(call);
        }
    }

    /// Counts a run of the request of `caller` at a replica.
    pub(super) fn count_run(&mut self, caller: usize) {
        let entry = &mut self.callers[caller];
        entry.runs += 1;
        if entry.runs > 1 && entry.is_single() {
            self.record_violation(format!("the request of caller {caller} runs twice"));
        }
    }
}
