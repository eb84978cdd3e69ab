//! Decisions that the keeper of a pool sends to owners.

use std::fmt;
use std::time::Duration;

use ident::Handle;
use ident::Replica;
use serde::Deserialize;
use serde::Serialize;

/// Why a request was refused. No byte of it reached a replica because of the refused ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The first token cannot arrive before the row's maximum wait ends.
    Doomed,
    /// The row's ceiling excludes all requests.
    Ceiling,
    /// No replica can take the request.
    NoReplica,
    /// The row's retry budget is used up.
    RetryBudget,
    /// The table has no such row.
    UnknownRow,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Doomed => "doomed",
            Self::Ceiling => "ceiling",
            Self::NoReplica => "no_replica",
            Self::RetryBudget => "retry_budget",
            Self::UnknownRow => "unknown_row",
        })
    }
}

/// Where a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Choice {
    /// A model request: the prefill may start, a decode slot is secured.
    ///
    /// After [`crate::phase::Phase::Rejected`] it is sent again with the same `prefill` and another
    /// `decode`.
    Paired {
        /// Runs the prefill.
        prefill: Replica,
        /// Imports the KV cache and decodes.
        decode: Replica,
    },
    /// A plain call.
    Single {
        /// Runs the call.
        replica: Replica,
    },
    /// The request is refused and does not run.
    Refused {
        /// The reason.
        reason: Reason,
        /// Expected time until a new request of this row can be accepted; above zero.
        retry_after: Duration,
    },
}

/// Figures behind a verdict, for the decision log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionDetails {
    /// Number of replicas or pairs compared.
    pub candidates: u32,
    /// Time since the request arrived at its owner.
    pub waited: Duration,
    /// Predicted time from arrival to the first token.
    pub ttft: Duration,
    /// Requests that still wait in the pool.
    pub queued: u32,
    /// Prefix blocks expected in the cache of the chosen prefill replica.
    pub cached_blocks: u32,
}

/// The answer to one ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The attempt that this verdict answers.
    pub handle: Handle,
    /// The decision.
    pub choice: Choice,
    /// The figures behind the choice.
    pub why: DecisionDetails,
}
