//! Sends orders to replicas and handles their ends.

use ident::Replica;
use ledger::ids::OrderId;
use ledger::stage::Stage;
use route::phase::Phase;

use crate::action::Action;
use crate::action::Count;
use crate::action::Task;
use crate::event::Failure;
use crate::event::Reply;
use crate::node::Node;
use crate::open::End;
use crate::open::OpenId;
use crate::open::Placement;
use crate::state::OrderPurpose;

impl Node {
    pub(crate) fn start_prefill(
        &mut self,
        open_id: OpenId,
        placement: Placement,
        out: &mut Vec<Action>,
    ) {
        let Some(prefill) = placement.prefill else {
            return;
        };
        let order = self.new_order(OrderPurpose::Prefill(open_id));
        let owner = self.incarnation();
        let entry = &mut self.requests.open[open_id];
        let route::ticket::Work::Model {
            prompt_tokens,
            max_tokens,
            blocks,
            done_tokens,
        } = entry.ticket.work.clone()
        else {
            return;
        };
        let (Some(call), handle, fence) = (entry.body_call, entry.handle(), entry.fence) else {
            return;
        };
        entry.placement = Some(placement);
        entry.order = Some(order);
        entry.record_order_sent(self.now);
        entry.enter(Stage::Prefill, out);
        let priority = entry.priority;
        entry.prefill_hold = Some(
            self.requests
                .holds
                .insert(prefill, handle, owner, fence, order),
        );
        let task = Task::Prefill {
            call,
            prompt_tokens,
            max_tokens,
            done_tokens,
            priority,
            blocks,
        };
        out.push(Action::Order {
            order,
            replica: prefill,
            handle,
            owner,
            fence,
            task,
        });
    }

    pub(crate) fn start_decode(
        &mut self,
        open_id: OpenId,
        source: Replica,
        replica: Replica,
        out: &mut Vec<Action>,
    ) {
        let order = self.new_order(OrderPurpose::Decode(open_id));
        let owner = self.incarnation();
        let entry = &mut self.requests.open[open_id];
        let (handle, fence) = (entry.handle(), entry.fence);
        let max_tokens = entry.max_tokens().unwrap_or_default();
        let offset = entry.reassembler.delivered();
        let priority = entry.priority;
        entry.order = Some(order);
        entry.record_order_sent(self.now);
        entry.enter(Stage::Decode, out);
        entry.decode_hold = Some(
            self.requests
                .holds
                .insert(replica, handle, owner, fence, order),
        );
        let task = Task::Decode {
            source,
            max_tokens,
            offset,
            priority,
        };
        out.push(Action::Order {
            order,
            replica,
            handle,
            owner,
            fence,
            task,
        });
        self.send_head(open_id, out);
    }

    pub(crate) fn start_plain(&mut self, open_id: OpenId, replica: Replica, out: &mut Vec<Action>) {
        let order = self.new_order(OrderPurpose::Plain(open_id));
        let owner = self.incarnation();
        let entry = &mut self.requests.open[open_id];
        let Some(call) = entry.body_call else {
            return;
        };
        let (handle, fence) = (entry.handle(), entry.fence);
        entry.placement = Some(Placement {
            prefill: None,
            serving: replica,
        });
        entry.order = Some(order);
        entry.enter(Stage::Call, out);
        entry.record_order_sent(self.now);
        let task = Task::Plain { call };
        out.push(Action::Order {
            order,
            replica,
            handle,
            owner,
            fence,
            task,
        });
    }

    pub(crate) fn handle_reply(&mut self, order: OrderId, reply: Reply, out: &mut Vec<Action>) {
        let purpose = self.requests.orders.remove(&order);
        self.requests.holds.start_ended(order);
        match (purpose, reply) {
            (Some(OrderPurpose::Cancel), _) => self.release_confirmed(order, out),
            (
                Some(OrderPurpose::Prefill(open_id)),
                Reply::Prefilled {
                    computed, cached, ..
                },
            ) => {
                out.push(Action::Count(Count::Prefilled(computed)));
                if self.is_current(open_id, order) {
                    self.handle_prefilled(open_id, computed, cached, out);
                } else {
                    out.push(Action::Count(Count::Wasted(computed)));
                }
            }
            (Some(OrderPurpose::Decode(open_id)), Reply::StreamEnded)
                if self.is_current(open_id, order) =>
            {
                self.handle_decode_failure(open_id, Failure::Lost, out);
            }
            (Some(OrderPurpose::Plain(open_id)), Reply::Plain { status, body })
                if self.is_current(open_id, order) =>
            {
                self.requests.open[open_id].record_order_end(false);
                self.end(open_id, &End::Answered { status, body }, out);
            }
            _ => (),
        }
    }

    pub(crate) fn handle_failure(
        &mut self,
        order: OrderId,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let purpose = self.requests.orders.remove(&order);
        self.requests.holds.start_ended(order);
        match purpose {
            Some(OrderPurpose::Cancel) => self.release_failed(order, failure),
            Some(OrderPurpose::Prefill(open_id) | OrderPurpose::Plain(open_id))
                if self.is_current(open_id, order) =>
            {
                self.record_reach(open_id, failure);
                self.retry(open_id, failure, out);
            }
            Some(OrderPurpose::Decode(open_id)) if self.is_current(open_id, order) => {
                self.record_reach(open_id, failure);
                self.handle_decode_failure(open_id, failure, out);
            }
            _ => (),
        }
    }

    /// Returns whether `order` carries the current work of an open request.
    pub(crate) fn is_current(&self, open_id: OpenId, order: OrderId) -> bool {
        self.requests
            .open
            .get(open_id)
            .is_some_and(|entry| entry.order == Some(order))
    }

    fn record_reach(&mut self, open_id: OpenId, failure: Failure) {
        self.requests.open[open_id].record_order_end(failure == Failure::NotSent);
    }

    fn handle_prefilled(
        &mut self,
        open_id: OpenId,
        computed: u32,
        cached: u32,
        out: &mut Vec<Action>,
    ) {
        let entry = &mut self.requests.open[open_id];
        entry.record_order_end(false);
        entry.computed = computed;
        let Some(Placement {
            prefill: Some(prefill),
            serving,
        }) = entry.placement
        else {
            return;
        };
        self.report_phase(open_id, Phase::Prefilled { computed, cached }, out);
        self.start_decode(open_id, prefill, serving, out);
    }
}
