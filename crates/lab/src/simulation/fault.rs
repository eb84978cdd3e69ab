//! Injects a fault into a run.

use std::time::Duration;

use ident::Time;
use route::phase::Phase;
use route::replica::Role;

use crate::engine::Attempt;
use crate::rival::Mode;
use crate::simulation::Event;
use crate::simulation::Simulation;
use crate::simulation::outcome::Outcome;

/// When the fault begins.
const BEGIN: Time = Time::from_millis(40_000);
/// When the fault ends.
const END: Time = Time::from_millis(70_000);
/// Time until the other daemons detect a dead one.
const DETECTION: Duration = Duration::from_millis(1_500);
/// Time until all owners have reported their requests to a new keeper.
const RESYNC_TIME: Duration = Duration::from_millis(100);
/// Time after which the reservations of a dead daemon are released.
const ORPHAN_RELEASE: Duration = Duration::from_secs(3);
/// The daemon that dies; the keeper, if there is one.
pub(super) const DEAD_DAEMON: usize = 0;

/// A fault that lasts for part of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A decode and a prefill replica die and restart.
    ReplicaDies,
    /// The link between two data centres keeps 3 % of its rate.
    LinkStalls,
    /// Replicas stop updating the load that they report.
    ReportsFreeze,
    /// Half of the cache events are lost.
    EventsLost,
    /// An entry daemon, the keeper if there is one, dies.
    DaemonDies,
    /// One caller in ten cancels its request.
    CallersCancel,
}

impl Fault {
    /// All faults with their names in tables.
    pub const ALL: [(&'static str, Self); 6] = [
        ("replica_dies", Self::ReplicaDies),
        ("link_stalls", Self::LinkStalls),
        ("reports_freeze", Self::ReportsFreeze),
        ("events_lost", Self::EventsLost),
        ("daemon_dies", Self::DaemonDies),
        ("callers_cancel", Self::CallersCancel),
    ];
}

impl Simulation {
    pub(super) fn schedule_fault(&mut self) {
        self.schedule_at(BEGIN, Event::Fault(0));
        self.schedule_at(BEGIN + DETECTION, Event::Fault(1));
        self.schedule_at(BEGIN + DETECTION + RESYNC_TIME, Event::Fault(2));
        self.schedule_at(BEGIN + ORPHAN_RELEASE, Event::Fault(3));
        self.schedule_at(END, Event::Fault(4));
    }

    pub(super) fn fault(&mut self, step: u8) {
        match (self.setup.fault, step) {
            (Fault::ReplicaDies, 0) => self.kill_replicas(),
            (Fault::ReplicaDies, 4) => self.engines.iter_mut().for_each(|engine| engine.up = true),
            (Fault::LinkStalls, 0) => self.network.stall(Some((0, 1))),
            (Fault::LinkStalls, 4) => self.network.stall(None),
            (Fault::DaemonDies, 0) => self.kill_daemon(),
            (Fault::DaemonDies, 1) if self.setup.rival.mode == Mode::Keeper => self.resync(),
            (Fault::DaemonDies, 2) => self.end_keeper_grace(),
            (Fault::DaemonDies, 3) => self.release_orphaned(),
            _ => (),
        }
    }

    /// Whether replicas do not update their published load.
    pub(super) fn is_frozen(&self) -> bool {
        self.setup.fault == Fault::ReportsFreeze && self.now >= BEGIN && self.now < END
    }

    /// Whether `owner` is dead.
    pub(super) fn is_dead(&self, owner: usize) -> bool {
        self.setup.fault == Fault::DaemonDies && owner == DEAD_DAEMON && self.now >= BEGIN
    }

    fn kill_replicas(&mut self) {
        for role in [Role::Decode, Role::Prefill] {
            let index = self.engines.iter().rposition(|engine| engine.role == role);
            let Some(index) = index else {
                continue;
            };
            let engine = &mut self.engines[index];
            let held = engine.held.clone();
            let mut hit: Vec<Attempt> = engine.queue.iter().copied().collect();
            hit.extend(engine.running.map(|running| running.0));
            engine.reboot();
            engine.up = false;
            for attempt in &held {
                self.uncount_decode(*attempt);
            }
            for attempt in held.into_iter().chain(hit) {
                self.schedule_after(
                    self.replica_delay(attempt, index),
                    Event::Failed(attempt, index),
                );
            }
            self.report_lost(index);
        }
    }

    fn kill_daemon(&mut self) {
        match self.setup.rival.mode {
            Mode::Each | Mode::Keeper => self.schedulers[..2]
                .iter_mut()
                .for_each(|s| s.alive = false),
            Mode::Oracle => (),
        }
        for attempt in 0..self.attempts.len() {
            if self.attempts[attempt].owner == DEAD_DAEMON && !self.attempts[attempt].ended {
                self.abandon(attempt);
                self.set_outcome(self.attempts[attempt].request, Outcome::Failed);
            }
        }
    }

    /// Releases what the dead daemon's requests hold on replicas.
    fn release_orphaned(&mut self) {
        for attempt in 0..self.attempts.len() {
            if self.attempts[attempt].owner == DEAD_DAEMON && self.attempts[attempt].ended {
                self.release(attempt);
                self.send_phase(attempt, Phase::Gone);
            }
        }
    }
}
