//! Orders that change the model, adapter, version or role of an engine.

use serde::Deserialize;
use serde::Serialize;

use crate::state::Role;

/// The changes; `None` leaves a field unchanged.
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

/// The configuration of the engine after an order.
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
