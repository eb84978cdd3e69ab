//! Callers of streams whose connection breaks on their side.

use std::io::Read;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::Cluster;
use crate::common::caller::Caller;
use crate::customer::Customer;
use crate::customer::TOKEN_COUNTS;
use crate::history::Kind;
use crate::history::ResponseRecord;
use crate::history::STREAM_EVENTS;

/// Time limit of each request, sent as `Deadline-Ms`.
const TIMEOUT: Duration = Duration::from_secs(3);

/// A stream that its caller resumes.
#[derive(Debug, Clone, Copy)]
pub struct Begun<'a> {
    /// Id of the attempt that received its first event.
    pub id: &'a str,
    /// Software version that its events came from.
    pub version: &'a str,
    /// Id of the last event that the caller received.
    pub last_event: u64,
}

/// What a caller received.
#[derive(Debug, Default)]
pub struct Received {
    /// Status; 0 if there was no answer.
    pub status: u16,
    /// Software versions of the whole events.
    pub versions: Vec<String>,
    /// Whether the stream ended properly.
    pub is_complete: bool,
}

/// Sends a new stream and closes the connection after `events` events.
pub fn begin(cluster: &Cluster, daemon: usize, path: &str, id: &str, events: usize) -> Received {
    send(cluster, daemon, path, id, None, events)
}

/// Resumes a stream and reads it to its end; records events of another version.
pub fn resume(
    cluster: &Cluster,
    daemon: usize,
    path: &str,
    id: &str,
    begun: Begun<'_>,
) -> Received {
    let all = STREAM_EVENTS as usize + 1;
    let received = send(cluster, daemon, path, id, Some(begun), all);
    cluster.history.record_resumption(received.status);
    let mut versions = received.versions.iter();
    if let Some(version) = versions.find(|version| *version != begun.version) {
        cluster
            .history
            .record_joined_versions(id, begun.version, version);
    }
    received
}

fn send(
    cluster: &Cluster,
    daemon: usize,
    path: &str,
    id: &str,
    begun: Option<Begun<'_>>,
    events: usize,
) -> Received {
    let start = Instant::now();
    let timeout = TIMEOUT.as_millis().to_string();
    let last_event = begun.map_or(0, |begun| begun.last_event);
    let last_event_text = last_event.to_string();
    let mut headers = vec![
        ("Request-Id", id),
        ("Deadline-Ms", &timeout),
        ("Token-Counts", TOKEN_COUNTS),
        ("X-Api-Key", Customer::Unlimited.key()),
    ];
    if let Some(begun) = begun {
        headers.extend([
            ("Last-Event-Id", last_event_text.as_str()),
            ("Resumes", begun.id),
        ]);
    }
    let instance = &cluster.instances[daemon];
    let Ok(mut caller) = Caller::new(instance.callers) else {
        return Received::default();
    };
    caller.start_request(&format!("POST {path}"), &headers, b"");
    let (status, body, complete) = read_events(&mut caller, events);
    drop(caller);
    let record = ResponseRecord {
        kind: Kind::Resumable,
        status,
        complete,
        body: body.clone(),
        first_event: last_event + 1,
        elapsed_and_limit: (start.elapsed(), TIMEOUT),
        disturbed: instance.was_disturbed_since(start),
    };
    cluster.history.record_response(id, record);
    Received {
        status,
        versions: versions(&body),
        is_complete: status == 200 && complete,
    }
}

/// Reads an answer until it has brought `events` events; returns its status, its body without chunk framing, and whether
/// it ended properly.
fn read_events(caller: &mut Caller, events: usize) -> (u16, String, bool) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4 * 1024];
    loop {
        let (status, body, is_complete) = decode(&bytes);
        if is_complete || body.matches("\n\n").count() >= events {
            return (status, body, is_complete);
        }
        match caller.socket.read(&mut buffer) {
            Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
            Ok(0) | Err(_) => return (status, body, false),
        }
    }
}

/// Status, body and end of an answer of which `bytes` have arrived; 0 without a whole head.
fn decode(bytes: &[u8]) -> (u16, String, bool) {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, mut rest)) = text.split_once("\r\n\r\n") else {
        return (0, String::new(), false);
    };
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.unwrap_or(0);
    if !head.contains("transfer-encoding: chunked") {
        let length = head.split_once("content-length: ");
        let length = length.and_then(|(_, text)| text.split("\r\n").next()?.parse().ok());
        return (status, rest.to_owned(), length == Some(rest.len()));
    }
    let mut body = String::new();
    while let Some((size, data)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or(usize::MAX);
        let Some(chunk) = data.get(..size) else { break };
        if size == 0 {
            return (status, body, true);
        }
        body.push_str(chunk);
        rest = data.get(size + 2..).unwrap_or_default();
    }
    (status, body, false)
}

/// The software versions of the whole events in `body`.
pub fn versions(body: &str) -> Vec<String> {
    let whole = body.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let words = whole
        .split("\n\n")
        .filter_map(|event| event.rsplit(' ').next());
    let versions = words.filter(|word| word.starts_with('v'));
    versions.map(str::to_owned).collect()
}
