//! Plays callers of one customer, who send more than its quota for a while, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use customer::keeper::Decision;
use customer::keeper::Keeper;
use customer::keeper::Purpose;
use customer::keeper::QuotaRequest;
use customer::keeper::Role;
use customer::keeper::View;
use customer::list::CustomerId;
use customer::quota::Limit;
use customer::quota::Tolerance;
use customer::rank::Rank;
use customer::rank::Standing;
use customer::subject::Subject;
use ident::Time;

use crate::outcome::Outcome;
use crate::outcome::Record;

/// The quota.
pub const LIMIT: Limit = Limit {
    rate: 400_000.0,
    burst: 400_000.0,
};
/// How long first attempts are sent.
pub const LENGTH: Duration = Duration::from_secs(6);
/// What is tolerated beyond it.
pub const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(8),
    excess: 0.1,
    slack: 190_000.0,
};
/// Start of the crowd; the keeper has been the same for long enough to have a full bucket.
pub const START: Time = Time::from_millis(20_000);
/// Maximum delay of a question on its way from its daemon to the keeper.
const MAX_DELAY_MS: u64 = 20;

/// Callers that are alike.
#[derive(Debug, Clone, Copy)]
pub struct Group {
    /// Rank of the requests.
    pub rank: u8,
    /// Units of each.
    pub units: f64,
    /// How long a request can wait.
    pub patience: Duration,
    /// Objective; who comes back after it is late.
    pub objective: Duration,
    /// How long a caller waits in all.
    pub lifetime: Duration,
    /// First attempts per second.
    pub per_s: f64,
}

/// One attempt of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    at: Time,
    group: usize,
    first: Time,
}

/// A load of callers.
#[derive(Debug)]
pub struct Crowd {
    groups: Vec<Group>,
    random: u64,
    delays: bool,
    replaced_at: Option<Time>,
    unranked: usize,
    role: Role,
    length: Duration,
}

impl Crowd {
    /// A crowd that asks one keeper without delay.
    pub fn new(groups: Vec<Group>, seed: u64) -> Self {
        Self {
            groups,
            random: seed,
            delays: false,
            replaced_at: None,
            unranked: 0,
            role: Role::Keeper,
            length: LENGTH,
        }
    }

    /// The same at several daemons, each question of which takes a while.
    pub fn with_daemons(self, daemons: usize) -> Self {
        Self {
            delays: daemons > 1,
            ..self
        }
    }

    /// The same with a keeper without state from `time` after the start on.
    pub fn with_new_keeper(self, time: Duration) -> Self {
        Self {
            replaced_at: Some(START + time),
            ..self
        }
    }

    /// The same where one of `daemons` is older and does not tell standings.
    pub fn with_older_daemon(self, daemons: usize) -> Self {
        Self {
            unranked: daemons,
            ..self
        }
    }

    /// The same whose first attempts last for `length`.
    pub fn with_length(self, length: Duration) -> Self {
        Self { length, ..self }
    }

    /// The same where only a deputy decides.
    pub fn at_deputy(self) -> Self {
        Self {
            role: Role::Deputy,
            ..self
        }
    }

    /// Plays it.
    pub fn play(mut self) -> Outcome {
        let mut attempts = self.first_attempts();
        let mut keeper = Keeper::new();
        let mut since = Time::ZERO;
        let mut records = Vec::new();
        while let Some(Reverse(attempt)) = attempts.pop() {
            if attempt.at >= START + self.length {
                break;
            }
            if let Some(at) = self.replaced_at.take_if(|at| *at <= attempt.at) {
                keeper = Keeper::new();
                since = at;
            }
            let group = self.groups[attempt.group];
            let is_late = attempt.at.since(attempt.first) >= group.objective;
            let standing = Standing::new(Rank::new(group.rank)).with_returned(is_late);
            let daemons = self.unranked;
            let is_told = daemons == 0 || self.draw() * daemons as f64 >= 1.0;
            let told = if is_told { standing } else { Standing::PLAIN };
            let ask = QuotaRequest {
                subject: Subject::Customer(CustomerId(7)),
                units: group.units,
                purpose: Purpose::Run {
                    patience_ms: group.patience.as_millis() as u32,
                },
            };
            let ask = ask.ranked(told);
            let ruling = keeper.decide(
                attempt.at,
                &View::new(self.role, since),
                LIMIT,
                &TOLERANCE,
                &ask,
            );
            let granted = match ruling.reply.decision {
                Decision::Granted { after_ms } => Some(Duration::from_millis(after_ms.into())),
                _ => None,
            };
            if let Decision::Refused { come_back_ms } = ruling.reply.decision {
                attempts.extend(self.come_back(attempt, come_back_ms).map(Reverse));
            }
            records.push(Record {
                at: attempt.at,
                group: attempt.group,
                standing,
                units: group.units,
                granted,
            });
        }
        Outcome { records }
    }

    /// Each caller returns once, after the time that it was told or a third of what it has left.
    fn come_back(&self, attempt: Attempt, come_back_ms: u32) -> Option<Attempt> {
        let lifetime = self.groups[attempt.group].lifetime;
        let told = Duration::from_millis(come_back_ms.into());
        (attempt.at == attempt.first).then(|| Attempt {
            at: attempt.at + told.min(lifetime / 3),
            ..attempt
        })
    }

    fn first_attempts(&mut self) -> BinaryHeap<Reverse<Attempt>> {
        let mut attempts = BinaryHeap::new();
        for group in 0..self.groups.len() {
            let mut seconds = 0.0;
            loop {
                seconds -= self.draw().max(1e-9).ln() / self.groups[group].per_s;
                if seconds >= self.length.as_secs_f64() {
                    break;
                }
                let delay = if self.delays { self.draw() } else { 0.0 };
                let delay = Duration::from_millis((delay * MAX_DELAY_MS as f64) as u64);
                let at = START + Duration::from_secs_f64(seconds) + delay;
                attempts.push(Reverse(Attempt {
                    at,
                    group,
                    first: at,
                }));
            }
        }
        attempts
    }

    /// A random number in 0..1 (splitmix64).
    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
