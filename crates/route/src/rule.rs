//! The part of a table row that governs routing.

use std::time::Duration;

use ident::Row;

/// Shares, priority, latency targets and limits of one row, as seen by one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rule {
    /// The row.
    pub row: Row,
    /// Weight against rows of the same priority when the cell is saturated.
    pub share: u32,
    /// Requests of a lower number go first; zero is the most urgent.
    pub priority: u8,
    /// Target for the time from arrival to the first token (plain: to the answer).
    pub ttft: Duration,
    /// Target for the time between tokens.
    pub tbt: Duration,
    /// The longest time from arrival to the first token; a request that cannot keep it is refused.
    pub max_wait: Duration,
    /// Requests of the row that may be in prefill at once (plain: no meaning).
    pub prefill_ceiling: u32,
    /// Requests of the row that may hold a decode slot at once (plain: calls at once).
    pub decode_ceiling: u32,
    /// Retries granted for each hundred first attempts.
    pub retry_percent: u32,
    /// How strongly wasted prefill weighs against goodput, in percent.
    pub waste_percent: u32,
}
