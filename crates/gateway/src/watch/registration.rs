//! Rows of instances in the store.

use platform::store::Row;
use relay::revision::Revision;

use crate::instance_info::InstanceInfo;
use crate::shared::Shared;
use crate::store::Error;

/// Table with one row for each instance, holding its info.
pub const TABLE: &str = "instances";

/// The instance of a row; `None` if it is malformed or its info is not usable.
pub(super) fn read_info(row: &Row) -> Option<InstanceInfo> {
    let info = serde_json::from_slice(row.value.as_deref()?).ok();
    info.filter(InstanceInfo::is_usable)
}

/// Writes the own row; returns whether that succeeded.
pub(super) async fn register(shared: &Shared) -> bool {
    let own = shared.own_info();
    let Some(value) = encode(&own) else {
        return false;
    };
    match shared.store.write(TABLE, &own.name, &value).await {
        Ok(era) => {
            shared.note_own_row(era);
            true
        }
        Err(error) => {
            shared.store_failed("registering", &error);
            false
        }
    }
}

/// Writes the own row if the store has none; returns whether that succeeded.
pub(super) async fn create(shared: &Shared) -> bool {
    let own = shared.own_info();
    let Some(value) = encode(&own) else {
        return false;
    };
    let absent = Revision::new(shared.era(), 0);
    match shared.store.swap(TABLE, &own.name, &value, absent).await {
        Ok(created) => {
            shared.note_own_row(created.era);
            true
        }
        Err(Error::Conflict) => false,
        Err(error) => {
            shared.store_failed("registering", &error);
            false
        }
    }
}

fn encode(own: &InstanceInfo) -> Option<Vec<u8>> {
    match serde_json::to_vec(own) {
        Ok(value) => Some(value),
        Err(error) => {
            log::error!(kind = "store", step = "registering", cause = error.to_string(); "cannot encode the own row");
            None
        }
    }
}
