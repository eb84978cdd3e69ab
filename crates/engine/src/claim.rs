//! The fields by which every call names an attempt.

use ident::Handle;
use ident::Incarnation;
use serde::Serialize;

use crate::text;

/// Names an attempt, its owner and the owner's fencing number.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Claim {
    /// The attempt.
    #[serde(serialize_with = "text::display")]
    pub handle: Handle,
    /// The daemon run that answers for it.
    #[serde(serialize_with = "text::display")]
    pub owner: Incarnation,
    /// Fencing number of that owner for this attempt.
    pub fence: u64,
}

impl Claim {
    /// The claim of `owner` on `handle` with `fence`.
    pub const fn new(handle: Handle, owner: Incarnation, fence: u64) -> Self {
        Self {
            handle,
            owner,
            fence,
        }
    }
}
