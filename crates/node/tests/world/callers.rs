//! Callers that follow the interface, some with little patience.

use std::time::Duration;

use ident::Prefix;
use node::action::Outcome;
use node::action::Reason;
use node::action::Refusal;
use node::action::Tell;
use node::event::Event;
use node::ids::Call;
use node::request::Request;
use node::request::Work;
use rand::RngExt;

use super::Item;
use super::Note;
use super::UNIX_MS;
use super::World;
use super::answers::Peer;

/// Tries after which a caller gives up.
const MAX_TRIES: u32 = 200;
/// Most tokens that a patient caller asks for.
const MAX_TOKENS: u32 = 40;
/// Tokens that a caller asks for who goes away: far more than are made before the run ends, so
/// that only a cancel frees the slot.
const ENDLESS_TOKENS: u32 = 20_000;

/// Where a caller is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It wants its answer.
    Trying,
    /// It has the whole answer.
    Complete,
    /// It was told an outcome that it does not try again after.
    Without(Outcome),
    /// It went away.
    Gone,
}

/// A caller with one request.
#[derive(Debug)]
pub struct Caller {
    pub service: &'static str,
    /// Tokens of its answer.
    pub length: u32,
    pub repeatable: bool,
    pub state: State,
    /// Connections that reached a daemon.
    pub connections: u32,
    /// Whether a byte of the request has reached a replica under its present key.
    pub touched: bool,
    /// How often replicas began to run it.
    pub runs: u32,
    pub keyed: bool,
    key: Option<String>,
    token: Option<String>,
    had: u32,
    conn: Option<Call>,
    /// Where to go next.
    hint: Option<usize>,
    tries: u32,
}

impl Caller {
    const fn new(service: &'static str, length: u32, repeatable: bool, keyed: bool) -> Self {
        Self {
            service,
            length,
            repeatable,
            state: State::Trying,
            connections: 0,
            touched: false,
            runs: 0,
            keyed,
            key: None,
            token: None,
            had: 0,
            conn: None,
            hint: None,
            tries: 0,
        }
    }

    /// Whether its request may run only once.
    pub fn is_single(&self) -> bool {
        !self.repeatable || self.service == "booking"
    }

    fn request(&self, caller: usize) -> Request {
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

impl World {
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
        self.note_in(begin, caller, Note::Try);
        let later = begin + self.rng.random_range(1..3_000);
        match self.rng.random_range(0..100) {
            0..16 => {
                self.callers[caller].length = ENDLESS_TOKENS;
                self.note_in(later, caller, Note::Vanish);
            }
            16..32 => self.note_in(later, caller, Note::Drop),
            32..48 => self.note_in(later, caller, Note::Double),
            _ => (),
        }
    }

    fn note_in(&mut self, ms: u64, caller: usize, note: Note) {
        self.after(Duration::from_millis(ms), Item::Caller { caller, note });
    }

    pub(super) fn caller_notes(&mut self, caller: usize, note: Note) {
        if self.callers[caller].state != State::Trying {
            return;
        }
        match note {
            Note::Try => self.attempt(caller),
            Note::Double => {
                if self.callers[caller].conn.is_some() {
                    self.connect_somewhere(caller);
                }
            }
            Note::Drop => {
                if let Some(call) = self.callers[caller].conn.take() {
                    self.close_conn(call);
                    let ms = self.rng.random_range(10..5_000);
                    self.note_in(ms, caller, Note::Try);
                }
            }
            Note::Vanish => self.end_caller(caller, State::Gone),
            Note::Connect { host, resume } => self.connect(caller, host, resume),
            Note::Told { call, tell } => self.told(caller, call, tell),
            Note::Broken { call } if call == self.callers[caller].conn => {
                self.callers[caller].conn = None;
                let ms = self.rng.random_range(50..800);
                self.note_in(ms, caller, Note::Try);
            }
            Note::Broken { .. } => (),
        }
    }

    fn end_caller(&mut self, caller: usize, state: State) {
        self.note(|| format!("caller {caller} ends: {state:?}"));
        self.callers[caller].state = state;
        self.callers[caller].conn = None;
        let of_caller = |peer| peer == Peer::Caller(caller) || peer == Peer::Reader(caller);
        let open = self.conns.iter().filter(|(_, conn)| of_caller(conn.peer));
        let open: Vec<Call> = open.map(|(call, _)| *call).collect();
        for call in open {
            self.close_conn(call);
        }
    }

    fn attempt(&mut self, caller: usize) {
        let slot = &mut self.callers[caller];
        if slot.conn.is_some() {
            return;
        }
        slot.tries += 1;
        if slot.tries > MAX_TRIES {
            return self.violate(format!("caller {caller} tried {MAX_TRIES} times in vain"));
        }
        if slot.keyed && slot.key.is_none() && !self.ask_addresses(caller) {
            return self.note_in(300, caller, Note::Try);
        }
        self.connect_somewhere(caller);
    }

    /// Asks some daemon for addresses and makes the key by its answer.
    fn ask_addresses(&mut self, caller: usize) -> bool {
        let host = self.rng.random_range(0..self.hosts.len());
        let slot = &self.hosts[host];
        let Some(core) = slot.core.as_ref().filter(|_| self.now >= slot.paused) else {
            return false;
        };
        let addresses = core.addresses(slot.local(self.now), slot.zone);
        let issued = (UNIX_MS + self.now.as_millis() + slot.skew) / 1_000;
        if addresses.is_empty() {
            return false;
        }
        let address = &addresses[self.rng.random_range(0..addresses.len())];
        let prefix = Prefix::new(address.runner, issued);
        let runner = self.hosts.iter().position(|slot| slot.name == address.name);
        let slot = &mut self.callers[caller];
        slot.key = Some(format!("{prefix}c{caller}"));
        slot.hint = runner;
        true
    }

    fn connect_somewhere(&mut self, caller: usize) {
        let any = self.rng.random_range(0..self.hosts.len());
        let slot = &mut self.callers[caller];
        let host = slot.hint.take().unwrap_or(any);
        let resume = slot.token.clone();
        let micros = self.rng.random_range(500..20_000);
        let note = Note::Connect { host, resume };
        self.after_micros(micros, Item::Caller { caller, note });
    }

    fn connect(&mut self, caller: usize, host: usize, resume: Option<String>) {
        if self.hosts[host].core.is_none() {
            let call = self.callers[caller].conn;
            if call.is_none() {
                self.after_micros(
                    5_000,
                    Item::Caller {
                        caller,
                        note: Note::Broken { call },
                    },
                );
            }
            return;
        }
        let offset = if resume.is_some() {
            self.callers[caller].had
        } else {
            0
        };
        let peer = if resume.is_some() {
            Peer::Reader(caller)
        } else {
            Peer::Caller(caller)
        };
        let call = self.open_conn(host, peer, offset);
        let slot = &mut self.callers[caller];
        slot.connections += 1;
        slot.conn = Some(call);
        slot.had = offset;
        let request = slot.request(caller);
        self.note(|| format!("caller {caller} opens {call:?} at entry-{host} from {offset}"));
        let event = match resume {
            Some(token) => Event::Resumed {
                call,
                customer: request.customer,
                token,
                offset,
            },
            None => Event::Arrived { call, request },
        };
        let run = self.hosts[host].run;
        self.event(host, run, event);
    }

    fn told(&mut self, caller: usize, call: Call, tell: Tell) {
        if self.is_lost(call) {
            return;
        }
        let is_present = self.callers[caller].conn == Some(call);
        match tell {
            Tell::Done { .. } | Tell::Answer { .. } => self.end_caller(caller, State::Complete),
            _ if !is_present => (),
            Tell::Head { token, .. } => self.callers[caller].token = Some(token),
            Tell::Tokens { offset, count, .. } => self.callers[caller].had = offset + count,
            Tell::Superseded => self.try_again(caller, 300),
            Tell::Refusal(refusal) => self.refused(caller, call, &refusal),
            Tell::Edit(_) => (),
        }
    }

    fn try_again(&mut self, caller: usize, ms: u64) {
        self.callers[caller].conn = None;
        let jitter = self.rng.random_range(10..300);
        self.note_in(ms + jitter, caller, Note::Try);
    }

    fn refused(&mut self, caller: usize, call: Call, refusal: &Refusal) {
        let resumed = self.conns[&call].peer == Peer::Reader(caller);
        let slot = &mut self.callers[caller];
        slot.token = None;
        let named = refusal.addresses.first();
        slot.hint = named.and_then(|name| self.hosts.iter().position(|host| host.name == *name));
        let for_ever = matches!(
            refusal.reason,
            Reason::Invalid | Reason::NoRow | Reason::KeyNeeded | Reason::KeyExpired
        );
        let single = slot.is_single() && refusal.outcome != Outcome::NotRun;
        if !resumed && (for_ever || single) {
            return self.end_caller(caller, State::Without(refusal.outcome));
        }
        if !resumed && refusal.outcome == Outcome::Failed && refusal.retry_after_ms == 0 {
            slot.key = None;
            slot.touched = false;
        }
        self.try_again(caller, refusal.retry_after_ms);
    }

    /// A replica began to run the request of `caller`.
    pub(super) fn count_run(&mut self, caller: usize) {
        let slot = &mut self.callers[caller];
        slot.runs += 1;
        if slot.runs > 1 && slot.is_single() {
            self.violate(format!("the request of caller {caller} runs twice"));
        }
    }
}
