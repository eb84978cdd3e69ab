//! A replica that had too many connections closed each new one at once, and broke off the answer to a request. The daemon
//! asked three times whether the replica was there, each time on a new connection, and each was closed without an
//! answer. It took the replica for ended, and put that down to the request, which three such replicas would have
//! quarantined although all of them were at work.

use std::sync::Arc;
use std::sync::OnceLock;

use crate::common::daemon::until;
use crate::common::replica::Act;
use crate::common::replica::Replica;
use crate::site::Site;
use crate::site::headers;

/// Sends a call, and gives what the daemon finds out of the replica that broke it off.
fn verdict(site: &Site) -> String {
    let mut caller = site.daemon.caller();
    let told = caller.ask("POST /book/1", &headers("c1"), b"");
    assert_eq!(told.status(), 502);
    let verdicts = || site.daemon.logged("a replica was lost while at work");
    until("it is found out", || !verdicts().is_empty());
    verdicts().remove(0)
}

/// A replica that does something to itself when it gets a request, and breaks it off.
fn breaking(then: impl Fn(&Replica) + Send + Sync + 'static) -> Replica {
    let own: Arc<OnceLock<Replica>> = Arc::default();
    let itself = Arc::clone(&own);
    let replica = Replica::start("i-1", move |_| {
        then(itself.wait());
        Act::SendAndClose(Vec::new())
    });
    assert!(own.set(replica.clone()).is_ok());
    replica
}

#[test]
fn a_replica_that_closes_new_connections_has_not_ended() {
    let replica = breaking(Replica::crowd);
    let site = Site::start("crowded", &[(&replica, "app", "")]);
    let told = verdict(&site);
    assert!(told.contains("\"presence\":\"Here\""), "{told}");
    assert!(
        site.daemon
            .logged("a replica ended while at work")
            .is_empty()
    );
}

/// Nothing listens for one that ended.
#[test]
fn a_replica_whose_port_is_closed_has_ended() {
    let replica = breaking(Replica::crash);
    let site = Site::start("not-crowded", &[(&replica, "app", "")]);
    let told = verdict(&site);
    assert!(told.contains("\"presence\":\"Ended\""), "{told}");
}

/// It takes connections and never answers, as a process does that hangs.
#[test]
fn a_replica_that_answers_nothing_counts_as_ended() {
    let replica = breaking(|_| ());
    replica.set_reports(|| false);
    let site = Site::start("hangs", &[(&replica, "app", "")]);
    let told = verdict(&site);
    assert!(told.contains("\"presence\":\"Unknown\""), "{told}");
    until("it counts", || {
        !site
            .daemon
            .logged("a replica ended while at work")
            .is_empty()
    });
}
