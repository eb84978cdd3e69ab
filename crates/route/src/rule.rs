//! The routing rules of a table row.

use std::time::Duration;

use ident::Row;

/// Share, priority, latency targets and limits of one row in one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rule {
    /// The row.
    pub row: Row,
    /// Weight among rows of the same priority under saturation.
    pub share: u32,
    /// Requests of a lower number go first; zero is the most urgent.
    pub priority: u8,
    /// Target for the time from arrival to the first token (plain: to the answer).
    pub ttft: Duration,
    /// Target for the time between tokens.
    pub tbt: Duration,
    /// Maximum time from arrival to the first token; a request that cannot keep it is refused.
    pub max_wait: Duration,
    /// Most requests of the row in prefill at once (plain: unused).
    pub prefill_ceiling: u32,
    /// Most requests of the row that hold a decode slot at once (plain: calls at once).
    pub decode_ceiling: u32,
    /// Retries allowed for each hundred first attempts.
    pub retry_percent: u32,
    /// Weight of wasted prefill against goodput, in percent.
    pub waste_percent: u32,
}
