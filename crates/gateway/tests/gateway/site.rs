//! Test setup of a store, one daemon and given replicas.

use std::fs;
use std::net::SocketAddr;

use serde_json::Value;

use crate::common::caller::Caller;
use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Replica;
use crate::common::store;
use crate::common::store::Store;

/// A store, one daemon, and the replicas that the test made.
pub struct Site {
    /// The store.
    pub store: Store,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// The daemon.
    pub daemon: Daemon,
    /// IP address of the daemon.
    pub ip: String,
}

/// The configuration that the tests start with.
pub fn config(version: u64) -> Value {
    store::config(version, 4_000, 1_000)
}

impl Site {
    /// Starts a daemon in front of `replicas`, each with its service and stage.
    pub fn start(name: &str, replicas: &[(&Replica, &str, &str)]) -> Self {
        Self::start_with_plan(name, &config(1), replicas)
    }

    /// The same with `plan`.
    pub fn start_with_plan(name: &str, plan: &Value, replicas: &[(&Replica, &str, &str)]) -> Self {
        Self::with_daemon(plan, replicas, |ip, store| {
            Daemon::start(name, ip, store, &[])
        })
    }

    /// The same with `plan` and additional `settings`.
    pub fn start_with_settings(
        name: &str,
        plan: &Value,
        replicas: &[(&Replica, &str, &str)],
        settings: &str,
    ) -> Self {
        Self::with_daemon(plan, replicas, |ip, store| {
            Daemon::start_with_settings(name, ip, store, &[], settings)
        })
    }

    /// Starts a daemon in front of one prefill replica and some decode replicas.
    pub fn start_with_prefill(name: &str, prefill: &Replica, decode: &[&Replica]) -> Self {
        let decode = decode.iter().map(|replica| (*replica, "llm", "decode"));
        let replicas: Vec<_> = decode.chain([(prefill, "llm", "prefill")]).collect();
        Self::start(name, &replicas)
    }

    /// Starts a daemon in front of `replicas` whose standard output is not read.
    pub fn start_with_unread_output(name: &str, replicas: &[(&Replica, &str, &str)]) -> Self {
        Self::with_daemon(&config(1), replicas, |ip, store| {
            Daemon::start_with_unread_output(name, ip, store, &[])
        })
    }

    fn with_daemon(
        plan: &Value,
        replicas: &[(&Replica, &str, &str)],
        start: impl Fn(&str, SocketAddr) -> Daemon,
    ) -> Self {
        let (store, store_address) = Store::start("127.0.0.1");
        store.put("op", "config", plan);
        for (replica, service, stage) in replicas {
            store.put("servers", &replica.id, &replica.row(service, stage));
        }
        let ip = new_ip();
        let daemon = start(&ip, store_address);
        if !replicas.is_empty() {
            daemon.wait_until_ready();
        }
        Self {
            store,
            store_address,
            daemon,
            ip,
        }
    }

    /// Starts another daemon with the same store; if `seeded`, the first daemon is its seed.
    pub fn start_another(&self, name: &str, seeded: bool) -> Daemon {
        let seeds = [self.ip.as_str()];
        let seeds = if seeded { &seeds[..] } else { &[] };
        Daemon::start(name, &new_ip(), self.store_address, seeds)
    }

    /// Starts another daemon with the same store whose settings say that the whole system starts for the first time.
    pub fn first_start(&self, name: &str) -> Daemon {
        Daemon::first_start(name, &new_ip(), self.store_address)
    }

    /// Replaces `before` by `after` in the settings file, and waits until the settings are in force.
    pub fn change_settings(&self, before: &str, after: &str) {
        let text = fs::read_to_string(self.daemon.settings_path()).unwrap();
        assert!(text.contains(before), "{text}");
        fs::write(self.daemon.settings_path(), text.replace(before, after)).unwrap();
        wait_until("the settings are in force", || {
            !self.daemon.logged("settings in force").is_empty()
        });
    }

    /// Sends one request as a new caller and reads the answer.
    pub fn send_and_read(&self, line: &str, id: &str) -> Message {
        send_and_read(&self.daemon, line, id)
    }

    /// Waits until requests for `path` are no longer answered with `status`.
    pub fn wait_while_status(&self, path: &str, status: u16) {
        wait_until("the answer changes", || {
            self.send_and_read(&format!("GET {path}"), "probe").status() != status
        });
    }
}

/// Sends one request to `daemon` as a new caller and reads the answer.
pub fn send_and_read(daemon: &Daemon, line: &str, id: &str) -> Message {
    daemon.caller().send_and_read(line, &headers(id), b"")
}

/// Headers of a plain request.
pub fn headers(id: &str) -> [(&str, &str); 2] {
    [("Request-Id", id), ("Deadline-Ms", "4000")]
}

/// Sends a generation as a new caller; returns the caller without reading the answer.
pub fn start_generation(daemon: &Daemon, path: &str, id: &str) -> Caller {
    let mut caller = daemon.caller();
    let headers = [
        ("Request-Id", id),
        ("Deadline-Ms", "4000"),
        ("Token-Counts", "1460,80"),
        ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:660"),
    ];
    caller.start_request(&format!("POST {path}"), &headers, b"prompt");
    caller
}

/// Ids of the replicas that left the reservation of the generation `request` unanswered, by the log of `daemon`.
pub fn unanswered_replicas(daemon: &Daemon, request: &str) -> Vec<String> {
    let lines = daemon.lines_about(request);
    let unanswered = lines
        .iter()
        .filter(|line| line.contains("a replica did not answer"));
    let ids = unanswered.map(|line| {
        let line: Value = serde_json::from_str(line).unwrap();
        line["replica"].as_str().unwrap().to_owned()
    });
    ids.collect()
}

impl Site {
    /// Allows generations longer than the grace period; returns a connected caller.
    pub fn allow_long_streams(&self) -> Caller {
        let mut longer = config(2);
        longer["routes"][2]["timeout-ms"] = 14_000.into();
        self.store.put("op", "config", &longer);
        wait_until("the plan is in force", || {
            !self.daemon.logged("\"version\":2").is_empty()
        });
        self.daemon.caller()
    }
}
