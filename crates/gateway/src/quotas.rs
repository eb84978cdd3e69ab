//! State of customers' quotas, and the messages about them between daemons.

use std::collections::HashMap;
use std::net::SocketAddr;

use customer::keeper::Keeper;
use customer::keeper::Purpose;
use customer::keeper::QuotaReply;
use customer::keeper::QuotaRequest;
use customer::local_budget::LocalBudget;
use customer::quota::Limit;
use customer::subject::Subject;
use ident::Time;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

/// Quota state of this daemon.
#[derive(Debug, Default)]
pub struct Quotas {
    /// Token buckets that this daemon keeps.
    pub keeper: Keeper,
    /// Local budgets: what this daemon admitted without asking the keeper.
    pub local_budgets: HashMap<Subject, LocalBudget>,
    /// Pending requests to other daemons, by number.
    pub pending: HashMap<u32, Pending>,
    /// Daemons that did not answer, with the time until which they are not asked.
    pub unresponsive: HashMap<SocketAddr, Time>,
}

/// Message about a quota between daemons.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum Message {
    /// A request to the keeper.
    Ask {
        /// Repeated in the reply.
        number: u32,
        /// Content of the request.
        ask: QuotaRequest,
        /// The limit as known to the sender.
        limit: Limit,
    },
    /// The reply.
    Told {
        /// Number of the request.
        number: u32,
        /// Content of the reply.
        told: QuotaReply,
    },
}

impl Quotas {
    /// Creates an empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes the subjects for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(Subject) -> bool) {
        self.keeper.retain(&is_known);
        self.local_budgets.retain(|subject, _| is_known(*subject));
    }

    /// The local budget of `subject`.
    pub fn local_budget(&mut self, subject: Subject) -> &mut LocalBudget {
        self.local_budgets.entry(subject).or_default()
    }
}

/// Units that a request needs from a limit.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// What the limit applies to.
    pub subject: Subject,
    /// The customer's quota in the plan that the request was admitted under, or the limit set by
    /// the replica.
    pub limit: Limit,
    /// Units that the request counts.
    pub units: f64,
}

impl Demand {
    /// Creates the request to the keeper.
    pub const fn request(self, purpose: Purpose) -> QuotaRequest {
        QuotaRequest {
            subject: self.subject,
            units: self.units,
            purpose,
        }
    }
}

/// A request to a keeper that waits for its reply.
#[derive(Debug)]
pub struct Pending {
    /// Address of the daemon it was sent to.
    pub to: SocketAddr,
    /// What is demanded.
    pub demand: Demand,
    /// Time it was sent.
    pub sent: Time,
    /// Receives the reply.
    pub answer: oneshot::Sender<QuotaReply>,
}
