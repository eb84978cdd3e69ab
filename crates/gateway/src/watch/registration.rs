//! Rows of instances in the store.

use platform::store::Row;

use crate::instance_info::InstanceInfo;
use crate::shared::Shared;

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
    let value = match serde_json::to_vec(&own) {
        Ok(value) => value,
        Err(error) => {
            log::error!(kind = "store", step = "registering", cause = error.to_string(); "cannot encode the own row");
            return false;
        }
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
