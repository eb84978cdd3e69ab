//! Applies the faults of the plan.

use std::time::Duration;

use ident::Time;
use node::event::Event;
use node::event::Failure;
use rand::RngExt;

use super::Simulation;
use super::network::Link;
use super::plan::Fault;
use super::plan::ScheduledFault;
use super::sim_event::SimEvent;

impl Simulation {
    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = self.plan.faults[index];
        self.trace_line(|| format!("{fault:?}"));
        let daemon = usize::from(fault.a) % self.daemons.len();
        let peer = usize::from(fault.b) % self.daemons.len();
        let engine = usize::from(fault.b) % self.engines.len();
        let end = self.now + Duration::from_millis(fault.ms.into());
        match fault.fault {
            Fault::Kill => self.kill(daemon, fault),
            Fault::Pause => self.pause(daemon, end),
            Fault::Stop => self.stop(daemon),
            Fault::CutPeers => self.network.cut(Link::peers(daemon, peer), end),
            Fault::Isolate => self.isolate(daemon, end),
            Fault::CutStore => self.network.cut(Link::Store(daemon), end),
            Fault::CutReplica => self.network.cut(Link::Replica(daemon, engine), end),
            Fault::StoreDown => self.store.down_until = end,
            Fault::StoreLosesAnswers => self.store.loses_answers_until = end,
            Fault::StoreSlow => self.store.slow_until = end,
            Fault::Reboot => self.reboot(engine),
            Fault::Stall => self.engines[engine].stalled_until = end,
            Fault::LoseAnswers => self.engines[engine].loses_answers_until = end,
            Fault::Refuse => self.engines[engine].refuses_until = end,
            Fault::UnreliableNetwork => self.network.unreliable_until = end,
            Fault::Edit => self.add_editors(fault.b.into()),
            Fault::Drain | Fault::Undrain => {
                self.add_operator(fault.fault, daemon, fault.b.into());
            }
        }
    }

    fn kill(&mut self, daemon: usize, fault: ScheduledFault) {
        if self.daemons[daemon].core.is_some() {
            self.end_process(daemon);
            let pause = Duration::from_millis(u64::from(fault.ms) + 50);
            self.schedule(pause, SimEvent::Start(daemon));
        }
    }

    fn pause(&mut self, daemon: usize, end: Time) {
        self.daemons[daemon].paused_until = end;
        self.wake_all();
    }

    fn stop(&mut self, daemon: usize) {
        let entry = &mut self.daemons[daemon];
        if entry.core.is_some() && !entry.stopping {
            entry.stopping = true;
            let run = entry.run;
            self.deliver_event(daemon, run, Event::Stop);
        }
    }

    fn isolate(&mut self, daemon: usize, end: Time) {
        self.network.cut(Link::Store(daemon), end);
        for peer in 0..self.daemons.len() {
            self.network.cut(Link::peers(daemon, peer), end);
        }
    }

    fn reboot(&mut self, engine: usize) {
        for reader in self.engines[engine].reboot() {
            self.fail_order(reader, Failure::Lost);
        }
    }

    /// Ends all faults except dead daemons, which restart at their scheduled time.
    pub(super) fn end_faults(&mut self) {
        self.trace_line(|| "all faults end".to_owned());
        self.network.end_faults();
        self.store.down_until = Time::ZERO;
        self.store.loses_answers_until = Time::ZERO;
        self.store.slow_until = Time::ZERO;
        for engine in &mut self.engines {
            engine.stalled_until = Time::ZERO;
            engine.loses_answers_until = Time::ZERO;
            engine.refuses_until = Time::ZERO;
        }
        for daemon in &mut self.daemons {
            daemon.paused_until = Time::ZERO;
        }
        self.faults_ended = true;
        self.wake_all();
    }

    /// Schedules a wake of every daemon, so that paused ones resume.
    fn wake_all(&mut self) {
        for daemon in 0..self.daemons.len() {
            let run = self.daemons[daemon].run;
            let micros = self.rng.random_range(1..1_000);
            self.schedule_micros(micros, SimEvent::Wake { daemon, run });
        }
    }
}
