//! What follows from the actions of a core.

use std::time::Duration;

use ident::Instance;
use node::action::Action;
use node::action::CallerMessage;
use node::action::StoreRequest;
use node::action::Verdict;
use node::event::Event;
use node::ids::QueryId;
use wire::Frame;

use crate::world::World;
use crate::world::backs;
use crate::world::kind::Kind;
use crate::world::store::Store;

/// Time of a call to the store.
const CALL: Duration = Duration::from_millis(2);

/// Carries out `action` of daemon `index`.
pub(super) fn carry_out(world: &mut World, index: usize, action: Action) {
    match action {
        Action::Send { to, frame } => send(world, index, to, frame),
        Action::Query { query, request } => ask_store(world, index, query, &request),
        Action::Inspect { replica, asked, .. } => {
            let state = Some(world.backs.inspect(world.now, replica));
            let at = world.now + backs::ANSWER;
            world.push(
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
            let now = world.now;
            for (after, event) in world.backs.order(now, order, replica, handle, owner, &task) {
                world.push(world.now + after, index, event);
            }
        }
        Action::SendToCaller { message, .. } => answer(world, &message),
        _ => {}
    }
}

fn send(world: &mut World, from: usize, to: Instance, frame: Box<Frame>) {
    let kind = Kind::of_body(&frame.body);
    let bytes = wire::encode(&frame).map_or(0, |bytes| bytes.len());
    let target = world.index.get(&to).copied();
    let target = target.filter(|target| world.cut[*target] == world.cut[from]);
    world.tally.frame(from, target, kind, bytes);
    if let Some(target) = target {
        let delay = world.delay(world.seats[from].zone, world.seats[target].zone);
        world.push(world.now + delay, target, Event::Frame(frame));
    }
}

fn ask_store(world: &mut World, index: usize, query: QueryId, ask: &StoreRequest) {
    let outcome = if world.store.reachable(world.cut[index]) {
        world.store.answer(ask)
    } else {
        Store::refusal()
    };
    world.push(
        world.now + CALL,
        index,
        Event::StoreReplied { query, outcome },
    );
}

fn answer(world: &mut World, tell: &CallerMessage) {
    let answers = &mut world.tally.answers;
    match tell {
        CallerMessage::Done { .. } | CallerMessage::Answer { .. } => answers.done += 1,
        CallerMessage::Refusal(_) => answers.refused += 1,
        CallerMessage::Edit(Verdict::Accepted { .. } | Verdict::Repeated { .. }) => {
            answers.accepted += 1;
        }
        CallerMessage::Edit(_) => answers.undecided += 1,
        _ => {}
    }
}
