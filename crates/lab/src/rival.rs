//! Lists the policies to compare.

use route::policy;
use route::policy::Policy;

/// Where decisions are made and what information they use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Each daemon decides for itself from delayed reports.
    Each,
    /// One keeper decides for all daemons, across the network.
    Keeper,
    /// One scheduler without delay, with fresh reports and known output lengths: an upper bound.
    Oracle,
}

/// A policy and where it runs.
#[derive(Debug, Clone, Copy)]
pub struct Rival {
    /// Where decisions are made.
    pub mode: Mode,
    /// How decisions are made.
    pub policy: Policy,
}

/// All policies to compare, the baselines first.
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
