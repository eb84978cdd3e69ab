//! The policies that are measured side by side.

use route::policy;
use route::policy::Policy;

/// Where decisions are made and what they see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Each daemon decides for itself from lagging reports.
    Each,
    /// One keeper decides for all, at network distance.
    Keeper,
    /// One decider without delay, with fresh reports and known lengths: an upper bound.
    Oracle,
}

/// One policy under measurement.
#[derive(Debug, Clone, Copy)]
pub struct Rival {
    /// Where it runs.
    pub mode: Mode,
    /// What it does.
    pub policy: Policy,
}

/// All rivals, the baselines first.
pub fn all() -> Vec<Rival> {
    let each = |policy| Rival {
        mode: Mode::Each,
        policy,
    };
    let keeper = |policy| Rival {
        mode: Mode::Keeper,
        policy,
    };
    vec![
        each(policy::baseline::round_robin()),
        each(policy::baseline::least_loaded()),
        each(policy::baseline::two_choices()),
        keeper(policy::reserved::policy()),
        keeper(policy::predicted::policy()),
        keeper(policy::affine::policy()),
        keeper(policy::deadline::policy()),
        Rival {
            mode: Mode::Oracle,
            policy: policy::oracle::policy(),
        },
    ]
}
