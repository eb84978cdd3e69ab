//! The state of the engine, behind one lock.

use std::collections::BTreeMap;
use std::collections::HashMap;

use ident::Handle;
use serde::Deserialize;
use serde::Serialize;

use super::cache::Cache;
use super::fence::Fences;
use super::load::Load;
use super::load::Loads;
use super::message::Order;
use super::message::Refusal;
use super::settings::Role;
use super::settings::Settings;
use super::work::Phase;
use super::work::Reason;
use super::work::Work;
use crate::web;

/// What goes wrong on purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Mode {
    /// Nothing.
    #[default]
    Ok,
    /// Neither prefills nor decodes go on.
    Stall,
    /// Exports do not go on.
    StallTransfer,
    /// The load report does not change.
    FreezeLoad,
    /// Cache events are not published.
    DropEvents,
}

/// Counts of what happened.
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

/// All that changes.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) role: Role,
    pub(super) order: Order,
    pub(super) works: HashMap<Handle, Work>,
    pub(super) cache: Cache,
    pub(super) fences: Fences,
    pub(super) loads: Loads,
    pub(super) record: Record,
    pub(super) mode: Mode,
    /// Number of the fault that is set.
    pub(super) fault: u64,
    count: u64,
}

impl Inner {
    /// The state of an engine that has just started.
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            role: settings.role,
            order: Order::default(),
            works: HashMap::new(),
            cache: Cache::new(settings.blocks, settings.event_gap, settings.seed),
            fences: Fences::new(settings.fences),
            loads: Loads::default(),
            record: Record::default(),
            mode: Mode::Ok,
            fault: 0,
            count: 0,
        }
    }

    /// Refuses work for a role that the engine has not, or for a handle that is at work.
    pub(super) fn check(&self, role: Role, handle: Handle) -> Result<(), Refusal> {
        match self.role {
            own if own != role => Err(Refusal::Role(own)),
            _ if self.works.contains_key(&handle) => Err(Refusal::Duplicate),
            _ => Ok(()),
        }
    }

    /// A number for an attempt that comes.
    pub(super) fn number(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    /// Adds an attempt.
    pub(super) fn add(&mut self, handle: Handle, work: Work) {
        *self.record.runs.entry(handle.to_string()).or_default() += 1;
        self.record.last_new_work_ms = web::unix_ms();
        self.works.insert(handle, work);
        self.note_load();
    }

    /// Removes an attempt and tells all who wait for it why; `false` if it was unknown.
    pub(super) fn remove(&mut self, handle: Handle, reason: Reason) -> bool {
        let Some(work) = self.works.remove(&handle) else {
            return false;
        };
        let computed = work.phase == Phase::Prefill && work.started;
        self.record.prefills += u64::from(computed);
        self.record.prefills_wasted += u64::from(computed || work.phase == Phase::Kept);
        work.end(reason);
        self.note_load();
        true
    }

    /// Notes the load after a change.
    pub(super) fn note_load(&mut self) {
        let mut load = Load::default();
        for work in self.works.values() {
            match work.phase {
                Phase::Prefill => {
                    load.running += usize::from(work.started);
                    load.waiting += usize::from(!work.started);
                    load.queued_tokens += work.tokens;
                }
                Phase::Import | Phase::Decode => load.running += 1,
                Phase::Kept | Phase::Done => {}
            }
        }
        self.loads.note(load);
    }

    /// The number of attempts that `test` picks.
    pub(super) fn count(&self, test: impl Fn(&Work) -> bool) -> usize {
        self.works.values().filter(|work| test(work)).count()
    }
}
