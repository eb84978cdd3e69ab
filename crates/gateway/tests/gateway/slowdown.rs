//! Reservations at replicas that say that work takes longer than usual at the moment.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::common::daemon::wait_until;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::start_generation;

/// A decode replica that adds its load to its answers to reservations.
struct Decode {
    replica: Replica,
    reserved: Arc<AtomicUsize>,
    released: Arc<AtomicUsize>,
}

impl Decode {
    fn start(id: &str, load: &'static str) -> Self {
        let replica = Replica::start(id, |request| {
            let parts = [stream_head(request), events(1, 1), chunk(b"")];
            Action::Send(parts.concat())
        });
        let (reserved, released) = <(Arc<AtomicUsize>, Arc<AtomicUsize>)>::default();
        let (taken, dropped) = (Arc::clone(&reserved), Arc::clone(&released));
        replica.set_call_handler(move |call| match call.path() {
            "/api/hold-take" => {
                taken.fetch_add(1, Ordering::SeqCst);
                Some(answer(200, &[("server-load", load)], br#"{"hold":"h1"}"#))
            }
            "/api/hold-drop/h1" => {
                dropped.fetch_add(1, Ordering::SeqCst);
                Some(answer(200, &[], b""))
            }
            _ => None,
        });
        Self {
            replica,
            reserved,
            released,
        }
    }

    fn answered(&self) -> usize {
        let received = self.replica.requests().into_iter();
        let generations = received.filter(|request| request.path() == "/draft/1");
        generations.count()
    }
}

/// Sends `count` generations one after the other, and checks that each is answered.
fn generate(site: &Site, count: usize) {
    for number in 0..count {
        let id = format!("a{number}");
        let response = start_generation(&site.daemon, "/draft/1", &id).read();
        assert!(response.complete && response.status() == 200);
    }
}

#[test]
fn a_reservation_at_a_slow_replica_is_exchanged() {
    let slow = Decode::start("i-1", "1,0,64,150");
    let usual = Decode::start("i-2", "1,0,64,149");
    let replicas = [&slow.replica, &usual.replica].map(|replica| (replica, "llm", "decode"));
    let site = Site::start("slowdown", &replicas);
    generate(&site, 8);
    assert_eq!((slow.answered(), usual.answered()), (0, 8));
    wait_until("the reservations are released", || {
        slow.released.load(Ordering::SeqCst) == slow.reserved.load(Ordering::SeqCst)
    });
    assert_eq!(usual.released.load(Ordering::SeqCst), 0);
}

#[test]
fn the_only_replica_is_used_although_it_is_slow() {
    let slow = Decode::start("i-1", "1,0,64,800");
    let site = Site::start("slowdown-only", &[(&slow.replica, "llm", "decode")]);
    generate(&site, 2);
    assert_eq!(slow.answered(), 2);
    assert_eq!(slow.released.load(Ordering::SeqCst), 0);
}

#[test]
fn the_least_slow_of_the_slow_replicas_is_kept() {
    // Both orders occur: replicas that are alike are asked in random order.
    let slow = Decode::start("i-1", "1,0,64,200");
    let slower = Decode::start("i-2", "1,0,64,800");
    let replicas = [&slow.replica, &slower.replica].map(|replica| (replica, "llm", "decode"));
    let site = Site::start("slowdown-all", &replicas);
    generate(&site, 12);
    assert_eq!((slow.answered(), slower.answered()), (12, 0));
    assert_eq!(slower.reserved.load(Ordering::SeqCst), 12);
    wait_until("the reservations are released", || {
        slower.released.load(Ordering::SeqCst) == 12
    });
    assert_eq!(slow.released.load(Ordering::SeqCst), 0);
}
