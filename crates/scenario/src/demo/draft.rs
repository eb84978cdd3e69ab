//! Streamed drafts of the language model.

use crate::address::Addresses;
use crate::caller::Caller;
use crate::demo::MODEL;
use crate::demo::output;
use crate::demo::report::Report;
use crate::error::Error;
use crate::requests::Completion;
use crate::stream::Event;
use crate::stream::Stream;

/// Unique part of the first draft's key.
pub(super) const FIRST: &str = "draft-1";
const MAX_TOKENS: u32 = 24;

/// Text of a stream and its last event.
#[derive(Debug)]
pub(super) struct ReadResult {
    pub(super) text: String,
    pub(super) end: Event,
}

/// Sends one draft through each address and repeats the first one.
pub(super) async fn run(
    caller: &Caller,
    addresses: &Addresses,
    report: &mut Report,
) -> Result<(), Error> {
    output::title("Drafts: streamed completions, one through each instance");
    for (number, address) in (1..).zip(&addresses.addresses) {
        let prompt = prompt(number);
        let completion = Completion::new(MODEL, &prompt, MAX_TOKENS)
            .with_key(&address.key(&format!("draft-{number}")));
        let mut stream = caller
            .complete(&address.address, &completion)
            .await?
            .stream()?;
        output::print(&format!("   {}:", address.instance));
        let read = read_tokens(&mut stream, u64::MAX).await;
        output::print("\n");
        let whole = is_complete(&prompt, MAX_TOKENS, &read);
        report.check(&format!("draft {number} is whole and in order"), whole);
    }
    repeat(caller, addresses, report).await
}

/// Repeats the first draft at the last address with the same key.
async fn repeat(caller: &Caller, addresses: &Addresses, report: &mut Report) -> Result<(), Error> {
    let Some(last) = addresses.addresses.last() else {
        return Ok(());
    };
    output::title("Repeat: the key of draft 1 again, at another instance");
    let prompt = prompt(1);
    let completion = Completion::new(MODEL, &prompt, MAX_TOKENS).with_key(&addresses.key(0, FIRST));
    let mut stream = caller
        .complete(&last.address, &completion)
        .await?
        .stream()?;
    output::print(&format!("   {}:", last.instance));
    let read = read_tokens(&mut stream, u64::MAX).await;
    output::print("\n");
    report.check(
        "the repeat gives the same whole answer",
        is_complete(&prompt, MAX_TOKENS, &read),
    );
    Ok(())
}

/// Reads and prints up to `most` tokens.
pub(super) async fn read_tokens(stream: &mut Stream, most: u64) -> ReadResult {
    let mut text = String::new();
    loop {
        match stream.next().await {
            Event::Head(_) => {}
            Event::Tokens(tokens) => {
                output::print(&tokens.text);
                text.push_str(&tokens.text);
            }
            end => return ReadResult { text, end },
        }
        if stream.offset() >= most {
            return ReadResult {
                text,
                end: Event::Cut,
            };
        }
    }
}

/// Returns whether `read` is the complete answer to `prompt`.
pub(super) fn is_complete(prompt: &str, max_tokens: u32, read: &ReadResult) -> bool {
    let expected = fake::text::expected(prompt, max_tokens as usize);
    read.end == Event::Done(expected.len() as u64) && read.text == expected.concat()
}

fn prompt(number: u32) -> String {
    format!("Draft a reorder for farm {number}: sow unit, 240 animals, last delivery 12 t.")
}
