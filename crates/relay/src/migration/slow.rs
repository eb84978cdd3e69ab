//! Selects runs to move away from replicas that have turned slow.
//!
//! The speed of a replica changes for seconds while others use its machine. A run that was placed
//! there before would end after its caller's deadline, or pause longer than the route allows.

use std::collections::BTreeSet;
use std::time::Duration;

use ident::Time;

use crate::admission::MemoryDemand;
use crate::answer::Answer;
use crate::migration::Move;
use crate::migration::SPARE;
use crate::migration::SPREADS;
use crate::pool::Pool;
use crate::runs::RunId;
use crate::runs::Runs;
use crate::server::Key;

/// How much faster another replica must be; a smaller difference may be gone after the move.
const MIN_SPEEDUP: f64 = 2.0;
/// Probability above which an answer counts as one that does not end in time.
const PROBABLE: f64 = 0.5;
/// Shortest rest of an answer that is moved; a shorter one ends while it is moved.
const MIN_REST: Duration = Duration::from_millis(500);

/// Returns the moves that are due, at most one per slow replica and one per target. `may_order` tells
/// whether another move may be ordered for a service besides as many as given. `choose` returns a
/// replica with room other than the given one that is fast enough for the answer.
pub fn due_moves(
    now: Time,
    pool: &Pool,
    runs: &Runs,
    may_order: impl Fn(&str, usize) -> bool,
    mut choose: impl FnMut(RunId, Key, MemoryDemand, &Answer) -> Option<Key>,
) -> Vec<Move> {
    let servers: BTreeSet<Key> = runs.iter().map(|(_, entry)| entry.server).collect();
    let mut moves: Vec<Move> = Vec::new();
    let service_of = |run: RunId| runs.get(run).map(|entry| entry.service.as_str());
    for from in servers {
        if !runs.may_leave_slow(now, from) {
            continue;
        }
        let Some((run, answer)) = late_run(now, pool, runs, from) else {
            continue;
        };
        let service = service_of(run);
        let ordered = moves.iter().filter(|due| service_of(due.run) == service);
        if !service.is_some_and(|service| may_order(service, ordered.count())) {
            continue;
        }
        let demand = MemoryDemand {
            curve: runs.curve(now, run),
            spreads: SPREADS,
            spare: SPARE,
        };
        let to = choose(run, from, demand, &answer);
        let free = to.filter(|to| moves.iter().all(|other| other.to != *to));
        moves.extend(free.map(|to| Move { run, to }));
    }
    moves
}

/// The movable run at `from` that will probably be late and has the most time left, and its answer
/// for replicas that are fast enough.
fn late_run(now: Time, pool: &Pool, runs: &Runs, from: Key) -> Option<(RunId, Answer)> {
    let known = pool.token_pace(now, from);
    let here = runs.iter().filter(|(_, entry)| entry.server == from);
    let movable = here.filter(|(_, entry)| entry.may_leave_slow(now));
    let late = movable.filter_map(|(run, entry)| {
        let pace = entry.recent_pace(now).or(known)?;
        let answer = runs.answer_of(now, run)?;
        is_late(&answer, pace).then_some((run, pace, answer))
    });
    let (run, pace, answer) =
        late.max_by(|(.., left), (.., right)| left.time_left().cmp(&right.time_left()))?;
    Some((run, answer.with_max_pace(pace / MIN_SPEEDUP)))
}

/// Whether `answer` is probably late at a replica that takes `token_pace` seconds for a token, and
/// long enough to be moved.
fn is_late(answer: &Answer, token_pace: f64) -> bool {
    let has_rest =
        answer.time_left() > MIN_REST && answer.share_longer_than(token_pace, MIN_REST) > PROBABLE;
    has_rest && answer.share_late(token_pace) > PROBABLE
}
