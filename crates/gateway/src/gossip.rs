//! Datagrams between daemons: membership, and which plan the sender has.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::config;
use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::sleep_until;
use boottime::timer::timeout;
use fleet::Message;
use ident::Time;
use relay::claims::ClaimUpdate;
use relay::quarantine::Record;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::card::Card;
use crate::exchange;
use crate::members::Send;
use crate::news::News;
use crate::quota::keeper;
use crate::quotas;
use crate::shared::Shared;

/// Largest datagram that is sent; below the usual packet size, so that none is cut into parts.
const MAX_DATAGRAM: usize = 1_400;
/// Longest sleep without a step.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Time that the store gets to tell a newer plan before the peer that has it is asked.
const PLAN_PATIENCE: Duration = Duration::from_millis(300);

/// Records of requests under which replicas ended, in one datagram: 75 bytes each, and 200 for its head.
const MAX_RECORDS: usize = 12;
/// Time that datagrams on their way get before a peer whose records differ is asked for them.
const RECORDS_PATIENCE: Duration = Duration::from_millis(300);
/// Pause after such a question, so that many differences are made good by few.
const RECORDS_PAUSE: Duration = Duration::from_millis(700);

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    from: Card,
    /// Version of the sender's plan; 0 if it has none.
    plan: u64,
    /// Whether the sender is overloaded.
    overloaded: bool,
    /// Hash of the sender's records of requests under which replicas ended.
    quarantine: u64,
    content: Content,
}

/// What a datagram is for.
#[derive(Debug, Serialize, Deserialize)]
enum Content {
    /// Membership.
    Member {
        message: Message,
        /// Another instance's card.
        hint: Option<Card>,
    },
    /// Asks the reader of the store for this data centre for news.
    Question {
        /// Repeated in the answer.
        number: u32,
        /// Hash of the sender's replicas.
        digest: u64,
    },
    /// The answer.
    News {
        /// The number of the question.
        number: u32,
        news: News,
    },
    /// What the sender's runs at decode replicas hold.
    Claims(ClaimUpdate),
    /// Requests under which replicas ended.
    Quarantine(Vec<Record>),
    /// What customers use of their quotas.
    Quota(quotas::Message),
}

/// Takes part in the membership, forever.
///
/// # Errors
/// If the socket cannot be opened.
pub async fn run(shared: Rc<Shared>) -> io::Result<()> {
    let socket = UdpSocket::bind(shared.settings().listen.peers).await?;
    let socket = shared.datagrams.get_or_init(|| socket);
    let mut buffer = vec![0; 64 * 1024];
    let mut next = Time::ZERO;
    loop {
        let due = shared.clock.instant(next);
        let latest = Instant::now() + MAX_SLEEP;
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&shared, &buffer[..length], from).await,
                Err(error) => log::debug!(kind = "gossip", cause = error.to_string(); "a datagram could not be received"),
            },
            () = sleep_until(due.min(latest)) => {}
        }
        next = step(&shared).await;
    }
}

async fn step(shared: &Shared) -> Time {
    let now = shared.clock.now();
    let (sends, changed, next) = shared.members.borrow_mut().step(now);
    for member in changed {
        let name = shared.members.borrow().name(member.instance);
        log::info!(kind = "member", member = name, state = format!("{:?}", member.state); "a member changed");
    }
    for send in sends {
        let Send { to, message, hint } = send;
        transmit(shared, to, Content::Member { message, hint }).await;
    }
    next
}

/// Asks the daemon at `peer` for news, whose age counts from the question on; `None` if it does not answer in time.
pub async fn question(shared: &Shared, peer: SocketAddr, patience: Duration) -> Option<News> {
    let begun = Instant::now();
    let number = rand::random();
    let (answer, answered) = oneshot::channel();
    shared.questions.borrow_mut().insert(number, answer);
    let digest = shared.pool.borrow().digest();
    transmit(shared, peer, Content::Question { number, digest }).await;
    let news = timeout(patience, answered).await;
    shared.questions.borrow_mut().remove(&number);
    let news = news.ok()?.ok()?;
    // The answer may have waited here while the machine was suspended.
    let news = news.older_by(begun.elapsed());
    let is_unchanged = shared.pool.borrow().digest() == digest;
    Some(if is_unchanged {
        news
    } else {
        news.of_another_list()
    })
}

/// Tells the daemon at `peer` what this one's runs hold.
pub async fn tell(shared: &Shared, peer: SocketAddr, told: ClaimUpdate) {
    transmit(shared, peer, Content::Claims(told)).await;
}

/// Tells the daemon at `peer` of `records`.
pub async fn tell_records(shared: &Shared, peer: SocketAddr, records: &[Record]) {
    for some in records.chunks(MAX_RECORDS) {
        transmit(shared, peer, Content::Quarantine(some.to_vec())).await;
    }
}

/// Tells the daemon at `peer` of a customer's quota.
pub async fn tell_quota(shared: &Shared, peer: SocketAddr, message: quotas::Message) {
    transmit(shared, peer, Content::Quota(message)).await;
}

async fn transmit(shared: &Shared, to: SocketAddr, content: Content) {
    let datagram = Datagram {
        from: shared.own_card(),
        plan: shared.plan_version(),
        overloaded: shared.is_overloaded(),
        quarantine: shared.quarantine.borrow().digest(),
        content,
    };
    if let Err(error) = write(shared, to, &datagram).await {
        log::debug!(kind = "gossip", peer = to.to_string(), cause = error.to_string(); "a datagram could not be sent");
    }
}

async fn write(shared: &Shared, to: SocketAddr, datagram: &Datagram) -> io::Result<()> {
    let bytes =
        bincode::serde::encode_to_vec(datagram, config::standard()).map_err(io::Error::other)?;
    if bytes.len() > MAX_DATAGRAM {
        log::debug!(kind = "gossip", bytes = bytes.len(); "a datagram is large");
    }
    let socket = shared.datagrams.get();
    let socket = socket.ok_or_else(|| io::Error::other("the socket is not open yet"))?;
    socket.send_to(&bytes, to).await?;
    Ok(())
}

async fn receive(shared: &Rc<Shared>, bytes: &[u8], from: SocketAddr) {
    let read = bincode::serde::decode_from_slice::<Datagram, _>(bytes, config::standard());
    let datagram = match read {
        Ok((datagram, _)) => datagram,
        Err(error) => {
            log::warn!(kind = "gossip", peer = from.to_string(), cause = error.to_string(); "a datagram cannot be read");
            return;
        }
    };
    let sender = &datagram.from;
    if datagram.overloaded && sender.data_centre == shared.own_card().data_centre {
        shared.heard_overload();
    }
    match datagram.content {
        Content::Member { message, hint } => {
            let mut members = shared.members.borrow_mut();
            if let Some(hint) = &hint {
                members.learn(shared.clock.now(), hint);
            }
            members.receive(shared.clock.now(), sender, &message);
        }
        Content::Question { number, digest } => {
            let news = shared.news(digest);
            transmit(shared, sender.peers, Content::News { number, news }).await;
        }
        Content::News { number, news } => {
            if let Some(answer) = shared.questions.borrow_mut().remove(&number) {
                // The question may have timed out just now.
                let _ = answer.send(news);
            }
        }
        Content::Quarantine(records) => {
            let served = shared.take_records("peer", &records);
            tell_records(shared, sender.peers, &served).await;
        }
        Content::Quota(quotas::Message::Ask { number, ask, limit }) => {
            if let Some(answer) = keeper::answer(shared, number, ask, limit) {
                transmit(shared, sender.peers, Content::Quota(answer)).await;
            }
        }
        Content::Quota(quotas::Message::Told { number, told }) => {
            if let Some((to, message)) = keeper::handle_answer(shared, number, told) {
                transmit(shared, to, Content::Quota(message)).await;
            }
        }
        Content::Claims(told) => {
            let now = shared.clock.now();
            let peer = sender.instance();
            let reads = told.all || !told.readings.is_empty();
            if !told.silent.is_empty() {
                shared
                    .pool
                    .borrow_mut()
                    .apply_silent_report(now, &told.silent);
            }
            let mut claims = shared.claims.borrow_mut();
            claims.apply(now, peer, told);
            if reads {
                shared
                    .pool
                    .borrow_mut()
                    .update_pending_prefills(now, &claims);
            }
        }
    }
    if datagram.quarantine != shared.quarantine.borrow().digest() {
        compare_records(Rc::clone(shared), datagram.from.peers, datagram.quarantine);
    }
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

/// Compares records with `peer`, whose hash of them is `digest`, once what is on its way has come.
fn compare_records(shared: Rc<Shared>, peer: SocketAddr, digest: u64) {
    if !shared.begin_comparing() {
        return;
    }
    tokio::task::spawn_local(async move {
        sleep(RECORDS_PATIENCE).await;
        if shared.quarantine.borrow().digest() != digest {
            exchange::ask(&shared, peer).await;
            sleep(RECORDS_PAUSE).await;
        }
        shared.end_comparing();
    });
}
