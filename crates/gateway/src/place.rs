//! Places at decode replicas: a slot and memory, reserved before the prompt is read, so that no
//! prompt is read in vain and no request waits at a replica that has no room.

use std::net::SocketAddr;
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

use crate::ask;
use crate::ask::Call;
use crate::job::Job;
use crate::limit;
use crate::plain;
use crate::shared::Shared;
use crate::track::Track;
use crate::turn::Turn;

/// Pause between two rounds over replicas that had no room; in overload a place comes free about
/// every 60 ms.
const ROUND_PAUSE: Duration = Duration::from_millis(30);
/// Replicas asked in one round.
const ROUND: usize = 3;

/// A decode replica that is to serve a request.
#[derive(Debug)]
pub struct Place {
    key: Key,
    reserved: Option<Reserved>,
    track: Option<Track>,
}

/// A reservation; given back if it is dropped unused.
#[derive(Debug)]
struct Reserved {
    shared: Rc<Shared>,
    address: SocketAddr,
    replica: String,
    id: String,
    used: bool,
}

/// How asking one replica ended.
enum Asked {
    Room(Reserved),
    NoRoom,
    /// The replica did not answer.
    Failed(String),
}

impl Place {
    /// The replica.
    pub const fn key(&self) -> Key {
        self.key
    }

    /// Name of the reservation there, if there is one.
    pub fn reservation(&self) -> Option<&str> {
        self.reserved.as_ref().map(|reserved| reserved.id.as_str())
    }

    /// Notes that the replica reads the prompt itself.
    pub fn reads(&self) {
        if let Some(track) = &self.track {
            track.reads(self.key);
        }
    }

    /// Notes that the request has taken the reservation up; gives the run that has begun.
    pub fn used(self) -> Option<Track> {
        if let Some(mut reserved) = self.reserved {
            reserved.used = true;
        }
        self.track
    }
}

/// Finds a place for `job`, of which `made` tokens were made, at a replica that is not among `tried`;
/// `None` if there is no room.
pub async fn find(shared: &Rc<Shared>, job: &Job, tried: &[Key], made: u64) -> Option<Place> {
    let Some(engine) = engine(shared, job) else {
        let key = plain::replica(shared, job, Some(Stage::Decode), tried).await?;
        return Some(Place {
            key,
            reserved: None,
            track: None,
        });
    };
    let begun = Instant::now();
    let objective = job.route.objective;
    let kind = kind(job, made);
    // What is late already waits from now on.
    let from = if kind == Kind::New {
        job.arrived
    } else {
        begun
    };
    let until = from + objective.mul_f64(kind.terms(usual(shared)).wait);
    let turn = Turn::new(shared, &job.service, job.priority(), kind == Kind::Returned);
    let mut rounds = 0;
    loop {
        // A stream that is resumed waits for nobody: without a place it breaks off.
        let found = if kind == Kind::Due || turn.is_now() {
            round(shared, job, tried, engine, kind, made).await
        } else {
            None
        };
        if let Some(place) = found {
            shared.metrics.place_wait(begun.elapsed().as_secs_f64());
            return Some(place);
        }
        rounds += 1;
        if Instant::now() + ROUND_PAUSE > until {
            let read = shared.estimate_prefill_time(&job.service, job.prompt());
            let read_ms = read.unwrap_or_default().as_millis() as u64;
            log::info!(kind = "reserve", request = job.call.id, class = format!("{kind:?}"), rounds = rounds, tokens = job.tokens(), read_ms = read_ms; "no decode replica has room");
            return None;
        }
        // Another round is due when a run ends here, or others told of theirs.
        let _ = timeout(ROUND_PAUSE, shared.capacity_changed.notified()).await;
    }
}

/// Finds a place like [`find`], but does not wait for one.
pub async fn find_now(shared: &Rc<Shared>, job: &Job, tried: &[Key], made: u64) -> Option<Place> {
    let Some(engine) = engine(shared, job) else {
        let choose = || shared.choose(&job.service, Some(Stage::Decode), tried);
        let key = limit::choose_admitted(shared, choose).await?;
        return Some(Place {
            key,
            reserved: None,
            track: None,
        });
    };
    round(shared, job, tried, engine, Kind::Due, made).await
}

/// Asks some replicas, the best first.
async fn round(
    shared: &Rc<Shared>,
    job: &Job,
    tried: &[Key],
    engine: Engine,
    kind: Kind,
    made: u64,
) -> Option<Place> {
    let placing = shared.settings().placing;
    let size = job.size(made);
    let read = shared.estimate_prefill_time(&job.service, size.prompt);
    let idle = kind.required_idle_share(job.route.objective, job.age(), read.unwrap_or_default());
    let ask = MemoryDemand {
        curve: shared.runs.borrow().forecast(&job.service, size),
        spreads: placing.spreads,
        spare: kind.terms(usual(shared)).spare.max(idle),
    };
    let expected = size.estimate as f64 * placing.reserve;
    let tokens = size.prompt + (expected as u64).max(made);
    let mut asked = tried.to_vec();
    for _ in 0..ROUND {
        let choose = || shared.choose_decode(&job.service, &asked, ask);
        let key = limit::choose_admitted(shared, choose).await?;
        asked.push(key);
        let track = Track::new(shared, &job.service, key, size, engine.event_tokens);
        match reserve(shared, tokens, key, engine.max_reservation).await {
            Asked::Room(reserved) => {
                let now = shared.clock.now();
                shared.pool.borrow_mut().record_room(now, key);
                return Some(Place {
                    key,
                    reserved: Some(reserved),
                    track: Some(track),
                });
            }
            Asked::NoRoom => shared
                .pool
                .borrow_mut()
                .record_full(shared.clock.now(), key),
            Asked::Failed(cause) => {
                shared
                    .pool
                    .borrow_mut()
                    .record_result(shared.clock.now(), key, true);
                shared.note_unresponsive(key);
                log::info!(kind = "reserve", request = job.call.id, cause = cause; "a replica did not answer");
            }
        }
    }
    None
}

/// What kind of generation `job` is, of which `made` tokens were made.
fn kind(job: &Job, made: u64) -> Kind {
    match job.call.last_event {
        None if made == 0 && job.returned => Kind::Returned,
        None if made == 0 => Kind::New,
        _ => Kind::Due,
    }
}

/// The terms of a new generation.
fn usual(shared: &Shared) -> Terms {
    let placing = shared.settings().placing;
    Terms {
        wait: placing.wait,
        spare: placing.spare,
    }
}

/// The engine that serves `job`; `None` where replicas keep no reservations.
fn engine(shared: &Shared, job: &Job) -> Option<Engine> {
    let plan = shared.plan()?;
    let engine = plan.services.get(&job.service)?.engine?;
    (!engine.max_reservation.is_zero()).then_some(engine)
}

async fn reserve(shared: &Rc<Shared>, tokens: u64, key: Key, life: Duration) -> Asked {
    let replica = shared.pool.borrow().get(key).map(|s| s.replica.clone());
    let Some(replica) = replica else {
        return Asked::Failed("the replica is gone".to_owned());
    };
    let call = Call {
        to: replica.address,
        replica: replica.id.clone(),
        method: Method::POST,
        path: wire::RESERVE_PATH.to_owned(),
        body: wire::reserve_body(tokens, life),
    };
    match ask::call(shared, call).await {
        // It takes no more connections.
        Err(ask::Error::Closed { cause }) => {
            log::info!(kind = "reserve", replica = replica.id, cause = cause; "a replica closed the connection of a reservation");
            Asked::NoRoom
        }
        Err(error) => Asked::Failed(error.to_string()),
        Ok(answer) if answer.status == StatusCode::OK => match Reservation::read(&answer.body) {
            Ok(reservation) => {
                shared.update_birth(key, reservation.birth);
                Asked::Room(Reserved {
                    shared: Rc::clone(shared),
                    address: replica.address,
                    replica: replica.id,
                    id: reservation.id,
                    used: false,
                })
            }
            Err(error) => Asked::Failed(error.to_string()),
        },
        Ok(_) => Asked::NoRoom,
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if self.used {
            return;
        }
        let shared = Rc::clone(&self.shared);
        let call = Call {
            to: self.address,
            replica: self.replica.clone(),
            method: Method::DELETE,
            path: wire::unreserve_path(&self.id),
            body: Vec::new(),
        };
        tokio::task::spawn_local(async move {
            let replica = call.replica.clone();
            let given = ask::call(&shared, call).await;
            if !given.is_ok_and(|answer| answer.status == StatusCode::OK) {
                log::info!(kind = "reserve", replica = replica; "a reservation could not be given back; it lapses");
            }
        });
    }
}
