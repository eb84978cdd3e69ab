//! Reservations that replicas answer late.

use std::time::Duration;

use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::store;
use crate::part_site::serve_whole;
use crate::site::Site;
use crate::site::start_generation;

/// Time after which a replica answers a reservation.
const DELAY: Duration = Duration::from_millis(100);
/// Objective of the generations, of which they wait about a fifth for a replica: less than [`DELAY`] for
/// each of them in turn.
const OBJECTIVE_MS: u64 = 4_000;
/// Generations sent at the same time.
const GENERATIONS: usize = 14;

/// Guards against refusals for want of room because another generation waits for the answer of a replica.
#[test]
fn generations_with_room_are_served_while_replicas_answer_reservations_late() {
    let decode = ["i-1", "i-2", "i-3", "i-4"].map(|id| {
        let replica = Replica::start(id, serve_whole);
        replica.set_call_floods(|call| {
            let held = answer(200, &[], br#"{"hold":"h1"}"#);
            (call.path() == "/api/hold-take").then_some(Action::SendSlowly(vec![held], DELAY))
        });
        replica
    });
    let prefill = Replica::start_prefill("i-p");
    let decode = decode.iter().map(|replica| (replica, "llm", "decode"));
    let replicas: Vec<_> = decode.chain([(&prefill, "llm", "prefill")]).collect();
    let plan = store::config(1, 8_000, OBJECTIVE_MS);
    let site = Site::start_with_plan("late-reservations", &plan, &replicas);
    let callers: Vec<_> = (0..GENERATIONS)
        .map(|number| start_generation(&site.daemon, "/draft/1", &format!("g{number}")))
        .collect();
    let statuses: Vec<u16> = callers
        .into_iter()
        .map(|mut caller| caller.read().status())
        .collect();
    assert_eq!(statuses, [200; GENERATIONS]);
}
