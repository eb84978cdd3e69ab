//! Moving the memory of a run to another replica.

use std::net::SocketAddr;
use std::rc::Rc;

use http::Method;
use http::StatusCode;
use platform::engine;
use platform::engine::MovedCache;
use relay::replica::Replica;
use relay::server::Key;

use crate::ask;
use crate::ask::Answer;
use crate::ask::Call;
use crate::shared::Shared;

/// Times that a move is asked for; one whose answer was lost may have been carried out, and then
/// tells the name of the memory when it is asked for again.
const TRIES: usize = 2;

/// A run that stopped so that it can go on elsewhere.
#[derive(Debug)]
pub struct Stopped {
    /// Where it was.
    pub from: Key,
    /// Address of that replica.
    pub address: SocketAddr,
    /// Name of its memory there.
    pub handle: String,
    /// Where it can go on: the other replica if it has a copy, and the one where it was.
    pub places: Vec<Key>,
}

/// How a move ended.
#[derive(Debug)]
pub enum Outcome {
    /// The run stopped.
    Stopped(Stopped),
    /// It goes on where it is.
    Unchanged(&'static str),
    /// Whether it stopped is not known.
    Unknown(String),
}

/// Stops the run of `request` at `from` and copies its memory to `to`.
pub async fn stop(shared: &Shared, request: &str, from: Key, to: Key) -> Outcome {
    let Some((source, target)) = replicas(shared, from, to) else {
        return Outcome::Unchanged("a replica is gone");
    };
    let mut lost = None;
    for _ in 0..TRIES {
        let call = Call {
            to: source.address,
            replica: source.id.clone(),
            method: Method::POST,
            path: engine::MOVE_PATH.to_owned(),
            body: engine::move_body(request, target.address),
        };
        let outcome = match ask::call(shared, call).await {
            Ok(answer) => read_answer(&answer, from, source.address, to),
            Err(error) => {
                // Another question does not undo what this one may have done.
                lost = lost.or_else(|| error.is_uncertain().then(|| error.to_string()));
                continue;
            }
        };
        return match (outcome, lost) {
            // The question that has no answer may have stopped the run.
            (Outcome::Unchanged(_), Some(cause)) => Outcome::Unknown(cause),
            (outcome, _) => outcome,
        };
    }
    lost.map_or(
        Outcome::Unchanged("the replica cannot be reached"),
        Outcome::Unknown,
    )
}

/// What the answer of the replica behind `from`, which is at `address`, says.
fn read_answer(answer: &Answer, from: Key, address: SocketAddr, to: Key) -> Outcome {
    let places = match answer.status {
        StatusCode::OK => vec![to, from],
        StatusCode::NOT_FOUND => return Outcome::Unchanged("the replica does not run it"),
        _ => vec![from],
    };
    match MovedCache::read(&answer.body) {
        Ok(moved) => Outcome::Stopped(Stopped {
            from,
            address,
            handle: moved.handle,
            places,
        }),
        // 200 and 503, which is no room at the other replica, both mean that the run stopped.
        Err(_)
            if matches!(
                answer.status,
                StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE
            ) =>
        {
            Outcome::Unknown("no handle".to_owned())
        }
        Err(_) => Outcome::Unchanged("the replica does not move it"),
    }
}

fn replicas(shared: &Shared, from: Key, to: Key) -> Option<(Replica, Replica)> {
    let pool = shared.pool.borrow();
    let source = pool.get(from)?.replica.clone();
    let target = pool.get(to)?.replica.clone();
    Some((source, target))
}

/// Frees memory that nobody goes on from.
pub fn free(shared: &Rc<Shared>, stopped: &Stopped) {
    let source = shared.pool.borrow().get(stopped.from).cloned();
    let Some(source) = source else { return };
    let call = Call {
        to: source.replica.address,
        replica: source.replica.id,
        method: Method::DELETE,
        path: engine::free_path(&stopped.handle),
        body: Vec::new(),
    };
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        if let Err(cause) = ask::call(&shared, call).await {
            log::info!(kind = "move", cause = cause.to_string(); "the memory of a run could not be freed; it lapses");
        }
    });
}
