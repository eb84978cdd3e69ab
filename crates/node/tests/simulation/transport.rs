//! Transport of orders to replicas and of their answers to daemons.

use std::time::Duration;

use ident::Handle;
use ident::Incarnation;
use ident::Replica;
use ident::Time;
use node::action::Task;
use node::event::Event;
use node::event::Failure;
use node::event::Piece;
use node::event::Reply;
use rand::RngExt;

use super::Simulation;
use super::engine::Ticket;
use super::network::Link;
use super::sim_event::ArrivingOrder;
use super::sim_event::SimEvent;

/// Time until an order or inspection of an unreachable replica fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Percentage of orders, and of pieces with tokens, that are late.
const LATE_PERCENT: u32 = 4;

/// An order that has not ended.
#[derive(Debug, Clone, Copy)]
pub struct OpenOrder {
    engine: usize,
    /// Delay of each answer, in microseconds.
    delay: u64,
    /// Whether the daemon dropped the connection.
    aborted: bool,
    /// Whether the last answer is in transit.
    closing: bool,
}

impl Simulation {
    pub(super) fn send_order(
        &mut self,
        ticket: Ticket,
        replica: Replica,
        handle: Handle,
        owner: Incarnation,
        fence: u64,
        task: Task,
    ) {
        let Some(engine) = self.engine_of(replica) else {
            return self.record_violation(format!("order for unknown replica {replica}"));
        };
        let delay = self.rng.random_range(300..2_500);
        let open_order = OpenOrder {
            engine,
            delay,
            aborted: false,
            closing: false,
        };
        self.open_orders.insert(ticket, open_order);
        let origin = self.origin_of(&task);
        let needs_body = matches!(task, Task::Prefill { .. } | Task::Plain { .. });
        if needs_body && origin.is_none() {
            return self.fail_order(ticket, Failure::NotSent);
        }
        if self
            .network
            .is_cut(self.now, Link::Replica(ticket.daemon, engine))
        {
            return self.fail_late(ticket, Failure::NotSent);
        }
        let late = self.rng.random_ratio(LATE_PERCENT, 100);
        let micros = if late {
            self.rng.random_range(10_000..500_000)
        } else {
            delay
        };
        let arriving = ArrivingOrder {
            ticket,
            engine,
            handle,
            owner,
            fence,
            task,
            origin,
        };
        self.schedule_micros(micros, SimEvent::Order(Box::new(arriving)));
    }

    pub(super) fn abort_order(&mut self, ticket: Ticket) {
        let Some(open_order) = self.open_orders.get_mut(&ticket) else {
            return;
        };
        open_order.aborted = true;
        self.fail_order(ticket, Failure::Lost);
    }

    /// Whether the daemon still accepts answers to `ticket`.
    pub(super) fn has_reader(&self, ticket: Ticket) -> bool {
        let open_order = self.open_orders.get(&ticket);
        open_order.is_some_and(|open_order| !open_order.aborted && !open_order.closing)
    }

    /// Sends an answer to its daemon, or fails the order if the link is cut or answers are lost.
    pub(super) fn send_reply(&mut self, ticket: Ticket, event: Event, last: bool) {
        if !self.has_reader(ticket) {
            return;
        }
        let engine = self.open_orders[&ticket].engine;
        let cut = self
            .network
            .is_cut(self.now, Link::Replica(ticket.daemon, engine));
        if cut || self.now < self.engines[engine].loses_answers_until {
            return self.fail_late(ticket, Failure::Lost);
        }
        let delay = self.open_orders[&ticket].delay;
        let is_late = is_tokens(&event) && self.rng.random_ratio(LATE_PERCENT, 100);
        let late = if is_late {
            self.rng.random_range(0..50_000)
        } else {
            0
        };
        self.mark_closing(ticket, last);
        self.schedule_micros(
            delay + late,
            SimEvent::Reply {
                ticket,
                event,
                last,
            },
        );
    }

    pub(super) fn send_last_reply(&mut self, ticket: Ticket, reply: Reply) {
        let order = ticket.order;
        self.send_reply(ticket, Event::Answered { order, reply }, true);
    }

    /// Fails the order of `ticket` as soon as its daemon can notice.
    pub(super) fn fail_order(&mut self, ticket: Ticket, failure: Failure) {
        self.fail_after(ticket, failure, Duration::from_micros(600));
    }

    fn fail_late(&mut self, ticket: Ticket, failure: Failure) {
        self.fail_after(ticket, failure, CONNECT_TIMEOUT);
    }

    fn fail_after(&mut self, ticket: Ticket, failure: Failure, span: Duration) {
        let Some(open_order) = self
            .open_orders
            .get(&ticket)
            .filter(|open_order| !open_order.closing)
        else {
            return;
        };
        let span = span + Duration::from_micros(open_order.delay);
        self.mark_closing(ticket, true);
        let order = ticket.order;
        let event = Event::Failed { order, failure };
        self.schedule(
            span,
            SimEvent::Reply {
                ticket,
                event,
                last: true,
            },
        );
    }

    fn mark_closing(&mut self, ticket: Ticket, last: bool) {
        if let Some(open_order) = self.open_orders.get_mut(&ticket).filter(|_| last) {
            open_order.closing = true;
        }
    }

    pub(super) fn deliver_reply(&mut self, ticket: Ticket, event: Event, last: bool) {
        let known = self.open_orders.contains_key(&ticket);
        if last {
            self.open_orders.remove(&ticket);
        }
        if known {
            self.trace_line(|| format!("entry-{} receives {event:?}", ticket.daemon));
            self.deliver_event(ticket.daemon, ticket.run, event);
        }
    }

    /// Drops the orders of `daemon`, whose process has ended.
    pub(super) fn drop_orders(&mut self, daemon: usize) {
        self.open_orders.retain(|ticket, _| ticket.daemon != daemon);
    }

    pub(super) fn receive_order(&mut self, arriving: Box<ArrivingOrder>) {
        let ArrivingOrder { ticket, engine, .. } = *arriving;
        let aborted = self
            .open_orders
            .get(&ticket)
            .is_none_or(|open_order| open_order.aborted);
        if aborted && self.rng.random_bool(0.5) {
            return;
        }
        if self
            .network
            .is_cut(self.now, Link::Replica(ticket.daemon, engine))
        {
            let failure = if self.rng.random_bool(0.5) {
                Failure::NotSent
            } else {
                Failure::Lost
            };
            return self.fail_late(ticket, failure);
        }
        let stalled = self.engines[engine].stalled_until;
        if self.now < stalled {
            let rest = stalled.since(self.now);
            return self.schedule(rest, SimEvent::Order(arriving));
        }
        self.handle_order(&arriving);
    }

    pub(super) fn inspect(&mut self, daemon: usize, run: u32, replica: Replica, asked: Time) {
        let Some(engine) = self.engine_of(replica) else {
            return;
        };
        let cut = self.network.is_cut(self.now, Link::Replica(daemon, engine));
        let unresponsive = cut || self.now < self.engines[engine].stalled_until;
        let state = (!unresponsive).then(|| self.engines[engine].inspect());
        let delay = if unresponsive {
            CONNECT_TIMEOUT
        } else {
            Duration::from_micros(self.rng.random_range(300..3_000))
        };
        let event = Event::Inspected {
            replica,
            asked,
            state,
        };
        self.schedule(delay, SimEvent::DaemonEvent { daemon, run, event });
    }
}

const fn is_tokens(event: &Event) -> bool {
    matches!(
        event,
        Event::Streamed {
            piece: Piece::Tokens { .. },
            ..
        }
    )
}
