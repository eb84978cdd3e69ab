//! Checks the responses of daemons to callers and operators and delivers them.

use bytes::Bytes;
use node::action::CallerMessage;
use node::action::Outcome;
use node::action::Reason;
use node::action::Refusal;
use node::ids::CallId;

use super::LEASE;
use super::Simulation;
use super::connections::Conn;
use super::connections::Peer;
use super::connections::State;
use super::sim_event::CallerEvent;
use super::sim_event::OperatorEvent;
use super::sim_event::SimEvent;

/// Returns `count` tokens of the answer to `caller`, starting at token `offset`.
pub fn expected_text(caller: usize, offset: u32, count: u32) -> Bytes {
    let words = (offset..offset + count).map(|index| format!(" {caller}:{index}"));
    Bytes::from(words.collect::<String>())
}

impl Simulation {
    /// Checks a response of `daemon` and schedules its delivery.
    pub(super) fn handle_response(&mut self, daemon: usize, call: CallId, message: CallerMessage) {
        self.trace_line(|| {
            format!(
                "entry-{daemon} responds to {call:?}: {}",
                summarize(&message)
            )
        });
        let Some(conn) = self.conns.get(&call).copied() else {
            return self.record_violation(format!("entry-{daemon} responds to unknown {call:?}"));
        };
        match conn.state {
            _ if conn.daemon != daemon => {
                return self.record_violation(format!(
                    "entry-{daemon} responds to {call:?} of another daemon"
                ));
            }
            State::Closed | State::Dropped => return,
            State::Answered => {
                let message = summarize(&message);
                return self
                    .record_violation(format!("{call:?} gets {message} after its last response"));
            }
            State::Open => (),
        }
        match conn.peer {
            Peer::Caller(caller) => self.handle_caller_response(call, caller, true, message),
            Peer::Reader(caller) => self.handle_caller_response(call, caller, false, message),
            Peer::Operator(operator) => self.handle_operator_response(call, operator, message),
        }
    }

    fn handle_operator_response(&mut self, call: CallId, operator: usize, message: CallerMessage) {
        let CallerMessage::Edit(verdict) = message else {
            return self.record_violation(format!("operator at {call:?} gets {message:?}"));
        };
        self.check_verdict(operator, &verdict);
        self.mark_answered(call);
        let event = OperatorEvent::Received(verdict);
        self.schedule_micros(2_000, SimEvent::Operator { operator, event });
    }

    fn mark_answered(&mut self, call: CallId) {
        if let Some(conn) = self.conns.get_mut(&call) {
            conn.state = State::Answered;
        }
    }

    fn handle_caller_response(
        &mut self,
        call: CallId,
        caller: usize,
        is_request: bool,
        message: CallerMessage,
    ) {
        if matches!(
            message,
            CallerMessage::Tokens { .. } | CallerMessage::Done { .. }
        ) {
            self.check_owner(call);
        }
        match &message {
            CallerMessage::Head { handle, .. } => {
                let handle = Some(*handle);
                self.conns
                    .entry(call)
                    .and_modify(|conn| conn.handle = handle);
            }
            CallerMessage::Tokens {
                offset,
                count,
                text,
            } => self.check_tokens(call, caller, *offset, *count, text),
            CallerMessage::Done { tokens } => self.check_done(call, caller, *tokens),
            CallerMessage::Superseded => self.check_superseded(call, caller),
            CallerMessage::Answer { body, .. } => self.check_body(call, caller, body),
            CallerMessage::Refusal(refusal) => {
                self.check_refusal(call, caller, is_request, refusal);
            }
            CallerMessage::Edit(_) => {
                self.record_violation(format!("caller at {call:?} gets a verdict on an edit"));
            }
        }
        if !matches!(
            message,
            CallerMessage::Head { .. } | CallerMessage::Tokens { .. }
        ) {
            self.mark_answered(call);
        }
        let event = CallerEvent::Received { call, message };
        let delay = self.conns[&call].delay;
        self.schedule_micros(delay, SimEvent::Caller { caller, event });
    }

    fn check_tokens(&mut self, call: CallId, caller: usize, offset: u32, count: u32, text: &Bytes) {
        let Some(conn) = self.conns.get_mut(&call) else {
            return;
        };
        let expected = conn.next;
        conn.next = offset + count;
        if offset != expected || count == 0 {
            self.record_violation(format!(
                "{call:?} gets {count} tokens from {offset}, expected from {expected}"
            ));
        }
        if *text != expected_text(caller, offset, count) {
            self.record_violation(format!(
                "{call:?} of caller {caller} gets {text:?} at {offset}"
            ));
        }
    }

    /// Checks that a daemon sends nothing of a stream taken over from it more than a lease ago.
    fn check_owner(&mut self, call: CallId) {
        let Conn { daemon, handle, .. } = self.conns[&call];
        let takeover = handle.and_then(|handle| self.takeovers.get(&handle).copied());
        if let Some((by, _)) = takeover.filter(|(by, at)| *by != daemon && self.now > *at + LEASE) {
            self.record_violation(format!(
                "entry-{daemon} sends {call:?} tokens of a stream that entry-{by} took over"
            ));
        }
    }

    fn check_done(&mut self, call: CallId, caller: usize, tokens: u32) {
        let length = self.callers[caller].length;
        let next = self.conns[&call].next;
        if tokens != length || next != length {
            self.record_violation(format!(
                "{call:?} ends with {tokens} tokens after {next} of {length}"
            ));
        }
    }

    fn check_superseded(&mut self, call: CallId, caller: usize) {
        let of_caller = |peer| peer == Peer::Caller(caller) || peer == Peer::Reader(caller);
        let mut others = self.conns.iter().filter(|(other, _)| **other != call);
        let is_read = others.any(|(other, conn)| {
            of_caller(conn.peer) && conn.seen && (conn.is_open() || *other > call)
        });
        if !is_read {
            self.record_violation(format!("{call:?} is superseded without another reader"));
        }
    }

    fn check_body(&mut self, call: CallId, caller: usize, body: &Bytes) {
        if body != format!("confirmed for {caller}").as_bytes() {
            self.record_violation(format!("{call:?} of caller {caller} gets {body:?}"));
        }
    }

    fn check_refusal(&mut self, call: CallId, caller: usize, is_request: bool, refusal: &Refusal) {
        let reached_replica = if self.callers[caller].keyed {
            self.callers[caller].reached_replica
        } else {
            self.conns[&call].reached_replica
        };
        let is_false = refusal.outcome == Outcome::NotRun && reached_replica;
        if is_request && is_false {
            let reason = refusal.reason.as_str();
            self.record_violation(format!(
                "{call:?} of caller {caller} gets `not run` ({reason}) after a byte reached a replica"
            ));
        }
        if refusal.reason == Reason::BadToken && !is_request {
            self.record_violation(format!(
                "{call:?} presented a valid token and got `bad token`"
            ));
        }
    }
}

/// Returns a short form for traces.
fn summarize(message: &CallerMessage) -> String {
    match message {
        CallerMessage::Head { handle, .. } => format!("head of {handle}"),
        CallerMessage::Tokens { offset, count, .. } => format!("{count} tokens from {offset}"),
        CallerMessage::Refusal(refusal) => format!(
            "{} {}, retry after {} ms at {:?}",
            refusal.outcome.as_str(),
            refusal.reason.as_str(),
            refusal.retry_after_ms,
            refusal.addresses
        ),
        _ => format!("{message:?}"),
    }
}
