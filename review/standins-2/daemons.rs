//! The daemons and replicas as child processes.

use std::fs;
use std::fs::OpenOptions;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::clients;
use crate::http;
use crate::record::Record;
use crate::record::fail;
use crate::store::Store;

/// All processes that were started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn keep(child: Child) -> u32 {
    let id = child.id();
    // For the script, if this process is ended.
    let ids = OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder().join("ids"));
    let _ = ids.and_then(|mut ids| writeln!(ids, "{id}"));
    let mut children = CHILDREN
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    children.push(child);
    id
}

/// Ends all processes that were started.
pub fn end_all() {
    let mut children = CHILDREN
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

/// Kills the process `id`, which was started here.
pub fn kill(id: u32) {
    let mut children = CHILDREN
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    for child in children.iter_mut().filter(|child| child.id() == id) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A folder for the files of this run.
pub fn folder() -> PathBuf {
    let folder = std::env::var("CASE_FOLDER").unwrap_or_else(|_| fail("CASE_FOLDER is not set"));
    PathBuf::from(folder)
}

/// A daemon.
#[derive(Debug, Clone)]
pub struct Daemon {
    /// Name of the instance.
    pub name: String,
    /// Process id.
    pub id: u32,
    /// Address for clients.
    pub front: SocketAddr,
    readiness: SocketAddr,
}

/// Name and zone of a daemon, and its IP address.
pub type Place = (&'static str, &'static str, [u8; 4]);

/// Where and how daemons are started.
pub struct Fleet<'a> {
    /// The store.
    pub store: &'a Store,
    /// Zones.
    pub zones: &'a [&'static str],
    /// IP addresses of the seeds.
    pub seeds: Vec<[u8; 4]>,
    /// Port for other daemons, the same everywhere.
    pub peers: u16,
    /// Last line of the settings.
    pub quota: &'a str,
}

/// Starts one daemon at each of `places` for the first time, and waits until all are ready.
pub fn start(record: &Record, store: &Store, places: &[Place]) -> Vec<Daemon> {
    let zones: Vec<&str> = places.iter().map(|place| place.1).collect();
    let fleet = Fleet {
        store,
        zones: &zones,
        seeds: places.iter().map(|place| place.2).collect(),
        peers: http::free_port(IpAddr::from(places[0].2)),
        quota: "",
    };
    let daemons: Vec<Daemon> = places
        .iter()
        .map(|place| fleet.start(place, true))
        .collect();
    daemons
        .iter()
        .for_each(|daemon| daemon.wait_until_ready(record));
    daemons
}

impl Fleet<'_> {
    /// Starts a daemon with settings by the template of the deploy file; `first` at the first start of the whole
    /// system.
    pub fn start(&self, place: &Place, first: bool) -> Daemon {
        let (name, zone, ip) = place;
        let ip = IpAddr::from(*ip);
        let at = || SocketAddr::new(ip, http::free_port(ip));
        let (front, directory, readiness, metrics) = (at(), at(), at(), at());
        let regions: Vec<String> = self
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\": \"slavonija\""))
            .collect();
        let peers = self.peers;
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{}:{peers}\"", IpAddr::from(*seed)))
            .collect();
        let settings = format!(
            "instance: \"{name}\"\ndata_centre: \"{zone}\"\nregions: {{ {} }}\nlisten:\n  callers: \"{front}\"\n  addresses: \"{directory}\"\n  readiness: \"{readiness}\"\n  metrics: \"{metrics}\"\n  peers: \"{ip}:{peers}\"\nstore: \"{}\"\nseeds: [{}]\nretry:\n  ratio: 0.2\n  slack: 58\n  window_s: 10\nfirst_start: {first}\nprefill_share: 0.12\ngrace_s: 8\nprocessor: {{share: 0.25, cores: 1 }}\nmemory_mb: 110\n{}",
            regions.join(","),
            self.store.address,
            seeds.join(","),
            self.quota
        );
        let written = fs::write(folder().join(format!("{name}.yaml")), settings);
        written.unwrap_or_else(|error| fail(&error.to_string()));
        Daemon {
            name: (*name).to_owned(),
            id: spawn(name),
            front,
            readiness,
        }
    }
}

impl Daemon {
    /// Waits until it is ready.
    pub fn wait_until_ready(&self, record: &Record) {
        let until = Instant::now() + Duration::from_secs(15);
        while clients::get(self.readiness, "/api/readyz") != 200 {
            if Instant::now() > until {
                fail(&format!("{} is not ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line(&format!("daemon {} is ready at {}", self.name, self.front));
    }

    /// Starts it again after its end, with the same settings; it is no first start of the system.
    pub fn restart(&mut self) {
        let path = folder().join(format!("{}.yaml", self.name));
        let settings = fs::read_to_string(&path).unwrap_or_else(|error| fail(&error.to_string()));
        let settings = settings.replace("first_start: true", "first_start: false");
        fs::write(&path, settings).unwrap_or_else(|error| fail(&error.to_string()));
        self.id = spawn(&self.name);
    }
}

/// Runs the daemon `name` as the deploy file has it.
fn spawn(name: &str) -> u32 {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder().join(format!("{name}.log")));
    let log = log.unwrap_or_else(|error| fail(&error.to_string()));
    let child = Command::new("target/release/waxwing-gateway")
        .env("WAXWING_SETTINGS", folder().join(format!("{name}.yaml")))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn();
    let child =
        child.unwrap_or_else(|error| fail(&format!("target/release/waxwing-gateway: {error}")));
    keep(child)
}

/// A run at a replica.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the request.
    pub request: String,
    /// Id of the replica.
    pub replica: String,
}

/// A replica.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Its id.
    pub name: String,
    /// Process id.
    pub id: u32,
    /// Address.
    pub address: SocketAddr,
    service: String,
    zone: String,
    stage: String,
    version: &'static str,
}

/// Runs of all replicas.
pub type Runs = Arc<Mutex<Vec<Run>>>;

impl Replica {
    /// Starts the replica `name` of `service` and registers it.
    pub fn start(
        record: &Arc<Record>,
        store: &Store,
        runs: &Runs,
        name: &str,
        service: &str,
        stage: &str,
        zone: &str,
    ) -> Self {
        Self::start_version(record, store, runs, name, service, stage, zone, "v1")
    }

    /// Starts a replica of the software version `version`.
    pub fn start_version(
        record: &Arc<Record>,
        store: &Store,
        runs: &Runs,
        name: &str,
        service: &str,
        stage: &str,
        zone: &str,
        version: &'static str,
    ) -> Self {
        let program = std::env::current_exe().unwrap_or_else(|error| fail(&error.to_string()));
        let child = Command::new(program)
            .args(["replica", name, service, stage])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.unwrap_or_else(|error| fail(&error.to_string()));
        let output = child
            .stdout
            .take()
            .unwrap_or_else(|| fail("a replica has no output"));
        let mut lines = BufReader::new(output).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        let address = first
            .parse()
            .unwrap_or_else(|_| fail("a replica has no address"));
        let (record, runs) = (Arc::clone(record), Arc::clone(runs));
        let (name, service) = (name.to_owned(), service.to_owned());
        let replica = Self {
            name: name.clone(),
            id: keep(child),
            address,
            service: service.clone(),
            zone: zone.to_owned(),
            stage: stage.to_owned(),
            version,
        };
        let (mut own, table) = (replica.clone(), store.clone());
        thread::spawn(move || {
            let mut seq = 1;
            for line in lines.map_while(Result::ok) {
                record.line(&format!("replica {name} of {service}: {line}"));
                if let Some(stage) = line.strip_prefix("stage ") {
                    own.stage = stage.to_owned();
                    seq += 1;
                    own.report(&table, "ready", seq);
                }
                if let Some(request) = line.strip_prefix("run ") {
                    let request = request.split(' ').next().unwrap_or_default().to_owned();
                    let run = Run {
                        request,
                        replica: name.clone(),
                    };
                    runs.lock()
                        .unwrap_or_else(|poisoned| poisoned.into_inner())
                        .push(run);
                }
            }
        });
        replica.report(store, "ready", 1);
        replica
    }

    /// Writes its entry, as a replica does when its state changes.
    pub fn report(&self, store: &Store, state: &str, seq: u64) {
        let stage = match self.stage.as_str() {
            "" => String::new(),
            stage => format!(
                "\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"
            ),
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":64,\"state\":\"{state}\",\"cold-left-ms\":0,{stage}\"seq\":{seq}}}",
            self.service, self.address, self.zone, self.version
        );
        store.write("servers", &self.name, &entry);
    }
}
