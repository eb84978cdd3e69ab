//! Keeps the plan, the replicas and the list of instances up to date from the store or from peers.

pub mod first_start;
pub mod instances;
pub mod registration;
pub mod rewriting;
pub mod rows;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::timeout;
use ident::Time;
use platform::evacuation;
use platform::plan;
use platform::replica;
use platform::store::Rows;
use relay::replica::Source;
use relay::replica::Update;
use relay::revision::Revision;

use crate::exchange;
use crate::gossip;
use crate::reading;
use crate::shared::Shared;
use crate::store::Error;

/// Waiting time of one watch of the plan. A watch whose answer is lost ends only after this and the
/// timeout of a call, and the other daemons ask one [`REPLICAS_PERIOD`] later: together, well below
/// the 3 s after a disruption of the store at which edits have to be in force again.
const PLAN_WAIT: Duration = Duration::from_millis(1_200);
/// Pause after reading a plan, so that edits in quick succession are read together.
const PLAN_PAUSE: Duration = Duration::from_millis(150);
/// Interval between requests to the poller; a leaving replica must get no requests 2 s later.
const REPLICAS_PERIOD: Duration = Duration::from_millis(450);
/// Waiting time of one watch of the replicas; an answer proves that the list is up to date, and
/// other daemons accept a status of up to a second's age.
const REPLICAS_WAIT: Duration = Duration::from_millis(350);
/// Pause of the poller between two watches, so that changes in quick succession are read together.
const REPLICAS_PAUSE: Duration = Duration::from_millis(300);
/// Timeout of a status request to a poller; a round trip takes some milliseconds.
const POLLER_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which no further poller is asked and this daemon reads the store itself. Together
/// with the maximum age of a status and the pause before ([`REPLICAS_PERIOD`]), it keeps the list
/// well below an age of 2 s, after which a leaving replica must get no requests.
const POLLERS_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after a start for which a daemon waits for the poller and its peers before it reads plan and
/// replicas itself, if its data centre has up to [`DIRECT_READERS`] instances. With more instances,
/// the readings are spread over a time in proportion to their number: the complete list takes many
/// calls, and the first daemon that has it passes it on.
const START_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of waiting for the list of instances, other than at the first start of the whole system:
/// the store answers in some milliseconds, or some of its tables do not answer at all.
const LIST_TIMEOUT: Duration = Duration::from_millis(100);
/// Time to wait for the next reading of a poller, which begins one every [`REPLICAS_WAIT`] and
/// [`REPLICAS_PAUSE`].
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause between requests for it.
const CONFIRM_PAUSE: Duration = reading::POLLER_PERIOD;
/// Mean pause between requests to the poller during [`START_TIMEOUT`].
const START_PAUSE: Duration = Duration::from_millis(60);
/// Number of daemons of a data centre that call the store in one period while it fails their
/// poller. More would not find sooner that it answers one of them, and each call is paid for.
const DIRECT_READERS: usize = 8;
/// Interval between own readings of the store by a daemon whose poller the store fails: short
/// enough to find that the store answers only this daemon.
const DIRECT_PERIOD: Duration = Duration::from_millis(600);
/// Minimum time between two calls of a failing store, to keep its load low.
const RETRY_PAUSE: Duration = Duration::from_millis(350);

/// Keeps the plan up to date from the store while this daemon is the poller, forever.
pub async fn follow_plan(shared: Rc<Shared>) {
    let mut version = None;
    wait_for_instances(&shared).await;
    loop {
        if shared.members.borrow().poller().is_some() {
            version = None;
            sleep(REPLICAS_PERIOD).await;
            continue;
        }
        let called_at = Instant::now();
        let read = match version {
            None => shared.store.read(plan::TABLE).await,
            Some(version) => shared.store.watch(plan::TABLE, version, PLAN_WAIT).await,
        };
        match read {
            Ok(rows) => {
                shared.store_answered("plan");
                apply_evacuations(&shared, version, &rows);
                version = Some(rows.revision);
                apply_stored_plan(&shared, &rows);
                sleep(PLAN_PAUSE).await;
            }
            Err(error @ (Error::Compacted | Error::NewEra | Error::GivenUp)) => {
                log::info!(kind = "store", step = "plan", cause = error.to_string(); "reading the whole plan again");
                version = None;
            }
            Err(error) => {
                shared.store_failed("plan", &error);
                version = None;
                sleep(RETRY_PAUSE.saturating_sub(called_at.elapsed())).await;
            }
        }
    }
}

/// Result of a request to a poller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PollerState {
    /// The poller is up to date, and this daemon has its state.
    Fresh,
    /// The poller is not up to date, since the store fails it.
    Stale,
    /// The poller did not answer.
    Silent,
}

/// Keeps the replicas up to date, forever: from the poller of this data centre, from that of
/// another one, or from the store.
pub async fn follow_replicas(shared: Rc<Shared>) {
    let started = Instant::now();
    let turn: f64 = rand::random();
    let mut next_direct = started;
    wait_for_instances(&shared).await;
    loop {
        let is_poller = shared.members.borrow().poller().is_none();
        let poller_state = match start_phase(&shared, started, turn) {
            StartPhase::FewInstances => PollerState::Silent,
            StartPhase::ManyInstances if !is_poller => {
                refresh_from_local(&shared).await;
                // A peer that has just started, too, is up to date without a list.
                if shared.replicas_version().version == 0 {
                    sleep(START_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
                }
                continue;
            }
            _ => refresh_from_pollers(&shared, POLLERS_TIMEOUT).await,
        };
        let reads_store = match poller_state {
            PollerState::Fresh => false,
            PollerState::Stale => Instant::now() >= next_direct,
            PollerState::Silent => true,
        };
        let is_read = reads_store && read_replicas(&shared, REPLICAS_WAIT).await;
        if is_poller && !is_read {
            refresh_from_peers(&shared, POLLERS_TIMEOUT).await;
        }
        if reads_store && !is_poller {
            read_plan(&shared).await;
            next_direct = Instant::now() + scaled_period(&shared, DIRECT_PERIOD);
        }
        let pause = match poller_state {
            PollerState::Fresh => REPLICAS_PERIOD,
            _ if is_read && is_poller => REPLICAS_PAUSE,
            _ if is_read => REPLICAS_PERIOD,
            _ => RETRY_PAUSE,
        };
        sleep(pause).await;
    }
}

/// Phase of this daemon after its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartPhase {
    /// No replicas are known and the data centre has few instances: their calls of the store cost
    /// less than making callers wait.
    FewInstances,
    /// No replicas are known and many instances may be starting together.
    ManyInstances,
    /// Replicas are known, or the start timeout has passed.
    Steady,
}

/// The phase of a daemon that started at `started`; `turn`, a random number uniform in `0.0..1.0`,
/// is its place among those that read the store themselves if nobody passes the list on.
fn start_phase(shared: &Shared, started: Instant, turn: f64) -> StartPhase {
    let instances = shared.members.borrow().local_count();
    let spread = START_TIMEOUT.mul_f64(instances as f64 / DIRECT_READERS as f64);
    match shared.replicas_version().version {
        0 if instances <= DIRECT_READERS => StartPhase::FewInstances,
        0 if started.elapsed() < START_TIMEOUT + spread.mul_f64(turn) => StartPhase::ManyInstances,
        _ => StartPhase::Steady,
    }
}

/// Waits until the instances are listed, since the poller is chosen among them.
async fn wait_for_instances(shared: &Shared) {
    let mut listed = shared.instances_listed.subscribe();
    let limit = if shared.settings().first_start {
        instances::JOIN_TIMEOUT
    } else {
        LIST_TIMEOUT
    };
    // Without the list, a daemon that knows of no other is its own poller.
    let _ = timeout(limit, listed.wait_for(|listed| *listed)).await;
}

/// Randomized time until this daemon calls a failing store again: about `period` if the data centre
/// has up to [`DIRECT_READERS`] instances, and proportionally longer if it has more.
fn scaled_period(shared: &Shared, period: Duration) -> Duration {
    let instances = shared.members.borrow().local_count();
    let share = instances.max(DIRECT_READERS) as f64 / DIRECT_READERS as f64;
    period.mul_f64(share * rand::random_range(0.75..1.25))
}

/// Asks the pollers, starting with that of this data centre, until one is up to date or `limit` has
/// passed. A poller that answers gets time to send what is newer: after a change, all daemons of its
/// data centre fetch it at once, and reading the store instead would cost each of them more. Returns
/// `Silent` if none answers or if this daemon is the poller.
async fn refresh_from_pollers(shared: &Shared, limit: Duration) -> PollerState {
    let deadline = Instant::now() + limit;
    let local = shared.members.borrow().poller();
    let Some(local) = local else {
        return PollerState::Silent;
    };
    let mut poller_state = refresh_from(shared, local).await;
    if poller_state == PollerState::Fresh {
        return PollerState::Fresh;
    }
    let remote = shared.members.borrow().remote_pollers();
    for poller in remote {
        if Instant::now() >= deadline {
            break;
        }
        match refresh_from(shared, poller).await {
            PollerState::Fresh => return PollerState::Fresh,
            PollerState::Stale => poller_state = PollerState::Stale,
            PollerState::Silent => {}
        }
    }
    poller_state
}

/// Asks the poller of this data centre, and a random daemon of it if the poller is not up to date.
/// At a common start the poller would have to send the complete list to all of them over one link,
/// so each daemon that has it passes it on.
async fn refresh_from_local(shared: &Shared) {
    let (poller, peer) = {
        let members = shared.members.borrow();
        (members.poller(), members.random_local_peer())
    };
    for peer in [poller, peer].into_iter().flatten() {
        if refresh_from(shared, peer).await == PollerState::Fresh {
            return;
        }
    }
}

/// Asks a random daemon of this data centre and the pollers of the others, until one is up to date
/// or `limit` has passed: the store may refuse only this daemon, the poller.
async fn refresh_from_peers(shared: &Shared, limit: Duration) {
    let deadline = Instant::now() + limit;
    let peers = {
        let members = shared.members.borrow();
        let local = members.random_local_peer();
        local.into_iter().chain(members.remote_pollers())
    };
    for peer in peers {
        if Instant::now() >= deadline || refresh_from(shared, peer).await == PollerState::Fresh {
            return;
        }
    }
}

/// Requests the status of the daemon at `poller` and fetches what is newer there.
async fn refresh_from(shared: &Shared, poller: SocketAddr) -> PollerState {
    let Some(status) = gossip::request_status(shared, poller, POLLER_TIMEOUT).await else {
        return PollerState::Silent;
    };
    if status.overloaded && Some(poller) == shared.members.borrow().poller() {
        shared.record_relayed_report();
    }
    match status {
        status if !status.is_fresh(shared.era()) => PollerState::Stale,
        status
            if status.confirms(shared.replicas_version())
                && status.plan <= shared.plan_version() =>
        {
            shared.confirm_replicas(status.replicas, status.age());
            PollerState::Fresh
        }
        _ if exchange::fetch_newer(shared, poller).await => PollerState::Fresh,
        _ => PollerState::Silent,
    }
}

/// Brings the replicas up to date as of `asked_at` or later: from the store, or from a daemon that has
/// read it since if it does not answer this one.
pub async fn confirm_replicas(shared: &Shared, asked_at: Time) {
    let is_confirmed = || shared.replicas_current_at() >= asked_at;
    if is_confirmed() {
        return;
    }
    let read = async || {
        read_replicas(shared, Duration::ZERO).await;
    };
    let clock = &shared.clock;
    shared.list_reading.after(clock, asked_at, read).await;
    let until = Instant::now() + CONFIRM_TIMEOUT;
    while !is_confirmed() && Instant::now() < until {
        let ask = async || refresh_from_any(shared).await;
        let may_advance = shared.poller_reading.after(clock, clock.now(), ask).await;
        if !may_advance {
            return;
        }
        sleep(CONFIRM_PAUSE).await;
    }
}

/// Asks the pollers, or peers if this daemon is the poller; returns whether asking again may bring a
/// newer list.
async fn refresh_from_any(shared: &Shared) -> bool {
    if shared.members.borrow().poller().is_none() {
        refresh_from_peers(shared, POLLERS_TIMEOUT).await;
        return true;
    }
    refresh_from_pollers(shared, POLLERS_TIMEOUT).await == PollerState::Fresh
}

/// Reads the replicas from the store, which waits up to `wait` for changes; returns whether it answered.
async fn read_replicas(shared: &Shared, wait: Duration) -> bool {
    let started_at = shared.clock.now();
    match fetch_replicas(shared, wait).await {
        Ok(update) => {
            shared.store_answered("replicas");
            let read_at = earliest_read_time(started_at, shared.clock.now(), wait, &update);
            shared.apply_replicas(Source::Store, read_at, &update);
            true
        }
        Err(error) => {
            shared.note_outage();
            shared.store_failed("replicas", &error);
            false
        }
    }
}

/// Earliest time at which the store can have produced the answer to a call that was sent at
/// `started_at` and completed at `now`. The time of arrival would make a delayed answer look
/// current. The store answers a watch without changes only once `wait` has elapsed.
fn earliest_read_time(started_at: Time, now: Time, wait: Duration, update: &Update) -> Time {
    match update {
        Update::Changed(delta) if delta.is_empty() && now.since(started_at) >= wait => {
            started_at + wait
        }
        _ => started_at,
    }
}

/// Reads the changes of the replicas from the store, or all replicas if the changes are not known.
async fn fetch_replicas(shared: &Shared, wait: Duration) -> Result<Update, Error> {
    let since = shared.replicas_version();
    if since.version == 0 {
        return fetch_all_replicas(shared).await;
    }
    let watched = shared.store.watch(replica::TABLE, since, wait);
    match watched.await {
        Ok(rows) => Ok(Update::Changed(rows::delta(shared, since, &rows))),
        Err(error @ (Error::Compacted | Error::NewEra)) => {
            log::info!(kind = "store", step = "replicas", cause = error.to_string(); "reading all replicas again");
            fetch_all_replicas(shared).await
        }
        Err(error) => Err(error),
    }
}

async fn fetch_all_replicas(shared: &Shared) -> Result<Update, Error> {
    let rows = shared.store.read(replica::TABLE).await?;
    Ok(Update::All(rows::snapshot(shared, &rows)))
}

async fn read_plan(shared: &Shared) {
    match shared.store.read(plan::TABLE).await {
        Ok(rows) => {
            shared.store_answered("plan");
            apply_evacuations(shared, None, &rows);
            apply_stored_plan(shared, &rows);
        }
        Err(error) => shared.store_failed("plan", &error),
    }
}

/// Applies the evacuations in `rows`: all rows of the operator's table, or those that changed after
/// version `since`. Must precede the plan, since callers are accepted once a plan is known.
fn apply_evacuations(shared: &Shared, since: Option<Revision>, rows: &Rows) {
    let evacuations = match since {
        None => evacuation::read_all(rows),
        Some(_) => {
            let changes = evacuation::changes(rows);
            shared.evacuations().after(rows.revision, &changes)
        }
    };
    shared.apply_evacuations("store", &evacuations);
}

fn apply_stored_plan(shared: &Shared, rows: &Rows) {
    let newest = rows.rows.iter().rev().find(|row| row.key == plan::KEY);
    let value = newest.and_then(|row| Some((row.version, row.value.as_deref()?)));
    let Some((version, value)) = value else {
        return;
    };
    match plan::read(value) {
        Ok(read) => {
            if read.plan.version > shared.plan_version() {
                for problem in &read.problems {
                    log::error!(kind = "plan", version = read.plan.version, cause = problem; "a part of a plan is invalid");
                }
            }
            shared.apply_plan("store", read.plan);
        }
        // A plan is read again after each failure of the store.
        Err(_) if !shared.may_log_unreadable(plan::TABLE, &version.to_string()) => {}
        Err(error) => {
            log::error!(kind = "plan", cause = error.to_string(); "a plan cannot be read; the current one stays in force");
        }
    }
}
