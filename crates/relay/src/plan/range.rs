//! Ranges of the numbers of a plan. Larger ones have no meaning, and sums of them would overflow.

use std::time::Duration;

use crate::plan::Engine;
use crate::plan::Limits;
use crate::plan::Plan;
use crate::plan::Route;
use crate::plan::Service;

/// Longest time.
const MAX_TIME: Duration = Duration::from_hours(365 * 24);
/// Most bytes of a request.
const MAX_BYTES: usize = 1 << 30;
/// Most tokens in the memory of a replica.
const MAX_MEMORY_TOKENS: u64 = 1 << 40;
/// Most tokens in an event.
const MAX_EVENT_TOKENS: u64 = 1 << 20;

impl Plan {
    /// Reduces numbers beyond their ranges to the largest ones; returns how many there were.
    pub fn reduce_numbers(&mut self) -> usize {
        let routes = self.routes.iter_mut().map(Route::reduce_numbers);
        let routes: usize = routes.sum();
        let services = self.services.values_mut().map(Service::reduce_numbers);
        routes + services.sum::<usize>() + self.limits.reduce_numbers()
    }
}

impl Route {
    /// The same as [`Plan::reduce_numbers`], of this route.
    pub fn reduce_numbers(&mut self) -> usize {
        let pause = self.pause.as_mut();
        reduce(&mut self.timeout, MAX_TIME)
            + reduce(&mut self.objective, MAX_TIME)
            + pause.map_or(0, |pause| reduce(pause, MAX_TIME))
    }
}

impl Service {
    fn reduce_numbers(&mut self) -> usize {
        let cold = self.cold_start.as_mut();
        let engine = self.engine.as_mut();
        cold.map_or(0, |cold| reduce(&mut cold.duration, MAX_TIME))
            + engine.map_or(0, Engine::reduce_numbers)
    }
}

impl Engine {
    fn reduce_numbers(&mut self) -> usize {
        reduce(&mut self.stage_change, MAX_TIME)
            + reduce(&mut self.max_reservation, MAX_TIME)
            + reduce(&mut self.memory_tokens, MAX_MEMORY_TOKENS)
            + reduce(&mut self.event_tokens, MAX_EVENT_TOKENS)
    }
}

impl Limits {
    fn reduce_numbers(&mut self) -> usize {
        reduce(&mut self.header_bytes, MAX_BYTES)
            + reduce(&mut self.body_bytes, MAX_BYTES)
            + reduce(&mut self.header_timeout, MAX_TIME)
            + reduce(&mut self.idle_timeout, MAX_TIME)
    }
}

/// Reduces `number` to `most`; returns 1 if it was larger, else 0.
fn reduce<T: Copy + PartialOrd>(number: &mut T, most: T) -> usize {
    let is_larger = *number > most;
    if is_larger {
        *number = most;
    }
    usize::from(is_larger)
}
