//! The order in which requests are served where there is not enough for all.

use serde::Deserialize;
use serde::Serialize;

/// Number of ranks.
pub const RANKS: usize = 10;

/// Urgency of a request; 0 is the most urgent.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u8", into = "u8")]
pub struct Rank(u8);

/// Rank of requests of unknown rank.
const MIDDLE: Rank = Rank::new(RANKS as u8 / 2);

/// Place of a request in the order of service: first its rank, then whether it can be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Standing {
    /// Its rank.
    pub rank: Rank,
    /// Whether it was refused before and can no longer meet its objective.
    pub returned: bool,
}

impl Rank {
    /// The rank `value`; values beyond the last rank count as the last one.
    pub const fn new(value: u8) -> Self {
        let last = RANKS as u8 - 1;
        Self(if value < last { value } else { last })
    }

    /// Its value, from 0 to `RANKS - 1`.
    pub const fn value(self) -> u8 {
        self.0
    }
}

impl From<u8> for Rank {
    fn from(value: u8) -> Self {
        Self::new(value)
    }
}

impl From<Rank> for u8 {
    fn from(rank: Rank) -> Self {
        rank.value()
    }
}

impl Standing {
    /// Standing of requests that do not differ from the others of their customer, or that daemons
    /// without standings ask for.
    pub const PLAIN: Self = Self::new(MIDDLE);

    /// The standing of a request of `rank` that can be in time.
    pub const fn new(rank: Rank) -> Self {
        Self {
            rank,
            returned: false,
        }
    }

    /// Its place among all standings; 0 is the first.
    pub const fn index(self) -> usize {
        2 * self.rank.value() as usize + self.returned as usize
    }

    /// Returns the standing with whether the request was refused before.
    #[must_use]
    pub const fn with_returned(self, returned: bool) -> Self {
        Self { returned, ..self }
    }
}
