//! What goes wrong in a world, and when.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::strategy::Strategy;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Most faults of one plan.
const MAX_STROKES: usize = 10;
/// When the last fault begins, in milliseconds.
pub const CHAOS_MS: u32 = 10_000;
/// Longest duration of a fault, in milliseconds.
const MAX_SPAN_MS: u32 = 7_000;

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
    StoreLoses,
    /// The store takes seconds.
    StoreSlow,
    /// A replica restarts with empty memory.
    Reboot,
    /// A replica does nothing.
    Stall,
    /// A replica takes orders, and its answers are lost.
    Lose,
    /// A replica refuses new work.
    Refuse,
    /// Frames between daemons are lost, doubled and late more often.
    Storm,
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
    Fault::StoreLoses,
    Fault::StoreSlow,
    Fault::Reboot,
    Fault::Stall,
    Fault::Lose,
    Fault::Refuse,
    Fault::Storm,
    Fault::Edit,
    Fault::Drain,
    Fault::Undrain,
];

/// One fault at one time.
#[derive(Debug, Clone, Copy)]
pub struct Stroke {
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

impl Stroke {
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
    pub hosts: usize,
    /// Number of callers.
    pub callers: usize,
    /// The faults.
    pub strokes: Vec<Stroke>,
}

impl Plan {
    /// A plan without faults.
    pub const fn new(seed: u64, hosts: usize, callers: usize) -> Self {
        Self {
            seed,
            hosts,
            callers,
            strokes: Vec::new(),
        }
    }

    /// The same plan with `strokes`.
    #[must_use]
    pub fn with_strokes(mut self, strokes: &[Stroke]) -> Self {
        self.strokes = strokes.to_vec();
        self
    }

    /// The plan that `seed` stands for.
    pub fn random(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let hosts = rng.random_range(1..=5);
        let count = rng.random_range(0..=MAX_STROKES);
        let strokes: Vec<Stroke> = (0..count).map(|_| random_stroke(&mut rng)).collect();
        Self::new(seed, hosts, 14).with_strokes(&strokes)
    }

    /// All plans.
    pub fn strategy() -> impl Strategy<Value = Self> {
        let stroke = (
            0..CHAOS_MS,
            prop::sample::select(FAULTS.to_vec()),
            any::<u8>(),
            any::<u8>(),
            1..MAX_SPAN_MS,
        );
        let stroke = stroke.prop_map(|(at, fault, a, b, ms)| Stroke::new(at, fault, a, b, ms));
        let plan = (
            any::<u64>(),
            1..=5_usize,
            1..=14_usize,
            vec(stroke, 0..=MAX_STROKES),
        );
        plan.prop_map(|(seed, hosts, callers, strokes)| {
            Self::new(seed, hosts, callers).with_strokes(&strokes)
        })
    }
}

fn random_stroke(rng: &mut Pcg64Mcg) -> Stroke {
    let fault = FAULTS[rng.random_range(0..FAULTS.len())];
    let at = rng.random_range(0..CHAOS_MS);
    let span = rng.random_range(1..MAX_SPAN_MS);
    Stroke::new(at, fault, rng.random(), rng.random(), span)
}
