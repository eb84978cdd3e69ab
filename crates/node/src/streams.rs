//! Streams: tokens in order, resumption and takeover.

use std::collections::BTreeSet;
use std::time::Duration;

use ident::Replica;
use ledger::backoff;
use ledger::ids::Call;
use ledger::ids::Order;
use ledger::order::Arrival;
use ledger::order::Run;
use ledger::order::Sequence;
use ledger::stage::Stage;
use route::phase::Phase;
use route::ticket::Ticket;
use route::ticket::Work;
use wire::Body;

use crate::action::Action;
use crate::action::Count;
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Task;
use crate::action::Tell;
use crate::attempts::continue_from;
use crate::decision::Step;
use crate::event::Failure;
use crate::event::Held;
use crate::event::Piece;
use crate::node::Node;
use crate::node::Purpose;
use crate::open::End;
use crate::open::Open;
use crate::open::OpenKey;
use crate::open::Place;
use crate::open::Reach;
use crate::open::Targets;
use crate::open::Times;
use crate::open::Withheld;
use crate::token::Token;

/// Attach orders that may fail in a row before the stream counts as lost.
const MAX_ATTACH_TRIES: u32 = 3;
/// How far the fence of a takeover lies above the one in its token: above all that the former owner
/// used meanwhile, whatever the clocks of the two say.
const TAKEOVER_STEP: u64 = 1_000;
/// Time within which an order that was sent may not yet show at its replica.
const ORDER_TRAVEL: Duration = Duration::from_secs(1);
const HTTP_NOT_FOUND: u16 = 404;
const HTTP_CONFLICT: u16 = 409;
const HTTP_TOO_MANY: u16 = 429;

impl Node {
    pub(crate) fn streamed(&mut self, order: Order, piece: Piece, out: &mut Vec<Action>) {
        let Some(Purpose::Decode(opened)) = self.orders.get(&order).copied() else {
            return;
        };
        match self.open.get_mut(opened) {
            Some(entry) if entry.order != Some(order) => (),
            Some(Open {
                withheld: Some(withheld),
                ..
            }) => withheld.push(Withheld::Piece(order, piece)),
            Some(_) => self.piece(opened, piece, out),
            None => (),
        }
    }

    fn piece(&mut self, opened: OpenKey, piece: Piece, out: &mut Vec<Action>) {
        match piece {
            Piece::Imported => self.imported(opened, out),
            Piece::Tokens {
                offset,
                count,
                text,
            } => {
                self.tokens(
                    opened,
                    Run {
                        offset,
                        count,
                        text,
                    },
                    out,
                );
            }
            Piece::End { offset } => self.stream_end(opened, offset, out),
            Piece::Superseded => self.end(opened, &End::Superseded, out),
        }
    }

    fn imported(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let entry = &mut self.open[opened];
        entry.computed = 0;
        entry.attach_tries = 0;
        entry.times.progress = self.now;
        if let Some(hold) = entry.prefill_hold.take() {
            self.holds.erase(hold);
        }
        if !matches!(self.open[opened].phase, Some(Phase::Decoding)) {
            self.advance(opened, Phase::Decoding, out);
        }
    }

    fn tokens(&mut self, opened: OpenKey, run: Run, out: &mut Vec<Action>) {
        let now = self.now;
        let entry = &mut self.open[opened];
        entry.attach_tries = 0;
        entry.times.progress = now;
        let mut ready = Vec::new();
        let arrival = entry.sequence.arrive(run, &mut ready);
        if arrival == Arrival::Ready {
            note_tokens(entry, now, out);
        }
        if let Some(call) = entry.call {
            out.extend(ready.into_iter().map(|run| Action::Tell {
                call,
                tell: Tell::Tokens {
                    offset: run.offset,
                    count: run.count,
                    text: run.text,
                },
            }));
        }
        if arrival == Arrival::Broken {
            let offset = self.open[opened].sequence.delivered();
            self.attach(opened, offset, out);
        }
    }

    fn stream_end(&mut self, opened: OpenKey, tokens: u32, out: &mut Vec<Action>) {
        let delivered = self.open[opened].sequence.delivered();
        if delivered < tokens {
            self.attach(opened, delivered, out);
        } else {
            self.end(opened, &End::Streamed { tokens }, out);
        }
    }

    /// A decode or attach order failed.
    pub(crate) fn decode_failed(
        &mut self,
        opened: OpenKey,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let entry = &mut self.open[opened];
        if let (Some(withheld), Some(order)) = (&mut entry.withheld, entry.order) {
            return withheld.push(Withheld::End(order, failure));
        }
        let started = !matches!(entry.phase, Some(Phase::Prefilled { .. }));
        match failure {
            Failure::NotSent
            | Failure::Refused {
                status: HTTP_TOO_MANY,
                ..
            } if !started => {
                self.ask_other_decode(opened, out);
            }
            _ if !started => self.retry(opened, failure, out),
            Failure::Refused {
                status: HTTP_CONFLICT,
                fence: Some(fence),
            } if is_skewed(entry, fence) => {
                entry.attach_tries += 1;
                entry.fence = entry.fence.max(fence);
                let offset = entry.sequence.delivered();
                self.attach(opened, offset, out);
            }
            Failure::Refused {
                status: HTTP_CONFLICT,
                fence: Some(_),
            } => {
                self.end(opened, &End::Superseded, out);
            }
            Failure::Refused {
                status: HTTP_NOT_FOUND | HTTP_CONFLICT,
                ..
            } => {
                self.stream_lost(opened, failure, out);
            }
            // The caller may read elsewhere by now: nobody here needs another reader.
            _ if entry.call.is_none() => entry.order = None,
            _ if entry.attach_tries < MAX_ATTACH_TRIES => {
                entry.order = None;
                entry.attach_at = Some(now + backoff::pause(entry.attach_tries));
                entry.attach_tries += 1;
            }
            _ => self.stream_lost(opened, failure, out),
        }
    }

    /// Reads streams again whose last reading failed a while ago.
    pub(crate) fn attach_again(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let due: Vec<OpenKey> = self
            .open
            .iter()
            .filter(|(_, entry)| entry.attach_at.is_some_and(|at| now >= at))
            .map(|(opened, _)| opened)
            .collect();
        for opened in due {
            let offset = self.open[opened].sequence.delivered();
            self.attach(opened, offset, out);
        }
    }

    /// The stream cannot be read any more: it is continued elsewhere if its prompt is at hand.
    pub(crate) fn stream_lost(&mut self, opened: OpenKey, failure: Failure, out: &mut Vec<Action>) {
        let adopted = self.open[opened].origin.is_none();
        match failure {
            _ if !adopted => self.retry(opened, failure, out),
            Failure::Refused { .. } => {
                self.give_up(opened, Reason::StreamLost, Duration::ZERO, out);
            }
            Failure::NotSent | Failure::Lost => self.leave_to_others(opened, failure, out),
        }
    }

    /// The engine of an adopted stream is out of reach from here; others may still read it.
    fn leave_to_others(&mut self, opened: OpenKey, failure: Failure, out: &mut Vec<Action>) {
        let hold = self.open[opened].decode_hold;
        if let Some(hold) = hold.filter(|_| failure == Failure::NotSent) {
            self.holds.erase(hold);
        }
        let refusal = self.refusal_elsewhere(Outcome::Unknown, Reason::StreamLost);
        self.end(opened, &End::Refused(refusal), out);
    }

    /// Reads the stream of `opened` from `offset` in place of the present reader.
    pub(crate) fn attach(&mut self, opened: OpenKey, offset: u32, out: &mut Vec<Action>) {
        let order = self.order(Purpose::Decode(opened));
        let owner = self.incarnation();
        let entry = &mut self.open[opened];
        let Some(place) = entry.place else {
            return;
        };
        if let Some(former) = entry.order.replace(order) {
            out.push(Action::Abort { order: former });
        }
        entry.fence += 1;
        entry.attach_at = None;
        entry.dispatch(self.now);
        let (handle, fence) = (entry.handle(), entry.fence);
        entry.sequence = Sequence::new(offset);
        entry.withheld = None;
        match entry.decode_hold {
            Some(hold) => self.holds.reopen(hold, order, owner, fence),
            None => {
                let hold = self.holds.take(place.run, handle, owner, fence, order);
                self.open[opened].decode_hold = Some(hold);
            }
        }
        let task = Task::Attach { offset };
        out.push(Action::Order {
            order,
            replica: place.run,
            handle,
            owner,
            fence,
            task,
        });
    }

    /// Tells the present connection the head of the stream, once.
    pub(crate) fn tell_head(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let token = self.token_of(opened);
        let entry = &mut self.open[opened];
        let handle = entry.handle();
        match (entry.call, token) {
            (Some(call), Some(token)) if !entry.headed => {
                entry.headed = true;
                out.push(Action::Tell {
                    call,
                    tell: Tell::Head { handle, token },
                });
            }
            _ => (),
        }
    }

    /// The sealed resume token of a stream.
    pub(crate) fn token_of(&self, opened: OpenKey) -> Option<String> {
        let entry = &self.open[opened];
        let place = entry.place?;
        let Work::Model {
            prompt_tokens,
            max_tokens,
            ..
        } = entry.ticket.work
        else {
            return None;
        };
        let token = Token {
            handle: entry.handle(),
            replica: place.run,
            pool: entry.pool,
            row: entry.ticket.row,
            customer: entry.customer.clone(),
            fence: entry.fence,
            prompt_tokens,
            max_tokens,
        };
        Some(token.seal(&self.settings.secret))
    }

    pub(crate) fn resumed(
        &mut self,
        call: Call,
        customer: &str,
        text: &str,
        offset: u32,
        out: &mut Vec<Action>,
    ) {
        let token = Token::open(text, &self.settings.secret);
        let Some(token) = token.filter(|token| token.customer == customer) else {
            let refusal = Self::refusal(Outcome::NotRun, Reason::BadToken, Duration::ZERO);
            return self.refuse(call, customer, refusal, out);
        };
        match self.by_handle.get(&token.handle).copied() {
            Some(opened) => self.take_over_locally(opened, call, offset, false, out),
            None if !self.backends.contains_key(&token.replica) => {
                let refusal = self.refusal_elsewhere(Outcome::Unknown, Reason::NoReplica);
                self.refuse(call, customer, refusal, out);
            }
            None => self.adopt(call, &token, offset, out),
        }
    }

    /// Moves an open request to a newer connection of the same caller.
    pub(crate) fn take_over_locally(
        &mut self,
        opened: OpenKey,
        call: Call,
        offset: u32,
        brings_body: bool,
        out: &mut Vec<Action>,
    ) {
        let entry = &mut self.open[opened];
        if let Some(former) = entry.call.replace(call) {
            self.by_call.remove(&former);
            out.push(Action::Tell {
                call: former,
                tell: Tell::Superseded,
            });
        }
        self.by_call.insert(call, opened);
        entry.origin = brings_body.then_some(call);
        entry.times.left = None;
        entry.headed = false;
        if entry.stage != Stage::Decode {
            entry.sequence = Sequence::new(offset);
            if entry.stage == Stage::Waiting {
                continue_from(&mut entry.ticket.work, offset);
            }
            return;
        }
        let in_place = entry.order.is_some() && entry.sequence.delivered() == offset;
        self.tell_head(opened, out);
        if !in_place {
            self.attach(opened, offset, out);
        }
    }

    /// Takes over a stream that another daemon, or a former run, began.
    pub(crate) fn adopt(&mut self, call: Call, token: &Token, offset: u32, out: &mut Vec<Action>) {
        if self.open.len() >= self.settings.max_open {
            let refusal = self.refusal_elsewhere(Outcome::NotRun, Reason::Full);
            return self.refuse(call, &token.customer, refusal, out);
        }
        let opened = self.insert_adopted(call, token, offset);
        let label = self.open[opened].label();
        let choice = format!("{} at {}", token.handle, self.replica_name(token.replica));
        let reason = format!("resume token, from token {offset}");
        self.log(&label, Step::Adopt, &choice, &reason, out);
        self.tell_head(opened, out);
        self.attach(opened, offset, out);
        self.tell_keeper_adopted(opened, out);
    }

    /// Tells the keeper of a placed request that this daemon owns it.
    pub(crate) fn tell_keeper_adopted(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let keeper = self.keeper_of(self.open[opened].pool);
        if let Some(hold) = self.hold_of(opened) {
            self.send(keeper, Body::Adopt(Box::new(hold)), out);
        }
    }

    fn insert_adopted(&mut self, call: Call, token: &Token, offset: u32) -> OpenKey {
        let now = self.now;
        let work = Work::Model {
            prompt_tokens: token.prompt_tokens,
            max_tokens: token.max_tokens,
            blocks: Vec::new(),
            done_tokens: 0,
        };
        let ticket = Ticket {
            handle: token.handle,
            row: token.row,
            work,
            waited: Duration::ZERO,
            home: self.settings.zone,
            attempt: 0,
            avoid: Vec::new(),
        };
        let targets = self
            .rows
            .get(token.row)
            .map_or_else(Targets::none, |brief| brief.targets);
        let opened = self.open.insert(Open {
            call: Some(call),
            origin: None,
            key: None,
            customer: token.customer.clone(),
            pool: token.pool,
            repeatable: true,
            stage: Stage::Decode,
            ticket,
            place: Some(Place {
                prefill: None,
                run: token.replica,
            }),
            phase: Some(Phase::Decoding),
            order: None,
            prefill_hold: None,
            decode_hold: None,
            fence: self.unix_ms().max(token.fence + TAKEOVER_STEP),
            sequence: Sequence::new(offset),
            reach: Reach::Touched,
            queued: now,
            patience: Duration::ZERO,
            headed: false,
            withheld: None,
            attach_tries: 0,
            attach_at: None,
            computed: 0,
            priority: 0,
            targets,
            times: Times {
                arrived: now,
                progress: now,
                submitted: now,
                first: None,
                last: None,
                left: None,
            },
            askers: Vec::new(),
        });
        self.by_handle.insert(token.handle, opened);
        self.by_call.insert(call, opened);
        opened
    }

    /// Withholds every stream until it is verified: this daemon was paused for longer than the
    /// lease, and others may have taken its streams over.
    pub(crate) fn suspect_streams(&mut self, out: &mut Vec<Action>) {
        for entry in self
            .open
            .values_mut()
            .filter(|entry| entry.stage == Stage::Decode)
        {
            entry.withheld.get_or_insert_default();
        }
        self.recheck_suspects(out);
    }

    /// Asks the replicas of withheld streams for their state.
    pub(crate) fn recheck_suspects(&mut self, out: &mut Vec<Action>) {
        let replicas: BTreeSet<Replica> = self
            .open
            .values()
            .filter(|entry| entry.withheld.is_some())
            .filter_map(|entry| entry.place.map(|place| place.run))
            .collect();
        out.extend(
            replicas
                .into_iter()
                .map(|replica| Action::Inspect { replica, after: 0 }),
        );
    }

    /// Verifies suspect streams against what their replica holds.
    pub(crate) fn verify(&mut self, replica: Replica, works: &[Held], out: &mut Vec<Action>) {
        let suspects: Vec<OpenKey> = self
            .open
            .iter()
            .filter(|(_, entry)| entry.withheld.is_some())
            .filter(|(_, entry)| entry.place.is_some_and(|place| place.run == replica))
            .map(|(opened, _)| opened)
            .collect();
        for opened in suspects {
            let handle = self.open[opened].handle();
            let held = works.iter().find(|held| held.handle == handle).copied();
            self.verify_one(opened, held, out);
        }
    }

    /// The engine keeps the highest fence it was told, also where it does not enforce it: only a
    /// higher one than this daemon's shows another reader.
    fn verify_one(&mut self, opened: OpenKey, held: Option<Held>, out: &mut Vec<Action>) {
        let mine = self.incarnation();
        let now = self.now;
        let entry = &mut self.open[opened];
        let just_sent = now < entry.times.progress + ORDER_TRAVEL;
        let withheld = entry.withheld.take().unwrap_or_default();
        match held {
            Some(held) if held.fence > entry.fence => self.end(opened, &End::Superseded, out),
            _ if entry.is_left(now) => self.abandon(opened, "the caller did not come back", out),
            Some(held) if held.owner == mine => self.tell_withheld(opened, withheld, out),
            None if just_sent => entry.withheld = Some(withheld),
            Some(_) => {
                let offset = entry.sequence.delivered();
                self.attach(opened, offset, out);
                self.tell_keeper_adopted(opened, out);
            }
            None => {
                let failure = Failure::Refused {
                    status: HTTP_NOT_FOUND,
                    fence: None,
                };
                self.stream_lost(opened, failure, out);
            }
        }
    }

    fn tell_withheld(&mut self, opened: OpenKey, withheld: Vec<Withheld>, out: &mut Vec<Action>) {
        for arrival in withheld {
            match arrival {
                Withheld::Piece(order, piece) if self.is_current(opened, order) => {
                    self.piece(opened, piece, out);
                }
                Withheld::End(order, failure) if self.is_current(opened, order) => {
                    self.decode_failed(opened, failure, out);
                }
                _ => (),
            }
        }
    }

    /// Compares a finished request with its targets.
    pub(crate) fn count_targets(&self, opened: OpenKey, out: &mut Vec<Action>) {
        let entry = &self.open[opened];
        let first = entry.times.first.unwrap_or(self.now);
        let ttft = first.since(entry.times.arrived).as_micros() as u64;
        let last = entry.times.last.unwrap_or(first);
        let gaps = u64::from(entry.sequence.delivered().saturating_sub(1).max(1));
        let tbt = last.since(first).as_micros() as u64 / gaps;
        if entry.is_model() {
            out.push(Action::Count(Count::TokenGap {
                micros: tbt,
                target: entry.targets.tbt,
            }));
        }
        if ttft <= entry.targets.ttft && (tbt <= entry.targets.tbt || !entry.is_model()) {
            out.push(Action::Count(Count::Good));
        }
    }
}

/// Whether a takeover was refused for a fence so far ahead that clocks differ: a reader that came
/// later by a moment lies closer.
fn is_skewed(entry: &Open, fence: u64) -> bool {
    let adopting = entry.origin.is_none();
    adopting && entry.attach_tries < MAX_ATTACH_TRIES && fence > entry.fence + TAKEOVER_STEP
}

fn note_tokens(entry: &mut Open, now: ident::Time, out: &mut Vec<Action>) {
    if entry.times.first.is_none() {
        entry.times.first = Some(now);
        let micros = now.since(entry.times.arrived).as_micros() as u64;
        out.push(Action::Count(Count::FirstToken {
            micros,
            target: entry.targets.ttft,
        }));
    }
    entry.times.last = Some(now);
}
