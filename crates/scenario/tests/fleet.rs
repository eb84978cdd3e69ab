//! Starts and controls a fleet, and checks that it ends only its own processes.

use std::path::Path;

use scenario::error::Error;
use scenario::fleet::Fleet;
use scenario::plan::PLATFORM;
use scenario::plan::Plan;
use scenario::plan::Replica;
use scenario::plan::Role;

const TABLE: &str = "- {service: ration, class: default, pool: ration}\n";
const ENTRY: &str = "entry-1";
const DECODE: &str = "decode-1";

fn plan() -> Plan {
    Plan::new()
        .with_daemon(ENTRY, "osijek-a")
        .with_daemon("entry-2", "vinkovci-b")
        .with_replica(Replica::new(DECODE, "osijek-a", "ration", Role::Decode))
        .with_link(ENTRY, PLATFORM)
}

fn is_running(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

#[tokio::test]
async fn dropped_fleet_leaves_no_process_and_no_file() {
    let mut fleet = Fleet::start(plan()).await.unwrap();
    let names = [PLATFORM, ENTRY, "entry-2", DECODE];
    let ids = names.map(|name| fleet.process(name).unwrap().id());
    let settings = fleet.settings_file(ENTRY);
    assert!(ids.iter().all(|id| is_running(*id)) && settings.exists());
    // A paused process must be killed as well.
    fleet.pause(DECODE).unwrap();
    drop(fleet);
    assert!(!ids.iter().any(|id| is_running(*id)));
    assert!(!settings.exists());
}

#[tokio::test]
async fn restarted_daemon_keeps_its_address() {
    let mut fleet = Fleet::start(plan()).await.unwrap();
    fleet.apply(TABLE).await.unwrap();
    fleet.wait_until_ready().await.unwrap();
    let before = fleet.process(ENTRY).unwrap().id();
    fleet.restart(ENTRY).await.unwrap();
    fleet.wait_until_daemon_ready(ENTRY).await.unwrap();
    assert_ne!(before, fleet.process(ENTRY).unwrap().id());
}

#[tokio::test]
async fn link_modes_and_faults_reach_the_stand_ins() {
    let fleet = Fleet::start(plan()).await.unwrap();
    fleet
        .set_link_mode(ENTRY, PLATFORM, "cut", 0)
        .await
        .unwrap();
    fleet
        .set_link_mode(ENTRY, PLATFORM, "pass", 0)
        .await
        .unwrap();
    fleet.set_fault(DECODE, "stall", 0).await.unwrap();
    assert_eq!(fleet.record(DECODE).await.unwrap()["decodes"], 0);
    let unknown = fleet.set_link_mode("entry-2", PLATFORM, "cut", 0).await;
    assert!(matches!(unknown, Err(Error::UnknownName { .. })));
}
