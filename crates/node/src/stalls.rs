//! Orders that make no progress: stalled prefills, transfers, streams and calls.
//!
//! The limits are far above what the slowest sound replica needs. An order past its limit is
//! aborted and its request goes on as after a lost connection.

use std::time::Duration;

use ident::Time;
use ledger::stage::Stage;
use route::phase::Phase;
use route::ticket::Work;

use crate::action::Action;
use crate::event::Failure;
use crate::node::Node;
use crate::open::Open;
use crate::open::OpenKey;

/// Time that any order may take without progress.
const BASE: Duration = Duration::from_secs(3);
/// Further time for each prompt token of a prefill: a thousand tokens a second.
const PREFILL_TOKEN: Duration = Duration::from_millis(1);
/// Further time for each prompt token of a transfer: ten thousand tokens a second.
const TRANSFER_TOKEN: Duration = Duration::from_micros(100);

impl Node {
    /// Aborts orders past their limit and sends their requests on.
    pub(crate) fn break_stalls(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let stalled = self.requests.open_where(|entry| now >= limit(entry));
        for opened in stalled {
            self.break_stall(opened, out);
        }
    }

    fn break_stall(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let entry = &mut self.requests.open[opened];
        entry.landed(false);
        if let Some(order) = entry.order.take() {
            out.push(Action::Abort { order });
        }
        if entry.stage == Stage::Decode && entry.origin.is_none() {
            self.stream_lost(opened, Failure::Lost, out);
        } else {
            self.retry(opened, Failure::Lost, out);
        }
    }
}

/// When the present order of a request counts as stalled.
fn limit(entry: &Open) -> Time {
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
        Stage::Call if entry.repeatable => entry.patience,
        Stage::Call | Stage::Waiting | Stage::Ended => return Time::NEVER,
    };
    entry.times.progress + BASE + extra
}
