//! Plans of a simulation: its size, its seed and its faults.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::strategy::Strategy;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Maximum number of faults in one plan.
const MAX_FAULTS: usize = 10;
/// Time at which all faults end, in milliseconds; each begins before it.
pub const FAULTS_END_MS: u32 = 10_000;
/// Longest duration of a fault, in milliseconds.
const MAX_FAULT_MS: u32 = 7_000;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The daemon dies and restarts after a delay.
    Kill,
    /// The daemon is paused.
    Pause,
    /// The daemon gets a planned stop and restarts after it has ended.
    Stop,
    /// Two daemons cannot reach each other.
    CutPeers,
    /// A daemon reaches neither its peers nor the store, but callers reach it.
    Isolate,
    /// A daemon cannot reach the store.
    CutStore,
    /// A daemon cannot reach a replica.
    CutReplica,
    /// The store refuses every query.
    StoreDown,
    /// Queries take effect, but their answers are lost.
    StoreLosesAnswers,
    /// The store takes seconds to answer.
    StoreSlow,
    /// A replica restarts with empty memory.
    Reboot,
    /// A replica processes nothing.
    Stall,
    /// A replica accepts orders, but its answers are lost.
    LoseAnswers,
    /// A replica refuses new work.
    Refuse,
    /// Frames between daemons are lost, duplicated and late more often.
    UnreliableNetwork,
    /// Operators change rows.
    Edit,
    /// An operator drains a replica.
    Drain,
    /// An operator ends the draining of a replica.
    Undrain,
}

const FAULTS: [Fault; 18] = [
    Fault::Kill,
    Fault::Pause,
    Fault::Stop,
    Fault::CutPeers,
    Fault::Isolate,
    Fault::CutStore,
    Fault::CutReplica,
    Fault::StoreDown,
    Fault::StoreLosesAnswers,
    Fault::StoreSlow,
    Fault::Reboot,
    Fault::Stall,
    Fault::LoseAnswers,
    Fault::Refuse,
    Fault::UnreliableNetwork,
    Fault::Edit,
    Fault::Drain,
    Fault::Undrain,
];

/// A fault with its time and target.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledFault {
    /// When it begins, in milliseconds.
    pub at_ms: u32,
    /// The kind of fault.
    pub fault: Fault,
    /// Index of the daemon, modulo the number of daemons.
    pub a: u8,
    /// Index of the second daemon, the replica or the edit, modulo their number.
    pub b: u8,
    /// How long it lasts, in milliseconds.
    pub ms: u32,
}

impl ScheduledFault {
    /// Creates a fault that begins at `at_ms`, lasts `ms` and hits `a` and `b`.
    pub const fn new(at_ms: u32, fault: Fault, a: u8, b: u8, ms: u32) -> Self {
        Self {
            at_ms,
            fault,
            a,
            b,
            ms,
        }
    }
}

/// Input of one simulation.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of all random choices that the faults do not fix.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of callers.
    pub callers: usize,
    /// Faults, in any order.
    pub faults: Vec<ScheduledFault>,
}

impl Plan {
    /// Creates a plan without faults.
    pub const fn new(seed: u64, daemons: usize, callers: usize) -> Self {
        Self {
            seed,
            daemons,
            callers,
            faults: Vec::new(),
        }
    }

    /// Sets the faults.
    #[must_use]
    pub fn with_faults(mut self, faults: &[ScheduledFault]) -> Self {
        self.faults = faults.to_vec();
        self
    }

    /// Derives a plan from `seed`.
    pub fn random(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let daemons = rng.random_range(1..=5);
        let count = rng.random_range(0..=MAX_FAULTS);
        let faults: Vec<ScheduledFault> = (0..count).map(|_| random_fault(&mut rng)).collect();
        Self::new(seed, daemons, 14).with_faults(&faults)
    }

    /// Generates plans for `proptest`.
    pub fn strategy() -> impl Strategy<Value = Self> {
        let fault = (
            0..FAULTS_END_MS,
            prop::sample::select(FAULTS.to_vec()),
            any::<u8>(),
            any::<u8>(),
            1..MAX_FAULT_MS,
        );
        let fault =
            fault.prop_map(|(at, fault, a, b, ms)| ScheduledFault::new(at, fault, a, b, ms));
        let plan = (
            any::<u64>(),
            1..=5_usize,
            1..=14_usize,
            vec(fault, 0..=MAX_FAULTS),
        );
        plan.prop_map(|(seed, daemons, callers, faults)| {
            Self::new(seed, daemons, callers).with_faults(&faults)
        })
    }
}

fn random_fault(rng: &mut Pcg64Mcg) -> ScheduledFault {
    let fault = FAULTS[rng.random_range(0..FAULTS.len())];
    let at = rng.random_range(0..FAULTS_END_MS);
    let span = rng.random_range(1..MAX_FAULT_MS);
    ScheduledFault::new(at, fault, rng.random(), rng.random(), span)
}
