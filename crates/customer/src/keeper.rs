//! The keeper: the daemon that counts a customer's usage for all daemons.
//!
//! Rendezvous hashing selects the live member that keeps a customer's bucket; the runner-up is its
//! deputy. Daemons may disagree on both for a while, since membership changes take time to spread.
//! A daemon that is asked but is not the keeper in its own view therefore admits no more than a
//! deputy does, and one that does not reach a majority of the instances admits nothing, since
//! another part of the fleet may also have a keeper.

use std::collections::HashMap;
use std::time::Duration;

use ident::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::bucket::Bucket;
use crate::bucket::Verdict;
use crate::quota::Limit;
use crate::quota::Tolerance;
use crate::rank::Standing;
use crate::subject::Subject;

/// Role of a daemon for a customer's quota, in its own view of the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// It keeps the bucket.
    Keeper,
    /// Another daemon keeps the bucket, but may be unreachable.
    Deputy,
    /// It does not reach a majority of the instances.
    NoMajority,
}

/// What a daemon knows of its part in a customer's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Its role.
    pub role: Role,
    /// When the members last changed; before that, another daemon may have kept a bucket that this
    /// one has not kept yet.
    pub unchanged_since: Time,
    /// Since when it has been the keeper without interruption, if it is. Until then, another daemon
    /// may have granted what its bucket does not show.
    pub keeper_since: Time,
}

impl View {
    /// A daemon with `role` since the members last changed, at `unchanged_since`.
    pub const fn new(role: Role, unchanged_since: Time) -> Self {
        Self {
            role,
            unchanged_since,
            keeper_since: unchanged_since,
        }
    }

    /// Sets since when it has been the keeper.
    #[must_use]
    pub const fn with_keeper_since(self, keeper_since: Time) -> Self {
        Self {
            keeper_since,
            ..self
        }
    }
}

/// A request to the keeper of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// What the limit applies to.
    pub subject: Subject,
    /// Units to take, count or refund.
    pub units: f64,
    /// Which of these to do.
    pub purpose: Purpose,
}

/// A request with its place in the order of service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankedRequest {
    /// The request.
    pub request: QuotaRequest,
    /// Its place.
    pub standing: Standing,
}

/// What a keeper decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ruling {
    /// The reply to the daemon that asked.
    pub reply: QuotaReply,
    /// Units that the request had to leave to those ahead of it.
    pub ahead: f64,
}

/// Purpose of a [`QuotaRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Takes units for a request that is about to run.
    Run {
        /// Maximum time that the request can wait, in milliseconds.
        patience_ms: u32,
    },
    /// Counts a request that ran without asking the keeper.
    Ran,
    /// Refunds the units of a request that did not run.
    GiveBack,
}

/// The keeper's reply to a [`QuotaRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The decision.
    pub decision: Decision,
    /// Units left; negative if granted requests wait for refill or requests ran without asking.
    pub left: f64,
}

/// A decision on a customer's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The request may run after a delay.
    Granted {
        /// The delay in milliseconds; zero unless it needs units that are refilled only by then.
        after_ms: u32,
    },
    /// The request exceeds the quota.
    Refused {
        /// Milliseconds until there are enough units for it.
        come_back_ms: u32,
    },
    /// The usage or the refund is counted.
    Counted,
    /// The usage is counted and exceeded the quota.
    Overdrawn {
        /// Milliseconds until the bucket's level is no longer negative.
        free_ms: u32,
    },
    /// This daemon cannot decide.
    Unsure,
}

/// The buckets that a daemon keeps.
#[derive(Debug, Default)]
pub struct Keeper {
    buckets: HashMap<(Subject, Role), Bucket>,
}

impl Keeper {
    /// A keeper without buckets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on `ask` by `view`, with the subject's `limit`.
    pub fn decide(
        &mut self,
        now: Time,
        view: &View,
        limit: Limit,
        tolerance: &Tolerance,
        ask: &RankedRequest,
    ) -> Ruling {
        let RankedRequest {
            request: ask,
            standing,
        } = ask;
        if !ask.is_valid() {
            return Ruling::unsure();
        }
        let role = view.role;
        let (limit, start) = match (role, ask.subject) {
            (Role::Keeper, Subject::Customer(_)) => (limit, tolerance.initial_level(limit)),
            (Role::Deputy, Subject::Customer(_)) => {
                let limit = tolerance.deputy_limit(limit);
                (limit, tolerance.initial_level(limit))
            }
            // The limit of a replica must never be exceeded, so a new bucket starts empty.
            (Role::Keeper, Subject::Replica(_)) => (limit, 0.0),
            (Role::Deputy, Subject::Replica(_)) | (Role::NoMajority, _) => {
                return Ruling::unsure();
            }
        };
        let bucket = self.buckets.entry((ask.subject, role));
        let bucket = bucket.or_insert_with(|| Bucket::new(view.unchanged_since, start));
        if role == Role::Keeper {
            bucket.cap(view.keeper_since, limit, start);
        }
        let decision = match ask.purpose {
            Purpose::Run { patience_ms } => {
                let patience = Duration::from_millis(patience_ms.into());
                match bucket.take(now, limit, ask.units, patience, *standing) {
                    Verdict::Granted { after } => Decision::Granted {
                        after_ms: ceil_ms(after),
                    },
                    // The keeper may have units left when the deputy has not.
                    Verdict::Refused { .. } if role == Role::Deputy => Decision::Unsure,
                    Verdict::Refused { come_back } => Decision::Refused {
                        come_back_ms: ceil_ms(come_back),
                    },
                }
            }
            Purpose::Ran if bucket.debit(now, limit, ask.units) => Decision::Counted,
            Purpose::Ran => Decision::Overdrawn {
                free_ms: ceil_ms(bucket.time_until_available(now, limit)),
            },
            Purpose::GiveBack => {
                bucket.refund(now, limit, ask.units);
                Decision::Counted
            }
        };
        let reply = QuotaReply {
            decision,
            left: bucket.level(now, limit),
        };
        Ruling {
            reply,
            ahead: bucket.reserve(limit, ask.units, *standing),
        }
    }

    /// Removes the buckets of all subjects for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(Subject) -> bool) {
        self.buckets.retain(|(subject, _), _| is_known(*subject));
    }
}

impl QuotaRequest {
    /// Whether its units can be counted: they are finite and not negative.
    pub fn is_valid(&self) -> bool {
        self.units.is_finite() && self.units >= 0.0
    }

    /// The request with its place in the order of service.
    pub const fn ranked(self, standing: Standing) -> RankedRequest {
        RankedRequest {
            request: self,
            standing,
        }
    }
}

impl Ruling {
    /// The ruling of a daemon that cannot decide.
    pub const fn unsure() -> Self {
        Self {
            reply: QuotaReply::unsure(),
            ahead: 0.0,
        }
    }
}

impl QuotaReply {
    /// The reply of a daemon that cannot decide.
    pub const fn unsure() -> Self {
        Self {
            decision: Decision::Unsure,
            left: 0.0,
        }
    }
}

/// `time` in milliseconds, rounded up.
fn ceil_ms(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
