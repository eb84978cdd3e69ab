//! State that the tasks of the daemon share.

pub mod choice;
mod customers;
mod era;
mod evacuations;
mod handoff;
mod homes;
mod overload;
pub mod pace;
mod quarantine;
mod reach;
mod retries;
mod store_state;

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use ident::Time;
use ident::Zone;
use relay::begins::Begins;
use relay::budget::RetryBudget;
use relay::claims::Claims;
use relay::evacuation::InForce;
use relay::homes::Homes;
use relay::overload::Overload;
use relay::plan::Plan;
use relay::pool::Pool;
use relay::quarantine::Quarantine;
use relay::runs::RunId;
use relay::runs::Runs;
use relay::timing::CallerTimeouts;
use relay::version_stages::VersionStages;
use relay::wait_queue::WaitQueue;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::answers::Answers;
use crate::begins::message::Questions;
use crate::clock::Clock;
use crate::connections::Connector;
use crate::connections::pool::ConnectionPool;
use crate::handoff::peers::Peers;
use crate::instance_info::InstanceInfo;
use crate::members::Members;
use crate::memory::Memory;
use crate::memory::answer;
use crate::metrics::Metrics;
use crate::move_order::MoveOrder;
use crate::outbox::Outbox;
use crate::paces::Paces;
use crate::poller_status::PollerStatus;
use crate::probes::Probes;
use crate::quotas::Quotas;
use crate::reading;
use crate::reading::Reading;
use crate::settings::Settings;
use crate::store::Store;

/// Time after SIGTERM during which every request is accepted, since callers may use an earlier
/// address answer for that long. Later, only requests are accepted that can complete within the
/// grace period.
const FULL_SERVICE: Duration = Duration::from_millis(2_700);
/// Maximum fraction of the grace period for that; the rest is for what was accepted.
const FULL_SERVICE_SHARE: f64 = 1.0 / 3.0;
/// Time before the end of the grace period at which a stopping daemon exits, whatever is in
/// progress. The last log lines take up to 250 ms; the rest covers a busy processor of a tenth of a
/// core: with 300 ms in all, a daemon with one open stream was killed 0.26 s after its last line.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Maximum fraction of the grace period for that; the last log lines are not waited for beyond it.
const STOP_MARGIN_SHARE: f64 = 1.0 / 6.0;
/// Time before the exit at which what still waits for a replica is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// Maximum log lines per second about rejected requests; a caller that sends only malformed
/// requests must not fill the logs.
const MAX_REJECTED_LINES: u64 = 50;
/// Maximum number of unreadable rows of a table that are logged, each once; another program that
/// fills the table must not fill the logs.
const MAX_UNREADABLE: usize = 100;

/// Minimum time between two log lines about unreadable datagrams.
const DATAGRAM_LOG_INTERVAL: Duration = Duration::from_mins(1);

/// State of the daemon; one thread uses it.
#[derive(Debug)]
pub struct Shared {
    /// Settings in force.
    settings: RefCell<Rc<Settings>>,
    /// Clock of the daemon.
    pub clock: Clock,
    /// Client of the store.
    pub store: Store,
    /// Connections to replicas.
    pub connections: ConnectionPool,
    /// Peers that requests are handed to.
    pub peers: Peers,
    /// The other instances.
    pub members: RefCell<Members>,
    /// The replicas.
    pub pool: RefCell<Pool>,
    /// Memory that requests and answers hold.
    pub memory: Memory,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Runs of this daemon at decode replicas.
    pub runs: RefCell<Runs>,
    /// Runs that other daemons report.
    pub claims: RefCell<Claims>,
    /// Whether peers have reported since the pending prefills in `pool` were updated.
    pub pending_prefills_outdated: Cell<bool>,
    /// Measurement and announcement of the paces of replicas.
    pub paces: Paces,
    /// When the memory forecasts of all replicas were last updated.
    pub forecasts_updated_at: Cell<Time>,
    /// Requests and parts of prompts under which replicas ended.
    pub quarantine: RefCell<Quarantine>,
    /// Quotas of customers.
    pub quotas: RefCell<Quotas>,
    /// Software versions that began streams.
    pub begins: RefCell<Begins>,
    /// Notified when a stream of this daemon has begun or was resumed.
    pub stream_begun: Notify,
    /// Questions to other daemons about them.
    pub begin_questions: RefCell<Questions>,
    /// Longest time for which a stream may be resumed after its begin.
    stream_lifetime: Cell<Duration>,
    /// Whether it is known what daemons before this one allowed.
    knows_recorded_lifetime: Cell<bool>,
    /// Readings of the list of replicas for resumed streams.
    pub list_reading: Reading<()>,
    /// Requests to pollers for the same, and whether asking again may bring a newer one.
    pub poller_reading: Reading<bool>,
    /// Readings of what the store has of the begins of streams.
    pub begins_reading: Reading<()>,
    /// Stages of the software versions, by service and the homes of its streams.
    pub version_stages: RefCell<HashMap<String, BTreeMap<Homes, VersionStages>>>,
    /// Lost replicas that are being probed.
    pub probes: Probes,
    /// Answers that replicas are writing.
    pub answers: Rc<Answers>,
    /// Contents that were quarantined and may be cleared by an answer in progress.
    pub newly_quarantined: Outbox,
    /// Contents whose quarantine records have to be sent to the other daemons.
    pub unannounced: Outbox,
    /// Contents whose quarantine records have to be written to the store.
    pub unstored: Outbox,
    /// Replica to which a run has to move, by run.
    pub move_targets: RefCell<HashMap<RunId, MoveOrder>>,
    /// Generations that wait for a decode replica.
    pub queue: RefCell<WaitQueue>,
    /// Notified when a run of this daemon ended or the queue advanced.
    pub capacity_changed: Notify,
    /// Notified when a run began or moved, or a prefill began or ended.
    pub runs_changed: Notify,
    /// Notified when a replica restarted under its id.
    pub restarts: Notify,
    /// Notified when a service may be unreachable.
    pub reach_doubted: Notify,
    /// Whether the first reading of the instances from the store has ended.
    pub instances_listed: watch::Sender<bool>,
    /// Era in which the store was last known to have the own row.
    own_row_era: Cell<u64>,
    /// Whether the store has confirmed that the whole system starts for the first time.
    is_first_start: Cell<bool>,
    /// Unreadable rows that have been logged, by table.
    logged_unreadable: RefCell<HashMap<&'static str, HashSet<String>>>,
    /// When an unreadable datagram was last logged.
    datagram_logged_at: Cell<Option<Time>>,
    plan: RefCell<Option<Rc<Plan>>>,
    evacuations: RefCell<InForce>,
    /// Customers with a label of their own in the metrics.
    labelled_customers: RefCell<HashSet<String>>,
    budgets: RefCell<HashMap<String, RetryBudget>>,
    /// Mean time that a decode replica takes for an answer, by service.
    answer_times: RefCell<HashMap<String, Duration>>,
    /// Time limits of callers, by route.
    caller_timeouts: RefCell<HashMap<String, CallerTimeouts>>,
    overload: RefCell<Overload>,
    data_centre: Zone,
    own: InstanceInfo,
    /// Socket for datagrams to other daemons, once it is open.
    pub gossip_socket: OnceCell<UdpSocket>,
    /// Status requests that wait for an answer, by number.
    pub status_requests: RefCell<HashMap<u32, oneshot::Sender<PollerStatus>>>,
    /// When the store last answered.
    store_answered_at: Cell<Time>,
    /// Whether the store's last call failed.
    store_failing: Cell<bool>,
    /// When SIGTERM arrived.
    stopping_since: Cell<Option<Time>>,
    /// Requests in progress.
    open_requests: Cell<usize>,
    /// Requests of peers that are being served.
    handed_over: Cell<usize>,
    /// Version of the plan that is being fetched from a peer; 0 if none is.
    plan_being_fetched: Cell<u64>,
    /// Whether records of the quarantine are being compared with a peer.
    is_comparing: Cell<bool>,
    /// Whether a peer has sent all of its quarantine records since the start.
    has_all_records: Cell<bool>,
    /// The second of the last rejected request, and the number of rejections in it.
    rejections: Cell<(u64, u64)>,
}

impl Shared {
    /// Creates the state of a daemon that starts with `settings`.
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let data_centre = Zone::new(&settings.data_centre);
        let own = InstanceInfo {
            name: settings.instance.clone(),
            data_centre,
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            capacity: settings.processor.capacity(),
        };
        Self {
            clock: Clock::new(),
            store: Store::new(settings.store, metrics.store_calls.clone())
                .with_floods(metrics.floods.counter("store")),
            connections: ConnectionPool::new(
                Connector::new(settings.source).with_floods(metrics.floods.counter("replica")),
            ),
            peers: Peers::new(),
            members: RefCell::new(Members::new(own.clone())),
            pool: RefCell::new(Pool::new()),
            memory: Memory::new(settings.memory_mb),
            metrics,
            runs: RefCell::new(Runs::new()),
            claims: RefCell::new(Claims::new()),
            pending_prefills_outdated: Cell::new(false),
            paces: Paces::new(),
            forecasts_updated_at: Cell::new(Time::ZERO),
            quarantine: RefCell::new(Quarantine::new().with_seed(rand::random())),
            quotas: RefCell::new(Quotas::new()),
            begins: RefCell::new(Begins::new()),
            stream_begun: Notify::new(),
            begin_questions: RefCell::new(Questions::new()),
            version_stages: RefCell::default(),
            list_reading: Reading::new(reading::STORE_PERIOD),
            poller_reading: Reading::new(reading::POLLER_PERIOD),
            begins_reading: Reading::new(reading::STORE_PERIOD),
            stream_lifetime: Cell::new(Duration::ZERO),
            knows_recorded_lifetime: Cell::new(!settings.version_records),
            probes: Probes::new(),
            answers: Rc::new(Answers::new()),
            newly_quarantined: Outbox::new(),
            unannounced: Outbox::new(),
            unstored: Outbox::new(),
            move_targets: RefCell::new(HashMap::new()),
            queue: RefCell::new(WaitQueue::new()),
            capacity_changed: Notify::new(),
            runs_changed: Notify::new(),
            restarts: Notify::new(),
            reach_doubted: Notify::new(),
            instances_listed: watch::Sender::new(false),
            own_row_era: Cell::new(0),
            is_first_start: Cell::new(false),
            logged_unreadable: RefCell::default(),
            datagram_logged_at: Cell::default(),
            plan: RefCell::new(None),
            evacuations: RefCell::default(),
            labelled_customers: RefCell::new(HashSet::new()),
            budgets: RefCell::new(HashMap::new()),
            answer_times: RefCell::new(HashMap::new()),
            caller_timeouts: RefCell::new(HashMap::new()),
            overload: RefCell::new(Overload::new()),
            data_centre,
            own,
            gossip_socket: OnceCell::new(),
            status_requests: RefCell::new(HashMap::new()),
            store_answered_at: Cell::new(Time::ZERO),
            store_failing: Cell::new(false),
            stopping_since: Cell::new(None),
            open_requests: Cell::new(0),
            handed_over: Cell::new(0),
            plan_being_fetched: Cell::new(0),
            is_comparing: Cell::new(false),
            has_all_records: Cell::new(false),
            rejections: Cell::new((0, 0)),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Counts and logs an answer of `peer` that a bound on memory ended.
    pub fn note_bounded(&self, error: &answer::Error, peer: SocketAddr) {
        if let Some(bound) = error.bound() {
            self.metrics.memory.bounded(bound);
            log::info!(kind = "memory", bound = bound, peer = peer.to_string(), cause = error.to_string(), held = self.memory.answers.held() as u64; "an answer was ended");
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts `settings` in force.
    pub fn apply_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Name and addresses of this instance.
    pub fn own_info(&self) -> InstanceInfo {
        self.own.clone()
    }

    /// IP address of this daemon.
    pub const fn own_ip(&self) -> IpAddr {
        self.own.peers.ip()
    }

    /// Updates the gauges that are computed at a scrape.
    pub fn refresh_metrics(&self) {
        let now = self.clock.now();
        let members = self.members.borrow();
        let metrics = &self.metrics;
        metrics.memory.set(&self.memory);
        metrics.members.set(members.alive_count() as u64);
        metrics
            .replicas_version
            .set(self.replicas_version().version);
        metrics.store_era.set(self.era());
        let quarantined = self.quarantine.borrow().quarantined();
        metrics.quarantined.set(quarantined as u64);
        self.pool.borrow_mut().remove_expired_paces(now);
        let paces = self.pool.borrow().pace_count();
        metrics.replica_paces.set(paces as u64);
        let lost = self.pool.borrow().reach().lost().count();
        metrics.unreachable_services.set(lost as u64);
        metrics.replicas_age.set(self.replicas_age().as_secs_f64());
        for (service, budget) in self.budgets.borrow_mut().iter_mut() {
            let left = budget.remaining(now, &self.retry_policy(), members.sharers());
            metrics.retries_left(service, left);
        }
    }

    /// Returns `Some` if another rejected request may be logged in this second, with the number of
    /// lines omitted in the second before.
    pub fn may_log_rejection(&self) -> Option<u64> {
        let second = self.clock.now().as_millis() / 1_000;
        let (last, count) = self.rejections.get();
        if last != second {
            self.rejections.set((second, 1));
            return Some(count.saturating_sub(MAX_REJECTED_LINES));
        }
        self.rejections.set((second, count + 1));
        (count < MAX_REJECTED_LINES).then_some(0)
    }

    /// Whether to log that the row `key` of `table` is unreadable: once per row, up to
    /// `MAX_UNREADABLE` rows of a table.
    pub fn may_log_unreadable(&self, table: &'static str, key: &str) -> bool {
        let mut logged = self.logged_unreadable.borrow_mut();
        let logged = logged.entry(table).or_default();
        logged.len() < MAX_UNREADABLE && logged.insert(key.to_owned())
    }

    /// Whether to log now that a datagram is unreadable.
    pub fn may_log_datagram(&self) -> bool {
        let now = self.clock.now();
        let logged = self.datagram_logged_at.get();
        let is_due = logged.is_none_or(|at| now.since(at) >= DATAGRAM_LOG_INTERVAL);
        if is_due {
            self.datagram_logged_at.set(Some(now));
        }
        is_due
    }

    /// Whether callers are accepted: a plan and replicas are known and the daemon is not stopping.
    pub fn is_ready(&self) -> bool {
        self.plan_version() > 0 && !self.pool.borrow().is_empty() && !self.is_stopping()
    }

    /// Whether the daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Records that SIGTERM arrived.
    pub fn begin_stop(&self) {
        self.stopping_since.set(Some(self.clock.now()));
    }

    /// Whether a request that may last for `longest` is accepted; a stopping daemon accepts none
    /// that it might have to cut off.
    pub fn accepts(&self, longest: Duration) -> bool {
        let Some(since) = self.stopping_since.get() else {
            return true;
        };
        let elapsed = self.clock.now().since(since);
        let grace = self.settings().grace();
        let full_service = FULL_SERVICE.min(grace.mul_f64(FULL_SERVICE_SHARE));
        elapsed < full_service || elapsed + longest < self.stop_time()
    }

    /// Time from SIGTERM to the exit, whatever is in progress then.
    pub fn stop_time(&self) -> Duration {
        let grace = self.settings().grace();
        grace.saturating_sub(STOP_MARGIN.min(grace.mul_f64(STOP_MARGIN_SHARE)))
    }

    /// Until when a request may wait for a replica that may do so until `latest`: a stopping daemon
    /// refuses it while it can still answer.
    pub fn latest_wait(&self, latest: Instant) -> Instant {
        let Some(since) = self.stopping_since.get() else {
            return latest;
        };
        let elapsed = self.clock.now().since(since);
        let left = self.stop_time().saturating_sub(elapsed + REFUSAL_TIME);
        latest.min(Instant::now() + left)
    }

    /// Requests in progress.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Sets the number of requests in progress.
    pub fn set_open_requests(&self, count: usize) {
        self.open_requests.set(count);
        self.metrics.open.set(count as u64);
    }
}
