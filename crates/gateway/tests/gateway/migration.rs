//! Migration of runs to another replica before the KV cache memory of their replica is full.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;

use crate::common::caller::Caller;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::not_run_answer;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::config;
use crate::site::start_generation;

/// Events of a complete answer.
const EVENT_COUNT: u64 = 40;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// Orders to stop a run in one attempt to move it.
const LOST_STOPS: usize = 2;

/// How the source replica answers a move request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveResponse {
    /// The run is stopped and its KV cache can be copied.
    Copied,
    /// The run is stopped, but its KV cache cannot be copied.
    OnlyStopped,
    /// There is no such run.
    Unknown,
    /// Refused; the replica asks for no requests while the runs last.
    Backoff,
    /// The run is stopped and the first answer is lost; a second request is answered.
    LostOnce,
    /// The run is stopped, and all answers are lost.
    Lost,
    /// Like `Lost`, for a stream with neither chunks nor a length.
    LostWithoutLength,
    /// Like `LostWithoutLength` for the first request; later ones get this status and no KV cache handle.
    LostThen(u16),
    /// The replica is silent for a while; then it stops the run, and answers.
    Silent(Duration),
    /// The run goes on, and no answer says whether it was copied.
    NoCopy,
    /// The first orders to stop are lost on their way; later ones are carried out.
    LostBefore,
}

/// A replica that streams events until it receives a move request for the run.
struct SourceReplica {
    replica: Replica,
    moves: Arc<Mutex<Vec<Value>>>,
    /// Number of continuations that it still refuses.
    refusals: Arc<AtomicUsize>,
    /// Number of orders to free a KV cache.
    frees: Arc<AtomicUsize>,
}

/// Parts of a stream that continues after the event `after`.
fn parts(request: &Message, after: u64) -> Vec<Vec<u8>> {
    let mut parts = vec![stream_head(request)];
    parts.extend((after + 1..=EVENT_COUNT).map(|id| events(id, id)));
    parts.push(chunk(b""));
    parts
}

/// Parts of a stream without chunks that ends with its connection.
fn parts_without_length(request: &Message) -> Vec<Vec<u8>> {
    let head = String::from_utf8(stream_head(request)).unwrap();
    let mut parts = vec![
        head.replace("transfer-encoding: chunked\r\n", "")
            .into_bytes(),
    ];
    parts.extend((1..=EVENT_COUNT).map(|id| format!("id: {id}\ndata: t{id}\n\n").into_bytes()));
    parts
}

fn last_event(request: &Message) -> u64 {
    let last = request.header("last-event-id");
    last.map_or(0, |last| last.parse().unwrap())
}

impl SourceReplica {
    fn start(move_response: MoveResponse) -> Self {
        let moves: Arc<Mutex<Vec<Value>>> = Arc::default();
        let stop_flags: Arc<Mutex<HashMap<String, Arc<AtomicBool>>>> = Arc::default();
        let own_moves = Arc::clone(&moves);
        let refusals: Arc<AtomicUsize> = Arc::default();
        let own_refusals = Arc::clone(&refusals);
        let frees: Arc<AtomicUsize> = Arc::default();
        let own_frees = Arc::clone(&frees);
        let replica = Replica::start("i-1", move |request| match request.path() {
            "/api/kv-move" => {
                let move_request: Value = serde_json::from_slice(&request.body).unwrap();
                let id = move_request["id"].as_str().unwrap().to_owned();
                let mut received = own_moves.lock().unwrap();
                let is_stop = move_request["last"] == true;
                received.push(move_request);
                let body = br#"{"kv-handle":"m1","created":5}"#;
                match move_response {
                    MoveResponse::Unknown => return Action::Send(answer(404, &[], b"{}")),
                    MoveResponse::Backoff => {
                        return Action::Send(answer(503, &[("retry-after", "9")], b"{}"));
                    }
                    _ => {}
                }
                if !is_stop && move_response == MoveResponse::NoCopy {
                    return Action::SendAndClose(Vec::new());
                }
                if !is_stop {
                    return Action::Send(answer(200, &[], body));
                }
                if let MoveResponse::Silent(silence) = move_response {
                    drop(received);
                    thread::sleep(silence);
                    received = own_moves.lock().unwrap();
                }
                let stops = received.iter().filter(|m| m["last"] == true).count();
                if move_response == MoveResponse::LostBefore && stops <= LOST_STOPS {
                    return Action::SendAndClose(Vec::new());
                }
                if let Some(stop) = stop_flags.lock().unwrap().get(&id) {
                    stop.store(true, Ordering::SeqCst);
                }
                match move_response {
                    MoveResponse::OnlyStopped => Action::Send(answer(503, &[], body)),
                    MoveResponse::Lost | MoveResponse::LostWithoutLength => {
                        Action::SendAndClose(Vec::new())
                    }
                    MoveResponse::LostOnce | MoveResponse::LostThen(_) if stops == 1 => {
                        Action::SendAndClose(Vec::new())
                    }
                    MoveResponse::LostThen(status) => Action::Send(answer(status, &[], b"{}")),
                    _ => Action::Send(answer(200, &[], body)),
                }
            }
            path if path.starts_with("/api/kv-handle/") => {
                own_frees.fetch_add(1, Ordering::SeqCst);
                Action::Send(answer(200, &[], b"{}"))
            }
            path if path.starts_with("/api/") => Action::Send(answer(200, &[], b"{}")),
            _ if request.header("kv-source").is_some() && takes_one(&own_refusals) => {
                Action::Send(not_run_answer(request))
            }
            _ => {
                let stop = Arc::new(AtomicBool::new(false));
                let id = request.header("request-id").unwrap().to_owned();
                stop_flags.lock().unwrap().insert(id, Arc::clone(&stop));
                let parts = match move_response {
                    MoveResponse::LostWithoutLength | MoveResponse::LostThen(_) => {
                        parts_without_length(request)
                    }
                    _ => parts(request, last_event(request)),
                };
                Action::SendUntilStopped(parts, EVENT_INTERVAL, stop)
            }
        });
        Self {
            replica,
            moves,
            refusals,
            frees,
        }
    }

    /// Refuses the next `count` requests that continue from a KV cache.
    fn refuse_continuations(&self, count: usize) {
        self.refusals.store(count, Ordering::SeqCst);
    }

    /// Requests that continue from a KV cache.
    fn continued(&self) -> Vec<Message> {
        continued(&self.replica)
    }

    /// Requests to stop a run and to move it.
    fn moves(&self) -> Vec<Value> {
        let received = self.moves.lock().unwrap();
        received
            .iter()
            .filter(|m| m["last"] == true)
            .cloned()
            .collect()
    }

    /// Requests to copy a run that goes on.
    fn copies(&self) -> Vec<Value> {
        let received = self.moves.lock().unwrap();
        received
            .iter()
            .filter(|m| m["last"] == false)
            .cloned()
            .collect()
    }
}

/// Counts down; returns `false` at zero.
fn takes_one(count: &AtomicUsize) -> bool {
    let taken = count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
        left.checked_sub(1)
    });
    taken.is_ok()
}

fn continued(replica: &Replica) -> Vec<Message> {
    let received = replica.requests().into_iter();
    received
        .filter(|request| request.header("kv-source").is_some())
        .collect()
}

/// Starts the replica that a run migrates to.
fn start_target() -> Replica {
    Replica::start("i-2", |request| {
        Action::SendSlowly(parts(request, last_event(request)), EVENT_INTERVAL)
    })
}

/// Starts a site whose replicas have KV cache memory for the prompts of two runs and about half of their output.
fn start_site(name: &str, source: &SourceReplica) -> Site {
    start_site_with_priority(name, source, 1)
}

/// The same with this priority of the route `draft`; that of all others is 1. Replicas are told if they
/// differ.
fn start_site_with_priority(name: &str, source: &SourceReplica, priority: u8) -> Site {
    let replicas = [(&source.replica, "llm", "decode")];
    let settings = match priority {
        1 => "",
        _ => "placing: {ranks: true}\n",
    };
    let site = Site::start_with_settings(name, &config(1), &replicas, settings);
    let mut small = config(2);
    small["routes"][2]["priority"] = priority.into();
    let engine = &mut small["services"][1]["engine"];
    engine["kv-tokens"] = 6_000.into();
    engine["moves"] = true.into();
    engine["stride"] = 70.into();
    site.store.put("op", "config", &small);
    wait_until("the plan is in force", || {
        let plans = site.daemon.logged("\"kind\":\"plan\"");
        plans.iter().any(|line| line.contains("\"version\":2"))
    });
    site
}

/// Starts two generations at the source replica, and lists `target` once both have started.
fn start_two_runs(
    site: &Site,
    source: &SourceReplica,
    target: &Replica,
    path: &str,
) -> (Caller, Caller) {
    let older = start_generation(&site.daemon, path, "a1");
    wait_until("the first run starts", || {
        !site.daemon.logged("\"kind\":\"first\"").is_empty()
    });
    let newer = start_generation(&site.daemon, path, "a2");
    wait_until("both runs have started", || {
        let received = source.replica.requests().into_iter();
        received.filter(|request| request.body == b"prompt").count() == 2
    });
    let row = target.row("llm", "decode");
    site.store.put("servers", &target.id, &row);
    (older, newer)
}

fn event_texts() -> String {
    let texts = (1..=EVENT_COUNT).map(|id| format!("id: {id}\ndata: t{id}\n\n"));
    texts.collect()
}

/// Checks that the answer contains every event once, in order.
fn assert_complete(caller: &mut Caller) {
    let response = caller.read();
    assert!(
        response.complete,
        "{}",
        String::from_utf8_lossy(&response.body)
    );
    assert_eq!(String::from_utf8_lossy(&response.body), event_texts());
}

/// Checks that of both answers.
fn assert_both_complete(callers: (Caller, Caller)) {
    for mut caller in [callers.0, callers.1] {
        assert_complete(&mut caller);
    }
}

#[test]
fn the_newer_run_migrates_to_the_replica_with_room() {
    let source = SourceReplica::start(MoveResponse::Copied);
    let target = start_target();
    let site = start_site("moved", &source);
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    let moves = source.moves();
    assert_eq!(moves.len(), 1);
    assert_eq!(moves[0]["id"], "a2");
    assert_eq!(moves[0]["to"], target.address.to_string());
    let continued = continued(&target);
    assert_eq!(continued.len(), 1);
    let handle = format!("{}/m1", source.replica.address);
    assert_eq!(continued[0].header("kv-source"), Some(handle.as_str()));
    assert!(last_event(&continued[0]) > 0);
}

/// Guards against a moved run that its new replica takes for more or less urgent than the old one did.
#[test]
fn a_moved_run_keeps_its_rank() {
    let source = SourceReplica::start(MoveResponse::Copied);
    let target = start_target();
    let site = start_site_with_priority("moved-rank", &source, 4);
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    let continued = continued(&target);
    assert_eq!(continued.len(), 1);
    assert_eq!(continued[0].header("request-priority"), Some("4"));
}

#[test]
fn a_run_whose_kv_cache_cannot_be_copied_continues_at_its_replica() {
    let source = SourceReplica::start(MoveResponse::OnlyStopped);
    let target = start_target();
    let site = start_site("not-copied", &source);
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    assert!(!source.continued().is_empty());
    assert!(continued(&target).is_empty());
}

#[test]
fn a_run_that_the_replica_does_not_know_is_not_migrated() {
    let source = SourceReplica::start(MoveResponse::Unknown);
    let target = start_target();
    let site = start_site("move-unknown", &source);
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    assert!(!source.copies().is_empty());
    assert!(source.moves().is_empty());
    assert!(continued(&target).is_empty());
    assert!(source.continued().is_empty());
}

/// Guards against asking for moves during the time for which a replica asked for no requests.
#[test]
fn a_replica_that_refuses_a_move_and_asks_for_no_requests_gets_no_other_move() {
    let source = SourceReplica::start(MoveResponse::Backoff);
    let target = start_target();
    let site = start_site("move-backoff", &source);
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    assert_eq!((source.copies().len(), source.moves().len()), (1, 0));
}

#[test]
fn a_move_is_requested_again_when_its_answer_is_lost() {
    let source = SourceReplica::start(MoveResponse::LostOnce);
    let target = start_target();
    let site = start_site("move-lost-once", &source);
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    assert_eq!(source.moves().len(), 2);
    assert_eq!(continued(&target).len(), 1);
}

/// The run is stopped, and no answer says so: it continues from the copy that was made before, without a new prefill.
#[rstest]
#[case::once_only("/draft/1")]
#[case::resumable("/resume/1")]
fn a_run_whose_move_is_lost_continues_from_its_copy(#[case] path: &str) {
    let source = SourceReplica::start(MoveResponse::Lost);
    let target = start_target();
    let site = start_site(&format!("move-lost{}", path.replace('/', "-")), &source);
    assert_both_complete(start_two_runs(&site, &source, &target, path));
    assert_eq!(continued(&target).len(), target.requests().len());
    assert_eq!(continued(&target).len(), 1);
}

/// The KV cache of a run has the same handle in each attempt to move it.
#[test]
fn a_second_move_keeps_the_copy_that_the_run_continues_from() {
    let source = SourceReplica::start(MoveResponse::LostBefore);
    let frees = Arc::clone(&source.frees);
    let target = Replica::start("i-2", move |request| {
        thread::sleep(Duration::from_millis(50));
        if frees.load(Ordering::SeqCst) > 0 {
            return Action::Send(not_run_answer(request));
        }
        Action::SendSlowly(parts(request, last_event(request)), EVENT_INTERVAL)
    });
    let site = start_site("move-twice", &source);
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    assert!(source.moves().len() > LOST_STOPS);
    assert_eq!(continued(&target).len(), 1);
    assert_eq!(source.frees.load(Ordering::SeqCst), 0);
}

/// A run is stopped only once the handle is known with which it can continue.
#[test]
fn a_run_whose_copy_has_no_answer_is_not_stopped() {
    let source = SourceReplica::start(MoveResponse::NoCopy);
    let target = start_target();
    let site = start_site("copy-lost", &source);
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    assert!(!source.copies().is_empty());
    assert!(source.moves().is_empty());
    assert!(target.requests().is_empty());
}

/// A stream without a length ends with its connection, and the connection of a stopped run is closed as well. The end of
/// the connection is not the end of the answer.
#[test]
fn a_stream_without_a_length_whose_move_is_lost_is_whole() {
    let source = SourceReplica::start(MoveResponse::LostWithoutLength);
    let target = start_target();
    let site = start_site("move-lost-unframed", &source);
    let (_older, mut newer) = start_two_runs(&site, &source, &target, "/draft/1");
    assert_complete(&mut newer);
    assert!(!source.moves().is_empty());
}

/// The first move request stops the run, and its answer is lost. The second one is refused: no such run any more (404),
/// the first request still in progress (409), or no room (503). None of these means that the run continues, so the end of
/// its connection is not the end of the answer.
#[rstest]
#[case::no_such_run(404)]
#[case::in_progress(409)]
#[case::no_room(503)]
fn a_stream_without_a_length_whose_second_move_is_refused_is_whole(#[case] status: u16) {
    let source = SourceReplica::start(MoveResponse::LostThen(status));
    let target = start_target();
    let site = start_site(&format!("move-lost-then-{status}"), &source);
    let (_older, mut newer) = start_two_runs(&site, &source, &target, "/draft/1");
    assert_complete(&mut newer);
    assert!(source.moves().len() >= 2, "{:?}", source.moves());
}

/// The same if no replica has the copy any more: what is missing must not look complete.
#[test]
fn a_stream_without_a_length_that_cannot_continue_does_not_look_complete() {
    let source = SourceReplica::start(MoveResponse::LostWithoutLength);
    source.refuse_continuations(usize::MAX);
    let target = Replica::start("i-2", |request| Action::Send(not_run_answer(request)));
    let site = start_site("move-lost-refused", &source);
    let (_older, mut newer) = start_two_runs(&site, &source, &target, "/draft/1");
    let response = newer.read();
    assert!(!source.moves().is_empty());
    assert_ne!(String::from_utf8_lossy(&response.body), event_texts());
    assert!(
        !response.complete,
        "{}",
        String::from_utf8_lossy(&response.body)
    );
}

/// A sound replica may be silent for a second. An order to stop a run that it carries out after that must not end the
/// answer.
#[rstest]
#[case::once_only("/draft/1")]
#[case::resumable("/resume/1")]
fn a_stopped_run_of_a_silent_replica_continues(#[case] path: &str) {
    let source = SourceReplica::start(MoveResponse::Silent(Duration::from_millis(1_200)));
    let target = start_target();
    let site = start_site(&format!("move-silent{}", path.replace('/', "-")), &source);
    assert_both_complete(start_two_runs(&site, &source, &target, path));
    assert!(!continued(&target).is_empty());
}

/// Both replicas refuse the continuation of a stopped run for a moment; its memory is kept for longer.
#[test]
fn a_stopped_run_that_no_replica_takes_at_first_continues() {
    let source = SourceReplica::start(MoveResponse::OnlyStopped);
    source.refuse_continuations(2);
    let target = start_target();
    let site = start_site("move-refused-at-first", &source);
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    assert!(source.continued().len() > 2);
}

/// A replica may take a continuation and lose the answer.
#[test]
fn a_stopped_run_whose_continuation_has_no_answer_is_resumed_elsewhere() {
    let source = SourceReplica::start(MoveResponse::Copied);
    let target = Replica::start("i-2", |_| Action::SendAndHang(Vec::new()));
    let site = start_site("move-unanswered", &source);
    let callers = start_two_runs(&site, &source, &target, "/resume/1");
    wait_until("a run is continued", || !continued(&target).is_empty());
    let other = Replica::start("i-3", |request| {
        Action::Send(parts(request, last_event(request)).concat())
    });
    let row = other.row("llm", "decode");
    site.store.put("servers", &other.id, &row);
    assert_both_complete(callers);
    wait_until("the continuation is given up", || {
        target.abandoned_count() == continued(&target).len()
    });
}

/// A sound replica may be silent for a second; no other one has room.
#[test]
fn a_continuation_that_is_answered_late_is_waited_for() {
    let source = SourceReplica::start(MoveResponse::Copied);
    let target = Replica::start("i-2", |request| {
        let answer = parts(request, last_event(request)).concat();
        Action::SendSlowly(vec![answer], Duration::from_millis(1_900))
    });
    let site = start_site("move-late-answer", &source);
    assert_both_complete(start_two_runs(&site, &source, &target, "/resume/1"));
    assert!(!continued(&target).is_empty());
}

/// The caller leaves while a replica is asked to continue its run.
#[test]
fn a_caller_that_leaves_during_a_continuation_is_logged_as_that() {
    let source = SourceReplica::start(MoveResponse::Copied);
    let target = Replica::start("i-2", |_| Action::SendAndHang(Vec::new()));
    let site = start_site("move-caller-left", &source);
    let (older, newer) = start_two_runs(&site, &source, &target, "/draft/1");
    wait_until("a run is continued", || !continued(&target).is_empty());
    let id = continued(&target)[0]
        .header("request-id")
        .unwrap()
        .to_owned();
    drop((older, newer));
    let lines = site.daemon.lines_about(&id);
    let ends = |line: &&String| line.contains("\"kind\":\"end\"");
    let end = lines.iter().find(ends).unwrap();
    assert!(end.contains("\"outcome\":\"caller-left\""), "{end}");
}

#[test]
fn a_run_continues_at_its_replica_if_the_other_one_refuses_it() {
    let source = SourceReplica::start(MoveResponse::Copied);
    let target = Replica::start("i-2", |request| Action::Send(not_run_answer(request)));
    let site = start_site("move-refused", &source);
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    assert!(!continued(&target).is_empty());
    assert!(!source.continued().is_empty());
}

#[test]
fn an_unused_kv_cache_is_released() {
    let source = SourceReplica::start(MoveResponse::Copied);
    // Accepts the request and sends nothing for a long time.
    let target = Replica::start("i-2", |request| {
        Action::SendSlowly(parts(request, last_event(request)), Duration::from_secs(3))
    });
    let site = start_site("move-left", &source);
    let (older, newer) = start_two_runs(&site, &source, &target, "/draft/1");
    wait_until("the run has migrated", || !continued(&target).is_empty());
    drop((older, newer));
    wait_until("the KV cache is released", || {
        let received = source.replica.requests();
        let is_release = |request: &Message| request.path() == "/api/kv-handle/m1";
        received.iter().any(is_release)
    });
}

#[test]
fn no_run_migrates_without_a_retry() {
    let source = SourceReplica::start(MoveResponse::Copied);
    let target = start_target();
    let site = start_site("move-no-retry", &source);
    site.change_settings("ratio: 0.2, slack: 50", "ratio: 0.0, slack: 0");
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    assert!(source.moves().is_empty());
}

#[test]
fn no_run_migrates_when_moves_are_disabled() {
    let source = SourceReplica::start(MoveResponse::Copied);
    let target = start_target();
    let site = start_site("move-off", &source);
    site.change_settings("grace_s:", "placing: {moves: false}\ngrace_s:");
    assert_both_complete(start_two_runs(&site, &source, &target, "/draft/1"));
    thread::sleep(EVENT_INTERVAL);
    assert!(source.moves().is_empty());
}
