//! Streams: tokens in order, and their figures.

use ledger::ids::OrderId;
use ledger::reassembly::Arrival;
use ledger::reassembly::TokenRun;
use route::phase::Phase;

use crate::action::Action;
use crate::action::Count;
use crate::action::Tell;
use crate::event::Piece;
use crate::node::Node;
use crate::open::End;
use crate::open::Open;
use crate::open::OpenKey;
use crate::open::Withheld;
use crate::state::Purpose;

impl Node {
    pub(crate) fn streamed(&mut self, order: OrderId, piece: Piece, out: &mut Vec<Action>) {
        let Some(Purpose::Decode(opened)) = self.requests.orders.get(&order).copied() else {
            return;
        };
        match self.requests.open.get_mut(opened) {
            Some(entry) if entry.order != Some(order) => (),
            Some(Open {
                withheld: Some(withheld),
                ..
            }) => withheld.push(Withheld::Piece(order, piece)),
            Some(_) => self.piece(opened, piece, out),
            None => (),
        }
    }

    pub(crate) fn piece(&mut self, opened: OpenKey, piece: Piece, out: &mut Vec<Action>) {
        match piece {
            Piece::Imported => self.imported(opened, out),
            Piece::Tokens {
                offset,
                count,
                text,
            } => {
                self.tokens(
                    opened,
                    TokenRun {
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
        let entry = &mut self.requests.open[opened];
        entry.computed = 0;
        entry.attach_tries = 0;
        entry.times.progress = self.now;
        if let Some(hold) = entry.prefill_hold.take() {
            self.requests.holds.erase(hold);
        }
        if !matches!(self.requests.open[opened].phase, Some(Phase::Decoding)) {
            self.advance(opened, Phase::Decoding, out);
        }
    }

    fn tokens(&mut self, opened: OpenKey, run: TokenRun, out: &mut Vec<Action>) {
        let now = self.now;
        let entry = &mut self.requests.open[opened];
        entry.attach_tries = 0;
        entry.times.progress = now;
        let mut ready = Vec::new();
        let arrival = entry.sequence.push(run, &mut ready);
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
            let offset = self.requests.open[opened].sequence.delivered();
            self.attach(opened, offset, out);
        }
    }

    fn stream_end(&mut self, opened: OpenKey, tokens: u32, out: &mut Vec<Action>) {
        let delivered = self.requests.open[opened].sequence.delivered();
        if delivered < tokens {
            self.attach(opened, delivered, out);
        } else {
            self.end(opened, &End::Streamed { tokens }, out);
        }
    }

    /// Compares a finished request with its targets.
    pub(crate) fn count_targets(&self, opened: OpenKey, out: &mut Vec<Action>) {
        let entry = &self.requests.open[opened];
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
