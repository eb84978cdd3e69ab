//! Replicas answered some requests twice. The second answer came late, on the same connection, where the answer to the
//! next request was due, and callers were given what belonged to somebody else: the daemon compared the id in the
//! answers that it passed on, but took the answer to a prefill as it came. The next generation then went on from the KV
//! cache of the one before. The log told it only where both lines stood side by side: `the prompt is read` for the second
//! request 1 ms after it was sent, and the handle in its `Kv-Source` was the one that the first had used up.

use serde_json::json;

use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Act;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::generate;

fn id(request: &Message) -> &str {
    request.header("request-id").unwrap_or_default()
}

/// A replica that reads prompts; it names the KV cache after the request, and itself in no answer but these.
fn reader() -> Replica {
    Replica::start("i-p", |request| {
        let told = json!({"kv-handle": format!("k-{}", id(request)), "tokens": 1460, "version": 1});
        let headers = [
            ("request-id", id(request)),
            ("content-type", "application/json"),
        ];
        Act::Send(answer(200, &headers, told.to_string().as_bytes()))
    })
}

fn writer(name: &str) -> Replica {
    Replica::start(name, |request| {
        Act::Send([stream_head(request), events(1, 5), chunk(b"")].concat())
    })
}

/// Each request that a decode replica ran, with the KV cache that it went on from, if there was one.
fn sources(decode: &Replica) -> Vec<(String, Option<String>)> {
    let seen = decode.seen().into_iter();
    let source = |request: &Message| {
        let (_, handle) = request.header("kv-source")?.rsplit_once('/')?;
        Some(handle.to_owned())
    };
    seen.map(|request| (id(&request).to_owned(), source(&request)))
        .collect()
}

#[test]
fn a_generation_goes_on_from_its_own_prompt_where_prefills_are_answered_twice() {
    let prefill = reader();
    prefill.set_stutter(|_| true);
    let decode = writer("i-d");
    let site = Site::staged("read-twice", &prefill, &[&decode]);
    for number in 0..6 {
        let told = generate(&site.daemon, "/resume/1", &format!("a{number}")).read();
        assert!(told.whole, "{}", told.line);
    }
    assert!(prefill.second_answers() > 0);
    for (id, source) in sources(&decode) {
        assert!(
            source
                .as_ref()
                .is_none_or(|handle| *handle == format!("k-{id}")),
            "{id} went on from {source:?}"
        );
    }
}
