//! Connections, retries and responses of callers.

use ident::Prefix;
use node::action::CallerMessage;
use node::action::Outcome;
use node::action::Reason;
use node::action::Refusal;
use node::event::Event;
use node::ids::CallId;
use rand::RngExt;

use super::Simulation;
use super::UNIX_MS;
use super::callers::State;
use super::connections::Peer;
use super::sim_event::CallerEvent;
use super::sim_event::SimEvent;

/// Attempts after which a request counts as one that never ends.
const MAX_TRIES: u32 = 200;

impl Simulation {
    pub(super) fn connect_or_give_up(&mut self, caller: usize) {
        let entry = &mut self.callers[caller];
        if entry.conn.is_some() {
            return;
        }
        entry.tries += 1;
        if entry.tries > MAX_TRIES {
            return self.record_violation(format!(
                "caller {caller} got no answer after {MAX_TRIES} attempts"
            ));
        }
        if entry.keyed && entry.key.is_none() && !self.fetch_addresses(caller) {
            return self.schedule_caller(300, caller, CallerEvent::Try);
        }
        self.connect_somewhere(caller);
    }

    /// Requests addresses from a random daemon and derives the key from its answer.
    pub(super) fn fetch_addresses(&mut self, caller: usize) -> bool {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let entry = &self.daemons[daemon];
        let Some(core) = entry
            .core
            .as_ref()
            .filter(|_| self.now >= entry.paused_until)
        else {
            return false;
        };
        let addresses = core.addresses(entry.local(self.now), entry.zone);
        let issued = (UNIX_MS + self.now.as_millis() + entry.skew) / 1_000;
        if addresses.is_empty() {
            return false;
        }
        let address = &addresses[self.rng.random_range(0..addresses.len())];
        let prefix = Prefix::new(address.runner, issued);
        let runner = self
            .daemons
            .iter()
            .position(|entry| entry.name == address.name);
        let entry = &mut self.callers[caller];
        entry.key = Some(format!("{prefix}c{caller}"));
        entry.next_daemon = runner;
        true
    }

    pub(super) fn connect_somewhere(&mut self, caller: usize) {
        let any = self.rng.random_range(0..self.daemons.len());
        let entry = &mut self.callers[caller];
        let daemon = entry.next_daemon.take().unwrap_or(any);
        let resume = entry.token.clone();
        let micros = self.rng.random_range(500..20_000);
        let event = CallerEvent::Connect { daemon, resume };
        self.schedule_micros(micros, SimEvent::Caller { caller, event });
    }

    pub(super) fn connect(&mut self, caller: usize, daemon: usize, resume: Option<String>) {
        if self.daemons[daemon].core.is_none() {
            let call = self.callers[caller].conn;
            if call.is_none() {
                self.schedule_micros(
                    5_000,
                    SimEvent::Caller {
                        caller,
                        event: CallerEvent::Disconnected { call },
                    },
                );
            }
            return;
        }
        let offset = if resume.is_some() {
            self.callers[caller].received_tokens
        } else {
            0
        };
        let peer = if resume.is_some() {
            Peer::Reader(caller)
        } else {
            Peer::Caller(caller)
        };
        let call = self.open_conn(daemon, peer, offset);
        let entry = &mut self.callers[caller];
        entry.connections += 1;
        entry.conn = Some(call);
        entry.received_tokens = offset;
        let request = entry.request(caller);
        self.trace_line(|| {
            format!("caller {caller} opens {call:?} at entry-{daemon} from {offset}")
        });
        let event = match resume {
            Some(token) => Event::Resumed {
                call,
                customer: request.customer,
                token,
                offset,
            },
            None => Event::Arrived { call, request },
        };
        let run = self.daemons[daemon].run;
        self.deliver_event(daemon, run, event);
    }

    pub(super) fn receive(&mut self, caller: usize, call: CallId, message: CallerMessage) {
        if self.is_lost(call) {
            return;
        }
        let is_current = self.callers[caller].conn == Some(call);
        match message {
            CallerMessage::Done { .. } | CallerMessage::Answer { .. } => {
                self.end_caller(caller, State::Complete);
            }
            _ if !is_current => (),
            CallerMessage::Head { token, .. } => self.callers[caller].token = Some(token),
            CallerMessage::Tokens { offset, count, .. } => {
                self.callers[caller].received_tokens = offset + count;
            }
            CallerMessage::Superseded => self.retry_request(caller, 300),
            CallerMessage::Refusal(refusal) => self.refused(caller, call, &refusal),
            CallerMessage::Edit(_) => (),
        }
    }

    pub(super) fn retry_request(&mut self, caller: usize, ms: u64) {
        self.callers[caller].conn = None;
        let jitter = self.rng.random_range(10..300);
        self.schedule_caller(ms + jitter, caller, CallerEvent::Try);
    }

    pub(super) fn refused(&mut self, caller: usize, call: CallId, refusal: &Refusal) {
        let resumed = self.conns[&call].peer == Peer::Reader(caller);
        let entry = &mut self.callers[caller];
        entry.token = None;
        let named = refusal.addresses.first();
        entry.next_daemon =
            named.and_then(|name| self.daemons.iter().position(|daemon| daemon.name == *name));
        let is_permanent = matches!(
            refusal.reason,
            Reason::Invalid | Reason::NoRow | Reason::KeyNeeded | Reason::KeyExpired
        );
        let single = entry.is_single() && refusal.outcome != Outcome::NotRun;
        if !resumed && (is_permanent || single) {
            return self.end_caller(caller, State::NoAnswer(refusal.outcome));
        }
        if !resumed && refusal.outcome == Outcome::Failed && refusal.retry_after_ms == 0 {
            entry.key = None;
            entry.reached_replica = false;
        }
        self.retry_request(caller, refusal.retry_after_ms);
    }
}
