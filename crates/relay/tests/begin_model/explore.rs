//! Searches all interleavings of a scope, and random ones.

use std::collections::HashSet;

use crate::world::Action;
use crate::world::Counts;
use crate::world::Fault;
use crate::world::INSTANCES;
use crate::world::LONG;
use crate::world::Violation;
use crate::world::World;

/// Actions of a scope, each with the number of times that it may occur.
#[derive(Debug)]
pub struct Scope {
    actions: &'static [(Action, usize)],
    depth: usize,
}

/// Instance 0 begins a stream, and its caller resumes it at instance 1; announcements to it are lost.
impl Scope {
    /// A version comes, and a list is read in three steps.
    pub const READINGS: Self = Self {
        actions: &[
            (Action::List(1, false), 1),
            (Action::Follow(0), 1),
            (Action::Send(0, 0), 1),
            (Action::Send(0, 2), 1),
            (Action::Resend(0, 0), 1),
            (Action::Event(0), 1),
            (Action::Read(1), 1),
            (Action::Answer(1), 1),
            (Action::Apply(1), 1),
            (Action::Resume(0, 1, 0), 1),
        ],
        depth: 9,
    };
    /// A stream is sent to two versions before its first event.
    pub const SENDS: Self = Self {
        actions: &[
            (Action::List(1, false), 1),
            (Action::Follow(0), 1),
            (Action::Send(0, 2), 1),
            (Action::Resend(0, 0), 1),
            (Action::Event(0), 1),
            (Action::Deliver(0), 1),
            (Action::Follow(1), 1),
            (Action::Resume(0, 1, 0), 1),
            (Action::Resume(0, 1, 1), 1),
        ],
        depth: 9,
    };
    /// A version comes and goes, and lists are confirmed by peers.
    pub const PEERS: Self = Self {
        actions: &[
            (Action::List(1, false), 1),
            (Action::Unlist(2), 1),
            (Action::Follow(0), 2),
            (Action::Send(0, 2), 1),
            (Action::Event(0), 1),
            (Action::Ask(1, 0), 1),
            (Action::Confirm(1), 1),
            (Action::Resume(0, 1, 1), 1),
            (Action::Resume(0, 1, 0), 1),
        ],
        depth: 9,
    };
    /// A version comes and goes, and a list is passed on by an instance that did not see it.
    pub const PASSED_ON: Self = Self {
        actions: &[
            (Action::List(1, false), 1),
            (Action::Unlist(2), 1),
            (Action::Forget, 1),
            (Action::Follow(0), 1),
            (Action::Send(0, 2), 1),
            (Action::Event(0), 1),
            (Action::Follow(2), 1),
            (Action::Ask(1, 2), 1),
            (Action::Confirm(1), 1),
            (Action::Resume(0, 1, 0), 1),
        ],
        depth: 10,
    };
    /// A replica restarts under its id with another version.
    pub const RESTARTS: Self = Self {
        actions: &[
            (Action::Restart(0, 1), 1),
            (Action::Publish(0), 1),
            (Action::Follow(0), 1),
            (Action::Send(0, 0), 2),
            (Action::Event(0), 1),
            (Action::Event(1), 1),
            (Action::Follow(1), 2),
            (Action::Resume(0, 1, 0), 1),
        ],
        depth: 9,
    };
    /// The store forgets its history, or comes back from a copy.
    pub const HISTORY: Self = Self {
        actions: &[
            (Action::List(1, false), 1),
            (Action::Unlist(2), 1),
            (Action::Forget, 1),
            (Action::NewEra, 1),
            (Action::Follow(0), 1),
            (Action::Send(0, 2), 1),
            (Action::Event(0), 1),
            (Action::Follow(1), 1),
            (Action::Resume(0, 1, 1), 1),
            (Action::Resume(0, 1, 0), 1),
        ],
        depth: 9,
    };
}

/// Searches all sequences of the actions of `scope`, the shortest first; the state is the same after
/// steps that do not meet, in any order.
pub fn all(scope: &Scope, fault: Option<Fault>) -> Result<Counts, Box<Violation>> {
    let mut counts = Counts::default();
    let mut seen = HashSet::new();
    let mut frontier: Vec<Vec<u8>> = vec![Vec::new()];
    for _ in 0..scope.depth {
        let mut next = Vec::new();
        for path in frontier {
            for (number, (action, most)) in scope.actions.iter().enumerate() {
                let used = path.iter().filter(|taken| usize::from(**taken) == number);
                if used.count() >= *most {
                    continue;
                }
                let mut world = replay(scope, &path, fault);
                if !world.allows(*action) {
                    continue;
                }
                let before = world.hash();
                let decided = world.counts();
                world.apply(*action);
                if let Some(violation) = world.violation() {
                    return Err(Box::new(violation));
                }
                let is_new = world.hash() != before && seen.insert(world.hash());
                if !is_new {
                    continue;
                }
                counts.add(world.counts().without(decided));
                if world.counts().decided() > decided.decided() {
                    continue;
                }
                let mut path = path.clone();
                path.push(number as u8);
                next.push(path);
            }
        }
        frontier = next;
    }
    println!("{} states, {counts:?}", seen.len());
    Ok(counts)
}

fn replay(scope: &Scope, path: &[u8], fault: Option<Fault>) -> World {
    let mut world = World::first(fault);
    for number in path {
        world.apply(scope.actions[usize::from(*number)].0);
    }
    world
}

/// Takes `steps` random steps.
pub fn walk(seed: u64, steps: usize, fault: Option<Fault>) -> Result<Counts, Box<Violation>> {
    let mut random = Random(seed);
    let mut world = World::new(fault);
    for _ in 0..steps {
        let action = random.action(&world);
        world.apply(action);
        if let Some(violation) = world.violation() {
            return Err(Box::new(shortened(violation, fault)));
        }
    }
    Ok(world.counts())
}

/// Leaves out the steps that the violation does not need.
fn shortened(violation: Violation, fault: Option<Fault>) -> Violation {
    let mut shortest = violation;
    let mut position = 0;
    while position < shortest.trace.len() {
        let mut world = World::new(fault);
        let steps = shortest.trace.iter().enumerate();
        for (_, action) in steps.filter(|(number, _)| *number != position) {
            world.apply(*action);
        }
        match world.violation() {
            Some(violation) => shortest = violation,
            None => position += 1,
        }
    }
    shortest
}

/// Source of random actions (`SplitMix64`).
struct Random(u64);

impl Random {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % limit.max(1) as u64) as usize
    }

    fn action(&mut self, world: &World) -> Action {
        let i = self.below(INSTANCES);
        let other = (i + 1 + self.below(INSTANCES - 1)) % INSTANCES;
        let replicas = world.store.running();
        let replica = self.below(replicas.len());
        let stream = world.stream_count().saturating_sub(1 + self.below(4));
        let instance = &world.instances[i];
        match self.below(100) {
            0 => Action::Quiet(1 + self.below(LONG)),
            14..16 if replicas.len() < 5 => {
                Action::List(usize::from(self.below(5) == 0), self.below(2) == 0)
            }
            16 if replicas.len() > 1 && self.below(2) == 0 => Action::Leave(replica),
            16 if replicas.len() > 1 => Action::Unlist(replica),
            17 if replicas.len() > 2 => Action::Unlist(replicas.len() - 1),
            18 if world.store.reports_start(replica) => Action::Restart(replica, self.below(2)),
            18..21 => Action::Publish(replica),
            21 if self.below(4) == 0 => Action::Forget,
            21 if self.below(4) == 0 => Action::NewEra,
            21 => Action::Copy,
            22 if instance.is_frozen => Action::Thaw(i),
            22 if self.below(2) == 0 => Action::Freeze(i),
            23 if instance.is_cut => Action::Heal(i),
            23 if self.below(2) == 0 => Action::Cut(i),
            24 if !instance.is_up => Action::Start(i),
            24 if self.below(4) == 0 => Action::Kill(i),
            25..40 => Action::Follow(i),
            40 => Action::Watch(i),
            41..44 => Action::Read(i),
            44..48 => Action::Answer(i),
            48..52 => Action::Apply(i),
            52..57 => Action::Ask(i, other),
            57..63 => Action::Confirm(i),
            63..71 => Action::Send(i, replica),
            71 => Action::Resend(stream, replica),
            72..78 => Action::Event(stream),
            78..81 => Action::Deliver(self.below(world.message_count())),
            81 => Action::Lose(self.below(world.message_count())),
            82 => Action::Save(i),
            83..85 => Action::Record(i),
            85..87 => Action::Prove(i),
            87..89 => Action::Vouch(i),
            89..97 => Action::Resume(stream, i, self.below(8) as u8),
            97..99 => Action::Load(i),
            _ => Action::Tick,
        }
    }
}
