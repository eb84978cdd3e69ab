//! One request in the scheduler, from ticket to end.

use std::time::Duration;

use ident::Time;

use crate::policy::Criteria;
use crate::server::ReplicaKey;
use crate::ticket::Ticket;
use crate::verdict::Verdict;

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// In the queue.
    Waiting,
    /// Assigned to a prefill replica.
    Prefill,
    /// Its prefill result waits for a decode replica.
    Kept,
    /// Its KV cache is being transferred to the decode replica.
    Import,
    /// Generating tokens.
    Decode,
    /// A plain call in progress.
    Plain,
}

/// A request with its deadlines and what it occupies.
#[derive(Debug)]
pub struct Request {
    /// The ticket as submitted.
    pub ticket: Ticket,
    /// When it arrived at its owner.
    pub arrived: Time,
    /// Its sort key within its row.
    pub order: Time,
    /// When its target for the time to the first token ends.
    pub due: Time,
    /// Whether it waits in the late tier, which cannot meet the target.
    pub late: bool,
    /// When its maximum wait ends.
    pub expiry: Time,
    /// Shortest time to its first token in an idle pool.
    pub min_ttft: Duration,
    /// Weight of wasted prefill against goodput, from 0 to 1.
    pub waste_weight: f64,
    /// Its state.
    pub state: State,
    /// When it entered that state.
    pub since: Time,
    /// The replica that runs the prefill (plain: the call).
    pub prefill: Option<ReplicaKey>,
    /// The decode replica on which a slot is claimed.
    pub decode: Option<ReplicaKey>,
    /// The largest batch in which its target for the time between tokens is met.
    pub max_batch: u32,
    /// Integral of the decode replica's batch size over time when it joined, in request seconds.
    pub batch_integral: f64,
    /// When it will end; absent where lengths are not known.
    pub end: Option<Time>,
    /// Tokens generated, set when it ends.
    pub tokens: u32,
    /// The latest verdict.
    pub verdict: Option<Verdict>,
}

impl Request {
    /// The properties that a policy decides on.
    pub fn criteria(&self) -> Criteria<'_> {
        Criteria {
            ticket: &self.ticket,
            due: self.due,
            expiry: self.expiry,
            min_ttft: self.min_ttft,
            source: self.ticket.home,
            max_batch: self.max_batch,
            waste_weight: self.waste_weight,
        }
    }
}
