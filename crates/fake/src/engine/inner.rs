//! Mutable state of the engine, guarded by one lock.

use std::collections::BTreeMap;
use std::collections::HashMap;

use ident::Handle;
use serde::Deserialize;
use serde::Serialize;

use super::attempt::Attempt;
use super::attempt::Phase;
use super::attempt::Reason;
use super::cache::Cache;
use super::fence::Fences;
use super::load::Load;
use super::load::LoadHistory;
use super::message::Order;
use super::message::Refusal;
use super::settings::Role;
use super::settings::Settings;
use crate::web;

/// Injected fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Mode {
    /// No fault.
    #[default]
    Ok,
    /// Prefills and decodes make no progress.
    Stall,
    /// Exports make no progress.
    StallTransfer,
    /// The load report does not change.
    FreezeLoad,
    /// Cache events are not published.
    DropEvents,
}

/// Counters reported by `GET /control/record`.
#[derive(Debug, Default, Serialize)]
pub(super) struct Record {
    pub(super) prefills: u64,
    pub(super) prefills_wasted: u64,
    pub(super) prefill_tokens: u64,
    pub(super) decodes: u64,
    pub(super) tokens: u64,
    pub(super) cancels: u64,
    pub(super) runs: BTreeMap<String, u64>,
    pub(super) last_new_work_ms: u64,
}

/// Mutable state.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) role: Role,
    pub(super) order: Order,
    pub(super) attempts: HashMap<Handle, Attempt>,
    pub(super) cache: Cache,
    pub(super) fences: Fences,
    pub(super) loads: LoadHistory,
    pub(super) record: Record,
    pub(super) mode: Mode,
    /// Number of fault changes so far.
    pub(super) fault: u64,
    count: u64,
}

impl Inner {
    /// Creates the state of an engine that has just started.
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            role: settings.role,
            order: Order::default(),
            attempts: HashMap::new(),
            cache: Cache::new(settings.blocks, settings.event_gap, settings.seed),
            fences: Fences::new(settings.fences),
            loads: LoadHistory::default(),
            record: Record::default(),
            mode: Mode::Ok,
            fault: 0,
            count: 0,
        }
    }

    /// Refuses work for another role, or for a handle that has an attempt here.
    pub(super) fn check(&self, role: Role, handle: Handle) -> Result<(), Refusal> {
        match self.role {
            own if own != role => Err(Refusal::Role(own)),
            _ if self.attempts.contains_key(&handle) => Err(Refusal::Duplicate),
            _ => Ok(()),
        }
    }

    /// Returns the sequence number for a new attempt.
    pub(super) fn next_number(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    /// Adds an attempt.
    pub(super) fn add(&mut self, handle: Handle, attempt: Attempt) {
        *self.record.runs.entry(handle.to_string()).or_default() += 1;
        self.record.last_new_work_ms = web::unix_ms();
        self.attempts.insert(handle, attempt);
        self.record_load();
    }

    /// Removes an attempt and notifies its waiters of `reason`. Returns `false` if it is unknown.
    pub(super) fn remove(&mut self, handle: Handle, reason: Reason) -> bool {
        let Some(attempt) = self.attempts.remove(&handle) else {
            return false;
        };
        let computed = attempt.phase == Phase::Prefill && attempt.started;
        self.record.prefills += u64::from(computed);
        self.record.prefills_wasted += u64::from(computed || attempt.phase == Phase::Kept);
        attempt.end(reason);
        self.record_load();
        true
    }

    /// Records the current load.
    pub(super) fn record_load(&mut self) {
        let mut load = Load::default();
        for attempt in self.attempts.values() {
            match attempt.phase {
                Phase::Prefill => {
                    load.running += usize::from(attempt.started);
                    load.waiting += usize::from(!attempt.started);
                    load.queued_tokens += attempt.tokens;
                }
                Phase::Import | Phase::Decode => load.running += 1,
                Phase::Kept | Phase::Done => {}
            }
        }
        self.loads.record(load);
    }

    /// Returns the number of attempts for which `test` is true.
    pub(super) fn count(&self, test: impl Fn(&Attempt) -> bool) -> usize {
        self.attempts
            .values()
            .filter(|attempt| test(attempt))
            .count()
    }
}
