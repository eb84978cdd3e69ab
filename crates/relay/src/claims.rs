//! What other daemons told of their runs at decode replicas.
//!
//! A replica's own report is most of a second old, and in a burst its memory fills in less. So each
//! daemon tells the others what its runs will hold. What is told is summed up by replica, so that it
//! is as long as the sender has replicas in use, however many runs there are.

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

/// Tokens that the figures of a claim are rounded to; engines give memory in such blocks.
const UNIT: f32 = 16.0;
/// Odd number that spreads the milliseconds of a birth over all bits of a hash (2^64 divided by the
/// golden ratio).
const BIRTH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// How long a claim counts: some three times as long as daemons are silent at most, since datagrams
/// are lost at times. The runs of a daemon that died are over by then.
const LIFE: Duration = Duration::from_millis(1_200);

/// What the runs of one daemon at one replica will hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the replica's id and birth, by [`hash`].
    pub replica: u64,
    /// How many runs there are.
    pub runs: u16,
    /// How many of them have their prompt read by the replica itself.
    pub reads: u16,
    /// Milliseconds since the newest of those that make tokens began to; `u16::MAX` if none does.
    pub newest_ms: u16,
    /// Tokens expected at each moment, in units of 16.
    mean: [u16; HORIZONS.len()],
    /// Standard deviation, in the same units.
    spread: [u16; HORIZONS.len()],
    /// Tokens at each moment if no run ends, in the same units.
    most: [u16; HORIZONS.len()],
}

impl Claim {
    /// `runs` runs at the replica with the hash `replica`, `reads` of which it reads itself, that will hold
    /// `curve`.
    pub fn new(replica: u64, runs: u16, reads: u16, newest_ms: u16, curve: &Curve) -> Self {
        let units = |tokens: f32| (tokens / UNIT).round() as u16;
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

    /// No run at that replica any more.
    pub fn none(replica: u64) -> Self {
        Self::new(replica, 0, 0, u16::MAX, &Curve::default())
    }

    fn curve(&self) -> Curve {
        let tokens = |units: u16| f32::from(units) * UNIT;
        Curve::with_spread(
            self.mean.map(tokens),
            self.spread.map(tokens),
            self.most.map(tokens),
        )
    }
}

/// What all other daemons together hold at one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerUsage {
    /// What they will hold.
    pub curve: Curve,
    /// Their runs.
    pub runs: u32,
    /// Prompts that the replica reads itself for them.
    pub prefills: u32,
    /// Time since the newest of their runs began to make tokens.
    pub newest: Option<Duration>,
}

/// Prompts that one daemon has sent to one replica to be read, and that are not read yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillBacklog {
    /// Hash of the replica's id and birth, by [`hash`].
    pub replica: u64,
    /// Their tokens; 0 if none is left.
    pub tokens: u32,
}

/// What a daemon tells of its runs and of the prompts that it has read.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ClaimUpdate {
    /// Whether it is all of them; else those at replicas where something changed since it told last.
    pub all: bool,
    /// Its runs, by replica.
    pub claims: Vec<Claim>,
    /// Its prompts that are being read, by replica.
    pub readings: Vec<PrefillBacklog>,
    /// Hashes of replicas that have not answered it lately.
    pub silent: Vec<u64>,
}

impl ClaimUpdate {
    /// All runs.
    pub fn all(claims: Vec<Claim>) -> Self {
        Self {
            all: true,
            ..Self::changed(claims)
        }
    }

    /// The runs at some replicas.
    pub fn changed(claims: Vec<Claim>) -> Self {
        Self {
            claims,
            ..Self::default()
        }
    }

    /// The same with replicas that do not answer.
    #[must_use]
    pub fn with_silent(self, silent: Vec<u64>) -> Self {
        Self { silent, ..self }
    }

    /// The same with prompts that are being read.
    #[must_use]
    pub fn with_readings(self, readings: Vec<PrefillBacklog>) -> Self {
        Self { readings, ..self }
    }
}

/// What each of the other daemons told last.
#[derive(Debug, Default)]
pub struct Claims {
    /// In a fixed order, so that sums of the same claims are the same to the last bit.
    told: BTreeMap<Instance, BTreeMap<u64, Fresh<Claim>>>,
    readings: BTreeMap<Instance, BTreeMap<u64, Fresh<PrefillBacklog>>>,
}

/// Something and when it was told.
#[derive(Debug)]
struct Fresh<T> {
    at: Time,
    what: T,
}

impl Claims {
    /// Nothing told yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes what `peer` tells.
    pub fn apply(&mut self, now: Time, peer: Instance, told: ClaimUpdate) {
        let claims = self.told.entry(peer).or_default();
        let readings = self.readings.entry(peer).or_default();
        if told.all {
            claims.clear();
            readings.clear();
        }
        for claim in told.claims {
            match claim.runs {
                0 => claims.remove(&claim.replica),
                _ => claims.insert(claim.replica, Fresh::new(now, claim)),
            };
        }
        for reading in told.readings {
            match reading.tokens {
                0 => readings.remove(&reading.replica),
                _ => readings.insert(reading.replica, Fresh::new(now, reading)),
            };
        }
    }

    /// Forgets what is too old.
    pub fn remove_expired(&mut self, now: Time) {
        sweep(&mut self.told, now);
        sweep(&mut self.readings, now);
    }

    /// Tokens that replicas are to read for other daemons, by the replicas' hashes; `None` if no other
    /// daemon is heard of.
    pub fn pending_prefills(&self, now: Time) -> Option<HashMap<u64, u64>> {
        let readings = self.readings.values().flat_map(BTreeMap::values);
        let mut all: HashMap<u64, u64> = HashMap::new();
        for fresh in readings.filter(|fresh| fresh.counts(now)) {
            *all.entry(fresh.what.replica).or_default() += u64::from(fresh.what.tokens);
        }
        (!self.told.is_empty() || !all.is_empty()).then_some(all)
    }

    /// Daemons whose claims count, that have runs.
    pub fn active_peers(&self) -> impl Iterator<Item = Instance> + '_ {
        let active = self.told.iter().filter(|(_, claims)| !claims.is_empty());
        active.map(|(peer, _)| *peer)
    }

    /// What the others hold at the replica with the hash `replica`.
    pub fn peer_usage(&self, now: Time, replica: u64) -> PeerUsage {
        let mut others = PeerUsage::default();
        let told = self.told.values().filter_map(|claims| claims.get(&replica));
        for fresh in told.filter(|fresh| fresh.counts(now)) {
            others.add(&fresh.what, now.since(fresh.at));
        }
        others
    }

    /// The same for all replicas at once, by their hashes.
    pub fn all_peer_usage(&self, now: Time) -> HashMap<u64, PeerUsage> {
        let mut all: HashMap<u64, PeerUsage> = HashMap::new();
        let told = self.told.values().flat_map(BTreeMap::values);
        for fresh in told.filter(|fresh| fresh.counts(now)) {
            let others = all.entry(fresh.what.replica).or_default();
            others.add(&fresh.what, now.since(fresh.at));
        }
        all
    }
}

fn sweep<T>(told: &mut BTreeMap<Instance, BTreeMap<u64, Fresh<T>>>, now: Time) {
    for of_peer in told.values_mut() {
        of_peer.retain(|_, fresh| fresh.counts(now));
    }
    told.retain(|_, of_peer| !of_peer.is_empty());
}

impl<T> Fresh<T> {
    const fn new(at: Time, what: T) -> Self {
        Self { at, what }
    }

    fn counts(&self, now: Time) -> bool {
        now.since(self.at) < LIFE
    }
}

impl PeerUsage {
    fn add(&mut self, claim: &Claim, age: Duration) {
        let curve = claim.curve().shifted(age.as_secs_f64());
        self.curve = self.curve.plus(&curve);
        self.runs += u32::from(claim.runs);
        self.prefills += u32::from(claim.reads);
        self.newest = youngest(self.newest, claim.newest_ms, age);
    }
}

fn youngest(so_far: Option<Duration>, newest_ms: u16, age: Duration) -> Option<Duration> {
    if newest_ms == u16::MAX {
        return so_far;
    }
    let newest = Duration::from_millis(u64::from(newest_ms)) + age;
    Some(so_far.map_or(newest, |so_far| so_far.min(newest)))
}

/// The hash by which an incarnation of a replica is named in claims.
pub fn incarnation_hash(id: &str, birth: Option<Birth>) -> u64 {
    let seed = birth.map_or(0, |birth| birth.0);
    rapidhash_v3(id.as_bytes()) ^ seed.wrapping_mul(BIRTH_FACTOR)
}
