//! Selects runs to move before the memory of their replica is full.
//!
//! A replica that runs out of memory preempts its newest run and prefills it again later: thousands
//! of tokens are computed twice, and the caller waits in the middle of the answer. Copying the
//! run's KV cache to another replica takes some milliseconds. So the daemon of that run moves it,
//! if another replica has room; claims show each daemon whose run is the newest.

pub mod slow;

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
/// check every 50 ms with claims that are up to 200 ms old.
const LOOKAHEAD_S: f64 = 0.3;
/// Fraction of the memory from which runs are moved. Below 1 because blocks are partly filled and
/// claims are rounded.
const FULL_SHARE: f64 = 0.97;
/// Margin for which the target must have room, in standard deviations.
const SPREADS: f64 = 0.5;
/// Fraction of the target's memory to leave free; moving a run twice gains nothing.
const SPARE: f64 = 0.05;

/// A run to be moved to another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// The run.
    pub run: RunId,
    /// The target replica.
    pub to: Key,
}

/// Returns the moves that are due, at most one per replica that is nearly full. `choose` returns a
/// replica with room other than the given one.
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
        .filter(|key| is_nearly_full(now, pool, *key) && runs.may_move_from(now, *key));
    let mut moves = Vec::new();
    for key in ending {
        let Some(run) = newest_movable(now, pool, runs, claims, key) else {
            continue;
        };
        let demand = MemoryDemand {
            curve: runs.curve(now, run),
            spreads: SPREADS,
            spare: SPARE,
        };
        moves.extend(choose(run, key, demand).map(|to| Move { run, to }));
    }
    moves
}

/// Whether the memory of `key` will be full within [`LOOKAHEAD_S`].
fn is_nearly_full(now: Time, pool: &Pool, key: Key) -> bool {
    let Some(server) = pool.get(key) else {
        return false;
    };
    let Some(memory) = pool.memory(&server.replica.service) else {
        return false;
    };
    let used =
        server.forecast.peak_within(LOOKAHEAD_S, 0.0) + admission::unreported_tokens(now, server);
    used > memory as f64 * FULL_SHARE
}

/// The newest run at `key`, if it belongs to this daemon and can be moved.
fn newest_movable(now: Time, pool: &Pool, runs: &Runs, claims: &Claims, key: Key) -> Option<RunId> {
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
