//! Datagrams between daemons: membership, status of the poller, claims, quarantine records and
//! quotas.
//!
//! Each datagram also carries the evacuated data centres, which are few, and the version of the
//! sender's plan and a hash of its quarantine records, from which the receiver sees whether it has
//! to fetch newer ones. Paces of replicas may follow a datagram.

pub mod datagram;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::sleep_until;
use boottime::timer::timeout;
use ident::Time;
use relay::claims::ClaimUpdate;
use relay::quarantine::record::Record;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::begins::lookup;
use crate::begins::message;
use crate::exchange;
use crate::gossip::datagram::Content;
use crate::gossip::datagram::Datagram;
use crate::gossip::datagram::Eras;
use crate::gossip::datagram::Extension;
use crate::gossip::datagram::MAX_DATAGRAM;
use crate::members::Outgoing;
use crate::poller_status::PollerStatus;
use crate::quota::keeper;
use crate::quotas;
use crate::shared::Shared;

/// Maximum sleep between two membership steps.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Time to wait for a newer plan from the store before it is fetched from a peer.
const PLAN_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of records and ends in one datagram of quarantine records: up to 19 bytes each,
/// and 200 for its head.
const MAX_RECORD_ITEMS: usize = 48;
/// Time to wait for datagrams in flight before differing records are fetched from a peer.
const RECORDS_DELAY: Duration = Duration::from_millis(300);
/// Pause after such a fetch, so that one fetch covers many differences.
const RECORDS_PAUSE: Duration = Duration::from_millis(700);

/// Takes part in the membership, forever.
///
/// # Errors
/// If the socket cannot be opened.
pub async fn run(shared: Rc<Shared>) -> io::Result<()> {
    let socket = UdpSocket::bind(shared.settings().listen.peers).await?;
    let socket = shared.gossip_socket.get_or_init(|| socket);
    let mut buffer = vec![0; 64 * 1024];
    let mut next = Time::ZERO;
    loop {
        let due = shared.clock.instant(next);
        let latest = Instant::now() + MAX_SLEEP;
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&shared, &buffer[..length], from).await,
                Err(error) => log::debug!(kind = "gossip", cause = error.to_string(); "failed to receive a datagram"),
            },
            () = sleep_until(due.min(latest)) => {}
        }
        next = step(&shared).await;
    }
}

async fn step(shared: &Shared) -> Time {
    shared.end_missing_evacuations();
    let now = shared.clock.now();
    let (sends, changed, next) = shared.members.borrow_mut().step(now);
    for member in changed {
        let name = shared.members.borrow().name(member.instance);
        log::info!(kind = "member", member = name, state = format!("{:?}", member.state); "a member changed");
    }
    for outgoing in sends {
        let Outgoing { to, message, hint } = outgoing;
        send(shared, to, Content::Member { message, hint }).await;
    }
    next
}

/// Requests the status of the daemon at `peer`, whose age counts from the request on; `None` if it
/// does not answer in time.
pub async fn request_status(
    shared: &Shared,
    peer: SocketAddr,
    limit: Duration,
) -> Option<PollerStatus> {
    let started = Instant::now();
    let number = rand::random();
    let (answer, answered) = oneshot::channel();
    shared.status_requests.borrow_mut().insert(number, answer);
    let digest = shared.pool.borrow().digest();
    send(shared, peer, Content::Question { number, digest }).await;
    let reply = timeout(limit, answered).await;
    shared.status_requests.borrow_mut().remove(&number);
    let status = reply.ok()?.ok()?;
    // The reply may have waited unread while the machine was suspended.
    let status = status.aged_by(started.elapsed());
    let is_unchanged = shared.pool.borrow().digest() == digest;
    Some(if is_unchanged {
        status
    } else {
        status.for_changed_list()
    })
}

/// Sends to the daemon at `peer` what this one's runs hold.
pub async fn send_claims(shared: &Shared, peer: SocketAddr, update: ClaimUpdate) {
    send(shared, peer, Content::Claims(update)).await;
}

/// Sends `records` to the daemon at `peer`, in as many datagrams as needed.
pub async fn send_records(shared: &Shared, peer: SocketAddr, records: &[Record]) {
    let mut rest = records;
    while !rest.is_empty() {
        let (chunk, others) = rest.split_at(fitting_records(rest));
        rest = others;
        send(shared, peer, Content::Quarantine(chunk.to_vec())).await;
    }
}

/// Number of the first `records` that fit into one datagram; at least one.
fn fitting_records(records: &[Record]) -> usize {
    let items = records.iter().scan(0, |items, record| {
        *items += 1 + record.ends.len();
        Some(*items)
    });
    let fitting = items.take_while(|items| *items <= MAX_RECORD_ITEMS);
    fitting.count().max(1)
}

/// Sends a message about a customer's quota to the daemon at `peer`.
pub async fn send_quota(shared: &Shared, peer: SocketAddr, message: quotas::Message) {
    send(shared, peer, Content::Quota(message)).await;
}

/// Sends a message about the begins of streams to the daemon at `peer`.
pub async fn send_begins(shared: &Shared, peer: SocketAddr, message: message::Message) {
    send(shared, peer, Content::Begins(message)).await;
}

async fn send(shared: &Shared, to: SocketAddr, content: Content) {
    let datagram = Datagram {
        from: shared.own_info(),
        plan: shared.plan_version(),
        evacuations: shared.evacuations(),
        overloaded: shared.is_overloaded(),
        quarantine: shared.quarantine.borrow().digest(),
        content,
    };
    if let Err(error) = send_datagram(shared, to, &datagram).await {
        log::debug!(kind = "gossip", peer = to.to_string(), cause = error.to_string(); "failed to send a datagram");
    }
}

async fn send_datagram(shared: &Shared, to: SocketAddr, datagram: &Datagram) -> io::Result<()> {
    let mut bytes = datagram.encode().map_err(io::Error::other)?;
    let has_paces = append_paces(shared, &mut bytes)?;
    let eras = datagram.eras(shared.era());
    if eras != Eras::default() {
        datagram::append_eras(&mut bytes, !has_paces, eras).map_err(io::Error::other)?;
    }
    if bytes.len() > MAX_DATAGRAM {
        log::debug!(kind = "gossip", bytes = bytes.len(); "a datagram is large and may be fragmented");
    }
    let socket = shared.gossip_socket.get();
    let socket = socket.ok_or_else(|| io::Error::other("the socket is not open yet"))?;
    socket.send_to(&bytes, to).await?;
    Ok(())
}

/// Announces paces behind a datagram that has room for them. Returns whether it did.
fn append_paces(shared: &Shared, bytes: &mut Vec<u8>) -> io::Result<bool> {
    if bytes.len() >= MAX_DATAGRAM {
        return Ok(false);
    }
    let paces = shared.due_paces();
    let count = paces.len();
    if count == 0 {
        return Ok(false);
    }
    let fits = datagram::append(bytes, &Extension::Paces(paces)).map_err(io::Error::other)?;
    if fits {
        shared.metrics.pace_reports("sent", count);
    }
    Ok(fits)
}

async fn receive(shared: &Rc<Shared>, bytes: &[u8], from: SocketAddr) {
    let (datagram, extensions) = match Datagram::decode(bytes) {
        Ok((datagram, extensions)) if datagram.from.is_usable() => (datagram, extensions),
        Ok(_) => return log_unreadable(shared, from, "the info of its sender is not usable"),
        Err(error) => return log_unreadable(shared, from, &error.to_string()),
    };
    for extension in extensions {
        match extension {
            Ok(Extension::Paces(reports)) => shared.merge_paces(&reports),
            Ok(Extension::Eras(eras)) => shared.note_era(eras.latest, "peer"),
            Err(error) => shared.log_unusable_pace(&error.to_string()),
        }
    }
    let sender = &datagram.from;
    if datagram.overloaded && sender.data_centre == shared.own_info().data_centre {
        shared.record_overload_report();
    }
    shared.apply_evacuations("peer", &datagram.evacuations);
    match datagram.content {
        Content::Member { message, hint } => {
            let mut members = shared.members.borrow_mut();
            if let Some(hint) = &hint {
                members.learn(shared.clock.now(), hint);
            }
            members.receive(shared.clock.now(), sender, &message);
        }
        Content::Question { number, digest } => {
            let news = shared.poller_status(digest);
            send(shared, sender.peers, Content::News { number, news }).await;
        }
        Content::News { number, news } => {
            if let Some(answer) = shared.status_requests.borrow_mut().remove(&number) {
                // The request may have timed out just now.
                let _ = answer.send(news);
            }
        }
        Content::Quarantine(records) => {
            let served = shared.merge_records("peer", &records);
            send_records(shared, sender.peers, &served).await;
        }
        Content::Quota(message) => {
            if let Some((to, answer)) = keeper::receive(shared, sender.peers, message) {
                send(shared, to, Content::Quota(answer)).await;
            }
        }
        Content::Begins(message) => {
            if let Some(answer) = lookup::receive(shared, message) {
                send(shared, sender.peers, Content::Begins(answer)).await;
            }
        }
        Content::Claims(update) => {
            let now = shared.clock.now();
            let peer = sender.instance();
            if !update.silent.is_empty() {
                shared
                    .pool
                    .borrow_mut()
                    .apply_silent_report(now, &update.silent);
            }
            shared.pending_prefills_outdated.set(true);
            shared.claims.borrow_mut().apply(now, peer, update);
        }
    }
    if datagram.quarantine != shared.quarantine.borrow().digest() {
        compare_records(Rc::clone(shared), datagram.from.peers, datagram.quarantine);
    }
    if datagram.plan > shared.plan_version() {
        fetch_plan(Rc::clone(shared), datagram.plan, datagram.from.peers);
    }
}

/// Logs that a datagram cannot be read, once a minute: its sender may repeat it all the time.
fn log_unreadable(shared: &Shared, from: SocketAddr, cause: &str) {
    if shared.may_log_datagram() {
        log::warn!(kind = "gossip", peer = from.to_string(), cause = cause; "a datagram cannot be read");
    }
}

/// Fetches plan `version` from `peer`, unless the store delivers it first.
fn fetch_plan(shared: Rc<Shared>, version: u64, peer: SocketAddr) {
    if !shared.begin_plan_fetch(version) {
        return;
    }
    tokio::task::spawn_local(async move {
        sleep(PLAN_DELAY).await;
        if shared.plan_version() < version {
            exchange::fetch_newer(&shared, peer).await;
        }
        shared.end_plan_fetch();
    });
}

/// Fetches the records of `peer` if their hash `digest` still differs from the own one after
/// [`RECORDS_DELAY`].
fn compare_records(shared: Rc<Shared>, peer: SocketAddr, digest: u64) {
    if !shared.begin_comparing() {
        return;
    }
    tokio::task::spawn_local(async move {
        sleep(RECORDS_DELAY).await;
        if shared.quarantine.borrow().digest() != digest {
            exchange::fetch_newer(&shared, peer).await;
            sleep(RECORDS_PAUSE).await;
        }
        shared.end_comparing();
    });
}
