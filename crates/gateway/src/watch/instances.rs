//! Registers this instance in the store and reads the list of all instances.

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use platform::store::Rows;
use rand::seq::IndexedRandom;

use crate::exchange;
use crate::instance_info::InstanceInfo;
use crate::shared::Shared;
use crate::watch::first_start;
use crate::watch::registration;
use crate::watch::rewriting;
use crate::watch::scaled_period;

/// Interval between readings of the instances by the poller; gossip is the faster source.
const PERIOD: Duration = Duration::from_secs(6);
/// The same for other daemons, which learn of new instances from the poller.
const OTHERS_PERIOD: Duration = Duration::from_mins(2);
/// Pause between writing the own row and reading all rows when the whole system starts for the
/// first time; instances start within 300 ms of each other.
const FIRST_START_PAUSE: Duration = Duration::from_millis(450);
/// Pauses of a seed before its first readings. Others learn the list from it, and a large fleet takes
/// seconds to register.
const SEED_PAUSES: [Duration; 4] = [
    FIRST_START_PAUSE,
    Duration::from_secs(1),
    Duration::from_millis(1_500),
    Duration::from_secs(2),
];
/// Interval between readings of the instances while the store fails; peers exchange them as well.
const RETRY: Duration = Duration::from_secs(2);
/// Mean pause between two attempts to register and to get the instances from a seed.
const JOIN_PAUSE: Duration = Duration::from_millis(500);
/// Time after which an instance that got no list from a seed reads the store. If all instances read
/// the list at a common start, its transfer grows with the square of their number.
pub(super) const JOIN_TIMEOUT: Duration = Duration::from_secs(6);

/// Keeps the own row in the table and learns of the other instances, forever.
pub async fn follow(shared: Rc<Shared>) {
    let settings = shared.settings();
    let mut is_current = match settings.first_start {
        false => false,
        true if settings.seeds.is_empty() => register_and_read(&shared, &[FIRST_START_PAUSE]).await,
        true if settings.is_seed() => register_and_read(&shared, &SEED_PAUSES).await,
        true => start_through_seeds(&shared).await,
    };
    let mut read_at = Instant::now();
    loop {
        let is_poller = shared.members.borrow().poller().is_none();
        let is_due = read_at.elapsed() >= scaled_period(&shared, OTHERS_PERIOD);
        if !is_current || is_poller || is_due {
            read_at = Instant::now();
            is_current = read_instances(&shared).await;
        }
        sleep(if is_current {
            PERIOD
        } else {
            scaled_period(&shared, RETRY)
        })
        .await;
    }
}

/// Registers this instance and reads the list after each of `pauses`, while the others register;
/// returns whether the own row is up to date.
async fn register_and_read(shared: &Shared, pauses: &[Duration]) -> bool {
    let mut is_current = first_start::register(shared).await;
    for pause in pauses {
        sleep(*pause).await;
        is_current = read_instances(shared).await;
    }
    is_current
}

/// Registers this instance and gets the list from a seed, and once more from the poller when all
/// have registered; returns whether the own row is up to date.
async fn start_through_seeds(shared: &Shared) -> bool {
    if !join_through_seeds(shared).await {
        return false;
    }
    sleep(PERIOD).await;
    let poller = shared.members.borrow().poller();
    if let Some(poller) = poller {
        exchange::fetch_instances(shared, poller).await;
    }
    true
}

/// Reads and applies the list; returns whether the own row is up to date.
async fn read_instances(shared: &Shared) -> bool {
    let registered = match shared.store.read(registration::TABLE).await {
        Ok(rows) => {
            shared.store_answered("instances");
            apply_instances(shared, &rows).await
        }
        Err(error) => {
            shared.store_failed("instances", &error);
            false
        }
    };
    // Tasks that wait for the list must continue without it.
    shared.instances_listed.send_replace(true);
    registered
}

/// Writes the own row and gets the instances from a seed; returns whether both succeeded within
/// [`JOIN_TIMEOUT`].
async fn join_through_seeds(shared: &Shared) -> bool {
    let started = Instant::now();
    let seeds = shared.settings().seed_peers();
    let mut registered = first_start::register(shared).await;
    while started.elapsed() < JOIN_TIMEOUT {
        registered = registered || registration::register(shared).await;
        if let Some(seed) = seeds.choose(&mut rand::rng()) {
            exchange::fetch_instances(shared, *seed).await;
        }
        let knows_others = shared.members.borrow().known_count() > 1;
        if knows_others {
            shared.instances_listed.send_replace(true);
        }
        if registered && knows_others {
            return true;
        }
        sleep(JOIN_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
    }
    false
}

/// Applies the list of instances and writes the own row if it is missing or outdated; returns
/// whether the own row is up to date.
async fn apply_instances(shared: &Shared, rows: &Rows) -> bool {
    let instances: Vec<InstanceInfo> = rows
        .rows
        .iter()
        .filter_map(registration::read_info)
        .collect();
    let own = shared.own_info();
    let listed = instances.contains(&own);
    shared
        .members
        .borrow_mut()
        .set_listed(shared.clock.now(), &instances);
    rewriting::remove_departed(shared, rows).await;
    if listed {
        shared.note_own_row(rows.revision.era);
    }
    if listed || shared.is_stopping() {
        return true;
    }
    registration::register(shared).await
}
