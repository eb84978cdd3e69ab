//! Injects requests and faults into a simulation, and queries its state.

use std::time::Duration;

use ident::Zone;
use node::event::Event;
use node::request::Request;
use node::request::Work;
use rand::RngExt;
use table::edit::Edit;

use crate::simulation::Daemon;
use crate::simulation::Simulation;
use crate::simulation::list;

impl Simulation {
    /// Sends `rate` language-model requests per second for `span`, to random daemons.
    pub fn load(&mut self, rate: f64, span: Duration, blocks: usize, tokens: u32) {
        let count = (rate * span.as_secs_f64()) as u64;
        let gap = span / count.max(1) as u32;
        for number in 0..count {
            let index = self.random.random_range(0..self.daemons.len());
            let pool = self.random.random_range(0..self.size.pools);
            let call = self.counters.new_call();
            let request = Request {
                customer: format!("customer-{}", number % 8_300),
                class: "default".to_owned(),
                service: list::pool_name(pool),
                key: None,
                repeatable: true,
                work: Work::Model {
                    prompt_tokens: (blocks * 64) as u32,
                    max_tokens: tokens,
                    blocks: (0..blocks as u64)
                        .map(|block| number << 8 | block)
                        .collect(),
                },
            };
            self.push(self.now, index, Event::Arrived { call, request });
            self.run(gap);
        }
    }

    /// Submits an operator's edit to daemon `index`.
    pub fn edit(&mut self, index: usize, edit: Edit) {
        let call = self.counters.new_call();
        self.push(self.now, index, Event::Edited { call, edit });
    }

    /// Kills daemon `index` and starts it again.
    pub fn restart(&mut self, index: usize) {
        let run = self.daemons[index].run + 1;
        self.daemons[index] = self.new_daemon(index, run);
        self.start(index);
    }

    /// Cuts the daemons of the data centres for which `isolated` holds off from all others and from the
    /// store, and reconnects the rest.
    pub fn set_isolated(&mut self, isolated: impl Fn(usize) -> bool) {
        for (index, daemon) in self.daemons.iter().enumerate() {
            self.isolated[index] = isolated(daemon.zone);
        }
    }

    /// Number of daemons with a table fresh enough to decide by, among those for which `which` holds.
    pub fn fresh_count(&self, which: impl Fn(usize) -> bool) -> usize {
        let daemons = (0..self.daemons.len()).filter(|index| which(*index));
        daemons
            .filter(|index| self.daemons[*index].node.status(self.now).fresh)
            .count()
    }

    /// Number of daemons whose table has at least `generation`.
    pub fn in_force_count(&self, generation: u64) -> usize {
        let held = |daemon: &&Daemon| daemon.node.table().map_or(0, |table| table.generation);
        self.daemons
            .iter()
            .filter(|daemon| held(daemon) >= generation)
            .count()
    }

    /// Number of daemons whose address list has exactly `alive` instances, among those for which `which`
    /// holds.
    pub fn agreeing_count(&self, alive: usize, which: impl Fn(usize) -> bool) -> usize {
        let near = Zone::new(&list::zone_name(0));
        let daemons = (0..self.daemons.len()).filter(|index| which(*index));
        daemons
            .filter(|index| self.daemons[*index].node.addresses(self.now, near).len() == alive)
            .count()
    }

    /// Number of daemons.
    pub const fn daemons(&self) -> usize {
        self.size.daemons
    }

    /// Data centre of daemon `index`.
    pub fn zone(&self, index: usize) -> usize {
        self.daemons[index].zone
    }
}
