//! Bounds and defaults of the columns of a row.

/// The number of key columns, which come first in a row.
pub const KEY_COLUMNS: usize = 3;
/// The longest text in a key column, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The largest share.
pub const MAX_SHARE: u32 = 1_000_000;
/// The last priority; zero is the highest.
pub const MAX_PRIORITY: u8 = 9;
/// The largest latency target or wait: one day, in milliseconds.
pub const MAX_DURATION_MS: u32 = 86_400_000;
/// The largest ceiling, in requests at once.
pub const MAX_CEILING: u32 = 10_000_000;

/// Default of `share`.
pub const DEFAULT_SHARE: u32 = 1;
/// Default of `priority`.
pub const DEFAULT_PRIORITY: u8 = 5;
/// Default of `ttft_ms`.
pub const DEFAULT_TTFT_MS: u32 = 2_000;
/// Default of `tbt_ms`.
pub const DEFAULT_TBT_MS: u32 = 50;
/// Default of `max_wait_ms`, raised to `ttft_ms` where that is longer.
pub const DEFAULT_MAX_WAIT_MS: u32 = 10_000;
/// Default of `prefill_ceiling`.
pub const DEFAULT_PREFILL_CEILING: u32 = 256;
/// Default of `decode_ceiling`.
pub const DEFAULT_DECODE_CEILING: u32 = 1_024;
/// Default of `retry_percent`.
pub const DEFAULT_RETRY_PERCENT: u8 = 10;
/// Default of `waste_percent`.
pub const DEFAULT_WASTE_PERCENT: u8 = 50;
