//! The daemon that counts what a customer uses, for all daemons.
//!
//! The live member that rendezvous hashing names keeps the bucket of a customer; the runner-up is its deputy. Both views may be
//! wrong for a while: members that just came or went are not known everywhere at once. So a daemon that is not the keeper by its
//! own view, but is asked, admits no more than a deputy does; and one that reaches no majority of the instances admits nothing,
//! since another part of the fleet may have a keeper, too.

use std::collections::HashMap;
use std::time::Duration;

use ident::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::bucket::Bucket;
use crate::bucket::Verdict;
use crate::quota::Limit;
use crate::quota::Tolerance;
use crate::subject::Subject;

/// What a daemon may decide on a customer's quota, by its own view of the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// It keeps the bucket.
    Keeper,
    /// Another one does, which may be silent.
    Deputy,
    /// It does not reach most of the instances.
    NoMajority,
}

/// A question about a customer's quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Whose quota.
    pub subject: Subject,
    /// How much.
    pub units: f64,
    /// What for.
    pub purpose: Purpose,
}

/// What a question is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// A request is to run, and can wait for so many milliseconds.
    Run {
        /// Longest wait.
        patience_ms: u32,
    },
    /// A request ran unasked.
    Ran,
    /// A request for which units were taken did not run.
    GiveBack,
}

/// The answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The decision.
    pub decision: Decision,
    /// Units that are left; below zero where requests wait for those that come free.
    pub left: f64,
}

/// A decision on a customer's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The request may run after so many milliseconds.
    Granted {
        /// Zero unless it uses what comes free only then.
        after_ms: u32,
    },
    /// The request is beyond the quota.
    Refused {
        /// Milliseconds until there is room for it.
        come_back_ms: u32,
    },
    /// What ran, or was given back, is counted.
    Counted,
    /// What ran is counted, and was beyond the quota.
    Overdrawn {
        /// Milliseconds until something is left.
        free_ms: u32,
    },
    /// This daemon cannot tell.
    Unsure,
}

/// The buckets that a daemon keeps.
#[derive(Debug, Default)]
pub struct Keeper {
    buckets: HashMap<(Subject, Role), Bucket>,
}

impl Keeper {
    /// No bucket yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on `ask` as `role`, where the customer's quota is `limit` and the members are the same since `since`: before that,
    /// another daemon may have kept the bucket.
    pub fn decide(
        &mut self,
        now: Time,
        since: Time,
        role: Role,
        limit: Limit,
        tolerance: &Tolerance,
        ask: &QuotaRequest,
    ) -> QuotaReply {
        let (limit, start) = match (role, ask.subject) {
            (Role::Keeper, Subject::Customer(_)) => (limit, tolerance.initial_level(limit)),
            (Role::Deputy, Subject::Customer(_)) => {
                let limit = tolerance.deputy_limit(limit);
                (limit, tolerance.initial_level(limit))
            }
            // The limit of a replica must not be exceeded, so a new bucket starts empty.
            (Role::Keeper, Subject::Replica(_)) => (limit, 0.0),
            (Role::Deputy, Subject::Replica(_)) | (Role::NoMajority, _) => {
                return QuotaReply::unsure();
            }
        };
        let bucket = self.buckets.entry((ask.subject, role));
        let bucket = bucket.or_insert_with(|| Bucket::new(since, start));
        let decision = match ask.purpose {
            Purpose::Run { patience_ms } => {
                let patience = Duration::from_millis(patience_ms.into());
                match bucket.take(now, limit, ask.units, patience) {
                    Verdict::Granted { after } => Decision::Granted {
                        after_ms: whole_ms(after),
                    },
                    // What a deputy has not left may be left at the keeper.
                    Verdict::Refused { .. } if role == Role::Deputy => Decision::Unsure,
                    Verdict::Refused { come_back } => Decision::Refused {
                        come_back_ms: whole_ms(come_back),
                    },
                }
            }
            Purpose::Ran if bucket.debit(now, limit, ask.units) => Decision::Counted,
            Purpose::Ran => Decision::Overdrawn {
                free_ms: whole_ms(bucket.free_in(now, limit)),
            },
            Purpose::GiveBack => {
                bucket.give_back(now, limit, ask.units);
                Decision::Counted
            }
        };
        QuotaReply {
            decision,
            left: bucket.level(now, limit),
        }
    }

    /// Removes the buckets of all subjects for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(Subject) -> bool) {
        self.buckets.retain(|(subject, _), _| is_known(*subject));
    }
}

impl QuotaReply {
    /// The answer of a daemon that cannot tell.
    pub const fn unsure() -> Self {
        Self {
            decision: Decision::Unsure,
            left: 0.0,
        }
    }
}

/// Milliseconds, no less than `time`.
fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
