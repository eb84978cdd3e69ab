//! Test setup of decode replicas with different software versions.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::common::caller::Caller;
use crate::common::daemon::Daemon;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::start_generation;

/// Path of a stream that may be resumed.
pub const PATH: &str = "/resume/1";
/// Events of a stream, and the pause between two of them.
pub const EVENTS: u64 = 20;
pub const PAUSE: Duration = Duration::from_millis(50);

/// A decode replica of one software version.
pub struct Engine {
    pub replica: Replica,
    pub version: &'static str,
    /// Set to break off its streams.
    pub is_broken: Arc<AtomicBool>,
}

impl Engine {
    pub fn start(id: &str, version: &'static str) -> Self {
        let is_broken = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_broken);
        let replica = Replica::start(id, move |request| {
            Action::SendUntilStopped(parts(request), PAUSE, Arc::clone(&stopped))
        });
        Self {
            replica,
            version,
            is_broken,
        }
    }

    /// Generates the rest of the stream of `request`.
    pub fn generate(request: &Message) -> Action {
        Action::SendSlowly(parts(request), PAUSE)
    }

    /// Lists it in `data_centre`.
    pub fn list(&self, site: &Site, data_centre: &str) {
        let mut row = self.replica.row("llm", "decode");
        row["version"] = self.version.into();
        row["zone"] = data_centre.into();
        site.store.put("servers", &self.replica.id, &row);
    }

    /// Breaks off its streams and removes it from the list.
    pub fn end(&self, site: &Site) {
        site.store.remove("servers", &self.replica.id);
        self.is_broken.store(true, Ordering::SeqCst);
    }

    pub fn runs(&self) -> usize {
        self.replica.requests().len()
    }
}

/// The head and the events that answer `request`.
fn parts(request: &Message) -> Vec<Vec<u8>> {
    let last = request.header("last-event-id");
    let last: u64 = last.map_or(0, |id| id.parse().unwrap());
    let mut parts = vec![stream_head(request)];
    parts.extend((last + 1..=EVENTS).map(|id| events(id, id)));
    parts.push(chunk(b""));
    parts
}

/// A site with one replica, at which the stream `a1` has begun.
pub fn start_stream(name: &str, first: &Engine) -> (Site, Caller) {
    let site = Site::start(name, &[]);
    first.list(&site, "here");
    site.daemon.wait_until_ready();
    let stream = begin_stream(&site);
    (site, stream)
}

pub fn begin_stream(site: &Site) -> Caller {
    let stream = start_generation(&site.daemon, PATH, "a1");
    wait_until("the stream has begun", || {
        !site.daemon.logged("the first event").is_empty()
    });
    stream
}

/// Waits until each of `daemons` knows `count` members, itself included.
pub fn wait_until_members(daemons: &[&Daemon], count: usize) {
    let line = format!("gateway_members {count}\n");
    wait_until("the members are known", || {
        let knows = |daemon: &&Daemon| daemon.metrics().contains(&line);
        daemons.iter().all(knows)
    });
}

/// Waits until `daemon` knows the replicas `ids`.
pub fn wait_until_known(daemon: &Daemon, ids: &[&str]) {
    wait_until("the replicas are known", || {
        let changes = daemon.logged("a replica changed");
        let is_known = |id: &&str| changes.iter().any(|line| line.contains(*id));
        ids.iter().all(is_known)
    });
}

pub fn event_texts(from: u64, to: u64) -> String {
    let texts = (from..=to).map(|id| format!("id: {id}\ndata: t{id}\n\n"));
    texts.collect()
}
