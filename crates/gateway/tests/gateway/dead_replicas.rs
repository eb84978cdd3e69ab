//! Guards against taking replicas that have ended for an own loss of the path to them: the store lists them for some
//! seconds more, and requests must reach those that live.

use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::common::caller::Caller;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::part_site::PartSite;
use crate::part_site::has_part;
use crate::part_site::is_served;
use crate::part_site::serve_whole;
use crate::part_site::start_prompt;
use crate::site::unanswered_replicas;

/// Part of the prompts whose answers do not end.
const ENDLESS: &str = "e0d1e55";
/// Requests sent after replicas have ended.
const REQUESTS: usize = 24;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(50);

/// Starts `count` requests that do not end, at each daemon the next one once the answer to the one before it has begun:
/// how many requests a daemon places in a given time depends on the machine. One that was refused since a replica did
/// not answer in time is followed by another one.
fn start_endless(site: &PartSite, count: usize) -> Vec<Caller> {
    let mut callers = Vec::new();
    let mut sent = 0;
    while callers.len() < count {
        let numbers = sent..sent + site.others.len() + 1;
        sent = numbers.end;
        let started = numbers.map(|number| (number, start_endless_request(site, number)));
        let started: Vec<_> = started.collect();
        for (number, caller) in started {
            if begins_stream(&caller) {
                callers.push(caller);
                continue;
            }
            let unanswered = unanswered_replicas(site.daemon(number), &format!("p{number}"));
            assert!(!unanswered.is_empty(), "p{number} was refused");
        }
    }
    callers
}

fn start_endless_request(site: &PartSite, number: usize) -> Caller {
    let own = format!("b{number}");
    start_prompt(site.daemon(number), &[ENDLESS, &own], number)
}

/// Whether the answer that `caller` gets begins like that of a stream; waits for it.
fn begins_stream(caller: &Caller) -> bool {
    const HEAD: &[u8] = b"HTTP/1.1 200";
    let mut head = [0; HEAD.len()];
    caller.socket.peek(&mut head).is_ok() && head == HEAD
}

/// Replicas end together; each was at work.
#[rstest]
#[case::half(12)]
#[case::two_thirds(16)]
#[case::five_sixths(20)]
fn requests_are_served_while_listed_replicas_are_dead(#[case] dead: usize) {
    let script = |request: &Message| match request {
        request if has_part(request, ENDLESS) => {
            Action::SendAndHang([stream_head(request), events(1, 1)].concat())
        }
        _ => serve_whole(request),
    };
    let site = PartSite::start(&format!("dead-{dead}"), 3, script);
    for number in 0..3 {
        assert!(is_served(site.daemon(number), &[], 1_000 + number));
    }
    let _callers = start_endless(&site, 2 * site.decode.len());
    for replica in site.decode.iter().take(dead) {
        replica.crash();
    }
    let mut served = 0;
    for number in 0..REQUESTS {
        thread::sleep(PAUSE);
        served += usize::from(is_served(site.daemon(number), &[], 2_000 + number));
    }
    assert!(2 * served >= REQUESTS, "{served} of {REQUESTS} served");
}
