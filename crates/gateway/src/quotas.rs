//! State of customers' quotas, and the messages about them between daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use customer::keeper::Keeper;
use customer::keeper::Purpose;
use customer::keeper::QuotaReply;
use customer::keeper::QuotaRequest;
use customer::keeper::Ruling;
use customer::local_budget::LocalBudget;
use customer::quota::Limit;
use customer::rank::Standing;
use customer::subject::Subject;
use ident::Time;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

/// Time for which it counts whether a peer reads standings; its address may get another version.
const VERSION_PERIOD: Duration = Duration::from_mins(1);
/// Minimum time between two log lines about bad units.
const BAD_UNITS_PERIOD: Duration = Duration::from_mins(1);

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
    /// Daemons that are known to read standings, or not to, with the time until which that counts.
    pub reads_standings: HashMap<SocketAddr, (bool, Time)>,
    /// When a request with bad units was last logged.
    pub bad_units_logged: Option<Time>,
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
    /// A request whose standing differs from that of others of its customer. Daemons of an earlier
    /// version cannot read it, and do not answer.
    Ask2 {
        /// Repeated in the reply.
        number: u32,
        /// Content of the request.
        ask: QuotaRequest,
        /// The limit as known to the sender.
        limit: Limit,
        /// Its place in the order of service.
        standing: Standing,
    },
    /// The reply to `Ask2`.
    Told2 {
        /// Number of the request.
        number: u32,
        /// Content of the reply.
        told: QuotaReply,
        /// Units that the request had to leave to those ahead of it.
        ahead: f64,
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

    /// Whether the daemon at `peer` reads standings; `None` if that is unknown.
    pub fn reads_standings(&self, now: Time, peer: SocketAddr) -> Option<bool> {
        let (reads, until) = self.reads_standings.get(&peer)?;
        (now < *until).then_some(*reads)
    }

    /// Records whether the daemon at `peer` reads standings.
    pub fn record_reads_standings(&mut self, now: Time, peer: SocketAddr, reads: bool) {
        self.reads_standings.retain(|_, (_, until)| now < *until);
        let until = now + VERSION_PERIOD;
        self.reads_standings.insert(peer, (reads, until));
    }

    /// Whether a request with bad units is to be logged now.
    pub fn logs_bad_units(&mut self, now: Time) -> bool {
        let logs = |last| now.since(last) >= BAD_UNITS_PERIOD;
        let is_due = self.bad_units_logged.is_none_or(logs);
        if is_due {
            self.bad_units_logged = Some(now);
        }
        is_due
    }

    /// The local budget of `subject`.
    pub fn local_budget(&mut self, subject: Subject) -> &mut LocalBudget {
        self.local_budgets.entry(subject).or_default()
    }
}

impl Message {
    /// The question for `demand`; one without a standing can be read by all versions.
    pub const fn asking(
        number: u32,
        demand: Demand,
        purpose: Purpose,
        standing: Option<Standing>,
    ) -> Self {
        let ask = demand.request(purpose);
        let limit = demand.limit;
        match standing {
            None => Self::Ask { number, ask, limit },
            Some(standing) => Self::Ask2 {
                number,
                ask,
                limit,
                standing,
            },
        }
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
    /// Its place in the order of service; `None` if it does not differ from the others.
    pub standing: Option<Standing>,
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
    pub answer: oneshot::Sender<Ruling>,
}
