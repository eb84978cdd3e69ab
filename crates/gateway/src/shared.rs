//! What the parts of the daemon share.

mod choice;
mod customers;
mod knowledge;
mod overload;
mod quarantine;
mod retries;

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use ident::Time;
use ident::Zone;
use relay::budget::RetryBudget;
use relay::claims::Claims;
use relay::overload::Overload;
use relay::plan::Plan;
use relay::pool::Pool;
use relay::quarantine::Quarantine;
use relay::runs::RunId;
use relay::runs::Runs;
use relay::server::Key;
use relay::timing::CallerTimeouts;
use relay::wait_queue::WaitQueue;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::card::Card;
use crate::clock::Clock;
use crate::connections::ConnectionPool;
use crate::inquiries::Inquiries;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::news::News;
use crate::outbox::Outbox;
use crate::quotas::Quotas;
use crate::settings::Settings;
use crate::store::Store;

/// Time after SIGTERM in which any request is taken; callers may hold an old address answer for
/// so long. After it, only those that are over by the end of the grace.
const TAKING: Duration = Duration::from_millis(2_700);

/// Time before the end of the grace at which a stopping daemon ends, whatever is in progress. The last log
/// lines take up to 250 ms of it, and a busy processor of a tenth of a core the rest: with 300 ms in all, a
/// daemon with one stream left was killed 0.26 s after its last line.
pub const RESERVE: Duration = Duration::from_millis(700);
/// Lines about rejected requests in a second at most; a caller that sends nothing but improper
/// requests must not fill the logs.
const MAX_REJECTED_LINES: u64 = 50;
/// Entries of replicas that are told in the log as unreadable, each once; another program that fills the
/// table must not fill the logs.
const MAX_UNREADABLE: usize = 100;

/// State of the daemon; one thread uses it.
#[derive(Debug)]
pub struct Shared {
    /// Settings in force.
    settings: RefCell<Rc<Settings>>,
    /// Its clock.
    pub clock: Clock,
    /// Client of the store.
    pub store: Store,
    /// Connections to replicas.
    pub connections: ConnectionPool,
    /// The other instances.
    pub members: RefCell<Members>,
    /// The replicas.
    pub pool: RefCell<Pool>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Runs of this daemon at decode replicas.
    pub runs: RefCell<Runs>,
    /// What other daemons told of theirs.
    pub claims: RefCell<Claims>,
    /// Requests under which replicas ended.
    pub quarantine: RefCell<Quarantine>,
    /// Quotas of customers.
    pub quotas: RefCell<Quotas>,
    /// Lost replicas that are being asked whether they are there.
    pub inquiries: Inquiries,
    /// Requests of whose records the other daemons are to be told.
    pub untold: Outbox,
    /// Requests whose records the store is to keep.
    pub unkept: Outbox,
    /// By run, where it is to go on.
    pub orders: RefCell<HashMap<RunId, watch::Sender<Option<Key>>>>,
    /// Generations that wait for a place.
    pub line: RefCell<WaitQueue>,
    /// A run of this daemon ended, or another generation's turn came.
    pub room: Notify,
    /// A run began or moved, or a prompt is being read or was read.
    pub runs_changed: Notify,
    /// A replica started again under its id.
    pub restarts: Notify,
    /// Whether the other instances were read from the store.
    pub listed: watch::Sender<bool>,
    /// Entries that could not be read, and were told in the log.
    unreadable: RefCell<HashSet<String>>,
    plan: RefCell<Option<Rc<Plan>>>,
    /// Customers that have figures of their own in the metrics.
    named_customers: RefCell<HashSet<String>>,
    budgets: RefCell<HashMap<String, RetryBudget>>,
    /// Mean time of a decode replica for an answer, by service.
    lengths: RefCell<HashMap<String, Duration>>,
    /// How long callers wait, by route.
    patiences: RefCell<HashMap<String, CallerTimeouts>>,
    overload: RefCell<Overload>,
    near: Zone,
    own: Card,
    /// Socket for datagrams to other daemons, once it is open.
    pub datagrams: OnceCell<UdpSocket>,
    /// Questions to the poller that wait for an answer.
    pub questions: RefCell<HashMap<u32, oneshot::Sender<News>>>,
    /// When the replicas were last known to be up to date.
    replicas_heard: Cell<Time>,
    /// When the store last answered.
    store_heard: Cell<Time>,
    /// Whether the store's last call failed.
    store_lost: Cell<bool>,
    /// When SIGTERM came.
    stopping: Cell<Option<Time>>,
    /// Requests in progress.
    open: Cell<usize>,
    /// Version of the plan that a peer is being asked for.
    asking: Cell<u64>,
    /// Whether records of the quarantine are being compared with a peer.
    comparing: Cell<bool>,
    /// Whether a peer has told all of its records of the quarantine since the start.
    all_records: Cell<bool>,
    /// The present second, and the rejected requests in it.
    rejected: Cell<(u64, u64)>,
}

impl Shared {
    /// The state of a daemon with `settings` that starts now.
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let near = Zone::new(&settings.data_centre);
        let own = Card {
            name: settings.instance.clone(),
            data_centre: near,
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            capacity: settings.processor.capacity(),
        };
        Self {
            clock: Clock::new(),
            store: Store::new(settings.store, metrics.store_calls.clone()),
            connections: ConnectionPool::new(),
            members: RefCell::new(Members::new(own.clone())),
            pool: RefCell::new(Pool::new()),
            metrics,
            runs: RefCell::new(Runs::new()),
            claims: RefCell::new(Claims::new()),
            quarantine: RefCell::new(Quarantine::new()),
            quotas: RefCell::new(Quotas::new()),
            inquiries: Inquiries::new(),
            untold: Outbox::new(),
            unkept: Outbox::new(),
            orders: RefCell::new(HashMap::new()),
            line: RefCell::new(WaitQueue::new()),
            room: Notify::new(),
            runs_changed: Notify::new(),
            restarts: Notify::new(),
            listed: watch::Sender::new(false),
            unreadable: RefCell::new(HashSet::new()),
            plan: RefCell::new(None),
            named_customers: RefCell::new(HashSet::new()),
            budgets: RefCell::new(HashMap::new()),
            lengths: RefCell::new(HashMap::new()),
            patiences: RefCell::new(HashMap::new()),
            overload: RefCell::new(Overload::new()),
            near,
            own,
            datagrams: OnceCell::new(),
            questions: RefCell::new(HashMap::new()),
            replicas_heard: Cell::new(Time::ZERO),
            store_heard: Cell::new(Time::ZERO),
            store_lost: Cell::new(false),
            stopping: Cell::new(None),
            open: Cell::new(0),
            asking: Cell::new(0),
            comparing: Cell::new(false),
            all_records: Cell::new(false),
            rejected: Cell::new((0, 0)),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts `settings` in force.
    pub fn take_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// The own card.
    pub fn own_card(&self) -> Card {
        self.own.clone()
    }

    /// Where this daemon is.
    pub const fn own_ip(&self) -> IpAddr {
        self.own.peers.ip()
    }

    /// Brings up to date the figures that are read at a scrape.
    pub fn refresh_metrics(&self) {
        let now = self.clock.now();
        let members = self.members.borrow();
        let metrics = &self.metrics;
        metrics.members.set(members.count() as u64);
        metrics.replicas_version.set(self.replicas_version());
        let quarantined = self.quarantine.borrow().quarantined();
        metrics.quarantined.set(quarantined as u64);
        metrics.replicas_age.set(self.replicas_age().as_secs_f64());
        for (service, budget) in self.budgets.borrow_mut().iter_mut() {
            let left = budget.remaining(now, &self.rule(), members.sharers());
            metrics.retries_left(service, left);
        }
    }

    /// Whether one more line about a rejected request may be logged in this second; tells how many
    /// were left out in the last one.
    pub fn may_log(&self) -> Option<u64> {
        let second = self.clock.now().as_millis() / 1_000;
        let (last, count) = self.rejected.get();
        if last != second {
            self.rejected.set((second, 1));
            return Some(count.saturating_sub(MAX_REJECTED_LINES));
        }
        self.rejected.set((second, count + 1));
        (count < MAX_REJECTED_LINES).then_some(0)
    }

    /// Whether the log is to tell that the entry `id` cannot be read: the first time, for so many entries.
    pub fn is_new_unreadable(&self, id: &str) -> bool {
        let mut told = self.unreadable.borrow_mut();
        told.len() < MAX_UNREADABLE && told.insert(id.to_owned())
    }

    /// Whether callers are taken: a plan is known and the daemon is not stopping.
    pub fn is_ready(&self) -> bool {
        self.plan_version() > 0 && !self.pool.borrow().is_empty() && !self.is_stopping()
    }

    /// Whether the daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Notes that SIGTERM came.
    pub fn stop(&self) {
        self.stopping.set(Some(self.clock.now()));
    }

    /// Whether a request that may last for `longest` is taken; a stopping daemon takes none that it
    /// may have to cut.
    pub fn takes(&self, longest: Duration) -> bool {
        let Some(since) = self.stopping.get() else {
            return true;
        };
        let elapsed = self.clock.now().since(since);
        elapsed < TAKING || elapsed + longest < self.settings().grace().saturating_sub(RESERVE)
    }

    /// Requests in progress.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Counts the requests in progress anew.
    pub fn set_open(&self, count: usize) {
        self.open.set(count);
        self.metrics.open.set(count as u64);
    }
}
