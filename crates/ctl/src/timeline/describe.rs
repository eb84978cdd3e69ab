//! Describes log lines in words.

use serde_json::Value;

/// The version of a replica's software in parentheses; empty in lines that do not name it.
fn describe_version(software: &Value) -> String {
    let named = software.as_str().filter(|version| !version.is_empty());
    named.map_or_else(String::new, |version| format!(" (version {version})"))
}

/// The shared parts of a prompt; empty in lines that do not name any.
fn describe_parts(parts: &Value) -> String {
    let named = parts.as_str().filter(|parts| !parts.is_empty());
    named.map_or_else(String::new, |parts| format!(", prompt parts {parts}"))
}

/// Describes a line of this `kind`.
pub(super) fn describe_line(kind: &str, line: &Value) -> String {
    let text = |name: &str| match &line[name] {
        Value::String(text) => text.clone(),
        Value::Null => "?".to_owned(),
        other => other.to_string(),
    };
    match kind {
        "send" => format!(
            "sent to {}{} to {}{}{} ({} of this daemon's requests in progress there, replica list {}, plan {}, {} ms left)",
            text("replica"),
            describe_version(&line["software"]),
            describe_task(&text("task")),
            describe_cache(&text("cache")),
            describe_parts(&line["parts"]),
            text("in_flight"),
            text("replicas"),
            text("plan"),
            text("left_ms")
        ),
        "resumption" | "begin" => describe_resumption(kind, &text),
        "quota" => describe_quota(line, &text),
        "read" => format!(
            "the prefill was finished after {} ms{}",
            text("ms"),
            describe_cache(&text("cache"))
        ),
        "first" => format!(
            "the first event was sent to the caller after {} ms",
            text("ms")
        ),
        "reserve" if !line["cause"].is_null() => format!(
            "a decode replica did not answer a reservation: {}",
            text("cause")
        ),
        "reserve" => format!(
            "no decode replica had room for {} tokens in {} rounds",
            text("tokens"),
            text("rounds")
        ),
        "retry" if text("granted") == "true" => format!(
            "a retry was granted ({} were left, shared by {} daemons)",
            text("left"),
            text("sharers")
        ),
        "retry" => format!(
            "no retry was left ({} for this daemon, shared by {})",
            text("left"),
            text("sharers")
        ),
        "failure" => format!(
            "{} failed: {} (outcome {}, status {})",
            text("replica"),
            text("cause"),
            text("outcome"),
            text("status")
        ),
        "silence" => format!(
            "{} has sent nothing for {} ms; probed on another connection, it {}",
            text("replica"),
            text("ms"),
            if text("answers") == "true" {
                "answers"
            } else {
                "does not answer"
            }
        ),
        "gap" => format!(
            "no event came from {} for {} ms, after {} events",
            text("replica"),
            text("ms"),
            text("events")
        ),
        "move" if text("stopped") == "true" => format!(
            "the run moved from {}, {}, to {} after {} events{}",
            text("replica"),
            describe_reason(line),
            text("to"),
            text("events"),
            if text("copied") == "true" {
                ""
            } else {
                "; its KV cache could not be copied"
            }
        ),
        "move" => format!(
            "the run could not be moved from {} to {}: {}",
            text("replica"),
            text("to"),
            text("cause")
        ),
        "handoff" => describe_handoff(line, &text),
        "pace" => describe_pace(line, &text),
        "pause" | "stop" | "evacuation" | "overload" => describe_surroundings(kind, &text),
        "end" => format!(
            "END: {}{}",
            describe_end(&text("outcome"), &text),
            describe_standing(line)
        ),
        _ => text("text"),
    }
}

/// Describes a line about the daemon instead of the request.
fn describe_surroundings(kind: &str, text: &impl Fn(&str) -> String) -> String {
    match kind {
        "pause" => format!("(the process did not run for {} ms)", text("ms")),
        "stop" => format!("(the daemon is {})", text("text")),
        "evacuation" => format!(
            "(the evacuation of {} {})",
            text("evacuated_data_centre"),
            if text("begins") == "true" {
                "begins"
            } else {
                "ends"
            }
        ),
        _ => "(an instance of the data centre was overloaded)".to_owned(),
    }
}

/// Describes what came of handing a request to a peer, or of serving one for a peer.
fn describe_handoff(line: &Value, text: &impl Fn(&str) -> String) -> String {
    match line {
        line if !line["origin"].is_null() => format!(
            "served for {}: {}",
            text("origin"),
            describe_end(&text("outcome"), text)
        ),
        line if !line["asked"].is_null() => format!(
            "none of {} peers took it, {} of them do not reach the replicas",
            text("asked"),
            text("unreachable")
        ),
        line if !line["cause"].is_null() => format!(
            "the peer {} was lost while it served the request: {}",
            text("peer"),
            text("cause")
        ),
        _ => format!(
            "no connection to the replicas could be opened; the peer {} answers after {} ms",
            text("peer"),
            text("ms")
        ),
    }
}

/// Describes that a caller resumes a stream, or which software version began it.
fn describe_resumption(kind: &str, text: &impl Fn(&str) -> String) -> String {
    match text("source").as_str() {
        _ if kind == "resumption" => format!(
            "the caller resumes the stream of its attempt {} after event {}",
            text("resumes"),
            text("last_event")
        ),
        "unknown" => "nobody knows which software version began the stream".to_owned(),
        source => format!(
            "the stream was begun by version {} ({source})",
            text("software")
        ),
    }
}

/// Describes the decision on a quota request and names the keeper that made it.
fn describe_quota(line: &Value, text: &impl Fn(&str) -> String) -> String {
    let demand = format!(
        "quota of {}: {} units requested",
        text("customer"),
        text("units")
    );
    let decision = text("decision");
    match line["keeper"].as_str() {
        None | Some("") => format!("{demand}; no keeper replied"),
        Some(keeper) => format!(
            "{demand}; {keeper} replied after {} ms: {decision}, {} units left{}{}",
            text("ms"),
            text("left"),
            describe_reserve(line),
            describe_standing(line)
        ),
    }
}

/// The units left to requests that go first, and the return time; empty in lines without them.
fn describe_reserve(line: &Value) -> String {
    let positive = |name: &str| line[name].as_f64().filter(|value| *value > 0.0);
    let ahead = positive("ahead").map_or_else(String::new, |units| {
        format!(", {units} units reserved for more urgent requests")
    });
    let told = positive("come_back_ms")
        .map_or_else(String::new, |ms| format!(", to come back after {ms} ms"));
    ahead + &told
}

/// Rank, whether it was refused before, and the return time; empty in lines without them.
fn describe_standing(line: &Value) -> String {
    let rank = line["rank"].as_u64().map(|rank| format!("rank {rank}"));
    let returned = line["returned"] == "true";
    let returned = returned.then(|| "refused before".to_owned());
    let told = line["retry_after_ms"].as_u64().filter(|ms| *ms > 0);
    let told = told.map(|ms| format!("told to come back after {ms} ms"));
    let known: Vec<String> = [rank, returned, told].into_iter().flatten().collect();
    if known.is_empty() {
        return String::new();
    }
    format!(" ({})", known.join(", "))
}

/// Describes the speed that a daemon knows of a replica; older lines may lack fields.
fn describe_pace(line: &Value, text: &impl Fn(&str) -> String) -> String {
    let speed = line["us_per_token"].as_f64();
    let speed = speed.map_or_else(|| "?".to_owned(), |us| format!("{us:.0}"));
    format!(
        "(the replica {} takes {speed} microseconds for a token, source {})",
        text("replica"),
        text("source")
    )
}

/// Why a run is moved.
fn describe_reason(line: &Value) -> &str {
    let reason = line["reason"].as_str().filter(|reason| !reason.is_empty());
    reason.unwrap_or("whose memory was nearly full")
}

/// Names the KV cache of a line; empty if the line has none.
fn describe_cache(name: &str) -> String {
    match name {
        "" | "?" => String::new(),
        name => format!(" (KV cache {name})"),
    }
}

fn describe_task(word: &str) -> &str {
    match word {
        "prefill" => "prefill the prompt",
        "decode" => "decode after a prefill on another replica",
        "resume" => "resume after the last event",
        _ => "answer",
    }
}

fn describe_end(outcome: &str, text: &impl Fn(&str) -> String) -> String {
    let after = format!("after {} ms", text("ms"));
    match outcome {
        "answered" => format!("answered with {} {after}", text("status")),
        "failed" => format!(
            "the replica's failure {} was forwarded {after}; it ran",
            text("status")
        ),
        "refused" => format!("refused, it has not run: {}", text("cause")),
        "beyond-quota" => format!(
            "refused with {}, it has not run: {}",
            text("status"),
            text("cause")
        ),
        "rejected" => format!("rejected with {}: {}", text("status"), text("cause")),
        "unknown" => format!(
            "outcome unknown, it may have run: {} ({after})",
            text("cause")
        ),
        "overdue" => format!("timed out, it may have run: {} ({after})", text("cause")),
        "broken" => format!("the stream was broken off: {} ({after})", text("cause")),
        "caller-left" => format!("the caller left {after}"),
        other => format!("{other}: {}", text("cause")),
    }
}
