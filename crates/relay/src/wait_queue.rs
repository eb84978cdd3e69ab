//! Orders the generations of one daemon that wait for a slot at a decode replica.
//!
//! Without an order, small requests take any room that becomes free, and a large one starves until
//! it times out, although it came first and is worth the most to its caller. More urgent generations
//! go first; of equal rank, refused ones that are back go last.
//!
//! Streams that callers resume are late, so that a slot is worth more to a new one; but only replicas of
//! their software version can serve them, and they must go on as often as new ones begin. Of equal
//! rank, they go before new ones as long as the share of them that got a slot is not larger than the
//! share of the new ones. Meanwhile new ones may use the replicas of other versions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use customer::rank::Rank;

/// New generations that are taken as served before the first one ends, so that a single one that leaves
/// without a slot does not put it before those that are resumed.
const ASSUMED_SERVED: u64 = 128;
/// Ended generations after which the older half of the counts is dropped.
const MAX_COUNTED: u64 = 1_024;

/// A place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    rank: Rank,
    class: Class,
    sequence: u64,
}

/// Class of a generation within its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    /// It can be in time.
    Timely,
    /// A stream that its caller resumes at replicas of one version.
    Resumed(VersionKey),
    /// A refused generation that is back.
    Late,
}

/// Index of a software version in [`WaitQueue::versions`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct VersionKey(usize);

/// Waiting generations by service, in order.
#[derive(Debug, Default)]
pub struct WaitQueue {
    services: HashMap<String, BTreeMap<Rank, RankQueue>>,
    versions: Vec<String>,
    next_sequence: u64,
}

/// Waiting generations of one service and rank.
#[derive(Debug, Default)]
struct RankQueue {
    timely: Lane,
    resumed: BTreeMap<VersionKey, Lane>,
    late: Lane,
}

/// Waiting generations of one class, in the order of their arrival, and how earlier ones ended.
#[derive(Debug, Default)]
struct Lane {
    waiting: BTreeSet<u64>,
    served: u64,
    ended: u64,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Joins the queue of `service`, behind all others with the same `rank` and `late`.
    pub fn join(&mut self, service: &str, rank: Rank, late: bool) -> Ticket {
        let class = if late { Class::Late } else { Class::Timely };
        self.add(service, rank, class)
    }

    /// Joins the queue of `service` with a stream that its caller resumes and that only replicas of the
    /// version `software` can serve, behind all others of that kind with the same `rank`.
    pub fn join_resumed(&mut self, service: &str, rank: Rank, software: &str) -> Ticket {
        let key = self.version_key(software);
        self.add(service, rank, Class::Resumed(key))
    }

    /// Returns to the queue of `service` with a `ticket` from it, to the same place.
    pub fn rejoin(&mut self, service: &str, ticket: Ticket) {
        let ranks = self.services.entry(service.to_owned()).or_default();
        let lane = ranks.entry(ticket.rank).or_default().lane_mut(ticket.class);
        lane.waiting.insert(ticket.sequence);
    }

    /// Whether `ticket` may take any slot of `service` that can serve it.
    pub fn is_first(&self, service: &str, ticket: Ticket) -> bool {
        self.reserved(service, ticket)
            .is_some_and(|reserved| reserved.is_empty())
    }

    /// The software versions whose slots are reserved for generations before `ticket`, which may take
    /// any other slot of `service`; `None` if it may take none.
    pub fn reserved(&self, service: &str, ticket: Ticket) -> Option<Vec<String>> {
        let ranks = self.services.get(service)?;
        let own = ranks.get(&ticket.rank)?;
        let mut reserved = BTreeSet::new();
        for queue in ranks.range(..ticket.rank).map(|(_, queue)| queue) {
            if !queue.timely.waiting.is_empty() || !queue.late.waiting.is_empty() {
                return None;
            }
            reserved.extend(queue.resumed_versions());
        }
        if !own.is_head(ticket) {
            return None;
        }
        match ticket.class {
            Class::Timely => reserved.extend(own.versions_before_timely()),
            Class::Resumed(key) if reserved.contains(&key) || !own.may_resume(key) => return None,
            Class::Resumed(_) => reserved.clear(),
            Class::Late if !own.timely.waiting.is_empty() => return None,
            Class::Late => reserved.extend(own.resumed_versions()),
        }
        let names = reserved.iter().map(|key| self.versions[key.0].clone());
        Some(names.collect())
    }

    /// Leaves the queue.
    pub fn leave(&mut self, service: &str, ticket: Ticket) {
        if let Some(queue) = self.rank_queue(service, ticket) {
            let lane = queue.lane_mut(ticket.class);
            lane.waiting.remove(&ticket.sequence);
        }
    }

    /// Records that the generation of `ticket`, which has left the queue, got a slot or did not.
    pub fn record_end(&mut self, service: &str, ticket: Ticket, is_served: bool) {
        if let Some(queue) = self.rank_queue(service, ticket) {
            let lane = queue.lane_mut(ticket.class);
            lane.ended += 1;
            lane.served += u64::from(is_served);
            queue.limit_counts();
        }
    }

    fn add(&mut self, service: &str, rank: Rank, class: Class) -> Ticket {
        let ticket = Ticket {
            rank,
            class,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        self.rejoin(service, ticket);
        ticket
    }

    fn rank_queue(&mut self, service: &str, ticket: Ticket) -> Option<&mut RankQueue> {
        self.services.get_mut(service)?.get_mut(&ticket.rank)
    }

    fn version_key(&mut self, software: &str) -> VersionKey {
        let known = self.versions.iter().position(|known| known == software);
        VersionKey(known.unwrap_or_else(|| {
            self.versions.push(software.to_owned());
            self.versions.len() - 1
        }))
    }
}

impl RankQueue {
    fn lane_mut(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Timely => &mut self.timely,
            Class::Resumed(key) => self.resumed.entry(key).or_default(),
            Class::Late => &mut self.late,
        }
    }

    /// Whether `ticket` is the first of its class.
    fn is_head(&self, ticket: Ticket) -> bool {
        let lane = match ticket.class {
            Class::Timely => Some(&self.timely),
            Class::Resumed(key) => self.resumed.get(&key),
            Class::Late => Some(&self.late),
        };
        lane.and_then(|lane| lane.waiting.first()) == Some(&ticket.sequence)
    }

    /// Versions that streams wait for.
    fn resumed_versions(&self) -> impl Iterator<Item = VersionKey> {
        let lanes = self.resumed.iter();
        lanes.filter_map(|(key, lane)| (!lane.waiting.is_empty()).then_some(*key))
    }

    /// Versions whose streams go before new generations.
    fn versions_before_timely(&self) -> impl Iterator<Item = VersionKey> {
        self.resumed_versions()
            .filter(|key| self.resumed[key].is_before(&self.timely))
    }

    /// Whether streams of the version `key` need not wait for new generations.
    fn may_resume(&self, key: VersionKey) -> bool {
        self.timely.waiting.is_empty() || self.resumed[&key].is_before(&self.timely)
    }

    /// Drops the older half of the counts once there are many.
    fn limit_counts(&mut self) {
        let resumed = self.resumed.values().map(|lane| lane.ended);
        if self.timely.ended + resumed.sum::<u64>() < MAX_COUNTED {
            return;
        }
        self.timely.halve();
        self.resumed.values_mut().for_each(Lane::halve);
        self.resumed
            .retain(|_, lane| lane.ended > 0 || !lane.waiting.is_empty());
    }
}

impl Lane {
    /// Whether streams of this lane go before the new generations of `timely`: the share of them that
    /// got a slot, where those that wait count as without one, is not larger than that of `timely`.
    fn is_before(&self, timely: &Self) -> bool {
        let joined = self.ended + self.waiting.len() as u64;
        self.served * (timely.ended + ASSUMED_SERVED) <= (timely.served + ASSUMED_SERVED) * joined
    }

    fn halve(&mut self) {
        self.served /= 2;
        self.ended /= 2;
    }
}
