//! Records in the store that one software version alone served a service, for daemons that start when
//! no peer can tell.

use std::rc::Rc;
use std::time::Duration;

use boottime::timer::timeout;
use ident::Pool;
use platform::replica;
use relay::epoch::Epoch;

use crate::begins::tables::VERSIONS;
use crate::shared::Shared;
use crate::watch::rows;

/// Interval between records. Well below the history that the store keeps, from which a daemon that
/// starts reads what changed since.
const PERIOD: Duration = Duration::from_secs(5);
/// Interval between attempts after a start and in a new era, until each service is recorded: first the
/// list of replicas must have been read in that era.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Maximum age of the list of replicas of a daemon that records.
const MAX_LIST_AGE: Duration = Duration::from_secs(1);

/// Records the services of which this daemon knows the only version, forever. After a start it takes
/// that from the records.
pub async fn run(shared: Rc<Shared>) {
    let mut eras = shared.watch_era();
    let mut recorded_era = None;
    loop {
        let pause = match recorded_era {
            Some(era) if era == shared.era() => PERIOD,
            _ => FIRST_PAUSE,
        };
        // A new era ends the pause: nobody can use a record of an earlier one.
        let _ = timeout(pause, eras.changed()).await;
        let era = shared.era();
        let services = resumable_services(&shared);
        if services.is_empty() {
            continue;
        }
        vouch_all(&shared, &services).await;
        if record_all(&shared, &services).await {
            recorded_era = Some(era);
        }
    }
}

/// Looks up the only versions that this daemon does not know for lack of time.
pub async fn look_up(shared: &Shared) {
    let services = resumable_services(shared);
    vouch_all(shared, &services).await;
}

/// Looks up the only version of each of `services` that this daemon does not know for lack of time.
/// Streams of several possible versions have to be announced and saved one by one.
async fn vouch_all(shared: &Shared, services: &[String]) {
    for service in services {
        if shared.follows_one_version(service) && shared.only_version(service).is_none() {
            find(shared, service).await;
        }
    }
}

/// Records the services of which this daemon knows the only version; returns whether nothing failed.
async fn record_all(shared: &Shared, services: &[String]) -> bool {
    let mut is_done = true;
    for service in services {
        let is_owner = shared.members.borrow().is_owner(Pool::new(service).0);
        let software = shared.only_version(service).filter(|_| is_owner);
        if let Some(software) = software {
            is_done &= record(shared, service, software).await;
        }
    }
    is_done
}

/// The services whose streams callers may resume.
pub fn resumable_services(shared: &Shared) -> Vec<String> {
    let plan = shared.plan().filter(|_| shared.is_ready());
    let Some(plan) = plan else {
        return Vec::new();
    };
    let routes = plan.routes.iter();
    let resumable = routes.filter(|route| route.mode.streams() && route.mode.repeatable());
    let targets = resumable.flat_map(|route| &route.targets);
    let mut services: Vec<String> = targets.map(|target| target.service.clone()).collect();
    services.sort_unstable();
    services.dedup();
    services
}

/// Records the only version of `service`; returns whether that succeeded.
async fn record(shared: &Shared, service: &str, software: String) -> bool {
    // Versions of a list of an earlier era mean nothing to those who read the record.
    let is_of_era = shared.replicas_version().era == shared.era();
    if !is_of_era || shared.replicas_age() > MAX_LIST_AGE {
        return false;
    }
    let epoch = {
        let pool = shared.pool.borrow();
        Epoch::new(software, pool.version()).with_listed(pool.replicas())
    };
    let value = match serde_json::to_vec(&epoch) {
        Ok(value) => value,
        Err(error) => {
            log::error!(kind = "begin", service = service, cause = error.to_string(); "the only version of a service cannot be encoded");
            return false;
        }
    };
    match shared.store.write(VERSIONS, service, &value).await {
        Ok(_) => {
            shared.store_answered("versions");
            true
        }
        Err(error) => {
            shared.store_failed("versions", &error);
            false
        }
    }
}

/// Looks up in the store whether one version alone has served `service`. Returns whether this daemon
/// knows it now.
async fn find(shared: &Shared, service: &str) -> bool {
    let has_one_version = shared.pool.borrow().has_one_version(service);
    if !has_one_version {
        return false;
    }
    let Some(epoch) = read(shared, service).await else {
        return false;
    };
    // The answer shows the changes up to some moment after the question.
    let asked_at = shared.clock.now();
    let changes = match shared
        .store
        .watch(replica::TABLE, epoch.list(), Duration::ZERO)
        .await
    {
        Ok(changed) => rows::delta(shared, epoch.list(), &changed),
        Err(error) => {
            log::info!(kind = "begin", service = service, cause = error.to_string(); "the changes since the record of the only version are not known");
            return false;
        }
    };
    let holds = epoch.holds_after(service, &changes);
    log::info!(kind = "begin", service = service, software = epoch.software, era = epoch.list().era, list = epoch.list().version, changed = changes.replicas.len() as u64, gone = changes.gone.len() as u64, holds = holds; "read the record of the only version");
    if holds {
        let mut pool = shared.pool.borrow_mut();
        pool.vouch_version(asked_at, service, epoch.software);
    }
    holds
}

/// The record of `service`; `None` if there is none.
async fn read(shared: &Shared, service: &str) -> Option<Epoch> {
    let rows = match shared.store.read(VERSIONS).await {
        Ok(rows) => rows.rows,
        Err(error) => {
            shared.store_failed("versions", &error);
            return None;
        }
    };
    shared.store_answered("versions");
    let row = rows.into_iter().find(|row| row.key == service)?;
    match serde_json::from_slice(&row.value.unwrap_or_default()) {
        Ok(epoch) => Some(epoch),
        Err(_) if !shared.may_log_unreadable(VERSIONS, service) => None,
        Err(error) => {
            log::warn!(kind = "begin", service = service, cause = error.to_string(); "the record of the only version cannot be read");
            None
        }
    }
}
