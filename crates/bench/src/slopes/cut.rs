//! Measures the isolation of a data centre or a region from the others and from the store.

use std::time::Duration;

use crate::report::Report;
use crate::simulation::Simulation;
use crate::simulation::list;
use crate::simulation::size::Size;

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
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The isolated area.
#[derive(Debug, Clone, Copy)]
pub enum Area {
    /// Data centre 0.
    Zone,
    /// Region 0.
    Region,
}

impl Area {
    const fn contains(self, zone: usize) -> bool {
        match self {
            Self::Zone => zone == 0,
            Self::Region => list::region(zone) == 0,
        }
    }
}

/// Isolates a data centre, then a region, for one minute, with each of `sizes` daemons.
pub fn measure(sizes: &[usize], seed: u64) -> Report {
    let mut report = Report::new("cut", &COLUMNS);
    for daemons in sizes {
        for area in [Area::Zone, Area::Region] {
            let label = format!("{daemons} daemons {area:?}");
            report.push(&label, &measure_one(*daemons, area, seed));
        }
    }
    report.print();
    report
}

fn measure_one(daemons: usize, area: Area, seed: u64) -> Vec<f64> {
    let size = Size {
        daemons,
        zones: 11,
        replicas: 0,
        pools: 14,
        rows: 100,
    };
    let mut simulation = Simulation::new(size, seed);
    simulation.settle(SETTLE);
    simulation.run(Duration::from_secs(5));
    let near: Vec<bool> = (0..daemons)
        .map(|index| area.contains(simulation.zone(index)))
        .collect();
    let inside = near.iter().filter(|near| **near).count();
    simulation.set_isolated(|zone| area.contains(zone));
    let started = simulation.now;
    let share = |simulation: &Simulation, side: bool| {
        let total = if side { inside } else { daemons - inside };
        let fresh = simulation.fresh_count(|index| near[index] == side);
        (fresh as f64 / total as f64 * 100.0).round()
    };
    simulation.run(Duration::from_secs(1));
    let near_1 = share(&simulation, true);
    simulation.run(Duration::from_secs(3));
    let (near_4, far_4) = (share(&simulation, true), share(&simulation, false));
    let far = daemons - inside;
    let agreed = simulation.run_until(Duration::from_secs(50), CHECK_INTERVAL, |simulation| {
        simulation.agreeing_count(far, |index| !near[index]) == far
    });
    let far_agreed = agreed.map_or(f64::NAN, |_| simulation.now.since(started).as_secs_f64());
    let passed = simulation.now.since(started);
    simulation.run(Duration::from_mins(1).saturating_sub(passed));
    let (near_60, far_60) = (share(&simulation, true), share(&simulation, false));
    simulation.set_isolated(|_| false);
    let healed = simulation.now;
    let fresh = simulation.run_until(LIMIT, CHECK_INTERVAL, |simulation| {
        simulation.fresh_count(|_| true) == daemons
    });
    let agreed = simulation.run_until(LIMIT, CHECK_INTERVAL, |simulation| {
        simulation.agreeing_count(daemons, |_| true) == daemons
    });
    let agreed = agreed.map_or(f64::NAN, |_| simulation.now.since(healed).as_secs_f64());
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
