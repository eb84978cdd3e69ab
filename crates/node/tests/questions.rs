//! Keys that name another run: whose answer a caller is told.

mod one;

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

use crate::one::One;

const CALL: CallId = CallId(1);
const RUNNER: Incarnation = Incarnation(0x5b1d_03c7_9e62_a8f4);
const EARLIER: Incarnation = Incarnation(0x2a90_77e1_c3d8_5b16);

fn runner() -> Member {
    Member::new(Instance::new("entry-2"), RUNNER, 1, Zone::new("osijek-a"))
}

/// Has a caller repeat the key that ends in `name` to `one`; the number of its question to the
/// runner.
fn ask(one: &mut One, name: &str) -> u64 {
    one.join(&runner());
    let request = Request {
        key: Some(format!("{}{name}", one::prefix(RUNNER))),
        ..one::request()
    };
    one.feed(Event::Arrived {
        call: CALL,
        request,
    });
    let asked = one.sent.iter().rev().find_map(|(to, body)| match body {
        Body::Ask { nonce, .. } if *to == runner().instance => Some(*nonce),
        _ => None,
    });
    asked.expect("the runner is asked")
}

fn answered(nonce: u64, body: &'static str) -> Body {
    let told = KeyStatus::Answered {
        status: 200,
        body: Some(Bytes::from_static(body.as_bytes())),
    };
    Body::Told { nonce, told }
}

fn bodies(one: &One) -> Vec<Bytes> {
    let told = one.tells.iter().filter_map(|(_, tell)| match tell {
        CallerMessage::Answer { body, .. } => Some(body.clone()),
        _ => None,
    });
    told.collect()
}

/// A daemon asked the runner of a key what became of it, and was told to wait. It was started
/// again, and asked the same runner about a key of another caller. Each run numbered its
/// questions from one, so the answer to the earlier question, sent when that request ended, passed
/// for the answer to the later one: the caller got the text of somebody else.
#[test]
fn an_answer_to_an_earlier_run_is_told_to_nobody() {
    let mut earlier = One::with_incarnation(EARLIER);
    let late = ask(&mut earlier, "feed-plan");
    let mut one = One::new();
    let own = ask(&mut one, "herd-list");
    one.hear(&runner(), answered(late, "the feed plan"));
    assert_eq!(bodies(&one), Vec::<Bytes>::new());
    one.hear(&runner(), answered(own, "the herd list"));
    assert_eq!(bodies(&one), ["the herd list"]);
}
