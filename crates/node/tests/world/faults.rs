//! Faults of the plan as they strike.

use std::time::Duration;

use ident::Time;
use node::event::Event;
use node::event::Failure;
use rand::RngExt;

use super::World;
use super::item::Item;
use super::net::Way;
use super::plan::Fault;
use super::plan::Stroke;

impl World {
    pub(super) fn strike(&mut self, index: usize) {
        let stroke = self.plan.strokes[index];
        self.note(|| format!("{stroke:?}"));
        let host = usize::from(stroke.a) % self.hosts.len();
        let peer = usize::from(stroke.b) % self.hosts.len();
        let engine = usize::from(stroke.b) % self.engines.len();
        let end = self.now + Duration::from_millis(stroke.ms.into());
        match stroke.fault {
            Fault::Kill => self.kill(host, stroke),
            Fault::Pause => self.pause(host, end),
            Fault::Stop => self.stop(host),
            Fault::CutPeers => self.net.cut(Way::peers(host, peer), end),
            Fault::Isolate => self.isolate(host, end),
            Fault::CutStore => self.net.cut(Way::Store(host), end),
            Fault::CutReplica => self.net.cut(Way::Replica(host, engine), end),
            Fault::StoreDown => self.store.down = end,
            Fault::StoreLoses => self.store.loses = end,
            Fault::StoreSlow => self.store.slow = end,
            Fault::Reboot => self.reboot(engine),
            Fault::Stall => self.engines[engine].stalled = end,
            Fault::Lose => self.engines[engine].loses = end,
            Fault::Refuse => self.engines[engine].refuses = end,
            Fault::Storm => self.net.storm = end,
            Fault::Edit => self.add_editors(stroke.b.into()),
            Fault::Drain | Fault::Undrain => {
                self.add_operator(stroke.fault, host, stroke.b.into());
            }
        }
    }

    fn kill(&mut self, host: usize, stroke: Stroke) {
        if self.hosts[host].core.is_some() {
            self.end_process(host);
            let pause = Duration::from_millis(u64::from(stroke.ms) + 50);
            self.after(pause, Item::Start(host));
        }
    }

    fn pause(&mut self, host: usize, end: Time) {
        self.hosts[host].paused = end;
        self.wake_all();
    }

    fn stop(&mut self, host: usize) {
        let slot = &mut self.hosts[host];
        if slot.core.is_some() && !slot.stopping {
            slot.stopping = true;
            let run = slot.run;
            self.event(host, run, Event::Stop);
        }
    }

    fn isolate(&mut self, host: usize, end: Time) {
        self.net.cut(Way::Store(host), end);
        for peer in 0..self.hosts.len() {
            self.net.cut(Way::peers(host, peer), end);
        }
    }

    fn reboot(&mut self, engine: usize) {
        for reader in self.engines[engine].reboot() {
            self.fail(reader, Failure::Lost);
        }
    }

    /// Ends all faults; dead daemons are replaced at the time that was planned.
    pub(super) fn heal(&mut self) {
        self.note(|| "all faults end".to_owned());
        self.net.heal();
        self.store.down = Time::ZERO;
        self.store.loses = Time::ZERO;
        self.store.slow = Time::ZERO;
        for engine in &mut self.engines {
            engine.stalled = Time::ZERO;
            engine.loses = Time::ZERO;
            engine.refuses = Time::ZERO;
        }
        for host in &mut self.hosts {
            host.paused = Time::ZERO;
        }
        self.healed = true;
        self.wake_all();
    }

    /// Sees to it that every daemon goes on once it is not paused.
    fn wake_all(&mut self) {
        for host in 0..self.hosts.len() {
            let run = self.hosts[host].run;
            let micros = self.rng.random_range(1..1_000);
            self.after_micros(micros, Item::Wake { host, run });
        }
    }
}
