//! Watches of the plan that the store leaves unanswered.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::common::daemon::Daemon;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::signed_answer;
use crate::site::Site;
use crate::site::config;
use crate::site::send_and_read;
use crate::version_site::wait_until_members;

/// Time after the end of a disruption of the store from which instances have to apply new plans in time.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The configuration `version`, whose reads go to `service`.
fn config_with_reads_at(version: u64, service: &str) -> Value {
    let mut config = config(version);
    config["routes"][0]["service"] = service.into();
    let moved = json!({"name": "moved", "health-path": "/healthz", "max-conns": 50});
    config["services"].as_array_mut().unwrap().push(moved);
    config
}

fn start_replica(service: &'static str) -> Replica {
    Replica::start(service, move |request: &Message| {
        Action::Send(signed_answer(request, 200, service.as_bytes()))
    })
}

/// Guards against keeping an old plan in force after one watch of the plan got no answer while all other calls of the store did.
#[test]
fn a_plan_is_in_force_in_time_after_its_watch_was_left_unanswered() {
    let replicas = [start_replica("app"), start_replica("moved")];
    let listed = replicas
        .each_ref()
        .map(|replica| (replica, replica.id.as_str(), ""));
    let site = Site::start_with_plan("plan-watch", &config_with_reads_at(1, "app"), &listed);
    let another = site.start_another("plan-watch-too", true);
    another.wait_until_ready();
    wait_until_members(&[&site.daemon, &another], 2);
    site.store.set_silent_table(Some("op"));
    wait_until("a watch is left unanswered", || {
        site.store.unanswered_count() > 0
    });
    site.store.set_silent_table(None);
    let answered_again = Instant::now();
    site.store
        .put("op", "config", &config_with_reads_at(2, "moved"));
    thread::sleep(CONTACT_TIME.saturating_sub(answered_again.elapsed()));
    let served_by = |daemon: &Daemon| send_and_read(daemon, "GET /read/1", "r1").body;
    let expected = b"moved".to_vec();
    assert_eq!(
        [&site.daemon, &another].map(served_by),
        [expected.clone(), expected]
    );
}
