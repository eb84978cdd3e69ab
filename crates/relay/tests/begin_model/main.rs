//! Model of the begins of streams at three instances: whatever happens between a begin and its
//! resumption, no stream goes on at another software version than that of its first event.
//!
//! Lists, records and decisions are those of `relay`; store, messages, replicas and clocks are played.

#[path = "../common/mod.rs"]
mod common;
mod explore;
mod instance;
mod store;
mod world;

use std::env;

use crate::explore::Scope;
use crate::world::Action;
use crate::world::Counts;
use crate::world::Fault;
use crate::world::LONG;
use crate::world::World;

/// Number of random walks, unless `BEGIN_MODEL_SEEDS` says another; `BEGIN_MODEL_SEED` names a single one.
const SEEDS: u64 = 2_000;
/// Resumptions without a record for each that the only version decides, at most: walks without only
/// versions would show nothing of them.
const MAX_ASKED_PER_ONLY: u64 = 40;
/// Length of a random walk in actions.
const WALK: usize = 300;

/// Asserts that no interleaving of `scope` binds a stream to another version; returns what was decided.
fn hold(scope: &Scope) -> Counts {
    match explore::all(scope, None) {
        Ok(counts) => counts,
        Err(violation) => panic!("{violation}"),
    }
}

#[test]
fn no_stream_changes_its_version_while_lists_are_read_out_of_step() {
    let counts = hold(&Scope::READINGS);
    assert!(counts.asked > 0 && counts.only > 0, "{counts:?}");
}

#[test]
fn no_stream_changes_its_version_that_was_sent_to_two() {
    let counts = hold(&Scope::SENDS);
    assert!(counts.asked > 0 && counts.began > 0, "{counts:?}");
}

#[test]
fn no_stream_changes_its_version_while_peers_confirm_lists() {
    let counts = hold(&Scope::PEERS);
    assert!(counts.asked > 0 && counts.began > 0, "{counts:?}");
}

#[test]
fn no_stream_changes_its_version_while_lists_are_passed_on() {
    let counts = hold(&Scope::PASSED_ON);
    assert!(counts.asked > 0, "{counts:?}");
}

/// A replica that has left the list goes on for a while, and may begin a stream that was sent to it.
#[test]
fn no_stream_changes_its_version_when_a_replica_begins_it_after_it_has_left() {
    let mut world = World::new(None);
    let left = [
        Action::List(1, false),
        Action::Follow(0),
        Action::Follow(1),
        Action::Unlist(2),
        Action::Follow(1),
        Action::Tick,
        Action::Send(0, 2),
        Action::Event(0),
    ];
    let followed = [Action::Watch(1); 7];
    let resumed = [Action::Resume(0, 1, 0), Action::Follow(1)];
    for action in left.into_iter().chain(followed).chain(resumed) {
        world.apply(action);
    }
    if let Some(violation) = world.violation() {
        panic!("{violation}");
    }
}

/// The same at an instance that has started after the replica had left the list.
#[test]
fn no_stream_changes_its_version_that_left_before_an_instance_started() {
    let mut world = World::new(None);
    let left = [
        Action::List(1, false),
        Action::Follow(0),
        Action::Send(0, 2),
        Action::Unlist(2),
        Action::Start(1),
        Action::Follow(1),
        Action::Tick,
        Action::Event(0),
    ];
    let followed = [Action::Watch(1); 7];
    let resumed = [Action::Resume(0, 1, 0), Action::Follow(1)];
    for action in left.into_iter().chain(followed).chain(resumed) {
        world.apply(action);
    }
    if let Some(violation) = world.violation() {
        panic!("{violation}");
    }
}

/// The same whenever the stream begins while a replica that has left may still begin one.
#[test]
fn no_stream_changes_its_version_that_begins_long_after_its_replica_has_left() {
    let mut counts = Counts::default();
    for begun in 0..LONG {
        for resumed in begun..LONG {
            let mut world = World::new(None);
            let steps = [
                Action::List(1, false),
                Action::Follow(0),
                Action::Send(0, 2),
                Action::Leave(2),
                Action::Start(1),
                Action::Quiet(begun),
                Action::Event(0),
                Action::Quiet(resumed - begun),
                Action::Resume(0, 1, 0),
                Action::Follow(1),
            ];
            for action in steps {
                world.apply(action);
            }
            if let Some(violation) = world.violation() {
                panic!("{violation}");
            }
            counts.add(world.counts());
        }
    }
    assert!(counts.asked > 0 && counts.only == 0, "{counts:?}");
}

/// What an instance that starts alone waits for; with a record it need not.
#[test]
fn an_instance_that_has_started_knows_the_only_version_after_a_stream_life_and_unlisted_service() {
    let first_only = |is_recorded: bool| {
        let only = |steps: &usize| {
            let mut world = World::new(None);
            world.apply(Action::Record(0));
            world.apply(Action::Start(1));
            world.apply(Action::Quiet(*steps));
            if is_recorded {
                world.apply(Action::Prove(1));
                world.apply(Action::Vouch(1));
            }
            world.apply(Action::Send(0, 0));
            world.apply(Action::Event(0));
            world.apply(Action::Resume(0, 1, 0));
            world.apply(Action::Follow(1));
            world.counts().only == 1
        };
        (0..=LONG).find(only)
    };
    assert_eq!(first_only(false), Some(LONG - 2));
    assert_eq!(first_only(true), Some(0));
}

/// The same where that instance records the only version in the store, and another one reads the record.
#[test]
fn no_stream_changes_its_version_that_left_before_the_instance_that_records_started() {
    let mut world = World::new(None);
    let left = [
        Action::List(1, false),
        Action::Follow(0),
        Action::Send(0, 2),
        Action::Unlist(2),
        Action::Start(1),
        Action::Follow(1),
        Action::Tick,
        Action::Event(0),
    ];
    let followed = [Action::Watch(1); 7];
    let resumed = [
        Action::Record(1),
        Action::Start(2),
        Action::Follow(2),
        Action::Prove(2),
        Action::Vouch(2),
        Action::Resume(0, 2, 0),
        Action::Follow(2),
    ];
    for action in left.into_iter().chain(followed).chain(resumed) {
        world.apply(action);
    }
    if let Some(violation) = world.violation() {
        panic!("{violation}");
    }
}

#[test]
fn no_stream_changes_its_version_when_replicas_restart() {
    let counts = hold(&Scope::RESTARTS);
    assert!(counts.asked > 0 && counts.only > 0, "{counts:?}");
}

#[test]
fn no_stream_changes_its_version_when_the_store_loses_history() {
    let counts = hold(&Scope::HISTORY);
    assert!(counts.asked > 0 && counts.began > 0, "{counts:?}");
}

#[test]
fn no_stream_changes_its_version_in_random_walks() {
    let number = |name| env::var(name).ok().map(|number| number.parse().unwrap());
    let seeds = match number("BEGIN_MODEL_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("BEGIN_MODEL_SEEDS").unwrap_or(SEEDS),
    };
    let is_single = seeds.clone().count() == 1;
    let mut total = Counts::default();
    for seed in seeds {
        match explore::walk(seed, WALK, None) {
            Ok(counts) => total.add(counts),
            Err(violation) => panic!("BEGIN_MODEL_SEED={seed}\n{violation}"),
        }
    }
    println!("{total:?}");
    let is_each_seen = total.began > 0 && total.only > 0 && total.unknown > 0;
    let is_only_common = total.only * MAX_ASKED_PER_ONLY >= total.asked;
    assert!(is_single || (is_each_seen && is_only_common), "{total:?}");
}

/// The model finds what it guards against.
#[test]
fn a_list_that_is_older_than_the_question_is_found() {
    let violation = explore::all(&Scope::READINGS, Some(Fault::ListOfAnyAge)).unwrap_err();
    println!("{violation}");
}

#[test]
fn a_send_without_an_event_that_counts_as_a_begin_is_found() {
    let violation = explore::all(&Scope::SENDS, Some(Fault::SendsCount)).unwrap_err();
    println!("{violation}");
}

#[test]
fn a_list_that_counts_as_read_when_its_answer_arrives_is_found() {
    let violation = explore::all(&Scope::READINGS, Some(Fault::ReadAtArrival)).unwrap_err();
    println!("{violation}");
}

/// One version serves all along, the store answers, and the lists are followed: whoever is asked serves.
#[test]
fn every_stream_of_the_only_version_is_resumed() {
    let mut world = World::new(None);
    for round in 0..40 {
        for instance in 0..3 {
            world.apply(Action::Follow(instance));
        }
        if round % 5 == 1 {
            world.apply(Action::List(0, round % 2 == 1));
        }
        if round % 10 == 8 {
            world.apply(Action::Unlist(1));
        }
        world.apply(Action::Send(round % 3, 0));
        world.apply(Action::Event(world.newest_stream()));
        world.apply(Action::Resume(world.newest_stream(), (round + 1) % 3, 0));
        world.apply(Action::Follow((round + 1) % 3));
        world.apply(Action::Tick);
    }
    let counts = world.counts();
    assert_eq!((counts.unknown, counts.began + counts.only), (0, 40));
    assert!(counts.only > 0);
}
