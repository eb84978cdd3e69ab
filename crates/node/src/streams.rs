//! Forwards streams to callers in order and measures their latency.

use ledger::ids::OrderId;
use ledger::reassembly::Arrival;
use ledger::reassembly::TokenRun;
use route::phase::Phase;

use crate::action::Action;
use crate::action::CallerMessage;
use crate::action::Count;
use crate::event::Piece;
use crate::node::Node;
use crate::open::End;
use crate::open::OpenId;
use crate::open::OpenRequest;
use crate::open::Withheld;
use crate::state::OrderPurpose;

impl Node {
    pub(crate) fn handle_stream(&mut self, order: OrderId, piece: Piece, out: &mut Vec<Action>) {
        let Some(OrderPurpose::Decode(open_id)) = self.requests.orders.get(&order).copied() else {
            return;
        };
        match self.requests.open.get_mut(open_id) {
            Some(entry) if entry.order != Some(order) => (),
            Some(OpenRequest {
                withheld: Some(withheld),
                ..
            }) => withheld.push(Withheld::Piece(order, piece)),
            Some(_) => self.handle_piece(open_id, piece, out),
            None => (),
        }
    }

    pub(crate) fn handle_piece(&mut self, open_id: OpenId, piece: Piece, out: &mut Vec<Action>) {
        match piece {
            Piece::Imported => self.handle_import(open_id, out),
            Piece::Tokens {
                offset,
                count,
                text,
            } => {
                self.handle_tokens(
                    open_id,
                    TokenRun {
                        offset,
                        count,
                        text,
                    },
                    out,
                );
            }
            Piece::End { offset } => self.handle_stream_end(open_id, offset, out),
            Piece::Superseded => self.end(open_id, &End::Superseded, out),
        }
    }

    fn handle_import(&mut self, open_id: OpenId, out: &mut Vec<Action>) {
        let entry = &mut self.requests.open[open_id];
        entry.computed = 0;
        let is_first = !matches!(entry.phase, Some(Phase::Decoding));
        if is_first {
            entry.record_progress(self.now);
        }
        if let Some(hold) = entry.prefill_hold.take() {
            self.requests.holds.erase(hold);
        }
        if is_first {
            self.report_phase(open_id, Phase::Decoding, out);
        }
    }

    fn handle_tokens(&mut self, open_id: OpenId, run: TokenRun, out: &mut Vec<Action>) {
        let now = self.now;
        let entry = &mut self.requests.open[open_id];
        if entry.max_tokens().is_some_and(|most| run.offset >= most) {
            return self.end_at_most(open_id, out);
        }
        let mut ready = Vec::new();
        let arrival = entry.reassembler.push(run, &mut ready);
        if arrival == Arrival::Ready {
            entry.record_progress(now);
            record_token_times(entry, now, out);
        }
        if let Some(call) = entry.call {
            out.extend(ready.into_iter().map(|run| Action::SendToCaller {
                call,
                message: CallerMessage::Tokens {
                    offset: run.offset,
                    count: run.count,
                    text: run.text,
                },
            }));
        }
        if arrival == Arrival::Broken {
            self.read_again(open_id, out);
        }
    }

    /// Ends a stream whose engine goes on beyond the most tokens that were asked for.
    fn end_at_most(&mut self, open_id: OpenId, out: &mut Vec<Action>) {
        let entry = &mut self.requests.open[open_id];
        let tokens = entry.reassembler.delivered();
        if entry.max_tokens() != Some(tokens) {
            return self.read_again(open_id, out);
        }
        let hold = entry.decode_hold.take();
        self.release_hold(hold, out);
        self.end(open_id, &End::Streamed { tokens }, out);
    }

    fn handle_stream_end(&mut self, open_id: OpenId, tokens: u32, out: &mut Vec<Action>) {
        let delivered = self.requests.open[open_id].reassembler.delivered();
        if delivered < tokens {
            self.read_again(open_id, out);
        } else {
            self.end(open_id, &End::Streamed { tokens }, out);
        }
    }

    /// Counts the latency of a finished request against its targets.
    pub(crate) fn count_targets(&self, open_id: OpenId, out: &mut Vec<Action>) {
        let entry = &self.requests.open[open_id];
        let first = entry.times.first.unwrap_or(self.now);
        let ttft = first.since(entry.times.arrived).as_micros() as u64;
        let last = entry.times.last.unwrap_or(first);
        let gaps = u64::from(entry.reassembler.delivered().saturating_sub(1).max(1));
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

fn record_token_times(entry: &mut OpenRequest, now: ident::Time, out: &mut Vec<Action>) {
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
