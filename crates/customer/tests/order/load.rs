//! Loads of one customer, and what holds whatever its order.

use std::time::Duration;

use crate::crowd::Group;
use crate::crowd::LENGTH;
use crate::crowd::LIMIT;
use crate::outcome::Outcome;

/// Units of a generation and of a call.
pub const GENERATION: f64 = 5_700.0;
const CALL: f64 = 200.0;
/// Greatest share by which a rank may get less than the one behind it.
pub const MARGIN: f64 = 0.05;

/// Generations of three ranks and calls. Rates are first attempts per second.
pub fn groups(rates: [f64; 4]) -> Vec<Group> {
    let generation = |rank: u8, objective_ms: u64, per_s: f64| Group {
        rank,
        units: GENERATION,
        patience: Duration::from_millis(objective_ms / 10),
        objective: Duration::from_millis(objective_ms),
        lifetime: Duration::from_secs(14),
        per_s,
    };
    vec![
        generation(0, 800, rates[0]),
        generation(1, 1_000, rates[1]),
        generation(2, 2_000, rates[2]),
        Group {
            rank: 2,
            units: CALL,
            patience: Duration::from_millis(30),
            objective: Duration::from_millis(300),
            lifetime: Duration::from_secs(3),
            per_s: rates[3],
        },
    ]
}

/// A load far beyond the quota, with the most urgent rank within it.
pub const WITHIN: [f64; 4] = [45.0, 60.0, 150.0, 400.0];
/// The same with the most urgent rank beyond the quota alone.
pub const BEYOND: [f64; 4] = [110.0, 110.0, 150.0, 300.0];

/// Asserts that the quota is used up and not exceeded.
pub fn assert_bounds(outcome: &Outcome) {
    let used = outcome.used();
    let refilled = LIMIT.rate * LENGTH.as_secs_f64();
    assert!(used >= 0.97 * refilled, "{used} of {refilled}");
    assert!(outcome.max_excess() <= 0.0, "{}", outcome.max_excess());
}
