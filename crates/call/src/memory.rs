//! Memory for the answers that are being read.
//!
//! A bound for each answer alone is none for all of them. Beyond the memory the largest answer ends:
//! ending others would let one peer use up what all the others need.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::oneshot;

/// Memory that the answers of a client share.
#[derive(Debug, Clone)]
pub struct Memory {
    capacity: usize,
    answers: Arc<Mutex<Answers>>,
}

#[derive(Debug, Default)]
struct Answers {
    used: usize,
    last: u64,
    sizes: HashMap<u64, Size>,
}

#[derive(Debug)]
struct Size {
    bytes: usize,
    /// Dropped when the answer has to end.
    _end: oneshot::Sender<()>,
}

impl Memory {
    /// A memory of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            answers: Arc::default(),
        }
    }

    /// An empty share for one answer.
    pub(crate) fn share(&self) -> Share {
        let (sender, end) = oneshot::channel();
        let mut answers = lock(&self.answers);
        answers.last += 1;
        let number = answers.last;
        let size = Size {
            bytes: 0,
            _end: sender,
        };
        answers.sizes.insert(number, size);
        drop(answers);
        Share {
            memory: self.clone(),
            number,
            end,
        }
    }
}

/// What one answer takes of a memory; returned to it when dropped.
#[derive(Debug)]
pub(crate) struct Share {
    memory: Memory,
    number: u64,
    end: oneshot::Receiver<()>,
}

impl Share {
    /// Takes `bytes` more; beyond the capacity, the largest answers end, perhaps this one.
    pub(crate) fn take(&self, bytes: usize) {
        let mut answers = lock(&self.memory.answers);
        if let Some(size) = answers.sizes.get_mut(&self.number) {
            size.bytes += bytes;
            answers.used += bytes;
        }
        while answers.used > self.memory.capacity {
            let largest = answers.sizes.iter().max_by_key(|(_, size)| size.bytes);
            let Some(largest) = largest.map(|(number, _)| *number) else {
                return;
            };
            answers.end(largest);
        }
    }

    /// Completes once the answer has to end.
    pub(crate) async fn ended(&mut self) {
        // No value is ever sent.
        let _ = (&mut self.end).await;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        lock(&self.memory.answers).end(self.number);
    }
}

impl Answers {
    fn end(&mut self, number: u64) {
        if let Some(size) = self.sizes.remove(&number) {
            self.used -= size.bytes;
        }
    }
}

fn lock(answers: &Mutex<Answers>) -> MutexGuard<'_, Answers> {
    answers.lock().unwrap_or_else(PoisonError::into_inner)
}
