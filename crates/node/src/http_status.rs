//! HTTP status codes of replicas that the core distinguishes.

/// The handle is unknown.
pub(crate) const NOT_FOUND: u16 = 404;
/// The replica has seen a higher fencing number, or the handle was cancelled.
pub(crate) const CONFLICT: u16 = 409;
/// The prefill result is no longer available.
pub(crate) const GONE: u16 = 410;
/// The replica has no free slot.
pub(crate) const TOO_MANY: u16 = 429;
