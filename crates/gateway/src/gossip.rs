//! Datagrams between daemons: membership, and which plan the sender has.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::config;
use fleet::Message;
use ident::Time;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::card::Card;
use crate::exchange;
use crate::members::Send;
use crate::shared::Shared;

/// Largest datagram that is sent; below the usual packet size, so that none is cut into parts.
const MAX_DATAGRAM: usize = 1_400;
/// Longest sleep without a step.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Time that the store gets to tell a newer plan before the peer that has it is asked.
const PLAN_PATIENCE: Duration = Duration::from_millis(300);

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    from: Card,
    /// Version of the sender's plan; 0 if it has none.
    plan: u64,
    message: Message,
    /// Another instance's card.
    hint: Option<Card>,
}

/// Takes part in the membership, forever.
///
/// # Errors
/// If the socket cannot be opened.
pub async fn run(shared: Rc<Shared>) -> io::Result<()> {
    let socket = UdpSocket::bind(shared.settings.listen.peers).await?;
    let mut buffer = vec![0; 64 * 1024];
    let mut next = Time::ZERO;
    loop {
        let due = shared.clock.instant(next);
        let latest = tokio::time::Instant::now() + MAX_SLEEP;
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&shared, &buffer[..length], from),
                Err(error) => log::debug!(kind = "gossip", cause = error.to_string(); "a datagram could not be received"),
            },
            () = sleep_until(due.min(latest)) => {}
        }
        next = step(&shared, &socket).await;
    }
}

async fn step(shared: &Shared, socket: &UdpSocket) -> Time {
    let now = shared.clock.now();
    let (sends, changed, next) = shared.members.borrow_mut().step(now);
    for member in changed {
        let name = shared.members.borrow().name(member.instance);
        log::info!(kind = "member", instance = name, state = format!("{:?}", member.state); "a member changed");
    }
    for send in sends {
        if let Err(error) = transmit(shared, socket, send).await {
            log::debug!(kind = "gossip", cause = error.to_string(); "a datagram could not be sent");
        }
    }
    next
}

async fn transmit(shared: &Shared, socket: &UdpSocket, send: Send) -> io::Result<()> {
    let datagram = Datagram {
        from: shared.own_card(),
        plan: shared.plan_version(),
        message: send.message,
        hint: send.hint,
    };
    let bytes =
        bincode::serde::encode_to_vec(&datagram, config::standard()).map_err(io::Error::other)?;
    if bytes.len() > MAX_DATAGRAM {
        log::debug!(kind = "gossip", bytes = bytes.len(); "a datagram is large");
    }
    socket.send_to(&bytes, send.to).await?;
    Ok(())
}

fn receive(shared: &Rc<Shared>, bytes: &[u8], from: SocketAddr) {
    let read = bincode::serde::decode_from_slice::<Datagram, _>(bytes, config::standard());
    let datagram = match read {
        Ok((datagram, _)) => datagram,
        Err(error) => {
            log::warn!(kind = "gossip", peer = from.to_string(), cause = error.to_string(); "a datagram cannot be read");
            return;
        }
    };
    let mut members = shared.members.borrow_mut();
    if let Some(hint) = &datagram.hint {
        members.learn(hint);
    }
    members.receive(shared.clock.now(), &datagram.from, &datagram.message);
    drop(members);
    if datagram.plan > shared.plan_version() {
        ask_for_plan(Rc::clone(shared), datagram.plan, datagram.from.peers);
    }
}

/// Asks `peer` for its plan, unless the store tells it first.
fn ask_for_plan(shared: Rc<Shared>, version: u64, peer: SocketAddr) {
    if !shared.begin_asking(version) {
        return;
    }
    tokio::task::spawn_local(async move {
        sleep(PLAN_PATIENCE).await;
        if shared.plan_version() < version {
            exchange::ask(&shared, peer).await;
        }
        shared.end_asking();
    });
}
