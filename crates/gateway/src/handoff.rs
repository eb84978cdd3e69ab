//! Hands requests to peers while this daemon cannot connect to the replicas of their service.
//!
//! A peer is asked first whether it takes a request, and gets the request only then: until it has
//! agreed, nothing can have run. It serves the request like one of its own callers, except that it
//! does not hand it on, and that this daemon has found the route, checked the API key and charged
//! the quota. Each request is one `h2` stream; its end without an error marks a complete answer.

pub mod client;
pub mod forward;
pub mod message;
pub mod peers;
pub mod server;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::timeout_at;
use http::Response;
use relay::attempt::Attempt;
use relay::permit::Work;

use crate::body::Body;
use crate::ending;
use crate::handoff::client::Answered;
use crate::handoff::client::Offer;
use crate::handoff::message::DEADLINE_MARGIN;
use crate::handoff::peers::Decline;
use crate::job::Job;
use crate::memory::Charge;
use crate::responses;
use crate::shared::Shared;

/// Peers asked for one request at most.
const MAX_PEERS: usize = 6;
/// `Retry-After` if no peer reaches the replicas either; about the time between two probes.
const RETRY_AFTER: Duration = Duration::from_millis(800);

/// What came of offering a request to peers.
#[derive(Debug)]
pub enum Taken {
    /// The peer with this address answers it.
    Answered(SocketAddr, Answered),
    /// The peer that took it was lost; it may have run.
    Lost,
    /// The peer that took it did not answer in time; it may have run.
    Overdue,
    /// No peer took it; it has not run there.
    Untaken {
        /// Whether peers were asked and none of them reaches the replicas.
        is_hopeless: bool,
    },
}

/// A request that no peer took.
#[derive(Debug)]
pub struct Untaken {
    /// The request, which has not run at a peer.
    pub job: Box<Job>,
    /// Whether peers were asked and none of them reaches the replicas.
    pub is_hopeless: bool,
}

/// Whether `job` has to be handed to a peer instead of being sent to a replica.
pub fn applies(shared: &Shared, job: &Job) -> bool {
    job.origin.is_none() && shared.is_unreachable(&job.service)
}

/// Whether `job`, for which `attempt` found no replica, may be handed to a peer: no connection to a
/// replica could be opened, and it may run.
pub fn may_follow(shared: &Shared, job: &Job, attempt: &Attempt) -> bool {
    let missed = job.missed_replica.get() || shared.is_unreachable(&job.service);
    missed
        && job.origin.is_none()
        && attempt.may_run_again()
        && shared.ensure_permit(job, Work::Run)
}

/// Refuses `job`, whose service neither this daemon nor a peer reaches.
pub fn refuse(shared: &Shared, job: &mut Job) -> Response<Body> {
    ending::refuse(shared, job, RETRY_AFTER, "no instance reaches a replica")
}

/// Has a peer serve `job` after `attempt`.
///
/// # Errors
/// The request, if no peer took it.
pub async fn serve(
    shared: &Rc<Shared>,
    job: Job,
    attempt: &Attempt,
) -> Result<Response<Body>, Untaken> {
    let mut job = job;
    match offer(shared, &job, attempt.runs_left(), None).await {
        // The peer does not know that the request may have run before.
        Taken::Answered(_, answered) if answered.answer.is_refused && attempt.may_have_run() => {
            let cause = "the replica was lost";
            Ok(ending::finish(
                &mut job,
                "unknown",
                responses::unknown,
                cause,
            ))
        }
        Taken::Answered(peer, answered) => Ok(forward::start(shared, job, peer, answered).await),
        Taken::Lost => {
            let cause = "the peer that served it was lost";
            Ok(ending::finish(
                &mut job,
                "unknown",
                responses::unknown,
                cause,
            ))
        }
        Taken::Overdue => {
            let cause = "no answer of a peer in time";
            Ok(ending::finish(
                &mut job,
                "overdue",
                responses::overdue,
                cause,
            ))
        }
        Taken::Untaken { is_hopeless } => Err(Untaken {
            job: Box::new(job),
            is_hopeless,
        }),
    }
}

/// Offers `job` to one peer after another until one answers it. It may run at `runs` replicas; its
/// stream continues after `last_event`, if that is given.
pub async fn offer(shared: &Rc<Shared>, job: &Job, runs: u32, last_event: Option<u64>) -> Taken {
    let mut tried = Vec::new();
    let mut unreachable = 0;
    while tried.len() < MAX_PEERS {
        let Some(peer) = shared.choose_peer(job, &tried) else {
            break;
        };
        tried.push(peer);
        let declined = match client::offer(shared, peer, &job.service).await {
            Offer::Declined(decline) => decline,
            Offer::Accepted(offered) => {
                let Some(permit) = job.take_permit(Work::Run) else {
                    break;
                };
                let message = offered.message(job, runs, last_event);
                // The message has a copy of the body.
                let copy = Charge::new(&shared.memory.requests);
                copy.grow(job.body.len());
                match exchange(shared, job, peer, offered.send(&message, &job.body)).await {
                    Taken::Untaken { .. } => {
                        job.permits.borrow_mut().put(Work::Run, permit);
                        Decline::Unreachable
                    }
                    taken => return taken,
                }
            }
        };
        unreachable += usize::from(declined == Decline::Unreachable);
        shared.note_declined(peer, &job.service, declined);
    }
    shared.metrics.handoff("untaken");
    log::info!(kind = "handoff", request = job.call.id, service = job.service, asked = tried.len() as u64, unreachable = unreachable as u64; "no peer took a request");
    let all_declined = !tried.is_empty() && unreachable == tried.len();
    Taken::Untaken {
        is_hopeless: all_declined || shared.is_hopeless(job),
    }
}

/// Waits for the answer of `peer`, which has agreed to take `job`. `Untaken` if the peer found out
/// that it does not reach the replicas either.
async fn exchange(
    shared: &Rc<Shared>,
    job: &Job,
    peer: SocketAddr,
    sent: impl Future<Output = io::Result<Answered>>,
) -> Taken {
    let charge_before = job.charge.as_ref().map(|charge| charge.set_ran(true));
    let answered = timeout_at(job.deadline + DEADLINE_MARGIN, sent).await;
    let is_refused = matches!(&answered, Ok(Ok(answered)) if answered.answer.is_refused);
    if let (true, Some(charge), Some(before)) = (is_refused, &job.charge, charge_before) {
        charge.set_ran(before);
    }
    match answered {
        Ok(Ok(answered)) if answered.answer.is_unreachable => Taken::Untaken { is_hopeless: true },
        Ok(Ok(answered)) => {
            shared.note_taken(peer, job);
            Taken::Answered(peer, answered)
        }
        Ok(Err(error)) => {
            shared.note_lost_peer(peer, job, &error.to_string());
            Taken::Lost
        }
        Err(elapsed) => {
            shared.note_lost_peer(peer, job, &elapsed.to_string());
            Taken::Overdue
        }
    }
}
