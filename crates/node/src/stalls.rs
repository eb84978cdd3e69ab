//! Aborts stalled prefills, transfers, streams and calls.
//!
//! The limits are far above the needs of the slowest healthy replica. The request of an aborted
//! order continues as after a lost connection.

use std::time::Duration;

use ident::Time;
use ledger::stage::Stage;
use route::phase::Phase;
use route::ticket::Work;

use crate::action::Action;
use crate::event::Failure;
use crate::node::Node;
use crate::open::OpenId;
use crate::open::OpenRequest;

/// Time that every order may take without progress.
const BASE_LIMIT: Duration = Duration::from_secs(3);
/// Additional time per prompt token of a prefill: 1000 tokens a second.
const PREFILL_TOKEN: Duration = Duration::from_millis(1);
/// Additional time per prompt token of a transfer: 10,000 tokens a second.
const TRANSFER_TOKEN: Duration = Duration::from_micros(100);

impl Node {
    /// Aborts orders past their limit and retries their requests.
    pub(crate) fn abort_stalled_orders(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let stalled = self
            .requests
            .open_where(|entry| now >= stall_deadline(entry));
        for open_id in stalled {
            self.abort_stalled_order(open_id, out);
        }
    }

    fn abort_stalled_order(&mut self, open_id: OpenId, out: &mut Vec<Action>) {
        let entry = &mut self.requests.open[open_id];
        entry.record_order_end(false);
        if let Some(order) = entry.order.take() {
            out.push(Action::Abort { order });
        }
        if entry.stage == Stage::Decode && entry.body_call.is_none() {
            self.handle_lost_stream(open_id, Failure::Lost, out);
        } else {
            self.retry(open_id, Failure::Lost, out);
        }
    }
}

/// Returns the time at which the current order of a request is considered stalled.
fn stall_deadline(entry: &OpenRequest) -> Time {
    if entry.order.is_none() || entry.withheld.is_some() {
        return Time::NEVER;
    }
    let tokens = match entry.ticket.work {
        Work::Model { prompt_tokens, .. } => prompt_tokens,
        Work::Plain => 0,
    };
    let importing = matches!(entry.phase, Some(Phase::Prefilled { .. }));
    let extra = match entry.stage {
        Stage::Prefill => PREFILL_TOKEN * tokens,
        Stage::Decode if importing => TRANSFER_TOKEN * tokens,
        Stage::Decode => Duration::ZERO,
        Stage::Call if entry.repeatable => entry.max_wait,
        Stage::Call | Stage::Waiting | Stage::Ended => return Time::NEVER,
    };
    entry.times.progress + BASE_LIMIT + extra
}
