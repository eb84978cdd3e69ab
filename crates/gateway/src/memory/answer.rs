//! Reads answers whose memory is charged.

use std::fmt;
use std::future::pending;
use std::rc::Rc;

use boottime::Instant;
use boottime::timer::sleep;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use slotmap::DefaultKey;
use tokio::sync::Notify;

use crate::memory::ALLOWANCE;
use crate::memory::Budget;
use crate::memory::Charge;
use crate::memory::Next;
use crate::memory::ReadingState;
use crate::memory::STALL_TIMEOUT;
use crate::memory::STEP;

/// Why an answer was not read to its end.
#[derive(Debug)]
pub enum Error {
    /// It ended early.
    CutOff {
        /// What went wrong.
        cause: String,
    },
    /// It is longer than one answer may be.
    TooLong {
        /// Bytes that one answer may have.
        limit: usize,
    },
    /// It had no length and was the largest, or it had stalled, when the budget for all answers was used
    /// up.
    OverBudget {
        /// Bytes read.
        bytes: usize,
        /// Bytes that all answers may hold.
        limit: usize,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CutOff { cause } => write!(f, "the answer was cut off: {cause}"),
            Self::TooLong { limit } => write!(f, "the answer is longer than {limit} bytes"),
            Self::OverBudget { bytes, limit } => write!(
                f,
                "the answer was ended after {bytes} bytes: others wait, and all answers may hold {limit} bytes"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// The bound that ended the answer; `None` if it was cut off.
    pub const fn bound(&self) -> Option<&'static str> {
        match self {
            Self::CutOff { .. } => None,
            Self::TooLong { .. } => Some("answer"),
            Self::OverBudget { .. } => Some("all-answers"),
        }
    }
}

/// An answer while it is read.
#[derive(Debug)]
pub struct Reading {
    bytes: BytesMut,
    /// Its length, if it states one.
    length: Option<usize>,
    max_bytes: usize,
    charge: Charge,
    /// Its entry in the budget, once it is charged.
    entry: Option<Entry>,
}

/// An entry of the budget; removed when this is dropped.
#[derive(Debug)]
struct Entry {
    budget: Rc<Budget>,
    key: DefaultKey,
    ended: Rc<Notify>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.budget.readings.borrow_mut().remove(self.key);
    }
}

impl Entry {
    fn new(budget: &Rc<Budget>, has_length: bool) -> Self {
        let ended = Rc::new(Notify::new());
        let state = ReadingState {
            bytes: 0,
            has_length,
            read_at: Instant::now(),
            is_suspected: false,
            is_ended: false,
            ended: Rc::clone(&ended),
        };
        Self {
            budget: Rc::clone(budget),
            key: budget.readings.borrow_mut().insert(state),
            ended,
        }
    }

    /// Records that bytes arrived, and that `bytes` are charged.
    fn update(&self, bytes: usize) {
        if let Some(state) = self.budget.readings.borrow_mut().get_mut(self.key) {
            state.bytes = bytes;
            state.read_at = Instant::now();
            state.is_suspected = false;
        }
    }
}

/// Bytes for which an answer with a length waits; no longer when this is dropped.
struct Awaited {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Awaited {
    fn new(budget: &Rc<Budget>, bytes: usize) -> Self {
        budget.awaited.set(budget.awaited.get() + bytes);
        Self {
            budget: Rc::clone(budget),
            bytes,
        }
    }
}

impl Drop for Awaited {
    fn drop(&mut self) {
        let awaited = &self.budget.awaited;
        awaited.set(awaited.get() - self.bytes);
        self.budget.freed.notify_waiters();
    }
}

impl Reading {
    /// An answer of at most `max_bytes`, of which nothing was read, and which states its `length` or does
    /// not.
    pub fn new(budget: &Rc<Budget>, length: Option<u64>, max_bytes: usize) -> Self {
        Self {
            bytes: BytesMut::new(),
            length: length.and_then(|length| usize::try_from(length).ok()),
            max_bytes,
            charge: Charge::new(budget),
            entry: None,
        }
    }

    /// Adds `data`, waiting until the budget has room for it.
    ///
    /// # Errors
    /// `TooLong` or `OverBudget`.
    pub async fn push(&mut self, data: &[u8]) -> Result<(), Error> {
        let known = self.bytes.len() + data.len();
        let length = known.max(self.length.unwrap_or_default());
        if length > self.max_bytes {
            return Err(Error::TooLong {
                limit: self.max_bytes,
            });
        }
        let missing = length.saturating_sub(ALLOWANCE + self.charge.bytes());
        if missing > 0 {
            self.grow(missing).await?;
        }
        if let Some(entry) = &self.entry {
            entry.update(self.charge.bytes());
        }
        // A copy: parts of the connection's read buffer would keep all of it.
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Charges `bytes` more.
    async fn grow(&mut self, bytes: usize) -> Result<(), Error> {
        let budget = Rc::clone(&self.charge.budget);
        let has_length = self.length.is_some();
        let bytes = if has_length {
            let length = self.length.unwrap_or_default();
            self.bytes.reserve(length.saturating_sub(self.bytes.len()));
            bytes
        } else {
            bytes.next_multiple_of(STEP)
        };
        let mut awaited = None;
        // Answers without a length leave the room to those that wait for it.
        let others = || if has_length { 0 } else { budget.awaited.get() };
        while !self.charge.try_grow_beside(bytes, others()) {
            if budget.make_room(self.entry.as_ref().map(|entry| entry.key)) == Next::End {
                return Err(self.over_budget());
            }
            if has_length {
                awaited.get_or_insert_with(|| Awaited::new(&budget, bytes));
            }
            tokio::select! {
                () = budget.freed.notified() => {}
                // An answer may have stalled meanwhile.
                () = sleep(STALL_TIMEOUT) => {}
                () = self.ended() => return Err(self.over_budget()),
            }
        }
        self.entry
            .get_or_insert_with(|| Entry::new(&budget, has_length));
        Ok(())
    }

    /// Waits until the answer has to end since it is the largest one.
    async fn ended(&self) {
        match &self.entry {
            Some(entry) => entry.ended.notified().await,
            None => pending().await,
        }
    }

    fn over_budget(&self) -> Error {
        Error::OverBudget {
            bytes: self.bytes.len(),
            limit: self.charge.budget.limit,
        }
    }

    /// Awaits `next`, the next part of the answer.
    ///
    /// # Errors
    /// `OverBudget` if the answer has to end meanwhile.
    pub async fn wait_for<T>(&self, next: impl Future<Output = T>) -> Result<T, Error> {
        tokio::select! {
            biased;
            () = self.ended() => Err(self.over_budget()),
            next = next => Ok(next),
        }
    }

    /// The complete answer.
    pub fn finish(self) -> Answer {
        Answer {
            bytes: self.bytes.freeze(),
            charge: self.charge,
        }
    }
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// Its body.
    pub bytes: Bytes,
    /// Its memory.
    pub charge: Charge,
}

/// Reads the rest of an answer of at most `max_bytes`.
///
/// # Errors
/// [`Error`].
pub async fn read<B>(budget: &Rc<Budget>, body: B, max_bytes: usize) -> Result<Answer, Error>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: fmt::Display,
{
    let mut body = body;
    let mut reading = Reading::new(budget, body.size_hint().exact(), max_bytes);
    while let Some(frame) = reading.wait_for(body.frame()).await? {
        let frame = frame.map_err(|error| Error::CutOff {
            cause: error.to_string(),
        })?;
        if let Ok(data) = frame.into_data() {
            reading.push(&data).await?;
        }
    }
    Ok(reading.finish())
}
