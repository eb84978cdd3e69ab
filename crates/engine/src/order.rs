//! Orders that change what an engine serves.

use serde::Deserialize;
use serde::Serialize;

use crate::state::Role;

/// What is to change; `None` leaves a field as it is.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Request {
    /// Fencing number of the order.
    pub fence: u64,
    /// Model to load.
    pub model: Option<String>,
    /// Adapter to load.
    pub adapter: Option<String>,
    /// Version to load.
    pub version: Option<String>,
    /// Role to take.
    pub role: Option<Role>,
}

/// What the engine serves after an order.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Reply {
    /// Start number of the engine.
    pub boot: u64,
    /// Role.
    pub role: Role,
    /// Model.
    pub model: Option<String>,
    /// Adapter.
    pub adapter: Option<String>,
    /// Version.
    pub version: Option<String>,
}
