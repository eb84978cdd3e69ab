//! Keys that name another run: which answer of that run is forwarded to the caller.

mod harness;

use bytes::Bytes;
use fleet::member::Member;
use ident::Incarnation;
use ident::Instance;
use ident::Zone;
use node::action::CallerMessage;
use node::event::Event;
use node::ids::CallId;
use node::request::Request;
use wire::Body;
use wire::KeyStatus;

use crate::harness::Harness;

const CALL: CallId = CallId(1);
const RUNNER: Incarnation = Incarnation(0x5b1d_03c7_9e62_a8f4);
const EARLIER: Incarnation = Incarnation(0x2a90_77e1_c3d8_5b16);

fn runner() -> Member {
    Member::new(Instance::new("entry-2"), RUNNER, 1, Zone::new("osijek-a"))
}

/// Sends a request whose key ends in `name`; returns the nonce of the lookup at the runner.
fn look_up_key(harness: &mut Harness, name: &str) -> u64 {
    harness.add_peer(&runner());
    let request = Request {
        key: Some(format!("{}{name}", harness::prefix(RUNNER))),
        ..harness::request()
    };
    harness.feed(Event::Arrived {
        call: CALL,
        request,
    });
    let nonce = harness.sent.iter().rev().find_map(|(to, body)| match body {
        Body::Ask { nonce, .. } if *to == runner().instance => Some(*nonce),
        _ => None,
    });
    nonce.expect("a lookup at the runner")
}

fn answer_frame(nonce: u64, body: &'static str) -> Body {
    let told = KeyStatus::Answered {
        status: 200,
        body: Some(Bytes::from_static(body.as_bytes())),
    };
    Body::Told { nonce, told }
}

fn bodies(harness: &Harness) -> Vec<Bytes> {
    let responses = harness
        .responses
        .iter()
        .filter_map(|(_, message)| match message {
            CallerMessage::Answer { body, .. } => Some(body.clone()),
            _ => None,
        });
    responses.collect()
}

/// A daemon looks up a key at its runner and restarts while that request is in progress. The new
/// run looks up a key of another caller at the same runner. If both runs numbered their lookups
/// from one, the late answer to the first would match the second, and a caller would receive the
/// answer of another.
#[test]
fn an_answer_to_an_earlier_run_is_discarded() {
    let mut earlier = Harness::with_incarnation(EARLIER);
    let late = look_up_key(&mut earlier, "feed-plan");
    let mut harness = Harness::new();
    let own = look_up_key(&mut harness, "herd-list");
    harness.receive_frame(&runner(), answer_frame(late, "the feed plan"));
    assert_eq!(bodies(&harness), Vec::<Bytes>::new());
    harness.receive_frame(&runner(), answer_frame(own, "the herd list"));
    assert_eq!(bodies(&harness), ["the herd list"]);
}
