//! What callers and operators are told, and whether it is true.

use bytes::Bytes;
use node::action::CallerMessage;
use node::action::Outcome;
use node::action::Reason;
use node::action::Refusal;
use node::ids::CallId;

use super::LEASE;
use super::World;
use super::conns::Conn;
use super::conns::Peer;
use super::conns::State;
use super::item::Item;
use super::item::Note;
use super::item::Verdict;

/// `count` tokens of the answer to `caller`, from token `offset` on.
pub fn expected(caller: usize, offset: u32, count: u32) -> Bytes {
    let words = (offset..offset + count).map(|index| format!(" {caller}:{index}"));
    Bytes::from(words.collect::<String>())
}

impl World {
    /// A daemon tells a connection something.
    pub(super) fn tell(&mut self, host: usize, call: CallId, tell: CallerMessage) {
        self.note(|| format!("entry-{host} tells {call:?} {}", short(&tell)));
        let Some(conn) = self.conns.get(&call).copied() else {
            return self.violate(format!("entry-{host} tells {call:?}, which never was"));
        };
        match conn.state {
            _ if conn.host != host => {
                return self.violate(format!("entry-{host} tells {call:?} of another"));
            }
            State::Closed | State::Dropped => return,
            State::Answered => {
                let tell = short(&tell);
                return self.violate(format!("{call:?} is told {tell} after its last answer"));
            }
            State::Open => (),
        }
        match conn.peer {
            Peer::Caller(caller) => self.tell_caller(call, caller, true, tell),
            Peer::Reader(caller) => self.tell_caller(call, caller, false, tell),
            Peer::Operator(operator) => self.tell_operator(call, operator, tell),
        }
    }

    fn tell_operator(&mut self, call: CallId, operator: usize, tell: CallerMessage) {
        let CallerMessage::Edit(verdict) = tell else {
            return self.violate(format!("operator at {call:?} is told {tell:?}"));
        };
        self.check_verdict(operator, &verdict);
        self.set_answered(call);
        let verdict = Verdict::Said(verdict);
        self.after_micros(2_000, Item::Operator { operator, verdict });
    }

    fn set_answered(&mut self, call: CallId) {
        if let Some(conn) = self.conns.get_mut(&call) {
            conn.state = State::Answered;
        }
    }

    fn tell_caller(&mut self, call: CallId, caller: usize, is_request: bool, tell: CallerMessage) {
        if matches!(
            tell,
            CallerMessage::Tokens { .. } | CallerMessage::Done { .. }
        ) {
            self.check_owner(call);
        }
        match &tell {
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
            CallerMessage::Edit(_) => self.violate(format!("{call:?} is told of an edit")),
        }
        if !matches!(
            tell,
            CallerMessage::Head { .. } | CallerMessage::Tokens { .. }
        ) {
            self.set_answered(call);
        }
        let note = Note::Told { call, tell };
        let delay = self.conns[&call].delay;
        self.after_micros(delay, Item::Caller { caller, note });
    }

    fn check_tokens(&mut self, call: CallId, caller: usize, offset: u32, count: u32, text: &Bytes) {
        let Some(conn) = self.conns.get_mut(&call) else {
            return;
        };
        let due = conn.next;
        conn.next = offset + count;
        if offset != due || count == 0 {
            self.violate(format!(
                "{call:?} gets {count} tokens from {offset}, due was {due}"
            ));
        }
        if *text != expected(caller, offset, count) {
            self.violate(format!(
                "{call:?} of caller {caller} gets {text:?} at {offset}"
            ));
        }
    }

    /// A daemon from which a stream was taken must have found out once its lease has passed.
    fn check_owner(&mut self, call: CallId) {
        let Conn { host, handle, .. } = self.conns[&call];
        let taken = handle.and_then(|handle| self.taken.get(&handle).copied());
        if let Some((by, _)) = taken.filter(|(by, at)| *by != host && self.now > *at + LEASE) {
            self.violate(format!(
                "entry-{host} tells {call:?} tokens of a stream that entry-{by} took over"
            ));
        }
    }

    fn check_done(&mut self, call: CallId, caller: usize, tokens: u32) {
        let length = self.callers[caller].length;
        let next = self.conns[&call].next;
        if tokens != length || next != length {
            self.violate(format!(
                "{call:?} is done with {tokens} tokens after {next} of {length}"
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
            self.violate(format!("{call:?} is superseded, and by nothing"));
        }
    }

    fn check_body(&mut self, call: CallId, caller: usize, body: &Bytes) {
        if body != format!("confirmed for {caller}").as_bytes() {
            self.violate(format!("{call:?} of caller {caller} gets {body:?}"));
        }
    }

    fn check_refusal(&mut self, call: CallId, caller: usize, is_request: bool, refusal: &Refusal) {
        let touched = if self.callers[caller].keyed {
            self.callers[caller].touched
        } else {
            self.conns[&call].touched
        };
        let untrue = refusal.outcome == Outcome::NotRun && touched;
        if is_request && untrue {
            let reason = refusal.reason.as_str();
            self.violate(format!(
                "{call:?} of caller {caller} is told `not run` ({reason}), and a byte had reached a replica"
            ));
        }
        if refusal.reason == Reason::BadToken && !is_request {
            self.violate(format!("{call:?} presented a good token"));
        }
    }
}

/// A short form for traces.
fn short(tell: &CallerMessage) -> String {
    match tell {
        CallerMessage::Head { handle, .. } => format!("head of {handle}"),
        CallerMessage::Tokens { offset, count, .. } => format!("{count} tokens from {offset}"),
        CallerMessage::Refusal(refusal) => format!(
            "{} {}, back in {} ms at {:?}",
            refusal.outcome.as_str(),
            refusal.reason.as_str(),
            refusal.retry_after_ms,
            refusal.addresses
        ),
        _ => format!("{tell:?}"),
    }
}
