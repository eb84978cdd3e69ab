//! Memory at decode replicas that other daemons have reported for their runs.
//!
//! A replica's own load report is most of a second old, and in a burst its memory fills in less. So
//! each daemon sends the others a forecast for its runs. Claims are summed per replica: their
//! number depends on the replicas that the sender uses, not on its runs.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use ident::Instance;
use ident::Time;
use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

use crate::forecast::Curve;
use crate::forecast::HORIZONS;
use crate::replica::Birth;

/// Tokens to which the figures of a claim are rounded; engines allocate memory in blocks of this
/// size.
const BLOCK_TOKENS: f32 = 16.0;
/// Odd number that spreads the milliseconds of a start time over all bits of a hash (2^64 divided
/// by the golden ratio).
const BIRTH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// How long a claim is valid: about three times the longest interval between messages, since
/// datagrams are lost at times. The runs of a daemon that died are over by then.
const CLAIM_TTL: Duration = Duration::from_millis(1_200);

/// Forecast for the runs of one daemon at one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the replica's id and start time, by [`incarnation_hash`].
    pub replica: u64,
    /// Number of runs.
    pub runs: u16,
    /// Number of runs whose prompt the replica prefills itself.
    pub reads: u16,
    /// Milliseconds since the newest of the generating runs began to generate; `u16::MAX` if none
    /// does.
    pub newest_ms: u16,
    /// Expected tokens at each horizon, in units of 16.
    mean: [u16; HORIZONS.len()],
    /// Standard deviation, in the same units.
    spread: [u16; HORIZONS.len()],
    /// Tokens at each horizon if no run ends, in the same units.
    most: [u16; HORIZONS.len()],
}

impl Claim {
    /// Creates a claim for `runs` runs at the replica with the hash `replica`, which prefills
    /// `reads` of them itself.
    pub fn new(replica: u64, runs: u16, reads: u16, newest_ms: u16, curve: &Curve) -> Self {
        let units = |tokens: f32| (tokens / BLOCK_TOKENS).round() as u16;
        Self {
            replica,
            runs,
            reads,
            newest_ms,
            mean: curve.mean().map(units),
            spread: curve.spread().map(units),
            most: curve.most().map(units),
        }
    }

    /// Creates a claim that withdraws an earlier one: the replica has no runs of this daemon any
    /// more.
    pub fn none(replica: u64) -> Self {
        Self::new(replica, 0, 0, u16::MAX, &Curve::default())
    }

    fn curve(&self) -> Curve {
        let tokens = |units: u16| f32::from(units) * BLOCK_TOKENS;
        Curve::with_spread(
            self.mean.map(tokens),
            self.spread.map(tokens),
            self.most.map(tokens),
        )
    }
}

/// Usage of one replica by all other daemons together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerUsage {
    /// Memory forecast of their runs.
    pub curve: Curve,
    /// Number of their runs.
    pub runs: u32,
    /// Prompts that the replica prefills itself for them.
    pub prefills: u32,
    /// Time since the newest of their runs began to generate.
    pub newest: Option<Duration>,
}

/// Prompts of one daemon that wait or run at one prefill replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillBacklog {
    /// Hash of the replica's id and start time, by [`incarnation_hash`].
    pub replica: u64,
    /// Their tokens; 0 if none is left.
    pub tokens: u32,
}

/// What a daemon reports of its runs and prefills.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ClaimUpdate {
    /// Whether it is complete; otherwise it has only the replicas where something changed since the
    /// last message.
    pub all: bool,
    /// Runs, by replica.
    pub claims: Vec<Claim>,
    /// Pending prefills, by replica.
    pub readings: Vec<PrefillBacklog>,
    /// Hashes of replicas that have not answered the sender lately.
    pub silent: Vec<u64>,
}

impl ClaimUpdate {
    /// Creates a complete update.
    pub fn all(claims: Vec<Claim>) -> Self {
        Self {
            all: true,
            ..Self::changed(claims)
        }
    }

    /// Creates an update with the replicas that changed.
    pub fn changed(claims: Vec<Claim>) -> Self {
        Self {
            claims,
            ..Self::default()
        }
    }

    /// Returns the update with the replicas that do not answer.
    #[must_use]
    pub fn with_silent(self, silent: Vec<u64>) -> Self {
        Self { silent, ..self }
    }

    /// Returns the update with the pending prefills.
    #[must_use]
    pub fn with_readings(self, readings: Vec<PrefillBacklog>) -> Self {
        Self { readings, ..self }
    }
}

/// The latest claims of the other daemons.
#[derive(Debug, Default)]
pub struct Claims {
    /// Ordered, so that sums of the same claims are equal to the last bit.
    claims: BTreeMap<Instance, BTreeMap<u64, Received<Claim>>>,
    backlogs: BTreeMap<Instance, BTreeMap<u64, Received<PrefillBacklog>>>,
}

/// A value and when it was received.
#[derive(Debug)]
struct Received<T> {
    at: Time,
    value: T,
}

impl Claims {
    /// Creates a store without claims.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an update from `peer`.
    pub fn apply(&mut self, now: Time, peer: Instance, update: ClaimUpdate) {
        let claims = self.claims.entry(peer).or_default();
        let backlogs = self.backlogs.entry(peer).or_default();
        if update.all {
            claims.clear();
            backlogs.clear();
        }
        for claim in update.claims {
            match claim.runs {
                0 => claims.remove(&claim.replica),
                _ => claims.insert(claim.replica, Received::new(now, claim)),
            };
        }
        for backlog in update.readings {
            match backlog.tokens {
                0 => backlogs.remove(&backlog.replica),
                _ => backlogs.insert(backlog.replica, Received::new(now, backlog)),
            };
        }
    }

    /// Removes expired claims.
    pub fn remove_expired(&mut self, now: Time) {
        remove_all_expired(&mut self.claims, now);
        remove_all_expired(&mut self.backlogs, now);
    }

    /// Tokens that replicas have yet to prefill for other daemons, by replica hash; `None` if no
    /// other daemon has reported.
    pub fn pending_prefills(&self, now: Time) -> Option<HashMap<u64, u64>> {
        let backlogs = self.backlogs.values().flat_map(BTreeMap::values);
        let mut all: HashMap<u64, u64> = HashMap::new();
        for received in backlogs.filter(|received| received.is_current(now)) {
            *all.entry(received.value.replica).or_default() += u64::from(received.value.tokens);
        }
        (!self.claims.is_empty() || !all.is_empty()).then_some(all)
    }

    /// Daemons with unexpired claims.
    pub fn active_peers(&self) -> impl Iterator<Item = Instance> + '_ {
        let active = self.claims.iter().filter(|(_, claims)| !claims.is_empty());
        active.map(|(peer, _)| *peer)
    }

    /// Usage by other daemons of the replica with the hash `replica`.
    pub fn peer_usage(&self, now: Time, replica: u64) -> PeerUsage {
        let mut usage = PeerUsage::default();
        let claims = self
            .claims
            .values()
            .filter_map(|claims| claims.get(&replica));
        for received in claims.filter(|received| received.is_current(now)) {
            usage.add(&received.value, now.since(received.at));
        }
        usage
    }

    /// Usage by other daemons of all replicas, by replica hash.
    pub fn all_peer_usage(&self, now: Time) -> HashMap<u64, PeerUsage> {
        let mut all: HashMap<u64, PeerUsage> = HashMap::new();
        let claims = self.claims.values().flat_map(BTreeMap::values);
        for received in claims.filter(|received| received.is_current(now)) {
            let usage = all.entry(received.value.replica).or_default();
            usage.add(&received.value, now.since(received.at));
        }
        all
    }
}

fn remove_all_expired<T>(by_peer: &mut BTreeMap<Instance, BTreeMap<u64, Received<T>>>, now: Time) {
    for of_peer in by_peer.values_mut() {
        of_peer.retain(|_, received| received.is_current(now));
    }
    by_peer.retain(|_, of_peer| !of_peer.is_empty());
}

impl<T> Received<T> {
    const fn new(at: Time, value: T) -> Self {
        Self { at, value }
    }

    fn is_current(&self, now: Time) -> bool {
        now.since(self.at) < CLAIM_TTL
    }
}

impl PeerUsage {
    fn add(&mut self, claim: &Claim, age: Duration) {
        let curve = claim.curve().shifted(age.as_secs_f64());
        self.curve = self.curve.plus(&curve);
        self.runs += u32::from(claim.runs);
        self.prefills += u32::from(claim.reads);
        self.newest = newest_age(self.newest, claim.newest_ms, age);
    }
}

fn newest_age(so_far: Option<Duration>, newest_ms: u16, age: Duration) -> Option<Duration> {
    if newest_ms == u16::MAX {
        return so_far;
    }
    let newest = Duration::from_millis(u64::from(newest_ms)) + age;
    Some(so_far.map_or(newest, |so_far| so_far.min(newest)))
}

/// Hash that identifies an incarnation of a replica in claims.
pub fn incarnation_hash(id: &str, birth: Option<Birth>) -> u64 {
    let seed = birth.map_or(0, |birth| birth.0);
    rapidhash_v3(id.as_bytes()) ^ seed.wrapping_mul(BIRTH_FACTOR)
}
