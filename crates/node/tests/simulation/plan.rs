//! What goes wrong in a world, and when.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::strategy::Strategy;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Most faults of one plan.
const MAX_FAULTS: usize = 10;
/// When the last fault begins, in milliseconds.
pub const FAULTS_END_MS: u32 = 10_000;
/// Longest duration of a fault, in milliseconds.
const MAX_FAULT_MS: u32 = 7_000;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The daemon dies and is replaced after a while.
    Kill,
    /// The daemon is paused.
    Pause,
    /// The daemon is asked for a planned stop, and replaced once it has ended.
    Stop,
    /// Two daemons do not reach each other.
    CutPeers,
    /// A daemon reaches neither its peers nor the store, but callers reach it.
    Isolate,
    /// A daemon does not reach the store.
    CutStore,
    /// A daemon does not reach a replica.
    CutReplica,
    /// The store refuses every query.
    StoreDown,
    /// Queries take effect and their answers are lost.
    StoreLosesAnswers,
    /// The store takes seconds.
    StoreSlow,
    /// A replica restarts with empty memory.
    Reboot,
    /// A replica does nothing.
    Stall,
    /// A replica takes orders, and its answers are lost.
    LoseAnswers,
    /// A replica refuses new work.
    Refuse,
    /// Frames between daemons are lost, doubled and late more often.
    UnreliableNetwork,
    /// An operator changes a row.
    Edit,
    /// An operator marks a replica to drain.
    Drain,
    /// An operator takes the mark away.
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

/// One fault at one time.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledFault {
    /// When it begins, in milliseconds.
    pub at_ms: u32,
    /// What happens.
    pub fault: Fault,
    /// The daemon or replica hit, modulo their number.
    pub a: u8,
    /// The second one.
    pub b: u8,
    /// How long it lasts, in milliseconds.
    pub ms: u32,
}

impl ScheduledFault {
    /// A fault from `at_ms` on, for `ms`, at `a` and `b`.
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

/// A whole case.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seeds everything that the faults leave open.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of callers.
    pub callers: usize,
    /// The faults.
    pub faults: Vec<ScheduledFault>,
}

impl Plan {
    /// A plan without faults.
    pub const fn new(seed: u64, daemons: usize, callers: usize) -> Self {
        Self {
            seed,
            daemons,
            callers,
            faults: Vec::new(),
        }
    }

    /// The same plan with `strokes`.
    #[must_use]
    pub fn with_faults(mut self, faults: &[ScheduledFault]) -> Self {
        self.faults = faults.to_vec();
        self
    }

    /// The plan that `seed` stands for.
    pub fn random(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let daemons = rng.random_range(1..=5);
        let count = rng.random_range(0..=MAX_FAULTS);
        let faults: Vec<ScheduledFault> = (0..count).map(|_| random_fault(&mut rng)).collect();
        Self::new(seed, daemons, 14).with_faults(&faults)
    }

    /// All plans.
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
