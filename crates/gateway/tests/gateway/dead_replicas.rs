//! Guards against taking replicas that have ended for an own loss of the path to them: the store lists them for some
//! seconds more, and requests must reach those that live.

use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::part_site::PartSite;
use crate::part_site::has_part;
use crate::part_site::is_served;
use crate::part_site::serve_whole;
use crate::part_site::start_prompt;

/// Part of the prompts whose answers do not end.
const ENDLESS: &str = "e0d1e55";
/// Requests sent after replicas have ended.
const REQUESTS: usize = 24;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(50);

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
    let callers = (0..2 * site.decode.len()).map(|number| {
        let own = format!("b{number}");
        start_prompt(site.daemon(number), &[ENDLESS, &own], number)
    });
    let _callers: Vec<_> = callers.collect();
    wait_until("all requests are at work", || {
        site.runs(ENDLESS) == 2 * site.decode.len()
    });
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
