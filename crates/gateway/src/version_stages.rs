//! Software versions that need a decode replica, by the homes of their streams.

use std::time::Duration;

use ident::Zone;
use relay::homes::Homes;
use relay::plan::Plan;
use relay::replica::Stage;
use relay::score::Version;
use relay::server::Key;
use relay::version_stages::VersionStages;

use crate::shared::Shared;
use crate::shared::choice::Destination;

/// A version that needs a decode replica.
#[derive(Debug)]
pub struct Need {
    /// The version.
    pub software: String,
    /// Where its streams may be served.
    pub homes: Homes,
}

/// Records which versions of `service`, whose replicas take `change_time` to change their stage, have
/// replicas of each stage in each of its homes.
pub fn track(shared: &Shared, plan: &Plan, service: &str, change_time: Duration) {
    let now = shared.clock.now();
    let homes = shared.homes_of_service(plan, service);
    let mut services = shared.version_stages.borrow_mut();
    let by_homes = services.entry(service.to_owned()).or_default();
    by_homes.retain(|of, _| homes.contains(of));
    for homes in homes {
        let counts = shared
            .pool
            .borrow()
            .version_stage_counts(now, service, &homes);
        let stages = by_homes.entry(homes);
        let stages = stages.or_insert_with(|| VersionStages::new(change_time));
        stages.set_change_time(change_time);
        stages.update(now, &counts, shared.stream_lifetime());
    }
}

/// The version of `service` that needs a decode replica now, if any.
pub fn due(shared: &Shared, service: &str) -> Option<Need> {
    let now = shared.clock.now();
    let services = shared.version_stages.borrow();
    // Restricted homes first: what meets their need also meets that of streams without homes.
    let by_homes = services.get(service)?.iter().rev();
    let mut due = by_homes.filter_map(|(homes, stages)| Some((homes, stages.due(now)?)));
    due.next().map(|(homes, software)| Need {
        software: software.to_owned(),
        homes: homes.clone(),
    })
}

/// Records that replicas in `data_centres` were ordered to become decode replicas of `software`.
pub fn order_sent(shared: &Shared, service: &str, software: &str, data_centres: &[Zone]) {
    let now = shared.clock.now();
    let mut services = shared.version_stages.borrow_mut();
    let by_homes = services.get_mut(service).into_iter().flatten();
    for (homes, stages) in by_homes {
        if data_centres.iter().any(|name| homes.contains(*name)) {
            stages.order_sent(now, software);
        }
    }
}

/// Records that no order could be sent for `need`.
pub fn order_failed(shared: &Shared, service: &str, need: &Need) {
    let now = shared.clock.now();
    let mut services = shared.version_stages.borrow_mut();
    let by_homes = services.get_mut(service);
    if let Some(stages) = by_homes.and_then(|by_homes| by_homes.get_mut(&need.homes)) {
        stages.order_failed(now, &need.software);
    }
}

/// One decode replica of each software version in each of the homes where several serve `service`:
/// without it, the streams of the version could not be resumed.
pub fn kept_decode_replicas(shared: &Shared, service: &str) -> Vec<Key> {
    let now = shared.clock.now();
    let services = shared.version_stages.borrow();
    let by_homes = services.get(service).into_iter().flatten();
    let mut kept = Vec::new();
    for (homes, _) in by_homes {
        let counts = shared
            .pool
            .borrow()
            .version_stage_counts(now, service, homes);
        if counts.len() < 2 {
            continue;
        }
        kept.extend(counts.keys().filter_map(|software| {
            let to = Destination {
                service,
                homes: homes.data_centres(),
                software: Version::Exactly(software),
            };
            shared.choose(to, Some(Stage::Decode), &[])
        }));
    }
    kept
}
