//! Carries out the actions of daemons and checks their routing decisions.

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
use super::Simulation;
use super::network::Link;
use super::sim_event::SimEvent;

/// Time until a query that does not reach the store fails.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

impl Simulation {
    pub(super) fn carry_out_action(&mut self, daemon: usize, run: u32, action: Action) {
        self.digest = self
            .digest
            .rotate_left(5)
            .wrapping_add(action_digest(&action));
        match action {
            Action::Order {
                order,
                replica,
                handle,
                owner,
                fence,
                task,
            } => {
                self.trace_line(|| format!("entry-{daemon} orders {order:?} {handle} {task:?}"));
                let ticket = super::ticket(daemon, run, order);
                self.send_order(ticket, replica, handle, owner, fence, task);
            }
            Action::Abort { order } => self.abort_order(super::ticket(daemon, run, order)),
            Action::Inspect { replica, asked, .. } => {
                let micros = self.rng.random_range(300..3_000);
                self.schedule_micros(
                    micros,
                    SimEvent::Inspect {
                        daemon,
                        run,
                        replica,
                        asked,
                    },
                );
            }
            Action::SendToCaller { call, message } => self.handle_response(daemon, call, message),
            Action::Send { to, frame } => self.send(daemon, to, &frame),
            Action::Query { query, request } => self.query(daemon, run, query, request),
            Action::Log(decision) => self.check_decision(daemon, &decision),
            Action::Fault { cause } => {
                self.record_violation(format!("entry-{daemon}: fault: {cause}"));
            }
            Action::Count(_) | Action::UseList(_) => (),
            Action::Finished => self.handle_finished(daemon),
        }
    }

    pub(super) fn send(&mut self, daemon: usize, to: Instance, frame: &Frame) {
        let Some(peer) = self.daemons.iter().position(|entry| entry.instance == to) else {
            return;
        };
        let Some(frame) = encode_and_decode(frame) else {
            return self.record_violation(format!(
                "a frame that cannot be encoded and decoded: {frame:?}"
            ));
        };
        for micros in self.network.copy_delays(self.now, &mut self.rng) {
            let cut = self.network.is_cut(self.now, Link::peers(daemon, peer));
            let run = self.daemons[peer].run;
            if !cut {
                let event = Event::Frame(Box::new(frame.clone()));
                self.schedule_micros(
                    micros,
                    SimEvent::DaemonEvent {
                        daemon: peer,
                        run,
                        event,
                    },
                );
            }
        }
    }

    pub(super) fn query(&mut self, daemon: usize, run: u32, query: QueryId, request: StoreRequest) {
        let slow = self.now < self.store.slow_until;
        let micros = if slow {
            self.rng.random_range(500_000..4_000_000)
        } else {
            self.rng.random_range(500..4_000)
        };
        self.schedule_micros(
            micros,
            SimEvent::Query {
                daemon,
                run,
                query,
                request,
            },
        );
    }

    pub(super) fn run_query(
        &mut self,
        daemon: usize,
        run: u32,
        query: QueryId,
        request: StoreRequest,
    ) {
        let cut = self.network.is_cut(self.now, Link::Store(daemon));
        let (outcome, delay) = if cut {
            let outcome = StoreReply::Failed {
                maybe: false,
                cause: "store: not reached".to_owned(),
            };
            (outcome, QUERY_TIMEOUT)
        } else {
            let back = Duration::from_micros(self.rng.random_range(300..3_000));
            (self.store.carry_out(self.now, request), back)
        };
        let event = Event::StoreReplied { query, outcome };
        self.schedule(delay, SimEvent::DaemonEvent { daemon, run, event });
    }

    /// Checks that a routing decision uses a table no older than the last one and the lease allow.
    pub(super) fn check_decision(&mut self, daemon: usize, decision: &Decision) {
        self.trace_line(|| {
            let Decision {
                request,
                step,
                choice,
                reason,
                generation,
                ..
            } = decision;
            format!("entry-{daemon} {step:?} {request}: {choice} ({reason}) g{generation}")
        });
        if !matches!(decision.step, Step::Admit | Step::Place) {
            return;
        }
        let generation = decision.generation;
        let previous = self.daemons[daemon].last_generation;
        if generation < previous {
            self.record_violation(format!(
                "entry-{daemon} decided by generation {generation} after {previous}"
            ));
        }
        self.daemons[daemon].last_generation = generation.max(previous);
        let newest = self
            .accepted
            .iter()
            .rev()
            .find(|(_, at)| self.now > **at + LEASE + super::check::SLACK);
        if let Some((newest, at)) = newest.filter(|(newest, _)| **newest > generation) {
            let late = self.now.since(*at).as_millis();
            self.record_violation(format!(
                "entry-{daemon} decided by generation {generation}, {late} ms after {newest} was accepted"
            ));
        }
    }

    pub(super) fn handle_finished(&mut self, daemon: usize) {
        self.trace_line(|| format!("entry-{daemon} finished"));
        if !self.daemons[daemon].stopping {
            self.record_violation(format!("entry-{daemon} finished without a stop event"));
        }
        let mut cut = self.open_conns(daemon);
        cut.retain(|call| self.conns[call].seen);
        if !cut.is_empty() {
            self.record_violation(format!("entry-{daemon} finished and cut off {cut:?}"));
        }
        self.end_process(daemon);
        let pause = Duration::from_millis(self.rng.random_range(200..2_000));
        self.schedule(pause, SimEvent::Start(daemon));
    }
}

/// Encodes `frame` and decodes it again.
fn encode_and_decode(frame: &Frame) -> Option<Frame> {
    let bytes = wire::encode(frame).ok()?;
    let mut decoder = Decoder::new();
    decoder.extend(&bytes);
    decoder.next_frame().ok().flatten()
}

fn action_digest(action: &Action) -> u64 {
    match action {
        Action::Order { order, handle, .. } => order.0 ^ handle.sequence ^ handle.owner.0,
        Action::SendToCaller { call, .. } => call.0 << 8,
        Action::Send { to, .. } => to.0,
        Action::Query { query, .. } => query.0 << 16,
        Action::Log(decision) => decision.generation + decision.reason.len() as u64,
        _ => 1,
    }
}
