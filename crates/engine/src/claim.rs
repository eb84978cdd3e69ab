//! The fields that identify an attempt in every engine call.

use ident::Handle;
use ident::Incarnation;
use serde::Serialize;

use crate::text;

/// Identifies an attempt, its owner and the owner's fencing number.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Claim {
    /// The attempt.
    #[serde(serialize_with = "text::display")]
    pub handle: Handle,
    /// The daemon run that owns it.
    #[serde(serialize_with = "text::display")]
    pub owner: Incarnation,
    /// Fencing number of the owner for this attempt.
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
