//! How callers come, come back and take answers.

use ident::Prefix;
use node::action::CallerMessage;
use node::action::Outcome;
use node::action::Reason;
use node::action::Refusal;
use node::event::Event;
use node::ids::CallId;
use rand::RngExt;

use super::UNIX_MS;
use super::World;
use super::callers::State;
use super::conns::Peer;
use super::item::Item;
use super::item::Note;

/// Tries after which a caller gives up.
const MAX_TRIES: u32 = 200;

impl World {
    pub(super) fn attempt(&mut self, caller: usize) {
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
    pub(super) fn ask_addresses(&mut self, caller: usize) -> bool {
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

    pub(super) fn connect_somewhere(&mut self, caller: usize) {
        let any = self.rng.random_range(0..self.hosts.len());
        let slot = &mut self.callers[caller];
        let host = slot.hint.take().unwrap_or(any);
        let resume = slot.token.clone();
        let micros = self.rng.random_range(500..20_000);
        let note = Note::Connect { host, resume };
        self.after_micros(micros, Item::Caller { caller, note });
    }

    pub(super) fn connect(&mut self, caller: usize, host: usize, resume: Option<String>) {
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

    pub(super) fn told(&mut self, caller: usize, call: CallId, tell: CallerMessage) {
        if self.is_lost(call) {
            return;
        }
        let is_present = self.callers[caller].conn == Some(call);
        match tell {
            CallerMessage::Done { .. } | CallerMessage::Answer { .. } => {
                self.end_caller(caller, State::Complete);
            }
            _ if !is_present => (),
            CallerMessage::Head { token, .. } => self.callers[caller].token = Some(token),
            CallerMessage::Tokens { offset, count, .. } => {
                self.callers[caller].had = offset + count;
            }
            CallerMessage::Superseded => self.try_again(caller, 300),
            CallerMessage::Refusal(refusal) => self.refused(caller, call, &refusal),
            CallerMessage::Edit(_) => (),
        }
    }

    pub(super) fn try_again(&mut self, caller: usize, ms: u64) {
        self.callers[caller].conn = None;
        let jitter = self.rng.random_range(10..300);
        self.note_in(ms + jitter, caller, Note::Try);
    }

    pub(super) fn refused(&mut self, caller: usize, call: CallId, refusal: &Refusal) {
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
}
