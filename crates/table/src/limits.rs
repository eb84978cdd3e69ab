//! Limits and defaults of the columns of a row.

/// Number of key columns, which are the first columns of a row.
pub const KEY_COLUMNS: usize = 3;
/// Maximum length of a name in a key column, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum share.
pub const MAX_SHARE: u32 = 1_000_000;
/// Largest priority number, which is the lowest priority; zero is the highest.
pub const MAX_PRIORITY: u8 = 9;
/// Maximum latency target or wait, in milliseconds: one day.
pub const MAX_DURATION_MS: u32 = 86_400_000;
/// Maximum ceiling, in concurrent requests.
pub const MAX_CEILING: u32 = 10_000_000;

/// Default of `share`.
pub const DEFAULT_SHARE: u32 = 1;
/// Default of `priority`.
pub const DEFAULT_PRIORITY: u8 = 5;
/// Default of `ttft_ms`.
pub const DEFAULT_TTFT_MS: u32 = 2_000;
/// Default of `tbt_ms`.
pub const DEFAULT_TBT_MS: u32 = 50;
/// Default of `max_wait_ms`, raised to `ttft_ms` if that is longer.
pub const DEFAULT_MAX_WAIT_MS: u32 = 10_000;
/// Default of `prefill_ceiling`.
pub const DEFAULT_PREFILL_CEILING: u32 = 256;
/// Default of `decode_ceiling`.
pub const DEFAULT_DECODE_CEILING: u32 = 1_024;
/// Default of `retry_percent`.
pub const DEFAULT_RETRY_PERCENT: u8 = 10;
/// Default of `waste_percent`.
pub const DEFAULT_WASTE_PERCENT: u8 = 50;
