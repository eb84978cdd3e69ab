//! Runs the daemon as a child process.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use super::ANY;
use super::settings;

/// Path of the program.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_waxwingd");

/// Exit code of a daemon that cannot listen.
const EXIT_LISTEN: i32 = 4;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A running daemon; dropping it kills exactly this process.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    log: PathBuf,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where peers connect.
    pub peer: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
}

impl Daemon {
    /// Starts a daemon with `more` settings and waits until it listens.
    ///
    /// Another process may take a free port before the daemon listens on it; the daemon then exits
    /// with `EXIT_LISTEN`, and the start is repeated with other ports.
    pub fn start(platform: SocketAddr, more: &str) -> Self {
        let start = Instant::now();
        loop {
            let mut daemon = Self::spawn(platform, more);
            while daemon.is_running() && !daemon.is_listening() {
                assert!(
                    start.elapsed() < START_TIMEOUT,
                    "the daemon does not listen"
                );
                thread::sleep(Duration::from_millis(10));
            }
            match daemon
                .child
                .try_wait()
                .unwrap()
                .and_then(|status| status.code())
            {
                None => return daemon,
                Some(code) => assert_eq!(code, EXIT_LISTEN, "the daemon ended"),
            }
        }
    }

    fn spawn(platform: SocketAddr, more: &str) -> Self {
        let [caller, peer, admin] = free_addresses();
        let path = settings::write(&(settings::valid(caller, peer, admin, platform) + more));
        let log = path.with_extension("log");
        let errors = File::create(&log).unwrap();
        let child = Command::new(PROGRAM)
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(Stdio::from(errors))
            .spawn()
            .unwrap();
        Self {
            child,
            log,
            caller,
            peer,
            admin,
        }
    }

    /// Whether its log says that it listens. Connecting to its ports is not enough, because the
    /// daemon of another test may have taken one of them.
    fn is_listening(&self) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|log| log.contains("serves callers at"))
    }

    /// Its entry on the platform's list.
    pub fn list_entry(&self) -> Value {
        json!({"name": "entry-1", "data_centre": "osijek-a", "peer": self.peer,
            "caller": self.caller, "state": "live"})
    }

    /// Sends `signal`.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Whether it is running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for its exit for at most `limit`; `None` if it is still running.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit && self.is_running() {
            sleep(Duration::from_millis(20)).await;
        }
        self.child.try_wait().unwrap()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Killing fails if the process has already ended.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let sockets = std::array::from_fn::<_, N, _>(|_| TcpListener::bind(ANY).unwrap());
    sockets.map(|socket| socket.local_addr().unwrap())
}
