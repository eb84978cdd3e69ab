//! Bounds the memory that all requests and answers hold together. Bounds for each of them exist as well,
//! but many large ones at once would exceed the memory of a small instance, and the system kills such a
//! process with all that it has accepted.
//!
//! Requests and answers have a budget each, so that neither keeps the other out. A request that finds no
//! room is refused before it runs. An answer that states its length is charged as a whole before it is
//! read, and waits until there is room. One without a length may have no end: it is charged as it
//! is read, and the largest such answer is ended if they hold up the others.

pub mod answer;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use slotmap::DefaultKey;
use slotmap::SlotMap;
use tokio::sync::Notify;

/// Fraction of the memory for requests.
const REQUESTS_FRACTION: f64 = 0.2;
/// Fraction of the memory for answers.
const ANSWERS_FRACTION: f64 = 0.2;
/// Fraction of the budget for requests that large bodies leave to other requests.
const SMALL_REQUESTS_FRACTION: f64 = 0.25;
/// Fraction of the budget for answers that answers without a length may hold while others wait.
const UNBOUNDED_FRACTION: f64 = 0.25;
/// Time without a byte after which an answer is ended if others wait for its memory. A sound replica
/// may be silent for a second.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes charged for each open request when it is admitted. So much of its body and of its answer is
/// not charged, so that small answers never wait.
pub const ALLOWANCE: usize = 16 * 1024;
/// Bytes by which a charge grows while a body is read.
const STEP: usize = 64 * 1024;

/// The budgets of a daemon.
#[derive(Debug)]
pub struct Memory {
    /// For open requests and their bodies.
    pub requests: Rc<Budget>,
    /// For answers until they are sent.
    pub answers: Rc<Budget>,
}

impl Memory {
    /// Budgets of a process that may use `megabytes`.
    pub fn new(megabytes: f64) -> Self {
        let part = |fraction: f64| (megabytes * 1e6 * fraction) as usize;
        Self {
            requests: Rc::new(Budget::new(part(REQUESTS_FRACTION))),
            answers: Rc::new(Budget::new(part(ANSWERS_FRACTION))),
        }
    }
}

/// A number of bytes that may be held at once. One thread uses it.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    held: Cell<usize>,
    /// Charged answers that are being read.
    readings: RefCell<SlotMap<DefaultKey, ReadingState>>,
    /// Bytes for which answers with a length wait.
    awaited: Cell<usize>,
    /// Notified when bytes are freed.
    freed: Notify,
}

/// A charged answer that is being read.
#[derive(Debug)]
struct ReadingState {
    bytes: usize,
    /// Whether it states its length.
    has_length: bool,
    read_at: Instant,
    /// Whether it was found to have stalled. It is ended only if it is found so again: bytes may have
    /// arrived while the process stood still.
    is_suspected: bool,
    is_ended: bool,
    ended: Rc<Notify>,
}

/// What follows when a charge cannot grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// Bytes will be freed.
    Wait,
    /// The answer is the largest one and has to end.
    End,
}

impl Budget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: Cell::new(0),
            readings: RefCell::default(),
            awaited: Cell::new(0),
            freed: Notify::new(),
        }
    }

    /// Bytes that may be held.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes that are held.
    pub const fn held(&self) -> usize {
        self.held.get()
    }

    /// Whether answers wait for room.
    pub const fn is_awaited(&self) -> bool {
        self.awaited.get() > 0
    }

    /// Bytes that large bodies may hold.
    pub fn limit_for_bodies(&self) -> usize {
        (self.limit as f64 * (1.0 - SMALL_REQUESTS_FRACTION)) as usize
    }

    /// Bytes left for large bodies.
    pub fn left_for_bodies(&self) -> usize {
        self.limit_for_bodies().saturating_sub(self.held())
    }

    /// Frees `bytes`.
    fn free(&self, bytes: usize) {
        if bytes > 0 {
            self.held.set(self.held() - bytes);
            self.freed.notify_waiters();
        }
    }

    /// Decides what follows when the answer `own` cannot grow; ends another answer if that is to make room.
    fn make_room(&self, own: Option<DefaultKey>) -> Next {
        let mut readings = self.readings.borrow_mut();
        if readings.values().any(|reading| reading.is_ended) {
            return Next::Wait;
        }
        let unbounded = readings.values().filter(|reading| !reading.has_length);
        let unbounded: usize = unbounded.map(|reading| reading.bytes).sum();
        let ends_unbounded = unbounded as f64 >= self.limit as f64 * UNBOUNDED_FRACTION;
        let may_end = |reading: &mut ReadingState| {
            if reading.has_length {
                let has_stalled = reading.read_at.elapsed() >= STALL_TIMEOUT;
                std::mem::replace(&mut reading.is_suspected, has_stalled) && has_stalled
            } else {
                ends_unbounded
            }
        };
        let candidates = readings
            .iter_mut()
            .filter_map(|(key, reading)| may_end(reading).then_some((key, reading)));
        match candidates.max_by_key(|(_, reading)| (!reading.has_length, reading.bytes)) {
            Some((key, _)) if Some(key) == own => Next::End,
            Some((_, reading)) => {
                reading.is_ended = true;
                reading.ended.notify_one();
                Next::Wait
            }
            None => Next::Wait,
        }
    }
}

/// Bytes of a budget; freed when this is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Rc<Budget>,
    bytes: Cell<usize>,
}

impl Charge {
    /// A charge of 0 bytes.
    pub fn new(budget: &Rc<Budget>) -> Self {
        Self {
            budget: Rc::clone(budget),
            bytes: Cell::new(0),
        }
    }

    /// Charged bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Whether the budget has `bytes` left.
    pub fn fits(&self, bytes: usize) -> bool {
        self.budget.held() + bytes <= self.budget.limit
    }

    /// Charges `bytes` more if the budget has as much left.
    #[must_use]
    pub fn try_grow(&self, bytes: usize) -> bool {
        self.try_grow_beside(bytes, 0)
    }

    /// The same if the budget has `others` bytes left besides.
    fn try_grow_beside(&self, bytes: usize, others: usize) -> bool {
        let fits = self.fits(bytes + others);
        if fits {
            self.grow(bytes);
        }
        fits
    }

    /// Charges `bytes` more for the body of a request, of which [`ALLOWANCE`] bytes are free, if the
    /// budget has as much left for large bodies.
    #[must_use]
    pub fn try_grow_to_body(&self, length: usize) -> bool {
        let missing = length.saturating_sub(ALLOWANCE + self.bytes());
        let step = missing.next_multiple_of(STEP);
        let fits = missing == 0 || step <= self.budget.left_for_bodies();
        if fits {
            self.grow(step);
        }
        fits
    }

    /// Charges `bytes` more, which are held already.
    pub fn grow(&self, bytes: usize) {
        self.bytes.set(self.bytes() + bytes);
        self.budget.held.set(self.budget.held() + bytes);
    }

    /// Sets the charge to `bytes` if that is less, or if the budget has as much left.
    #[must_use]
    pub fn try_set(&self, bytes: usize) -> bool {
        match bytes.checked_sub(self.bytes()) {
            Some(missing) => self.try_grow(missing),
            None => {
                self.shrink(self.bytes() - bytes);
                true
            }
        }
    }

    /// Frees `bytes`.
    pub fn shrink(&self, bytes: usize) {
        let bytes = bytes.min(self.bytes());
        self.bytes.set(self.bytes() - bytes);
        self.budget.free(bytes);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.free(self.bytes());
    }
}
