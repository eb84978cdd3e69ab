//! Daemons of the project, started with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::wire;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A daemon; killed when dropped.
pub struct Daemon {
    pub name: String,
    pub ip: String,
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    readiness: SocketAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

/// Loopback addresses of one run: other runs at the same time use another block.
pub fn ip(number: u32) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{}", 10 + id % 200, id / 200 % 250, number + 1)
}

fn free(ip: &str) -> SocketAddr {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

impl Daemon {
    /// Starts the daemon `number` in `zone`; `extra` are more lines of its settings.
    pub fn start(folder: &Path, number: u32, zone: &str, store: SocketAddr, peers: u16, extra: &str) -> Self {
        let (name, ip) = (format!("edge-{number}"), ip(number));
        let [callers, directory, readiness, metrics] = [free(&ip), free(&ip), free(&ip), free(&ip)];
        // The port for peers is the same on all machines.
        let text = format!(
            "instance: {name}\ndata_centre: {zone}\nlisten:\n  callers: \"{callers}\"\n  addresses: \"{directory}\"\n  readiness: \"{readiness}\"\n  metrics: \"{metrics}\"\n  peers: \"{ip}:{peers}\"\nstore: \"{store}\"\nseeds: [\"{}:1\"]\nretry: {{ratio: 0.2, slack: 58, window_s: 10}}\nfirst_start: true\nprefill_share: 0.12\ngrace_s: 8\nprocessor: {{share: 0.25, cores: 1}}\nmemory_mb: 110\n{extra}",
            self::ip(0)
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).unwrap();
        let log = folder.join(format!("{name}.log"));
        let child = Self::spawn(&settings, &log);
        Self { name, ip, callers, directory, readiness, child, settings, log }
    }

    fn spawn(settings: &Path, log: &Path) -> Child {
        let output = File::options().create(true).append(true).open(log).unwrap();
        Command::new("target/release/waxwing-gateway")
            .env("WAXWING_SETTINGS", settings)
            .stdout(output)
            .spawn()
            .unwrap()
    }

    pub fn signal(&self, signal: i32) {
        // The process was started here and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills it and starts it again `down` later, as the platform does.
    pub fn restart(&mut self, down: Duration) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        thread::sleep(down);
        let text = fs::read_to_string(&self.settings).unwrap();
        fs::write(&self.settings, text.replace("first_start: true", "first_start: false")).unwrap();
        self.child = Self::spawn(&self.settings, &self.log);
    }

    /// Whether it has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn is_ready(&self) -> bool {
        let connected = wire::connect(self.readiness, Duration::from_secs(1));
        let answer = connected.and_then(|mut stream| wire::call(&mut stream, "GET /api/readyz", &[("Host", "x")], b""));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until it is ready; `false` after ten seconds.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Log lines with `text`.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
