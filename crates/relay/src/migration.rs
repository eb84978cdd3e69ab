//! Which run goes on elsewhere before the memory of its replica ends.
//!
//! A replica whose memory ends sets its newest run aside and reads it again later: thousands of tokens
//! are read twice, and the caller waits in the middle of the answer. A copy of the run's memory to
//! another replica takes some milliseconds. So the daemon whose run would be set aside moves it, if
//! another replica has room; daemons know from each other's claims whose run is the newest.

use std::collections::BTreeSet;

use ident::Time;

use crate::admission;
use crate::admission::MemoryDemand;
use crate::claims::Claims;
use crate::pool::Pool;
use crate::runs::RunId;
use crate::runs::Runs;
use crate::server::Key;

/// How far ahead the memory has to suffice, in seconds: a move takes some milliseconds, and daemons
/// look every 50 ms with claims that are up to 200 ms old.
const AHEAD: f64 = 0.3;
/// Part of the memory from which on runs are moved: blocks are partly filled, and claims rounded.
const FULL: f64 = 0.97;
/// Standard deviations for which the other replica has to have room.
const SPREADS: f64 = 0.5;
/// Part of the memory of the other replica that stays free; a run that is moved twice gains nothing.
const SPARE: f64 = 0.05;

/// A run that is to go on at another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// The run.
    pub run: RunId,
    /// Where it is to go.
    pub to: Key,
}

/// The moves that are due, one for each replica whose memory ends; `choose` finds a replica with room
/// other than the one named.
pub fn due_moves(
    now: Time,
    pool: &Pool,
    runs: &Runs,
    claims: &Claims,
    mut choose: impl FnMut(RunId, Key, MemoryDemand) -> Option<Key>,
) -> Vec<Move> {
    let servers: BTreeSet<Key> = runs.iter().map(|(_, entry)| entry.server).collect();
    let ending = servers
        .into_iter()
        .filter(|key| is_ending(now, pool, *key) && runs.may_move_from(now, *key));
    let mut moves = Vec::new();
    for key in ending {
        let Some(run) = newest(now, pool, runs, claims, key) else {
            continue;
        };
        let ask = MemoryDemand {
            curve: runs.curve(now, run),
            spreads: SPREADS,
            spare: SPARE,
        };
        moves.extend(choose(run, key, ask).map(|to| Move { run, to }));
    }
    moves
}

/// Whether the memory of `key` ends in a moment.
fn is_ending(now: Time, pool: &Pool, key: Key) -> bool {
    let Some(server) = pool.get(key) else {
        return false;
    };
    let Some(memory) = pool.memory(&server.replica.service) else {
        return false;
    };
    let used = server.forecast.peak_within(AHEAD, 0.0) + admission::unknown(now, server);
    used > memory as f64 * FULL
}

/// The newest run at `key`, if it is one of this daemon's and can be moved.
fn newest(now: Time, pool: &Pool, runs: &Runs, claims: &Claims, key: Key) -> Option<RunId> {
    let here = runs.iter().filter(|(_, entry)| entry.server == key);
    let movable = here.filter(|(_, entry)| entry.is_movable(now));
    let (id, entry) = movable.max_by_key(|(_, entry)| entry.started())?;
    let age = now.since(entry.started()?);
    let server = pool.get(key)?;
    let others = claims.peer_usage(now, server.hash);
    others
        .newest
        .is_none_or(|newest| age <= newest)
        .then_some(id)
}
