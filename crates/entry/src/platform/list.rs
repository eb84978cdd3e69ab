//! Polls the platform's list.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use boottime::timer::sleep;
use ident::Instance;
use ident::Pool;
use ident::Replica;
use ident::Zone;
use node::event::Event;
use node::list::ListedInstance;
use node::list::ListedReplica;
use node::list::PlatformList;
use route::replica::Role;
use store::Client;
use store::list;
use store::list::State;

use crate::directory;
use crate::directory::Directory;
use crate::directory::Peer;
use crate::driver::inbox::Inbox;

/// Pause between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Additional pause per listed instance, which bounds the read rate of the whole fleet.
const POLL_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(10);

/// Reads the list as shown to `name`, updates `directory` and sends it to the core; never returns.
pub async fn poll(client: Client, name: String, directory: Arc<Directory>, inbox: Inbox) {
    let mut failing = false;
    let mut instances = 0;
    let mut unreadable = 0;
    loop {
        match client.read_list(&name).await {
            Ok(list) => {
                failing = false;
                instances = list.instances.len() as u32;
                if list.unreadable > unreadable {
                    log::warn!(step = "list", unreadable = list.unreadable; "entries of the list cannot be read");
                }
                unreadable = list.unreadable;
                if let Ok(copy) = serde_json::to_vec(&list) {
                    inbox.event(Event::ListCopy(copy.into())).await;
                }
                inbox.event(apply(&directory, list)).await;
            }
            Err(error) if !failing => {
                failing = true;
                log::warn!(step = "list"; "{error}");
            }
            Err(_) => {}
        }
        sleep(POLL_INTERVAL + POLL_INTERVAL_PER_INSTANCE * instances).await;
    }
}

/// Updates `directory` from a peer's copy of the list; `None` if the copy is damaged.
pub fn apply_copy(directory: &Directory, copy: &[u8]) -> Option<Event> {
    let list = serde_json::from_slice(copy).ok()?;
    Some(apply(directory, list))
}

fn apply(directory: &Directory, list: list::List) -> Event {
    update_directory(directory, &list);
    Event::Listed(convert(list))
}

fn update_directory(directory: &Directory, list: &list::List) {
    let peers = list.instances.iter().map(|instance| {
        let peer = Peer {
            name: instance.name.clone(),
            address: instance.peer,
        };
        (Instance::new(&instance.name), peer)
    });
    let backends = list.replicas.iter().map(|replica| {
        let backend = directory::Backend {
            name: replica.name.clone(),
            address: replica.address,
            service: replica.service.clone(),
            engine: replica.role != list::Role::Plain,
        };
        (Replica::new(&replica.name), backend)
    });
    let instance_zones = list
        .instances
        .iter()
        .map(|instance| instance.data_centre.clone());
    let replica_zones = list
        .replicas
        .iter()
        .map(|replica| replica.data_centre.clone());
    directory.replace(
        peers.collect::<HashMap<_, _>>(),
        backends.collect::<HashMap<_, _>>(),
        instance_zones.chain(replica_zones),
    );
}

fn convert(list: list::List) -> PlatformList {
    PlatformList {
        instances: list.instances.into_iter().map(listed_instance).collect(),
        replicas: list.replicas.into_iter().map(listed_replica).collect(),
    }
}

fn listed_instance(instance: list::Instance) -> ListedInstance {
    ListedInstance {
        instance: Instance::new(&instance.name),
        zone: Zone::new(&instance.data_centre),
        caller: instance.caller.to_string(),
        leaving: instance.state == State::Leaving,
        name: instance.name,
    }
}

fn listed_replica(replica: list::Replica) -> ListedReplica {
    ListedReplica {
        replica: Replica::new(&replica.name),
        zone: Zone::new(&replica.data_centre),
        pool: Pool::new(&replica.service),
        role: role(replica.role),
        slots: replica.slots,
        fences: replica.fences,
        leaving: replica.state == State::Leaving,
        name: replica.name,
    }
}

const fn role(role: list::Role) -> Role {
    match role {
        list::Role::Prefill => Role::Prefill,
        list::Role::Decode => Role::Decode,
        list::Role::Plain => Role::Plain,
    }
}
