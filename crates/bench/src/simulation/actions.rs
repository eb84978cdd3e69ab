//! Carries out the actions of the decision cores.

use std::time::Duration;

use ident::Instance;
use node::action::Action;
use node::action::CallerMessage;
use node::action::StoreRequest;
use node::action::Verdict;
use node::event::Event;
use node::ids::QueryId;
use wire::Frame;

use crate::simulation::Simulation;
use crate::simulation::kind::Kind;
use crate::simulation::replicas;
use crate::simulation::store::Store;

/// Duration of a call to the store.
const STORE_CALL_TIME: Duration = Duration::from_millis(2);

/// Carries out `action` of daemon `index`.
pub(super) fn carry_out(simulation: &mut Simulation, index: usize, action: Action) {
    match action {
        Action::Send { to, frame } => send(simulation, index, to, frame),
        Action::Query { query, request } => query_store(simulation, index, query, &request),
        Action::Inspect { replica, asked, .. } => {
            let state = Some(simulation.replicas.inspect(simulation.now, replica));
            let at = simulation.now + replicas::CONTROL_TIME;
            simulation.push(
                at,
                index,
                Event::Inspected {
                    replica,
                    asked,
                    state,
                },
            );
        }
        Action::Order {
            order,
            replica,
            handle,
            owner,
            task,
            ..
        } => {
            let now = simulation.now;
            for (after, event) in simulation
                .replicas
                .order(now, order, replica, handle, owner, &task)
            {
                simulation.push(simulation.now + after, index, event);
            }
        }
        Action::SendToCaller { message, .. } => count_answer(simulation, &message),
        _ => {}
    }
}

fn send(simulation: &mut Simulation, from: usize, to: Instance, frame: Box<Frame>) {
    let kind = Kind::of_body(&frame.body);
    let bytes = wire::encode(&frame).map_or(0, |bytes| bytes.len());
    let target = simulation.index.get(&to).copied();
    let target = target.filter(|target| simulation.isolated[*target] == simulation.isolated[from]);
    simulation.counters.record_frame(from, target, kind, bytes);
    if let Some(target) = target {
        let delay = simulation.delay(
            simulation.daemons[from].zone,
            simulation.daemons[target].zone,
        );
        simulation.push(simulation.now + delay, target, Event::Frame(frame));
    }
}

fn query_store(simulation: &mut Simulation, index: usize, query: QueryId, request: &StoreRequest) {
    let outcome = if simulation.store.is_reachable(simulation.isolated[index]) {
        simulation.store.answer(request)
    } else {
        Store::unreachable()
    };
    simulation.push(
        simulation.now + STORE_CALL_TIME,
        index,
        Event::StoreReplied { query, outcome },
    );
}

fn count_answer(simulation: &mut Simulation, message: &CallerMessage) {
    let answers = &mut simulation.counters.answers;
    match message {
        CallerMessage::Done { .. } | CallerMessage::Answer { .. } => answers.done += 1,
        CallerMessage::Refusal(_) => answers.refused += 1,
        CallerMessage::Edit(Verdict::Accepted { .. } | Verdict::Repeated { .. }) => {
            answers.accepted += 1;
        }
        CallerMessage::Edit(_) => answers.undecided += 1,
        _ => {}
    }
}
