//! Records of members and the rules by which one overrides another.

use std::cmp::Ordering;

use ident::Incarnation;
use ident::Instance;
use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

/// State of a member.
///
/// At the same version of the same incarnation, a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It answers, but accepts no new work and finishes what is in progress.
    Leaving,
    /// It failed to answer and has not refuted the suspicion yet; it still counts as present.
    Suspect,
    /// It ended or was declared dead; final for the incarnation.
    Dead,
}

/// One run of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: Instance,
    /// The run of the instance.
    pub incarnation: Incarnation,
    /// When the run started, in milliseconds of the Unix clock; orders the runs of an instance.
    pub started: u64,
    /// The data centre.
    pub zone: Zone,
    /// Its last known state.
    pub state: State,
    /// Incremented by the member itself each time it refutes a suspicion or begins to leave.
    pub version: u32,
}

impl Member {
    /// An upper bound on the encoded size of a record with `bincode`'s variable-length integers,
    /// in bytes: four 64-bit numbers of 9, the state of 1, the version of 5 at most.
    pub const MAX_ENCODED_BYTES: usize = 4 * 9 + 1 + 5;

    /// An alive member at version 0.
    pub const fn new(
        instance: Instance,
        incarnation: Incarnation,
        started: u64,
        zone: Zone,
    ) -> Self {
        Self {
            instance,
            incarnation,
            started,
            zone,
            state: State::Alive,
            version: 0,
        }
    }

    /// The same member in `state`.
    #[must_use]
    pub const fn with_state(mut self, state: State) -> Self {
        self.state = state;
        self
    }

    /// Orders two runs of one instance by their start.
    pub fn run_order(&self, other: &Self) -> Ordering {
        let run = |member: &Self| (member.started, member.incarnation);
        run(self).cmp(&run(other))
    }

    /// Whether this record overrides `held`, a record of the same incarnation.
    pub fn overrides(&self, held: &Self) -> bool {
        match (self.state, held.state) {
            (_, State::Dead) => false,
            (State::Dead, _) => true,
            _ => (self.version, self.state) > (held.version, held.state),
        }
    }
}
