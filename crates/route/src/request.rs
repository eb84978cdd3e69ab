//! One request inside a cell, from ticket to end.

use std::time::Duration;

use ident::Time;

use crate::policy::Criteria;
use crate::server::ReplicaKey;
use crate::ticket::Ticket;
use crate::verdict::Verdict;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// In the queue.
    Waiting,
    /// Given to a prefill replica.
    Prefill,
    /// Its prefill result waits for a decode replica.
    Kept,
    /// Its KV cache is on its way to the decode replica.
    Import,
    /// Generating tokens.
    Decode,
    /// A plain call in progress.
    Plain,
}

/// One request.
#[derive(Debug)]
pub struct Request {
    /// As submitted.
    pub ticket: Ticket,
    /// Arrival at the owner.
    pub arrived: Time,
    /// Its place in the order of its row.
    pub order: Time,
    /// When its target for the first token ends.
    pub due: Time,
    /// Whether it waits among those that cannot meet their target.
    pub late: bool,
    /// When its longest wait ends.
    pub expiry: Time,
    /// Shortest time to its first token on an idle cell.
    pub min_ttft: Duration,
    /// How strongly wasted prefill weighs against goodput, from 0 to 1.
    pub waste_weight: f64,
    /// How far it has come.
    pub state: State,
    /// When it came there.
    pub since: Time,
    /// The replica that runs the prefill (plain: the call).
    pub prefill: Option<ReplicaKey>,
    /// The decode replica on which a slot is claimed.
    pub decode: Option<ReplicaKey>,
    /// The largest batch in which it meets its target for the time between tokens.
    pub max_batch: u32,
    /// The decode replica's batch over time when it joined, in request seconds.
    pub batch_integral: f64,
    /// When it is known to end; absent where lengths are not known.
    pub end: Option<Time>,
    /// Tokens that it generated, once it has ended.
    pub tokens: u32,
    /// The last verdict.
    pub verdict: Option<Verdict>,
}

impl Request {
    /// What a policy sees of the request.
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
