//! Reserves a slot and KV cache memory at a decode replica before the prompt is prefilled.
//! Otherwise a prefill could be wasted, or a request could queue at a replica without room.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::timeout;
use http::Method;
use http::StatusCode;
use platform::engine as wire;
use platform::engine::Reservation;
use relay::admission::MemoryDemand;
use relay::plan::Engine;
use relay::replica::Stage;
use relay::server::Key;
use relay::timing::Kind;
use relay::timing::Terms;

use crate::control;
use crate::control::Call;
use crate::job::Job;
use crate::limit;
use crate::plain;
use crate::run_tracking::TrackedRun;
use crate::shared::Shared;
use crate::wait_queue::QueueEntry;

/// Pause between two rounds over replicas without room; under overload, a place becomes free about
/// every 60 ms.
const ROUND_PAUSE: Duration = Duration::from_millis(30);
/// Replicas asked in one round.
const REPLICAS_PER_ROUND: usize = 3;

/// Slowdown from which a replica that granted a reservation is exchanged for another one.
const MAX_SLOWDOWN: f64 = 1.5;

/// The decode replica chosen for a request, with the reservation there.
#[derive(Debug)]
pub struct Placement {
    key: Key,
    reserved: Option<HeldReservation>,
    tracked_run: Option<TrackedRun>,
}

/// A reservation; released if it is dropped unused.
#[derive(Debug)]
struct HeldReservation {
    shared: Rc<Shared>,
    key: Key,
    address: SocketAddr,
    replica: String,
    id: String,
    used: bool,
}

/// What one round over the replicas is for.
struct Round<'a> {
    /// Replicas that the request was sent to.
    tried: &'a [Key],
    /// Software versions whose replicas are left to others.
    reserved: &'a [String],
    kind: Kind,
    /// Tokens generated so far.
    generated: u64,
    /// Place in the wait queue of a generation that waits for its turn.
    queue_entry: Option<&'a mut QueueEntry>,
}

/// Result of asking one replica for a reservation.
enum ReserveOutcome {
    /// With how much longer than usual work takes there, if the replica says so.
    Granted(HeldReservation, Option<f64>),
    NoRoom,
    /// Nothing may be sent to the replica.
    Withheld,
    /// The replica did not answer.
    Failed(control::Error),
    /// The replica is no longer listed.
    Unlisted,
}

impl Placement {
    /// The chosen replica.
    pub const fn key(&self) -> Key {
        self.key
    }

    /// Id of the reservation, if there is one.
    pub fn reservation(&self) -> Option<&str> {
        self.reserved.as_ref().map(|reserved| reserved.id.as_str())
    }

    /// Records that the replica prefills the prompt itself.
    pub fn note_local_prefill(&self) {
        if let Some(tracked_run) = &self.tracked_run {
            tracked_run.note_local_prefill(self.key);
        }
    }

    /// Marks the reservation as used and returns the run that has begun.
    pub fn into_run(self) -> Option<TrackedRun> {
        if let Some(mut reserved) = self.reserved {
            reserved.used = true;
        }
        self.tracked_run
    }
}

/// Finds a placement for `job`, which has generated `generated` tokens so far, outside of `tried`;
/// `None` if no replica has room.
pub async fn find(
    shared: &Rc<Shared>,
    job: &Job,
    tried: &[Key],
    generated: u64,
) -> Option<Placement> {
    let Some(engine) = reserving_engine(shared, job) else {
        let key = plain::choose_replica(shared, job, Some(Stage::Decode), tried).await?;
        return Some(Placement {
            key,
            reserved: None,
            tracked_run: None,
        });
    };
    let begun = Instant::now();
    let objective = job.route.objective;
    let kind = generation_kind(job, generated);
    // For a request that is already late, the wait starts now.
    let from = if kind == Kind::New {
        job.arrived
    } else {
        begun
    };
    let until = from + objective.mul_f64(kind.terms(new_request_terms(shared)).wait);
    let mut queue_entry = QueueEntry::new(shared, job, kind);
    let mut rounds = 0;
    loop {
        queue_entry.set_servable(shared.has_candidate(
            job.destination(),
            Some(Stage::Decode),
            tried,
        ));
        // A stream resumed within one answer does not wait for its turn: without a placement it is aborted.
        let reserved = match kind {
            Kind::Due => Some(Vec::new()),
            _ => queue_entry.reserved(),
        };
        let found = match reserved {
            Some(reserved) => {
                let round = Round {
                    tried,
                    reserved: &reserved,
                    kind,
                    generated,
                    queue_entry: Some(&mut queue_entry),
                };
                try_round(shared, job, engine, round).await
            }
            None => None,
        };
        if let Some(placement) = found {
            queue_entry.set_served();
            shared.metrics.place_wait(begun.elapsed().as_secs_f64());
            return Some(placement);
        }
        rounds += 1;
        if shared.is_unreachable(&job.service) {
            return None;
        }
        // Waiting is useless if all decode replicas stay excluded beyond the limit.
        let excluded = shared.exclusion_remaining(job.destination(), Some(Stage::Decode));
        let earliest = Instant::now() + excluded.unwrap_or_default().max(ROUND_PAUSE);
        if earliest > shared.latest_wait(until) {
            let prefill_time = shared.estimate_prefill_time(job.destination(), job.prompt_tokens());
            let read_ms = prefill_time.unwrap_or_default().as_millis() as u64;
            log::info!(kind = "reserve", request = job.call.id, class = format!("{kind:?}"), rounds = rounds, tokens = job.expected_tokens(), read_ms = read_ms; "no decode replica has room");
            return None;
        }
        // Start another round early when a run ends here or peers report that theirs ended.
        let _ = timeout(ROUND_PAUSE, shared.capacity_changed.notified()).await;
    }
}

/// Like [`find`], but without waiting.
pub async fn find_now(
    shared: &Rc<Shared>,
    job: &Job,
    tried: &[Key],
    generated: u64,
) -> Option<Placement> {
    let Some(engine) = reserving_engine(shared, job) else {
        let choose = || shared.choose(job.destination(), Some(Stage::Decode), tried);
        let key = limit::choose_admitted(shared, choose).await?;
        return Some(Placement {
            key,
            reserved: None,
            tracked_run: None,
        });
    };
    let round = Round {
        tried,
        reserved: &[],
        kind: Kind::Due,
        generated,
        queue_entry: None,
    };
    try_round(shared, job, engine, round).await
}

/// Asks up to [`REPLICAS_PER_ROUND`] replicas for a reservation, the best one first.
async fn try_round(
    shared: &Rc<Shared>,
    job: &Job,
    engine: Engine,
    round: Round<'_>,
) -> Option<Placement> {
    let Round {
        tried,
        reserved,
        kind,
        generated,
        mut queue_entry,
    } = round;
    shared.refresh_forecasts();
    let placing = shared.settings().placing;
    let size = job.size(generated);
    let prefill_time = shared.estimate_prefill_time(job.destination(), size.prompt);
    let idle = kind.required_idle_share(
        job.route.objective,
        job.age(),
        prefill_time.unwrap_or_default(),
    );
    let memory_demand = MemoryDemand {
        curve: shared.runs.borrow().forecast(&job.service, size),
        spreads: placing.spreads,
        spare: kind.terms(new_request_terms(shared)).spare.max(idle),
    };
    let now = shared.clock.now();
    let limits = job.limits(now, engine.event_tokens);
    let delay = prefill_time.unwrap_or_default();
    let answer = shared
        .runs
        .borrow()
        .answer(now, &job.service, size, limits, delay);
    let expected = size.estimate as f64 * placing.reserve;
    let tokens = size.prompt + (expected as u64).max(generated);
    let mut asked = tried.to_vec();
    // At the least slow of the replicas that are slow at present, and its slowdown; released once
    // another one has granted a reservation.
    let mut slow: Option<(Placement, f64)> = None;
    for _ in 0..REPLICAS_PER_ROUND {
        let choose = || {
            let to = job.destination();
            shared.choose_decode(to, reserved, &asked, memory_demand, Some(&answer))
        };
        let admitted = limit::choose_admitted(shared, choose);
        let Some(key) = wait_for(queue_entry.as_deref_mut(), pin!(admitted)).await else {
            break;
        };
        asked.push(key);
        let tracked_run = TrackedRun::new(shared, job, key, size, engine.event_tokens);
        let reservation = reserve(shared, tokens, key, engine.max_reservation);
        let outcome = wait_for(queue_entry.as_deref_mut(), pin!(reservation)).await;
        match outcome {
            ReserveOutcome::Granted(reserved, slowdown) => {
                let now = shared.clock.now();
                shared.pool.borrow_mut().record_room(now, key);
                let placement = Placement {
                    key,
                    reserved: Some(reserved),
                    tracked_run: Some(tracked_run),
                };
                let Some(slowdown) = slowdown.filter(|slowdown| *slowdown >= MAX_SLOWDOWN) else {
                    return Some(placement);
                };
                if slow.as_ref().is_none_or(|(_, least)| slowdown < *least) {
                    slow = Some((placement, slowdown));
                }
            }
            ReserveOutcome::Withheld | ReserveOutcome::Unlisted => {}
            ReserveOutcome::NoRoom => shared
                .pool
                .borrow_mut()
                .record_full(shared.clock.now(), key),
            ReserveOutcome::Failed(error) => {
                if error.is_unconnected() {
                    job.missed_replica.set(true);
                }
                shared
                    .pool
                    .borrow_mut()
                    .record_result(shared.clock.now(), key, true);
                shared.note_unresponsive(key);
                let pool = shared.pool.borrow();
                let replica = pool.get(key).map_or("", |server| &server.replica.id);
                log::info!(kind = "reserve", request = job.call.id, replica = replica, cause = error.to_string(); "a replica did not answer");
            }
        }
        if shared.is_unreachable(&job.service) {
            break;
        }
    }
    slow.map(|(placement, _)| placement)
}

/// Waits for `answer`; later generations may pass the one at `queue_entry` once that takes long.
async fn wait_for<T>(
    queue_entry: Option<&mut QueueEntry>,
    answer: impl Future<Output = T> + Unpin,
) -> T {
    match queue_entry {
        Some(queue_entry) => queue_entry.wait_for(answer).await,
        None => answer.await,
    }
}

/// The kind of generation, given that `job` has generated `generated` tokens so far.
fn generation_kind(job: &Job, generated: u64) -> Kind {
    match job.call.last_event {
        None if generated == 0 && job.returned => Kind::Returned,
        None if generated == 0 => Kind::New,
        Some(_) if generated == 0 => Kind::Resumed,
        _ => Kind::Due,
    }
}

/// The terms of a new generation.
fn new_request_terms(shared: &Shared) -> Terms {
    let placing = shared.settings().placing;
    Terms {
        wait: placing.wait,
        spare: placing.spare,
    }
}

/// The engine that serves `job`; `None` if its replicas do not support reservations.
fn reserving_engine(shared: &Shared, job: &Job) -> Option<Engine> {
    let plan = shared.plan()?;
    let engine = plan.services.get(&job.service)?.engine?;
    (!engine.max_reservation.is_zero()).then_some(engine)
}

async fn reserve(shared: &Rc<Shared>, tokens: u64, key: Key, lifetime: Duration) -> ReserveOutcome {
    let replica = shared.pool.borrow().get(key).map(|s| s.replica.clone());
    let Some(replica) = replica else {
        return ReserveOutcome::Unlisted;
    };
    // The replica may have said something else since it was chosen.
    if shared.withheld_cause(key).is_some() {
        return ReserveOutcome::Withheld;
    }
    let call = Call {
        key,
        to: replica.address,
        replica: replica.id.clone(),
        method: Method::POST,
        path: wire::RESERVE_PATH.to_owned(),
        body: wire::reserve_body(tokens, lifetime),
    };
    match control::call(shared, call).await {
        // The replica accepts no more connections.
        Err(control::Error::Closed { cause }) => {
            log::info!(kind = "reserve", replica = replica.id, cause = cause; "a replica closed the connection of a reservation request");
            ReserveOutcome::NoRoom
        }
        Err(error) => ReserveOutcome::Failed(error),
        Ok(answer) if answer.status == StatusCode::OK => match Reservation::read(&answer.body) {
            Ok(reservation) => {
                shared.update_birth(key, reservation.birth);
                if let Some(slowdown) = answer.slowdown {
                    shared.note_slowdown(key, slowdown);
                }
                let reserved = HeldReservation {
                    shared: Rc::clone(shared),
                    key,
                    address: replica.address,
                    replica: replica.id,
                    id: reservation.id,
                    used: false,
                };
                // The prefill would be wasted if the replica must get no run after it.
                if shared.is_draining(key) {
                    ReserveOutcome::Withheld
                } else {
                    ReserveOutcome::Granted(reserved, answer.slowdown)
                }
            }
            Err(error) => ReserveOutcome::Failed(control::Error::Unanswered {
                cause: error.to_string(),
            }),
        },
        Ok(_) => ReserveOutcome::NoRoom,
    }
}

impl Drop for HeldReservation {
    fn drop(&mut self) {
        if self.used {
            return;
        }
        let shared = Rc::clone(&self.shared);
        let call = Call {
            key: self.key,
            to: self.address,
            replica: self.replica.clone(),
            method: Method::DELETE,
            path: wire::release_path(&self.id),
            body: Vec::new(),
        };
        tokio::task::spawn_local(async move {
            let replica = call.replica.clone();
            let released = control::call(&shared, call).await;
            if !released.is_ok_and(|answer| answer.status == StatusCode::OK) {
                log::info!(kind = "reserve", replica = replica; "a reservation could not be released; it will expire");
            }
        });
    }
}
