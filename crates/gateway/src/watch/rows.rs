//! Converts rows of the store to replicas.

use std::net::IpAddr;
use std::time::Duration;

use platform::replica;
use platform::store::Row;
use platform::store::Rows;
use relay::replica::Delta;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::revision::Revision;

use crate::shared::Shared;

/// All replicas in `rows`.
pub fn snapshot(shared: &Shared, rows: &Rows) -> Snapshot {
    let own = shared.own_ip();
    let replicas = rows.rows.iter();
    let replicas = replicas.filter_map(|row| read_replica(shared, own, row));
    Snapshot {
        version: rows.revision,
        replicas: replicas.collect(),
        lapsing: Vec::new(),
        grace: Duration::ZERO,
    }
}

/// The changes in `rows`; an unreadable entry counts as removed.
pub fn delta(shared: &Shared, since: Revision, rows: &Rows) -> Delta {
    let mut delta = Delta {
        since,
        version: rows.revision,
        ..Delta::default()
    };
    let own = shared.own_ip();
    for row in &rows.rows {
        match read_replica(shared, own, row) {
            Some(replica) => delta.replicas.push(replica),
            None => {
                delta.gone.push(row.key.clone());
                let unreadable = row.value.as_ref().map(|_| row.key.clone());
                delta.unreadable.extend(unreadable);
            }
        }
    }
    delta
}

fn read_replica(shared: &Shared, own: IpAddr, row: &Row) -> Option<Replica> {
    match replica::read(&row.key, row.value.as_deref()?) {
        // Requests to an entry with this daemon's own address would return to it as requests of a
        // caller.
        Ok(replica) if replica.address.ip() == own => None,
        Ok(replica) => Some(replica),
        Err(_) if !shared.may_log_unreadable(replica::TABLE, &row.key) => None,
        Err(error) => {
            log::warn!(kind = "replica", replica = row.key, cause = error.to_string(); "an entry of a replica cannot be read");
            None
        }
    }
}
