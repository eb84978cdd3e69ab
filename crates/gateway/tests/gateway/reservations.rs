//! Reservations that replicas answer late or not at all.

use std::time::Duration;

use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::store;
use crate::part_site::serve_whole;
use crate::site::Site;
use crate::site::start_generation;
use crate::site::unanswered_replicas;

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

/// Guards against refusals whose log does not name the replicas that did not answer.
#[test]
fn an_unanswered_reservation_is_logged_with_its_replica() {
    let silent = Replica::start("i-1", serve_whole);
    silent.set_call_floods(|call| {
        (call.path() == "/api/hold-take").then_some(Action::SendAndHang(Vec::new()))
    });
    let prefill = Replica::start_prefill("i-p");
    let site = Site::start_with_prefill("silent-reservations", &prefill, &[&silent]);
    let answer = start_generation(&site.daemon, "/draft/1", "g0").read();
    assert_eq!(answer.status(), 503);
    let unanswered = unanswered_replicas(&site.daemon, "g0");
    assert!(unanswered.contains(&silent.id), "{unanswered:?}");
}
