//! Fourth policy, in force: requests go by their due date, with a bias to short prefills.

use ident::Time;

use crate::policy::Criteria;
use crate::policy::Policy;
use crate::policy::affine;

/// The policy.
pub const fn policy() -> Policy {
    Policy {
        name: "deadline",
        order,
        ..affine::policy()
    }
}

/// The due date, put off by the request's own shortest time to the first token.
pub(crate) fn order(criteria: &Criteria<'_>) -> Time {
    criteria.due + criteria.min_ttft
}
