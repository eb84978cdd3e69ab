//! Injects random, overlapping faults from outside the daemons.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;

use crate::cluster::Cluster;
use crate::cluster::DAEMONS;
use crate::cluster::Partition;
use crate::drills::Backups;
use crate::drills::Drill;
use crate::floods;
use crate::kept::Limits;
use crate::proxy::ConnectionFault;

/// Starts faults for `duration`, then waits until all of them have ended.
pub fn run(cluster: &Cluster, seed: u64, duration: Duration) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = Instant::now() + duration;
    let mut running = start_sound_faults(cluster, !seed, end);
    while Instant::now() < end {
        let kind = rng.random_range(0..10);
        let instance = rng.random_range(0..DAEMONS);
        let replica = rng.random_range(0..8);
        let length = Duration::from_millis(rng.random_range(200..1_800));
        let connection_fault = [
            ConnectionFault::Delay(length / 8),
            ConnectionFault::Reset,
            ConnectionFault::Stall,
            ConnectionFault::StallReplies,
        ];
        let connection_fault = connection_fault[rng.random_range(0..4)];
        let cluster = cluster.clone();
        running.push(thread::spawn(move || match kind {
            0 => pause(&cluster, instance, length),
            1 => kill(&cluster, instance, length),
            2 => restart(&cluster, instance),
            3 => signal(&cluster, instance, Signal::HUP),
            4 => {
                let from = Instant::now();
                cluster.begin_outage();
                thread::sleep(length);
                cluster.end_outage(from);
            }
            5 => {
                let from = Instant::now();
                cluster.instances[instance]
                    .store_proxy
                    .set_fault(connection_fault);
                thread::sleep(length);
                cluster.instances[instance]
                    .store_proxy
                    .set_fault(ConnectionFault::None);
                cluster.notices.record_store_fault(Some(instance), from);
            }
            6 => {
                cluster.change_config();
                cluster.set_evacuated(true);
                thread::sleep(length);
                cluster.set_evacuated(false);
            }
            7 => cluster.replace_replica(replica),
            8 => partition(&cluster, instance, replica, length),
            _ => {
                let proxy = cluster
                    .replicas
                    .lock()
                    .unwrap()
                    .get(replica)
                    .map(|entry| (entry.0.id.clone(), entry.1.clone()));
                // `None` if the replica has just ended.
                if let Some((id, proxy)) = proxy {
                    let from = Instant::now();
                    proxy.set_fault(connection_fault);
                    thread::sleep(length);
                    proxy.set_fault(ConnectionFault::None);
                    cluster.notices.record_replica_fault(&id, from);
                }
            }
        }));
        thread::sleep(Duration::from_millis(rng.random_range(50..700)));
    }
    for thread in running {
        thread.join().unwrap();
    }
}

/// Causes for `duration` only what excuses no daemon and no replica, then waits until all of it has ended.
pub fn run_sound(cluster: &Cluster, seed: u64, duration: Duration) {
    let end = Instant::now() + duration;
    for thread in start_sound_faults(cluster, seed.rotate_left(32), end) {
        thread.join().unwrap();
    }
}

/// Starts drills of the store, silences of replicas and changes of limits until `end`. They have draws of their own, so
/// that the others are those that a seed has always had.
fn start_sound_faults(cluster: &Cluster, seed: u64, end: Instant) -> Vec<JoinHandle<()>> {
    let backups = Arc::new(Backups::default());
    let (own, writer) = (Arc::clone(&backups), cluster.clone());
    let copier = thread::spawn(move || own.run(&writer, end));
    let floods = floods::start(cluster, seed, end);
    let cluster = cluster.clone();
    let starter = thread::spawn(move || {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut running = Vec::new();
        while Instant::now() < end {
            thread::sleep(Duration::from_millis(rng.random_range(50..900)));
            let kind = rng.random_range(0..4);
            let (drill, limits) = (Drill::draw(&mut rng), Limits::draw(&mut rng));
            let replica = rng.random_range(0..8);
            let length = Duration::from_millis(rng.random_range(800..1_400));
            let (cluster, backups) = (cluster.clone(), Arc::clone(&backups));
            running.push(thread::spawn(move || match kind {
                0 | 1 => drill.run(&cluster, &backups),
                2 => silence(&cluster, replica, length),
                _ => cluster.change_limits(limits),
            }));
        }
        for thread in running {
            thread.join().unwrap();
        }
    });
    vec![copier, starter, floods]
}

/// A sound replica falls silent and goes on: no connection is closed.
fn silence(cluster: &Cluster, replica: usize, duration: Duration) {
    let proxy = cluster
        .replicas
        .lock()
        .unwrap()
        .get(replica)
        .map(|entry| (entry.0.id.clone(), entry.1.clone()));
    // `None` if the replica has just ended.
    if let Some((id, proxy)) = proxy {
        let from = Instant::now();
        proxy.set_fault(ConnectionFault::Stall);
        thread::sleep(duration);
        proxy.set_fault(ConnectionFault::None);
        cluster.notices.record_silence(&id, from);
    }
}

/// Cuts one or two daemons off from the replicas of one service or of all, in a way that `draw` decides.
fn partition(cluster: &Cluster, instance: usize, draw: usize, duration: Duration) {
    let partition = Partition {
        daemons: (instance..=instance + draw % 2)
            .map(|number| number % DAEMONS)
            .collect(),
        service: [None, Some("app"), Some("llm"), None][draw / 2],
        open_too: draw % 4 < 2,
    };
    let from = Instant::now();
    cluster.set_partition(&partition);
    thread::sleep(duration);
    cluster.set_partition(&Partition::default());
    cluster.notices.record_partition(&partition.daemons, from);
}

fn signal(cluster: &Cluster, instance: usize, signal: Signal) {
    cluster.instances[instance]
        .daemon
        .lock()
        .unwrap()
        .signal(signal);
}

/// Stops the process of a daemon for `duration`.
pub fn pause(cluster: &Cluster, instance: usize, duration: Duration) {
    // Held for the whole pause, so that the process is not replaced during it.
    let daemon = cluster.instances[instance].daemon.lock().unwrap();
    cluster.instances[instance].record_disturbance();
    daemon.signal(Signal::STOP);
    thread::sleep(duration);
    daemon.signal(Signal::CONT);
    cluster.instances[instance].record_disturbance();
}

fn kill(cluster: &Cluster, instance: usize, duration: Duration) {
    let mut daemon = cluster.instances[instance].daemon.lock().unwrap();
    cluster.instances[instance].record_disturbance();
    daemon.kill();
    thread::sleep(duration / 4);
    cluster.instances[instance].replace(&mut daemon);
}

fn restart(cluster: &Cluster, instance: usize) {
    let mut daemon = cluster.instances[instance].daemon.lock().unwrap();
    cluster.instances[instance].record_disturbance();
    cluster.instances[instance].set_stopping(true);
    daemon.signal(Signal::TERM);
    daemon.wait_for_exit();
    cluster.instances[instance].replace(&mut daemon);
    cluster.instances[instance].set_stopping(false);
}
