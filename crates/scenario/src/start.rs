//! Starts the processes of a fleet.

use std::fs;
use std::path::PathBuf;

use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::error::Error;
use crate::fleet::Fleet;
use crate::list;
use crate::list::State;
use crate::plan::Daemon;
use crate::plan::PLATFORM;
use crate::plan::Replica;
use crate::plan::Role;
use crate::port;
use crate::process::Process;
use crate::process::START_TIMEOUT;
use crate::settings::Listen;
use crate::settings::Seed;
use crate::settings::Settings;

/// Name of the forwarder process, which serves all links of a plan.
pub(crate) const FORWARDER: &str = "forwarder";

const DAEMON: &str = "waxwingd";
const FAKE_PLATFORM: &str = "fake-platform";
const FAKE_ENGINE: &str = "fake-engine";
const FAKE_APPLICATION: &str = "fake-app";
const FAKE_LINK: &str = "fake-link";
/// Interval between two attempts to connect to a starting process.
const CONNECT_INTERVAL: std::time::Duration = std::time::Duration::from_millis(10);

impl Fleet {
    /// Starts the platform, the replicas and the forwarder.
    pub(crate) async fn start_backends(&mut self) -> Result<(), Error> {
        self.backends
            .insert(PLATFORM.to_owned(), port::free_address());
        self.launch(PLATFORM).await?;
        for replica in self.plan.replicas.clone() {
            let address = port::free_address();
            self.backends.insert(replica.name.clone(), address.clone());
            self.launch(&replica.name).await?;
            self.list.replicas.push(list_entry(&replica, address));
        }
        for daemon in self.plan.daemons.clone() {
            let listen = Listen {
                caller: port::free_address(),
                peer: port::free_address(),
                admin: port::free_address(),
            };
            self.list.instances.push(list::Instance {
                name: daemon.name.clone(),
                data_centre: daemon.data_centre.clone(),
                peer: listen.peer.clone(),
                caller: listen.caller.clone(),
                state: State::Live,
            });
            self.daemons.insert(daemon.name.clone(), listen);
        }
        self.start_links().await
    }

    async fn start_links(&mut self) -> Result<(), Error> {
        if self.plan.links.is_empty() {
            return Ok(());
        }
        for link in self.plan.links.clone() {
            let link_address = port::free_address();
            let view = self.list.views.entry(link.from.clone()).or_default();
            view.insert(link.to.clone(), link_address.clone());
            self.links.insert((link.from, link.to), link_address);
        }
        self.backends
            .insert(FORWARDER.to_owned(), port::free_address());
        self.launch(FORWARDER).await
    }

    /// Starts the daemons, each with a settings file of its own.
    pub(crate) async fn start_daemons(&mut self) -> Result<(), Error> {
        for daemon in self.plan.daemons.clone() {
            self.write_settings(&daemon)?;
            self.launch(&daemon.name).await?;
        }
        Ok(())
    }

    /// Returns the settings file of the daemon `name`.
    pub fn settings_file(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.yaml"))
    }

    /// Starts the process `name` with its assigned addresses and settings, and waits until it
    /// listens.
    pub(crate) async fn launch(&mut self, name: &str) -> Result<(), Error> {
        let (program, args, address) = self.command(name)?;
        let log = self.log_file(name);
        // Dropping the former process of this name kills it before the new one starts.
        drop(self.processes.remove(name));
        let process = Process::start(name, &self.programs.join(program), &args, &log)?;
        self.processes.insert(name.to_owned(), process);
        self.wait_until_listening(name, &address).await
    }

    async fn wait_until_listening(&mut self, name: &str, address: &str) -> Result<(), Error> {
        let end = Instant::now() + START_TIMEOUT;
        loop {
            self.process(name)?.check_running()?;
            match TcpStream::connect(address).await {
                Ok(_) => return Ok(()),
                Err(_) if Instant::now() > end => {
                    return Err(Error::Timeout {
                        step: "listen",
                        peer: name.to_owned(),
                    });
                }
                Err(_) => sleep(CONNECT_INTERVAL).await,
            }
        }
    }

    /// Returns the program, arguments and listening address of the process `name`.
    fn command(&self, name: &str) -> Result<(&'static str, Vec<String>, String), Error> {
        if let Some(listen) = self.daemons.get(name) {
            let file = self.settings_file(name).display().to_string();
            return Ok((
                DAEMON,
                vec!["--config".to_owned(), file],
                listen.admin.clone(),
            ));
        }
        let address = self.backend_address(name)?.to_owned();
        let mut args = vec!["--listen".to_owned(), address.clone()];
        let replica = self
            .plan
            .replicas
            .iter()
            .find(|replica| replica.name == name);
        let program = match replica {
            None if name == FORWARDER => {
                args.extend(self.routes());
                FAKE_LINK
            }
            None => FAKE_PLATFORM,
            Some(replica) => {
                args.extend(stand_in_arguments(replica));
                match replica.role {
                    Role::Plain => FAKE_APPLICATION,
                    Role::Prefill | Role::Decode => FAKE_ENGINE,
                }
            }
        };
        Ok((program, args, address))
    }

    fn routes(&self) -> Vec<String> {
        let targets = self.links.iter().filter_map(|((_, to), link_address)| {
            let port = link_address.rsplit_once(':')?.1;
            let peer = self.daemons.get(to).map(|listen| &listen.peer);
            let target = peer.or_else(|| self.backends.get(to))?;
            Some(format!("--route={port}={target}"))
        });
        targets.collect()
    }

    fn write_settings(&self, daemon: &Daemon) -> Result<(), Error> {
        let name = &daemon.name;
        let listen = self.daemon(name)?;
        let platform = self.address_seen_by(name, PLATFORM, self.backend_address(PLATFORM)?);
        let others = self.daemons.iter().filter(|(other, _)| *other != name);
        let seeds = others.map(|(other, listen)| Seed {
            name: other.clone(),
            address: self.address_seen_by(name, other, &listen.peer),
        });
        let settings = Settings::new(name, &daemon.data_centre, listen, &platform)
            .with_seeds(seeds.collect())
            .with_timing(self.plan.timing);
        let text = serde_norway::to_string(&settings).unwrap_or_default();
        let file = self.settings_file(name);
        fs::write(&file, text).map_err(|cause| Error::io("write", file.display(), cause))
    }

    /// Returns the address at which `requester` reaches `name`: that of a link, or `address`.
    fn address_seen_by(&self, requester: &str, name: &str, address: &str) -> String {
        let link = self.links.get(&(requester.to_owned(), name.to_owned()));
        link.cloned().unwrap_or_else(|| address.to_owned())
    }
}

fn list_entry(replica: &Replica, address: String) -> list::Replica {
    list::Replica {
        name: replica.name.clone(),
        data_centre: replica.data_centre.clone(),
        address,
        service: replica.service.clone(),
        role: replica.role.as_str().to_owned(),
        slots: replica.slots,
        fences: replica.fences,
        state: State::Live,
    }
}

fn stand_in_arguments(replica: &Replica) -> Vec<String> {
    let mut args = vec![format!("--slots={}", replica.slots)];
    if replica.role != Role::Plain {
        args.push(format!("--role={}", replica.role.as_str()));
        args.push(format!("--name={}", replica.name));
        args.push(format!("--fences={}", replica.fences));
    }
    args.extend(replica.args.iter().cloned());
    args
}
