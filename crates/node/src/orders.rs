//! Orders to replicas: how they go out, and what their ends mean.

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
use crate::open::OpenKey;
use crate::open::Place;
use crate::state::Purpose;

impl Node {
    pub(crate) fn start_prefill(&mut self, opened: OpenKey, place: Place, out: &mut Vec<Action>) {
        let Some(prefill) = place.prefill else {
            return;
        };
        let order = self.order(Purpose::Prefill(opened));
        let owner = self.incarnation();
        let entry = &mut self.requests.open[opened];
        let route::ticket::Work::Model {
            prompt_tokens,
            max_tokens,
            blocks,
            done_tokens,
        } = entry.ticket.work.clone()
        else {
            return;
        };
        let (Some(call), handle, fence) = (entry.origin, entry.handle(), entry.fence) else {
            return;
        };
        entry.place = Some(place);
        entry.order = Some(order);
        entry.dispatch(self.now);
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
        opened: OpenKey,
        source: Replica,
        replica: Replica,
        out: &mut Vec<Action>,
    ) {
        let order = self.order(Purpose::Decode(opened));
        let owner = self.incarnation();
        let entry = &mut self.requests.open[opened];
        let (handle, fence) = (entry.handle(), entry.fence);
        let max_tokens = match entry.ticket.work {
            route::ticket::Work::Model { max_tokens, .. } => max_tokens,
            route::ticket::Work::Plain => 0,
        };
        let offset = entry.sequence.delivered();
        let priority = entry.priority;
        entry.order = Some(order);
        entry.dispatch(self.now);
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
        self.tell_head(opened, out);
    }

    pub(crate) fn start_plain(&mut self, opened: OpenKey, replica: Replica, out: &mut Vec<Action>) {
        let order = self.order(Purpose::Plain(opened));
        let owner = self.incarnation();
        let entry = &mut self.requests.open[opened];
        let Some(call) = entry.origin else {
            return;
        };
        let (handle, fence) = (entry.handle(), entry.fence);
        entry.place = Some(Place {
            prefill: None,
            run: replica,
        });
        entry.order = Some(order);
        entry.enter(Stage::Call, out);
        entry.dispatch(self.now);
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

    pub(crate) fn answered(&mut self, order: OrderId, reply: Reply, out: &mut Vec<Action>) {
        let purpose = self.requests.orders.remove(&order);
        self.requests.holds.start_ended(order);
        match (purpose, reply) {
            (Some(Purpose::Cancel), _) => self.release_confirmed(order, out),
            (
                Some(Purpose::Prefill(opened)),
                Reply::Prefilled {
                    computed, cached, ..
                },
            ) => {
                out.push(Action::Count(Count::Prefilled(computed)));
                if self.is_current(opened, order) {
                    self.prefilled(opened, computed, cached, out);
                } else {
                    out.push(Action::Count(Count::Wasted(computed)));
                }
            }
            (Some(Purpose::Decode(opened)), Reply::StreamEnded)
                if self.is_current(opened, order) =>
            {
                self.decode_failed(opened, Failure::Lost, out);
            }
            (Some(Purpose::Plain(opened)), Reply::Plain { status, body })
                if self.is_current(opened, order) =>
            {
                self.requests.open[opened].landed(false);
                self.end(opened, &End::Answered { status, body }, out);
            }
            _ => (),
        }
    }

    pub(crate) fn failed(&mut self, order: OrderId, failure: Failure, out: &mut Vec<Action>) {
        let purpose = self.requests.orders.remove(&order);
        self.requests.holds.start_ended(order);
        match purpose {
            Some(Purpose::Cancel) => self.release_failed(order, failure),
            Some(Purpose::Prefill(opened) | Purpose::Plain(opened))
                if self.is_current(opened, order) =>
            {
                self.touch(opened, failure);
                self.retry(opened, failure, out);
            }
            Some(Purpose::Decode(opened)) if self.is_current(opened, order) => {
                self.touch(opened, failure);
                self.decode_failed(opened, failure, out);
            }
            _ => (),
        }
    }

    /// Whether `order` carries the present work of an open request.
    pub(crate) fn is_current(&self, opened: OpenKey, order: OrderId) -> bool {
        self.requests
            .open
            .get(opened)
            .is_some_and(|entry| entry.order == Some(order))
    }

    fn touch(&mut self, opened: OpenKey, failure: Failure) {
        self.requests.open[opened].landed(failure == Failure::NotSent);
    }

    fn prefilled(&mut self, opened: OpenKey, computed: u32, cached: u32, out: &mut Vec<Action>) {
        let entry = &mut self.requests.open[opened];
        entry.landed(false);
        entry.computed = computed;
        let Some(Place {
            prefill: Some(prefill),
            run,
        }) = entry.place
        else {
            return;
        };
        self.advance(opened, Phase::Prefilled { computed, cached }, out);
        self.start_decode(opened, prefill, run, out);
    }
}
