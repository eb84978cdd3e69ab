//! Deadline policy, the default: requests are ordered by due time, with a bias to short prefills.

use ident::Time;

use crate::policy::Criteria;
use crate::policy::Policy;
use crate::policy::affine;

/// Extends the prefix-affine policy by the order of due times.
pub const fn policy() -> Policy {
    Policy {
        name: "deadline",
        order,
        ..affine::policy()
    }
}

/// The due time, delayed by the request's shortest time to the first token.
pub(crate) fn order(criteria: &Criteria<'_>) -> Time {
    criteria.due + criteria.min_ttft
}
