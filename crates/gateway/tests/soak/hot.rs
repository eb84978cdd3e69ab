//! A hot customer: it sends well beyond its quota, to two routes of different rank at all daemons.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use crate::callers;
use crate::cluster::Cluster;
use crate::cluster::DAEMONS;
use crate::customer::Customer;
use crate::history::Kind;

/// Rounds that are sent to each daemon.
const ROUNDS: u32 = 20;
/// Requests of a round, in this order. The urgent ones of all daemons stay below the quota, so that part of it is left
/// to the others.
const ROUND: [Kind; 4] = [Kind::Patient, Kind::Patient, Kind::Patient, Kind::Urgent];
/// Time between the starts of two requests to one daemon.
const INTERVAL: Duration = Duration::from_millis(250);
/// Amount by which the share of urgent requests that are served may be below that of the others.
const TOLERANCE: f64 = 0.1;
/// Least share of each kind, as a fraction of the share of both together.
const MIN_FRACTION: f64 = 0.25;

/// Number of requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    served: usize,
    asked: usize,
}

impl Count {
    fn add(&mut self, other: Self) {
        self.served += other.served;
        self.asked += other.asked;
    }

    fn share(self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// Adds two routes to the application service of `config` that differ in rank.
pub fn add_routes(config: &mut Value) {
    let routes = config["routes"].as_array_mut().unwrap();
    let usual = routes[0].clone();
    for (name, rank) in [("urgent", 0), ("patient", 5)] {
        let mut route = usual.clone();
        route["name"] = name.into();
        route["prefix"] = format!("/{name}/").into();
        route["priority"] = rank.into();
        routes.push(route);
    }
}

/// Checks that the urgent requests of a hot customer are served no less often than its less urgent ones, and that
/// neither are starved.
///
/// # Errors
/// Returns how many of each were served.
pub fn check(cluster: &Cluster) -> Result<(), String> {
    let senders: Vec<_> = (0..DAEMONS)
        .map(|instance| {
            let cluster = cluster.clone();
            thread::spawn(move || send_rounds(&cluster, instance))
        })
        .collect();
    let (mut urgent, mut patient) = (Count::default(), Count::default());
    for sender in senders {
        let (more_urgent, more_patient) = sender.join().unwrap();
        urgent.add(more_urgent);
        patient.add(more_patient);
    }
    let mut all = urgent;
    all.add(patient);
    let text = format!(
        "{} of {} urgent requests of a hot customer served ({:.2}), {} of {} less urgent ones ({:.2})",
        urgent.served,
        urgent.asked,
        urgent.share(),
        patient.served,
        patient.asked,
        patient.share()
    );
    println!("{text}");
    let least = all.share() * MIN_FRACTION;
    let starved = urgent.share().min(patient.share()) < least || all.served == 0;
    let inverted = urgent.share() < patient.share() - TOLERANCE;
    if starved || inverted {
        return Err(format!("RANK: {text}"));
    }
    Ok(())
}

/// Sends all rounds to one daemon; returns the counts of urgent and of less urgent requests.
fn send_rounds(cluster: &Cluster, instance: usize) -> (Count, Count) {
    let (mut urgent, mut patient) = (Count::default(), Count::default());
    let mut connection = None;
    let mut due = Instant::now();
    for round in 0..ROUNDS {
        for (number, kind) in ROUND.into_iter().enumerate() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            due += INTERVAL;
            let customer = Customer::Limited;
            let id = customer.id(&format!("hot-{instance}-{round}-{number}"));
            let response =
                callers::send_request(cluster, instance, kind, customer, &id, &mut connection);
            let is_served = response.status() == 200 && response.complete;
            let count = if kind == Kind::Urgent {
                &mut urgent
            } else {
                &mut patient
            };
            count.add(Count {
                served: usize::from(is_served),
                asked: 1,
            });
        }
    }
    (urgent, patient)
}
