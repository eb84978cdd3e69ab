//! How long callers of a route usually wait, which tells the ones that come back after a refusal:
//! they have less time left than a caller that comes for the first time.

use std::time::Duration;

/// Step toward a longer patience than the usual one, as part of the difference.
const STEP_UP: f64 = 0.3;
/// Step toward a shorter one. With [`STEP_UP`] the estimate settles where one caller in sixteen
/// waits longer, so that a few callers with an odd patience hardly move it.
const STEP_DOWN: f64 = 0.02;
/// Part of the usual patience below which a caller is taken for one that came back. Callers of one
/// route differ by a seventh; one that was refused comes back after a fifth or more of its time.
const CAME_BACK: f64 = 0.85;

/// What callers of one route tell of their patience.
#[derive(Debug, Default)]
pub struct Patience {
    usual: Option<Duration>,
}

impl Patience {
    /// Nothing told yet.
    pub const fn new() -> Self {
        Self { usual: None }
    }

    /// Takes the `told` patience of a request, and tells whether its caller came back.
    pub fn came_back(&mut self, told: Duration) -> bool {
        let usual = self.usual.unwrap_or(told);
        let moved = match told > usual {
            true => usual + (told - usual).mul_f64(STEP_UP),
            false => usual - (usual - told).mul_f64(STEP_DOWN),
        };
        self.usual = Some(moved);
        told < usual.mul_f64(CAME_BACK)
    }
}
