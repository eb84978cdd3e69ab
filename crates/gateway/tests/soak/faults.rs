//! Faults from outside the daemons, one after another and overlapping.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;

use crate::proxy::Harm;
use crate::world::DAEMONS;
use crate::world::World;

/// Causes faults for `span`, then waits for those that end by themselves.
pub fn run(world: &World, seed: u64, span: Duration) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = Instant::now() + span;
    let mut running = Vec::new();
    while Instant::now() < end {
        let fault = rng.random_range(0..9);
        let seat = rng.random_range(0..DAEMONS);
        let way = rng.random_range(0..8);
        let length = Duration::from_millis(rng.random_range(200..1_800));
        let harm = [
            Harm::Delay(length / 8),
            Harm::Reset,
            Harm::Silence,
            Harm::OneWay,
        ];
        let harm = harm[rng.random_range(0..4)];
        let world = world.clone();
        running.push(thread::spawn(move || match fault {
            0 => pause(&world, seat, length),
            1 => kill(&world, seat, length),
            2 => stop(&world, seat),
            3 => signal(&world, seat, Signal::HUP),
            4 => {
                world.store.set_down(true);
                thread::sleep(length);
                world.store.set_down(false);
            }
            5 => {
                world.seats[seat].store.set(harm);
                thread::sleep(length);
                world.seats[seat].store.set(Harm::None);
            }
            6 => world.change_config(),
            7 => world.replace_replica(way),
            _ => {
                let proxy = world.ways.lock().unwrap().get(way).map(|way| way.1.clone());
                // One that ended just now needs no harm.
                if let Some(proxy) = proxy {
                    proxy.set(harm);
                    thread::sleep(length);
                    proxy.set(Harm::None);
                }
            }
        }));
        thread::sleep(Duration::from_millis(rng.random_range(50..700)));
    }
    for fault in running {
        fault.join().unwrap();
    }
}

fn signal(world: &World, seat: usize, signal: Signal) {
    world.seats[seat].daemon.lock().unwrap().signal(signal);
}

fn pause(world: &World, seat: usize, length: Duration) {
    // Held for the whole pause, so that the process is not replaced meanwhile.
    let daemon = world.seats[seat].daemon.lock().unwrap();
    world.seats[seat].disturb();
    daemon.signal(Signal::STOP);
    thread::sleep(length);
    daemon.signal(Signal::CONT);
    world.seats[seat].disturb();
}

fn kill(world: &World, seat: usize, length: Duration) {
    let mut daemon = world.seats[seat].daemon.lock().unwrap();
    world.seats[seat].disturb();
    daemon.kill();
    thread::sleep(length / 4);
    *daemon = world.seats[seat].start();
}

fn stop(world: &World, seat: usize) {
    let mut daemon = world.seats[seat].daemon.lock().unwrap();
    world.seats[seat].disturb();
    daemon.signal(Signal::TERM);
    daemon.wait_for_exit();
    *daemon = world.seats[seat].start();
}
