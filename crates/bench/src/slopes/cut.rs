//! A data centre or a region that is cut off from the others and from the store.

use std::time::Duration;

use crate::report::Report;
use crate::world::World;
use crate::world::list;
use crate::world::size::Size;

const COLUMNS: [&str; 10] = [
    "daemons",
    "cut_off",
    "near_1s_pct",
    "near_4s_pct",
    "near_60s_pct",
    "far_4s_pct",
    "far_60s_pct",
    "far_agreed_s",
    "fresh_s",
    "agreed_s",
];
const SETTLE: Duration = Duration::from_mins(2);
const LIMIT: Duration = Duration::from_mins(3);
const LOOK: Duration = Duration::from_millis(100);

/// What is cut off.
#[derive(Debug, Clone, Copy)]
pub enum Part {
    /// Data centre 0.
    Zone,
    /// Region 0.
    Region,
}

impl Part {
    const fn holds(self, zone: usize) -> bool {
        match self {
            Self::Zone => zone == 0,
            Self::Region => list::region(zone) == 0,
        }
    }
}

/// Cuts a data centre and a region off fleets of `sizes` daemons for a minute.
pub fn measure(sizes: &[usize], seed: u64) -> Report {
    let mut report = Report::new("cut", &COLUMNS);
    for daemons in sizes {
        for part in [Part::Zone, Part::Region] {
            let label = format!("{daemons} daemons {part:?}");
            report.push(&label, &one(*daemons, part, seed));
        }
    }
    report.print();
    report
}

fn one(daemons: usize, part: Part, seed: u64) -> Vec<f64> {
    let size = Size {
        daemons,
        zones: 11,
        replicas: 0,
        pools: 14,
        rows: 100,
    };
    let mut world = World::new(size, seed);
    world.settle(SETTLE);
    world.run(Duration::from_secs(5));
    let near: Vec<bool> = (0..daemons)
        .map(|index| part.holds(world.zone(index)))
        .collect();
    let inside = near.iter().filter(|near| **near).count();
    world.set_cut(|zone| part.holds(zone));
    let begun = world.now;
    let share = |world: &World, side: bool| {
        let total = if side { inside } else { daemons - inside };
        let fresh = world.fresh(|index| near[index] == side);
        (fresh as f64 / total as f64 * 100.0).round()
    };
    world.run(Duration::from_secs(1));
    let near_1 = share(&world, true);
    world.run(Duration::from_secs(3));
    let (near_4, far_4) = (share(&world, true), share(&world, false));
    let far = daemons - inside;
    let agreed = world.run_until(Duration::from_secs(50), LOOK, |world| {
        world.agree(far, |index| !near[index]) == far
    });
    let far_agreed = agreed.map_or(f64::NAN, |_| world.now.since(begun).as_secs_f64());
    let passed = world.now.since(begun);
    world.run(Duration::from_mins(1).saturating_sub(passed));
    let (near_60, far_60) = (share(&world, true), share(&world, false));
    world.set_cut(|_| false);
    let healed = world.now;
    let fresh = world.run_until(LIMIT, LOOK, |world| world.fresh(|_| true) == daemons);
    let agreed = world.run_until(LIMIT, LOOK, |world| {
        world.agree(daemons, |_| true) == daemons
    });
    let agreed = agreed.map_or(f64::NAN, |_| world.now.since(healed).as_secs_f64());
    vec![
        daemons as f64,
        inside as f64,
        near_1,
        near_4,
        near_60,
        far_4,
        far_60,
        far_agreed,
        fresh.map_or(f64::NAN, |fresh| fresh.as_secs_f64()),
        agreed,
    ]
}
