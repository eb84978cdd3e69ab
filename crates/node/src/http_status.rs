//! HTTP status codes of replicas that the core tells apart.

/// The handle is unknown.
pub(crate) const NOT_FOUND: u16 = 404;
/// Refused for a higher fencing number, or the handle was cancelled.
pub(crate) const CONFLICT: u16 = 409;
/// The prefill result is gone.
pub(crate) const GONE: u16 = 410;
/// No slot.
pub(crate) const TOO_MANY: u16 = 429;
