//! The bucket's decisions with one standing in use and with several.

use std::time::Duration;

use customer::bucket::Bucket;
use customer::bucket::Verdict;
use customer::rank::Rank;
use customer::rank::Standing;
use ident::Time;
use proptest::collection::vec;
use proptest::prelude::*;

use crate::crowd::LIMIT;
use crate::load::GENERATION;

/// The rule without standings.
struct Plain {
    level: f64,
    promised: f64,
    at: Time,
}

impl Plain {
    fn take(&mut self, now: Time, units: f64, patience: Duration) -> Verdict {
        let refilled = LIMIT.rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + refilled).min(LIMIT.burst);
        self.promised = (self.promised - refilled).max(0.0);
        self.at = now;
        let time = |units: f64| Duration::from_secs_f64(units.max(0.0) / LIMIT.rate);
        let missing = units.min(LIMIT.burst) - self.level;
        let after = time(missing);
        if after <= patience {
            self.level -= units;
            return Verdict::Granted { after };
        }
        let come_back = time(missing + self.promised).min(Duration::from_secs(10));
        self.promised += units.min(LIMIT.burst);
        Verdict::Refused { come_back }
    }
}

proptest! {
    /// Guards customers whose requests do not differ.
    #[test]
    fn one_standing_is_served_as_without_standings(
        load in vec((0_u64..40, 1.0..500_000.0, 0_u64..300), 1..400),
        rank in 0_u8..10,
        returned: bool,
    ) {
        let standing = Standing::new(Rank::new(rank)).with_returned(returned);
        let mut bucket = Bucket::new(Time::ZERO, LIMIT.burst);
        let mut plain = Plain { level: LIMIT.burst, promised: 0.0, at: Time::ZERO };
        let mut ms = 0;
        for (pause_ms, units, patience_ms) in load {
            ms += pause_ms;
            let (now, patience) = (Time::from_millis(ms), Duration::from_millis(patience_ms));
            let verdict = bucket.take(now, LIMIT, units, patience, standing);
            prop_assert_eq!(verdict, plain.take(now, units, patience));
        }
    }
}

proptest! {
    /// Guards the bound of the quota: the order only refuses more.
    #[test]
    fn nothing_is_granted_that_the_bucket_alone_would_refuse(
        load in vec((0_u64..10, 1.0..12_000.0, 0_u64..300, 0_u8..2, any::<bool>()), 400..1_200),
    ) {
        let mut bucket = Bucket::new(Time::ZERO, LIMIT.burst);
        let mut ms = 0;
        for (pause_ms, units, patience_ms, rank, returned) in load {
            ms += pause_ms;
            let (now, patience) = (Time::from_millis(ms), Duration::from_millis(patience_ms));
            let standing = Standing::new(Rank::new(rank)).with_returned(returned);
            let missing: f64 = units - bucket.level(now, LIMIT);
            let wait = Duration::from_secs_f64(missing.max(0.0) / LIMIT.rate);
            match bucket.take(now, LIMIT, units, patience, standing) {
                Verdict::Granted { after } => prop_assert!(after == wait && wait <= patience),
                Verdict::Refused { come_back } => prop_assert!(!come_back.is_zero()),
            }
        }
    }
}

/// Units that no standing may use would be lost.
#[test]
fn a_full_bucket_grants_anything() {
    let mut bucket = Bucket::new(Time::ZERO, LIMIT.burst);
    let urgent = Standing::new(Rank::new(0));
    let late = Standing::new(Rank::new(9)).with_returned(true);
    let mut take = |ms: u64, units: f64, standing: Standing| {
        let now = Time::from_millis(ms);
        let verdict = bucket.take(now, LIMIT, units, Duration::ZERO, standing);
        matches!(verdict, Verdict::Granted { .. })
    };
    for ms in 0..1_000 {
        take(ms, GENERATION, urgent);
    }
    // The first one takes what is kept for its standing.
    assert!(take(2_000, LIMIT.burst, late));
    assert!(!take(2_900, LIMIT.burst, late));
    assert!(take(3_100, LIMIT.burst, late));
}

/// Who is refused while others are ahead is told a time that counts them.
#[test]
fn return_times_count_those_ahead() {
    let mut bucket = Bucket::new(Time::ZERO, 0.0);
    let [urgent, late] = [0, 2].map(|rank| Standing::new(Rank::new(rank)));
    // Urgent requests of three quarters of the quota.
    for ms in (0..3_000).step_by(19) {
        let now = Time::from_millis(ms);
        bucket.take(now, LIMIT, GENERATION, Duration::ZERO, urgent);
    }
    let now = Time::from_millis(3_000);
    let level = bucket.level(now, LIMIT);
    bucket.debit(now, LIMIT, level);
    let mut told = Vec::new();
    while told.len() < 3 {
        let verdict = bucket.take(now, LIMIT, GENERATION, Duration::ZERO, late);
        if let Verdict::Refused { come_back } = verdict {
            told.push(come_back);
        }
    }
    // At most a third of the quota is left to the late ones, who return one after the other.
    let between = Duration::from_secs_f64(GENERATION / (LIMIT.rate / 3.0));
    assert!(
        told.windows(2).all(|pair| pair[1] >= pair[0] + between),
        "{told:?}"
    );
    // What will be asked for ahead of them meanwhile comes before the first.
    assert!(told[0] > Duration::from_secs(1), "{told:?}");
}
