//! What is done to a world, and what is asked of it.

use std::time::Duration;

use ident::Zone;
use node::event::Event;
use node::request::Request;
use node::request::Work;
use rand::RngExt;
use table::edit::Edit;

use crate::world::Seat;
use crate::world::World;
use crate::world::list;

impl World {
    /// Sends `rate` language-model requests a second for `span`, to daemons drawn at random.
    pub fn load(&mut self, rate: f64, span: Duration, blocks: usize, tokens: u32) {
        let count = (rate * span.as_secs_f64()) as u64;
        let gap = span / count.max(1) as u32;
        for number in 0..count {
            let index = self.random.random_range(0..self.seats.len());
            let pool = self.random.random_range(0..self.size.pools);
            let call = self.tally.call();
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

    /// Gives an operator's edit to daemon `index`.
    pub fn edit(&mut self, index: usize, edit: Edit) {
        let call = self.tally.call();
        self.push(self.now, index, Event::Edited { call, edit });
    }

    /// Ends the run of daemon `index` without notice and starts another.
    pub fn restart(&mut self, index: usize) {
        let run = self.seats[index].run + 1;
        self.seats[index] = self.seat(index, run);
        self.begin(index);
    }

    /// Cuts the daemons of `zones` off from all others and from the store, or heals that.
    pub fn set_cut(&mut self, cut: impl Fn(usize) -> bool) {
        for (index, seat) in self.seats.iter().enumerate() {
            self.cut[index] = cut(seat.zone);
        }
    }

    /// Daemons that may decide by their table, among those for which `which` holds.
    pub fn fresh(&self, which: impl Fn(usize) -> bool) -> usize {
        let seats = (0..self.seats.len()).filter(|index| which(*index));
        seats
            .filter(|index| self.seats[*index].node.status(self.now).fresh)
            .count()
    }

    /// Daemons whose table has at least `generation`.
    pub fn in_force(&self, generation: u64) -> usize {
        let held = |seat: &&Seat| seat.node.table().map_or(0, |table| table.generation);
        self.seats
            .iter()
            .filter(|seat| held(seat) >= generation)
            .count()
    }

    /// Daemons that hold exactly `alive` others to be alive, among those for which `which` holds.
    pub fn agree(&self, alive: usize, which: impl Fn(usize) -> bool) -> usize {
        let near = Zone::new(&list::zone_name(0));
        let seats = (0..self.seats.len()).filter(|index| which(*index));
        seats
            .filter(|index| self.seats[*index].node.addresses(self.now, near).len() == alive)
            .count()
    }

    /// Daemons, running or not.
    pub const fn daemons(&self) -> usize {
        self.size.daemons
    }

    /// Data centre of daemon `index`.
    pub fn zone(&self, index: usize) -> usize {
        self.seats[index].zone
    }
}
