//! Requests and engines for the tests of the model engine stand-in.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use engine::Claim;
use engine::Stream;
use engine::decode;
use engine::prefill;
use engine::stream::Event;
use fake::engine::Role;
use fake::engine::Settings;
use fake::text;
use ident::Handle;
use ident::Incarnation;

/// Any free port of the loopback address.
pub const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Owner of all attempts.
pub const OWNER: Incarnation = Incarnation(7);
/// Prompt of all attempts.
pub const PROMPT: &str = "reorder for the sow unit at Vinkovci";
/// Maximum number of tokens of the answer.
pub const MAX_TOKENS: u32 = 40;

/// Returns the settings of a fast engine.
pub fn settings(role: Role) -> Settings {
    Settings {
        role,
        prefill_fixed: Duration::from_millis(5),
        decode_base: Duration::from_millis(2),
        decode_each: Duration::from_micros(100),
        event_gap: 0.0,
        event_lag: Duration::from_millis(50),
        ..Settings::default()
    }
}

/// Starts a fast engine.
pub async fn start(role: Role) -> SocketAddr {
    fake::engine::start(settings(role), ANY).await.unwrap()
}

/// Returns a claim of [`OWNER`].
pub fn claim(sequence: u64, fence: u64) -> Claim {
    Claim::new(Handle::new(OWNER, sequence), OWNER, fence)
}

/// Returns a prefill of 400 tokens in ten blocks.
pub fn prefill(claim: Claim) -> prefill::Request {
    prefill::Request {
        claim,
        prompt: PROMPT.to_owned(),
        generated: Vec::new(),
        prompt_tokens: 400,
        max_tokens: MAX_TOKENS,
        priority: 0,
        blocks: (1..=10).collect(),
    }
}

/// Returns a decode that starts at token `offset`.
pub fn decode(claim: Claim, source: SocketAddr, offset: u32) -> decode::Request {
    decode::Request {
        claim,
        source,
        max_tokens: MAX_TOKENS,
        priority: 0,
        offset,
    }
}

/// Reads a stream to its end and checks that its tokens are in order from `offset` on.
pub async fn read_to_end(stream: &mut Stream, offset: u32) -> (Vec<String>, Event) {
    let mut tokens = Vec::new();
    loop {
        match stream.next().await.unwrap().unwrap() {
            Event::Imported => {}
            Event::Tokens { offset: at, text } => {
                assert_eq!(at, offset + tokens.len() as u32);
                tokens.push(text);
            }
            last => return (tokens, last),
        }
    }
}

/// Returns the complete answer.
pub fn expected_answer() -> Vec<String> {
    text::expected(PROMPT, MAX_TOKENS as usize)
}
