//! How long streams can be resumed, where a plan shortens their timeouts and daemons start afterwards.

use std::thread;
use std::time::Duration;

use crate::common::daemon::wait_until;
use crate::common::store;
use crate::resumptions::resume;
use crate::site::Site;
use crate::version_site::Engine;
use crate::version_site::begin_stream;
use crate::version_site::wait_until_known;

/// Timeout of the routes of the later plan, in milliseconds.
const SHORT_MS: u64 = 500;
/// Time after which a version that has served alone since counts as the only one by the later plan, but not by the earlier one: streams of it
/// can be resumed for 1 s and 40 s, and replicas serve unlisted for 30 s.
const SHORT_LIFETIME: Duration = Duration::from_secs(34);

/// A site whose daemon began the stream `a1` of `one` under a plan with long timeouts and was killed; a plan with short ones
/// is in force since, and `other` has taken the place of `one`.
fn shortened_site(name: &str, one: &Engine, other: &Engine) -> Site {
    let mut site = Site::start_with_plan(name, &store::config(1, 20_000, 1_000), &[]);
    one.list(&site, "here");
    site.daemon.wait_until_ready();
    wait_until("the lifetime of streams is recorded", || {
        !site.store.keys("lifetimes").is_empty()
    });
    drop(begin_stream(&site));
    site.daemon.kill();
    site.store
        .put("op", "config", &store::config(2, SHORT_MS, 300));
    one.end(&site);
    other.list(&site, "here");
    site
}

/// Guards against taking the only version of a shorter time for that of all streams that callers may resume.
#[test]
fn a_stream_of_an_earlier_plan_with_longer_timeouts_does_not_go_on_at_another_version() {
    let one = Engine::start("i-one", "v1");
    let other = Engine::start("i-other", "v1.1");
    let site = shortened_site("shortened", &one, &other);
    let another = site.start_another("shortened-too", false);
    another.wait_until_ready();
    wait_until_known(&another, &["i-other"]);
    thread::sleep(SHORT_LIFETIME);
    assert_eq!(resume(&another, "a2", "a1", "1").status(), 503);
    assert_eq!(other.runs(), 0);
}

/// Guards against trusting the timeouts of the present plan while the store does not say whether there were longer ones.
#[test]
fn without_an_answer_about_earlier_lifetimes_a_stream_does_not_go_on_at_another_version() {
    let one = Engine::start("i-one", "v1");
    let other = Engine::start("i-other", "v1.1");
    let site = shortened_site("unread-lifetime", &one, &other);
    site.store.set_silent_table(Some("lifetimes"));
    let another = site.start_another("unread-lifetime-too", false);
    another.wait_until_ready();
    wait_until_known(&another, &["i-other"]);
    thread::sleep(SHORT_LIFETIME);
    assert_eq!(resume(&another, "a2", "a1", "1").status(), 503);
    assert_eq!(other.runs(), 0);
}
