//! What a daemon knows of quotas, and what daemons tell each other of them.

use std::collections::HashMap;
use std::net::SocketAddr;

use customer::keeper::Ask;
use customer::keeper::Keeper;
use customer::keeper::Purpose;
use customer::keeper::Told;
use customer::pocket::Pocket;
use customer::quota::Limit;
use customer::subject::Subject;
use ident::Time;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

/// What this daemon knows of quotas.
#[derive(Debug, Default)]
pub struct Quotas {
    /// The buckets that it keeps.
    pub keeper: Keeper,
    /// What it admitted unasked.
    pub pockets: HashMap<Subject, Pocket>,
    /// Questions to other daemons, by number.
    pub pending: HashMap<u32, Pending>,
    /// Daemons that did not answer, and until when they are not asked.
    pub unresponsive: HashMap<SocketAddr, Time>,
}

/// What daemons tell each other of quotas.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum Message {
    /// A question.
    Ask {
        /// Repeated in the answer.
        number: u32,
        /// What is asked.
        ask: Ask,
        /// The limit as known to the asker.
        limit: Limit,
    },
    /// Its answer.
    Told {
        /// Number of the question.
        number: u32,
        /// What is told.
        told: Told,
    },
}

impl Quotas {
    /// Nothing known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes the subjects for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(Subject) -> bool) {
        self.keeper.retain(&is_known);
        self.pockets.retain(|subject, _| is_known(*subject));
    }

    /// What was admitted unasked for `subject`.
    pub fn pocket(&mut self, subject: Subject) -> &mut Pocket {
        self.pockets.entry(subject).or_default()
    }
}

/// What a request asks of a limit.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// What the limit applies to.
    pub subject: Subject,
    /// The customer's quota in the plan that the request was admitted under, or the limit set by the replica.
    pub limit: Limit,
    /// What the request counts.
    pub units: f64,
}

impl Demand {
    /// The question to the keeper.
    pub const fn ask(self, purpose: Purpose) -> Ask {
        Ask {
            subject: self.subject,
            units: self.units,
            purpose,
        }
    }
}

/// A question that is on its way.
#[derive(Debug)]
pub struct Pending {
    /// Where the daemon listens that was asked.
    pub to: SocketAddr,
    /// What the request asks.
    pub demand: Demand,
    /// When it was sent.
    pub sent: Time,
    /// Who waits for the answer.
    pub answer: oneshot::Sender<Told>,
}
