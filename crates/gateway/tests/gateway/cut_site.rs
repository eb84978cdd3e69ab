//! Test setup of two daemons, one of which reaches the replicas through gates that a test can cut.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;

use crate::common::caller::Caller;
use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::gate::Cut;
use crate::common::gate::Gate;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::not_run_answer;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::common::store::Store;
use crate::site::config;
use crate::site::headers;
use crate::site::start_generation;

/// Paths of generations and of a call that take a second or more.
pub const SLOW_DRAFT: &str = "/draft/slow";
pub const SLOW_STREAM: &str = "/resume/slow";
pub const SLOWER_STREAM: &str = "/resume/slower";
pub const SLOW_READ: &str = "/read/slow";
/// Path of a generation whose answer is far larger than the socket buffers.
pub const FLOOD: &str = "/draft/flood";
/// Events of this answer, and bytes of each.
const FLOOD_EVENTS: u64 = 1_024;
const FLOOD_EVENT_BYTES: usize = 32 * 1024;
/// Path of a call that is not answered where it arrives first, and not run anywhere after that.
pub const FIRST_HANGS: &str = "/read/first-hangs";
/// All kinds of requests.
pub const KINDS: [Kind; 4] = [Kind::Read, Kind::Book, Kind::Draft, Kind::Resume];
/// Requests of each kind sent before the cut.
pub const WARM_UP: usize = 4;

/// Two daemons in different data centres that share a store; the first one reaches the replicas through gates.
pub struct Site {
    /// The daemon that a test cuts off.
    pub cut: Daemon,
    /// The other one.
    pub sound: Daemon,
    store: Store,
    gates: Vec<(Gate, &'static str)>,
    /// All replicas.
    pub replicas: Vec<Replica>,
}

impl Site {
    /// Starts both daemons and waits until they know each other.
    pub fn start(name: &str) -> Self {
        Self::start_with(name, &config(1), "")
    }

    /// The same with `plan` and additional lines in the settings of both daemons.
    pub fn start_with(name: &str, plan: &Value, settings: &str) -> Self {
        Self::start_with_each(name, plan, [settings, settings])
    }

    /// The same with the lines for the first daemon and those for the other one.
    pub fn start_with_each(name: &str, plan: &Value, settings: [&str; 2]) -> Self {
        let (store, address) = Store::start("127.0.0.1");
        store.put("op", "config", plan);
        let hung = Arc::new(AtomicBool::new(false));
        let echo = |id: &str| {
            let hung = Arc::clone(&hung);
            Replica::start(id, move |request| {
                match request.path() {
                    FIRST_HANGS if hung.swap(true, Ordering::SeqCst) => {
                        return Action::Send(not_run_answer(request));
                    }
                    FIRST_HANGS => return Action::SendAndHang(Vec::new()),
                    _ => {}
                }
                if request.path().ends_with("/hang") {
                    return Action::SendAndHang(Vec::new());
                }
                let parts = vec![signed_answer(request, 200, b"answer")];
                Action::SendSlowly(parts, pause(request))
            })
        };
        let engine = |id: &str| {
            Replica::start(id, |request| {
                if request.path().ends_with("/hang") {
                    return Action::SendAndHang(Vec::new());
                }
                if request.path() == FLOOD {
                    return Action::SendAndHang([stream_head(request), flood()].concat());
                }
                let last = request
                    .header("last-event-id")
                    .map_or(0, |id| id.parse().unwrap());
                let mut parts = vec![stream_head(request)];
                parts.extend((last + 1..=3).map(|id| events(id, id)));
                parts.push(chunk(b""));
                Action::SendSlowly(parts, pause(request))
            })
        };
        let replicas = [
            (echo("i-app-1"), "app", ""),
            (echo("i-app-2"), "app", ""),
            (echo("i-app-3"), "app", ""),
            (engine("i-decode-1"), "llm", "decode"),
            (engine("i-decode-2"), "llm", "decode"),
            (engine("i-decode-3"), "llm", "decode"),
            (Replica::start_prefill("i-prefill"), "llm", "prefill"),
        ];
        let mut gates = Vec::new();
        let mut views = Vec::new();
        for (replica, service, stage) in &replicas {
            store.put("servers", &replica.id, &replica.row(service, stage));
            let gate = Gate::start(replica.address);
            views.push((replica.address, gate.address));
            gates.push((gate, *service));
        }
        let (_, through_gates) = store.with_view("127.0.0.1", &views);
        let start = |data_centre: &str, role: &str, store, settings: &str| {
            let name = format!("{name}-{role}");
            let settings = format!("first_start: true\n{settings}");
            Daemon::start_in(data_centre, &name, &new_ip(), store, &[], &settings)
        };
        let site = Self {
            cut: start("here", "cut", through_gates, settings[0]),
            sound: start("there", "sound", address, settings[1]),
            store,
            gates,
            replicas: replicas.into_iter().map(|(replica, ..)| replica).collect(),
        };
        site.cut.wait_until_ready();
        site.sound.wait_until_ready();
        wait_until("the daemons know each other", || {
            let knows = |daemon: &Daemon| daemon.metrics().contains("gateway_members 2");
            knows(&site.cut) && knows(&site.sound)
        });
        site
    }

    /// Sends some requests of each kind through the first daemon, which keeps connections after that.
    pub fn warm_up(&self) {
        for number in 0..WARM_UP {
            for kind in KINDS {
                assert!(kind.is_served_by(&self.cut, &format!("warm-{number}")));
            }
        }
    }

    /// Cuts the first daemon off from the replicas of `services`. The path to all of them is cut before a connection is
    /// reset: the daemon looks into the first loss at once.
    pub fn cut(&self, cut: Cut, services: &[&str]) {
        let gates = self.gates.iter();
        let gates = gates.filter(|(_, service)| services.contains(service));
        if cut == Cut::Reset {
            for (gate, _) in gates.clone() {
                gate.cut(Cut::NewOnly);
            }
            wait_until("no new connection is accepted", || {
                gates.clone().all(|(gate, _)| !gate.is_listening())
            });
        }
        for (gate, _) in gates {
            gate.cut(cut);
        }
    }

    /// Lists the decode replica `id` with the software version `version`.
    pub fn set_version(&self, id: &str, version: &str) {
        let replica = self.replicas.iter().find(|replica| replica.id == id);
        let mut row = replica.unwrap().row("llm", "decode");
        row["version"] = version.into();
        self.store.put("servers", id, &row);
    }

    /// Lists one more replica, and waits until both daemons know it and all that was listed before.
    pub fn wait_for_list(&self) {
        let mut row = self.replicas[0].row("app", "");
        row["state"] = "draining".into();
        self.store.put("servers", "i-last", &row);
        for daemon in [&self.cut, &self.sound] {
            wait_until("the list is read", || !daemon.logged("i-last").is_empty());
        }
    }

    /// Requests for `path` that replicas got to run.
    pub fn arrived(&self, path: &str) -> Vec<Message> {
        let requests = self.replicas.iter().flat_map(Replica::requests);
        let requests = requests.filter(|request| request.header("stage").is_none());
        requests.filter(|request| request.path() == path).collect()
    }

    /// Opens all paths again.
    pub fn heal(&self) {
        for (gate, _) in &self.gates {
            gate.heal();
        }
    }
}

fn flood() -> Vec<u8> {
    let data = "x".repeat(FLOOD_EVENT_BYTES);
    let events =
        (1..=FLOOD_EVENTS).map(|id| chunk(format!("id: {id}\ndata: {data}\n\n").as_bytes()));
    events.collect::<Vec<_>>().concat()
}

/// Pause of an engine between the parts of its answer.
fn pause(request: &Message) -> Duration {
    match request.path() {
        SLOW_DRAFT | SLOW_READ => Duration::from_millis(800),
        SLOW_STREAM => Duration::from_millis(250),
        SLOWER_STREAM => Duration::from_millis(400),
        _ => Duration::ZERO,
    }
}

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// A call that may be repeated.
    Read,
    /// A call that runs at most once.
    Book,
    /// A generation that runs at most once.
    Draft,
    /// A generation that another replica may resume.
    Resume,
}

impl Kind {
    /// Sends a request as a new caller.
    pub fn start(self, daemon: &Daemon, id: &str) -> Caller {
        let id = format!("{self:?}-{id}");
        let mut caller = daemon.caller();
        match self {
            Self::Read => caller.start_request("GET /read/1", &headers(&id), b""),
            Self::Book => caller.start_request("POST /book/1", &headers(&id), b"body"),
            Self::Draft => return start_generation(daemon, "/draft/1", &id),
            Self::Resume => return start_generation(daemon, "/resume/1", &id),
        }
        caller
    }

    /// Whether `daemon` serves a request at the first try.
    pub fn is_served_by(self, daemon: &Daemon, id: &str) -> bool {
        let answer = self.start(daemon, id).read();
        answer.status() == 200 && answer.complete && self.is_whole(&answer)
    }

    fn is_whole(self, answer: &Message) -> bool {
        let text = String::from_utf8_lossy(&answer.body);
        match self {
            Self::Read | Self::Book => text == "answer",
            Self::Draft | Self::Resume => text.matches("id: ").count() == 3,
        }
    }
}
