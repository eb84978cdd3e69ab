//! Registers this instance in the store and reads the list of all instances.

use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use platform::store::Row;
use platform::store::Rows;

use crate::instance_info::InstanceInfo;
use crate::shared::Shared;
use crate::watch::scaled_period;

/// Interval between readings of the instances by the poller; gossip is the faster source.
const PERIOD: Duration = Duration::from_secs(6);
/// The same for other daemons, which learn of new instances from the poller.
const OTHERS_PERIOD: Duration = Duration::from_mins(2);
/// Pause between writing the own row and reading all rows when the whole system starts for the
/// first time; instances start within 300 ms of each other.
const FIRST_START_PAUSE: Duration = Duration::from_millis(450);
/// Interval between readings of the instances while the store fails; peers exchange them as well.
const RETRY: Duration = Duration::from_secs(2);
/// Table with one row for each instance, holding its info.
pub const TABLE: &str = "instances";

/// Keeps the own row in the table and reads those of the other instances, forever.
pub async fn follow(shared: Rc<Shared>) {
    if shared.settings().first_start && register(&shared).await {
        sleep(FIRST_START_PAUSE).await;
    }
    loop {
        let pause = match shared.store.read(TABLE).await {
            Ok(rows) => {
                shared.store_answered("instances");
                let registered = apply_instances(&shared, &rows).await;
                shared.instances_listed.send_replace(true);
                match shared.members.borrow().poller() {
                    _ if !registered => RETRY,
                    Some(_) => OTHERS_PERIOD,
                    None => PERIOD,
                }
            }
            Err(error) => {
                shared.store_failed("instances", &error);
                // Tasks that wait for the list must continue without it.
                shared.instances_listed.send_replace(true);
                scaled_period(&shared, RETRY)
            }
        };
        sleep(pause).await;
    }
}

/// Applies the list of instances and writes the own row if it is missing or outdated; returns
/// whether the own row is up to date.
async fn apply_instances(shared: &Shared, rows: &Rows) -> bool {
    let read = |row: &Row| serde_json::from_slice::<InstanceInfo>(row.value.as_deref()?).ok();
    let instances: Vec<InstanceInfo> = rows.rows.iter().filter_map(read).collect();
    let own = shared.own_info();
    let listed = instances.contains(&own);
    shared
        .members
        .borrow_mut()
        .set_listed(shared.clock.now(), &instances);
    if listed || shared.is_stopping() {
        return true;
    }
    register(shared).await
}

/// Writes the own row; returns whether that succeeded.
async fn register(shared: &Shared) -> bool {
    let own = shared.own_info();
    let value = match serde_json::to_vec(&own) {
        Ok(value) => value,
        Err(error) => {
            log::error!(kind = "store", step = "registering", cause = error.to_string(); "cannot encode the own row");
            return false;
        }
    };
    match shared.store.write(TABLE, &own.name, &value).await {
        Ok(()) => true,
        Err(error) => {
            shared.store_failed("registering", &error);
            false
        }
    }
}
