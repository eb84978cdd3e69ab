//! Checks that all daemons together respect the rate limits of replicas.

use std::time::Duration;
use std::time::Instant;

use crate::CALLERS;
use crate::common::replica::Action;
use crate::script;

/// Rate limit of each limited replica, in requests per second.
const RATE: f64 = 1.0;
/// Time in which a daemon has to learn of a limit after the first request to the replica or after a disturbance.
pub const GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor by which the requests in a window may exceed the limit.
const TOLERANCE_FACTOR: f64 = 1.5;
/// Number of requests tolerated in a window in addition to `TOLERANCE_FACTOR`.
const TOLERANCE_REQUESTS: f64 = 5.0;

/// Adds the limit header to the answer of `action`.
pub fn add_limit_header(action: Action) -> Action {
    script::add_header(action, &format!("server-limit: {RATE}"))
}

/// A request that arrived at a limited replica.
#[derive(Debug)]
pub struct Arrival {
    /// Id of the request.
    pub request: String,
    /// The daemon that sent it; `None` if no daemon of this run did.
    pub daemon: Option<usize>,
    /// When it arrived.
    pub at: Instant,
}

/// Returns a message if more requests than tolerated arrived at the limited `replica` in any window. `disturbances` holds
/// the disturbance times of each daemon. Each daemon with a disturbance during the window, or less than `GRACE_PERIOD`
/// before it, raises the bound by `CALLERS`, since it may send that many requests before it learns of the limit.
pub fn excess(
    replica: &str,
    arrivals: &[Arrival],
    disturbances: &[Vec<Instant>],
) -> Option<String> {
    let first = arrivals.first()?.at;
    let checked_from = first + GRACE_PERIOD;
    let starts = arrivals.iter().map(|arrival| arrival.at);
    let windows = starts.filter(|start| *start >= checked_from);
    let excess = windows.filter_map(|start| {
        let in_window = |at: Instant| at >= start && at < start + WINDOW;
        let arrived = arrivals.iter().filter(|arrival| in_window(arrival.at));
        let arrived: Vec<_> = arrived.collect();
        let affects_window =
            |time: &Instant| *time + GRACE_PERIOD > start && *time < start + WINDOW;
        let is_disturbed = |daemon: &&Vec<Instant>| daemon.iter().any(affects_window);
        let excused = disturbances.iter().filter(is_disturbed).count() * CALLERS as usize;
        let allowed = RATE * WINDOW.as_secs_f64() * TOLERANCE_FACTOR + TOLERANCE_REQUESTS;
        let allowed = allowed as usize + excused;
        (arrived.len() > allowed).then_some((arrived, allowed))
    });
    let (arrived, allowed) = excess.max_by_key(|(arrived, _)| arrived.len())?;
    let senders = arrived.iter().map(|arrival| {
        let ms = (arrival.at - first).as_millis();
        (arrival.request.as_str(), arrival.daemon, ms)
    });
    let senders: Vec<_> = senders.collect();
    Some(format!(
        "LIMIT: {replica} got {} requests in a window that allows {allowed}, by request, daemon and ms after the first: {senders:?}",
        senders.len()
    ))
}
