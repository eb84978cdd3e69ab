//! Limits the total memory of request bodies.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// The memory available to all request bodies together.
#[derive(Debug, Clone)]
pub struct Budget {
    free: Arc<AtomicUsize>,
}

impl Budget {
    /// A budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self {
            free: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// An empty grant.
    pub fn grant(&self) -> Grant {
        Grant {
            free: Arc::clone(&self.free),
            taken: 0,
        }
    }
}

/// Bytes taken from a budget; returned to it when dropped.
#[derive(Debug)]
pub struct Grant {
    free: Arc<AtomicUsize>,
    taken: usize,
}

impl Grant {
    /// Takes `bytes` more; false if the budget does not have that many left.
    pub fn take(&mut self, bytes: usize) -> bool {
        let taken = self
            .free
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| {
                free.checked_sub(bytes)
            });
        if taken.is_ok() {
            self.taken += bytes;
        }
        taken.is_ok()
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.free.fetch_add(self.taken, Ordering::Relaxed);
    }
}
