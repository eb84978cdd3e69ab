//! What daemons do.

use std::time::Duration;

use ident::Instance;
use node::action::Action;
use node::action::StoreRequest;
use node::decision::Decision;
use node::decision::Step;
use node::event::Event;
use node::event::StoreReply;
use node::ids::QueryId;
use rand::RngExt;
use wire::Decoder;
use wire::Frame;

use super::LEASE;
use super::World;
use super::item::Item;
use super::net::Way;

/// Time after which a query that does not reach the store fails.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    pub(super) fn act(&mut self, host: usize, run: u32, action: Action) {
        self.digest = self
            .digest
            .rotate_left(5)
            .wrapping_add(kind_number(&action));
        match action {
            Action::Order {
                order,
                replica,
                handle,
                owner,
                fence,
                task,
            } => {
                self.note(|| format!("entry-{host} orders {order:?} {handle} {task:?}"));
                let ticket = super::ticket(host, run, order);
                self.order(ticket, replica, handle, owner, fence, task);
            }
            Action::Abort { order } => self.abort(super::ticket(host, run, order)),
            Action::Inspect { replica, asked, .. } => {
                let micros = self.rng.random_range(300..3_000);
                self.after_micros(
                    micros,
                    Item::Inspect {
                        host,
                        run,
                        replica,
                        asked,
                    },
                );
            }
            Action::SendToCaller { call, message } => self.tell(host, call, message),
            Action::Send { to, frame } => self.send(host, to, &frame),
            Action::Query { query, request } => self.query(host, run, query, request),
            Action::Log(decision) => self.check_decision(host, &decision),
            Action::Fault { cause } => self.violate(format!("entry-{host}: fault: {cause}")),
            Action::Count(_) | Action::UseList(_) => (),
            Action::Finished => self.finished(host),
        }
    }

    pub(super) fn send(&mut self, host: usize, to: Instance, frame: &Frame) {
        let Some(peer) = self.hosts.iter().position(|slot| slot.instance == to) else {
            return;
        };
        let Some(frame) = carried(frame) else {
            return self.violate(format!("a frame that does not come through: {frame:?}"));
        };
        for micros in self.net.copies(self.now, &mut self.rng) {
            let cut = self.net.is_cut(self.now, Way::peers(host, peer));
            let run = self.hosts[peer].run;
            if !cut {
                let event = Event::Frame(Box::new(frame.clone()));
                self.after_micros(
                    micros,
                    Item::Event {
                        host: peer,
                        run,
                        event,
                    },
                );
            }
        }
    }

    pub(super) fn query(&mut self, host: usize, run: u32, query: QueryId, ask: StoreRequest) {
        let slow = self.now < self.store.slow;
        let micros = if slow {
            self.rng.random_range(500_000..4_000_000)
        } else {
            self.rng.random_range(500..4_000)
        };
        self.after_micros(
            micros,
            Item::Query {
                host,
                run,
                query,
                ask,
            },
        );
    }

    pub(super) fn query_arrives(
        &mut self,
        host: usize,
        run: u32,
        query: QueryId,
        ask: StoreRequest,
    ) {
        let cut = self.net.is_cut(self.now, Way::Store(host));
        let (outcome, delay) = if cut {
            let outcome = StoreReply::Failed {
                maybe: false,
                cause: "store: not reached".to_owned(),
            };
            (outcome, QUERY_TIMEOUT)
        } else {
            let back = Duration::from_micros(self.rng.random_range(300..3_000));
            (self.store.carry_out(self.now, ask), back)
        };
        let event = Event::StoreReplied { query, outcome };
        self.after(delay, Item::Event { host, run, event });
    }

    /// Checks the generation of a routing decision.
    pub(super) fn check_decision(&mut self, host: usize, decision: &Decision) {
        self.note(|| {
            let Decision {
                request,
                step,
                choice,
                reason,
                generation,
                ..
            } = decision;
            format!("entry-{host} {step:?} {request}: {choice} ({reason}) g{generation}")
        });
        if !matches!(decision.step, Step::Admit | Step::Place) {
            return;
        }
        let generation = decision.generation;
        let former = self.hosts[host].decided;
        if generation < former {
            self.violate(format!(
                "entry-{host} decided by generation {generation} after {former}"
            ));
        }
        self.hosts[host].decided = generation.max(former);
        let newest = self
            .accepted
            .iter()
            .rev()
            .find(|(_, at)| self.now > **at + LEASE + super::check::SLACK);
        if let Some((newest, at)) = newest.filter(|(newest, _)| **newest > generation) {
            let late = self.now.since(*at).as_millis();
            self.violate(format!(
                "entry-{host} decided by generation {generation}, {late} ms after {newest} was accepted"
            ));
        }
    }

    pub(super) fn finished(&mut self, host: usize) {
        self.note(|| format!("entry-{host} finished"));
        if !self.hosts[host].stopping {
            self.violate(format!("entry-{host} finished without being asked"));
        }
        let mut cut = self.open_conns(host);
        cut.retain(|call| self.conns[call].seen);
        if !cut.is_empty() {
            self.violate(format!("entry-{host} finished and cut off {cut:?}"));
        }
        self.end_process(host);
        let pause = Duration::from_millis(self.rng.random_range(200..2_000));
        self.after(pause, Item::Start(host));
    }
}

/// `frame` as it comes out of the codec.
fn carried(frame: &Frame) -> Option<Frame> {
    let bytes = wire::encode(frame).ok()?;
    let mut decoder = Decoder::new();
    decoder.extend(&bytes);
    decoder.next_frame().ok().flatten()
}

fn kind_number(action: &Action) -> u64 {
    match action {
        Action::Order { order, handle, .. } => order.0 ^ handle.sequence ^ handle.owner.0,
        Action::SendToCaller { call, .. } => call.0 << 8,
        Action::Send { to, .. } => to.0,
        Action::Query { query, .. } => query.0 << 16,
        Action::Log(decision) => decision.generation + decision.reason.len() as u64,
        _ => 1,
    }
}
