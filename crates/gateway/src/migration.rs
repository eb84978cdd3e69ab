//! Migrates the KV cache of a run to another replica.
//!
//! An order without an answer may be carried out later, and a stopped run can only be continued with
//! the handle of its KV cache. So the cache is copied first, which disturbs nothing and names the
//! handle; the run is stopped after that.

use std::net::SocketAddr;
use std::rc::Rc;

use http::Method;
use http::StatusCode;
use platform::engine;
use platform::engine::MovedCache;
use platform::engine::Phase;
use relay::replica::Replica;
use relay::server::Key;

use crate::control;
use crate::control::Call;
use crate::shared::Shared;

/// Attempts to stop a run.
const MAX_TRIES: usize = 2;

/// A run that stopped to continue elsewhere.
#[derive(Debug)]
pub struct StoppedRun {
    /// The replica where it ran.
    pub from: Key,
    /// Address of that replica.
    pub address: SocketAddr,
    /// Handle of its KV cache there.
    pub handle: String,
    /// Where it can continue: the other replica if that one has a copy, and the original one.
    pub candidates: Vec<Key>,
}

/// Result of an order to stop a run whose KV cache was copied.
#[derive(Debug)]
pub enum Outcome {
    /// The run stopped.
    Stopped(StoppedRun),
    /// The run continues where it is.
    Unchanged(&'static str),
    /// The run may have stopped, or may stop later; if so, it continues like this.
    Unknown(StoppedRun, String),
}

/// A run whose KV cache was copied to another replica. It goes on meanwhile.
#[derive(Debug)]
pub struct CopiedRun {
    source: Replica,
    target: Replica,
    to: Key,
    stopped: StoppedRun,
}

/// Copies the KV cache of the run of `request` at `from` to `to`.
///
/// # Errors
/// Why there is no copy.
pub async fn copy(
    shared: &Shared,
    request: &str,
    from: Key,
    to: Key,
) -> Result<CopiedRun, &'static str> {
    let (source, target) = replicas(shared, from, to).ok_or("a replica is no longer listed")?;
    if shared.backs_off(from) {
        return Err("the replica asked for no requests");
    }
    if let Some(cause) = shared.withheld_cause(to) {
        return Err(cause);
    }
    let call = move_call(request, from, &source, &target, Phase::Copy);
    let answer = control::call(shared, call).await;
    let answer = answer.map_err(|_| "the replica did not answer")?;
    match answer.status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err("the replica does not run the request"),
        StatusCode::SERVICE_UNAVAILABLE => return Err("the other replica has no room"),
        _ => return Err("the replica refused the migration"),
    }
    let moved = MovedCache::read(&answer.body).map_err(|_| "the answer has no handle")?;
    let stopped = StoppedRun {
        from,
        address: source.address,
        handle: moved.handle,
        candidates: vec![to, from],
    };
    Ok(CopiedRun {
        source,
        target,
        to,
        stopped,
    })
}

/// Stops the run of `request`, which was `copied`. Frees the copy if the run certainly goes on. It may
/// stop in any case if an `earlier` order got no answer.
pub async fn stop(
    shared: &Rc<Shared>,
    request: &str,
    copied: CopiedRun,
    earlier: Option<String>,
) -> Outcome {
    let CopiedRun {
        source,
        target,
        to,
        mut stopped,
    } = copied;
    let answered = match shared.withheld_cause(to) {
        Some(cause) => Err(earlier.map_or(Unstopped::Unchanged(cause), Unstopped::Unknown)),
        None => order_stop(shared, request, stopped.from, &source, &target, earlier).await,
    };
    match answered {
        Ok(answer) => {
            if !answer.is_copied {
                // The other replica has no room for the rest.
                stopped.candidates = vec![stopped.from];
            }
            stopped.handle = answer.handle.unwrap_or(stopped.handle);
            Outcome::Stopped(stopped)
        }
        Err(Unstopped::Unknown(cause)) => Outcome::Unknown(stopped, cause),
        Err(Unstopped::Unchanged(cause)) => {
            free_cache(shared, &stopped);
            Outcome::Unchanged(cause)
        }
    }
}

/// How a replica stopped a run.
struct StopAnswer {
    /// Whether the other replica has the whole KV cache.
    is_copied: bool,
    /// Handle of the KV cache, if the answer names it.
    handle: Option<String>,
}

/// Why a run has not stopped.
enum Unstopped {
    /// It goes on.
    Unchanged(&'static str),
    /// It may have stopped, or may stop later.
    Unknown(String),
}

async fn order_stop(
    shared: &Shared,
    request: &str,
    from: Key,
    source: &Replica,
    target: &Replica,
    earlier: Option<String>,
) -> Result<StopAnswer, Unstopped> {
    let mut uncertain = earlier;
    for _ in 0..MAX_TRIES {
        let call = move_call(request, from, source, target, Phase::Stop);
        let answer = match control::call(shared, call).await {
            Ok(answer) => answer,
            Err(error) => {
                // A later attempt does not undo what this one may have done.
                uncertain = uncertain.or_else(|| error.is_uncertain().then(|| error.to_string()));
                continue;
            }
        };
        let handle = MovedCache::read(&answer.body)
            .ok()
            .map(|moved| moved.handle);
        let is_copied = answer.status == StatusCode::OK;
        return match (answer.status, uncertain) {
            (StatusCode::OK, _) => Ok(StopAnswer { is_copied, handle }),
            (StatusCode::SERVICE_UNAVAILABLE, _) if handle.is_some() => {
                Ok(StopAnswer { is_copied, handle })
            }
            (StatusCode::SERVICE_UNAVAILABLE, _) => {
                Err(Unstopped::Unknown("the answer has no handle".to_owned()))
            }
            // The unanswered attempt may have stopped the run.
            (_, Some(cause)) => Err(Unstopped::Unknown(cause)),
            (StatusCode::NOT_FOUND, None) => {
                Err(Unstopped::Unchanged("the replica does not run the request"))
            }
            _ => Err(Unstopped::Unchanged("the replica refused the migration")),
        };
    }
    Err(uncertain.map_or(
        Unstopped::Unchanged("the replica cannot be reached"),
        Unstopped::Unknown,
    ))
}

fn move_call(request: &str, from: Key, source: &Replica, target: &Replica, phase: Phase) -> Call {
    Call {
        key: from,
        to: source.address,
        replica: source.id.clone(),
        method: Method::POST,
        path: engine::MOVE_PATH.to_owned(),
        body: engine::move_body(request, target.address, phase),
    }
}

fn replicas(shared: &Shared, from: Key, to: Key) -> Option<(Replica, Replica)> {
    let pool = shared.pool.borrow();
    let source = pool.get(from)?.replica.clone();
    let target = pool.get(to)?.replica.clone();
    Some((source, target))
}

/// Frees the KV cache of a run that does not continue from it, at both replicas.
pub fn free_cache(shared: &Rc<Shared>, stopped: &StoppedRun) {
    let source = shared.pool.borrow().get(stopped.from).cloned();
    let Some(source) = source else { return };
    let call = Call {
        key: stopped.from,
        to: source.replica.address,
        replica: source.replica.id,
        method: Method::DELETE,
        path: engine::free_path(&stopped.handle),
        body: Vec::new(),
    };
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        if let Err(cause) = control::call(&shared, call).await {
            log::info!(kind = "move", cause = cause.to_string(); "the KV cache of a run could not be freed; it will expire");
        }
    });
}
