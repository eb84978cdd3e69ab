//! State with which this daemon measures and announces paces of replicas.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use ident::Time;
use relay::pace::log_filter::LogFilter;
use relay::pace::publisher::Publisher;
use relay::pace::standstill::Standstill;

/// Time without a run of the housekeeping, which runs every 100 ms, after which the process counts
/// as having stood still; a shorter delay hardly changes a measurement.
const MIN_STANDSTILL: Duration = Duration::from_millis(200);
/// The same after which received datagrams are taken to have waited, so that ages in them are wrong.
const MIN_FREEZE: Duration = Duration::from_secs(1);
/// What this daemon needs to measure and announce paces.
#[derive(Debug)]
pub struct Paces {
    /// What is announced, and when.
    pub publisher: RefCell<Publisher>,
    /// Whether the process stood still during a measurement.
    pub standstill: RefCell<Standstill>,
    /// Whether received datagrams may have waited.
    pub freeze: RefCell<Standstill>,
    /// Which paces are logged.
    pub log_filter: RefCell<LogFilter>,
    /// When something unusable was last logged.
    pub logged_unusable: Cell<Option<Time>>,
}

impl Paces {
    /// Without measurements.
    pub fn new() -> Self {
        Self {
            publisher: RefCell::new(Publisher::new()),
            standstill: RefCell::new(Standstill::new(MIN_STANDSTILL)),
            freeze: RefCell::new(Standstill::new(MIN_FREEZE)),
            log_filter: RefCell::new(LogFilter::new()),
            logged_unusable: Cell::new(None),
        }
    }
}

impl Default for Paces {
    fn default() -> Self {
        Self::new()
    }
}
