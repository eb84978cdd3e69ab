//! Drafts of the language model, streamed.

use crate::address::Addresses;
use crate::ask::Ask;
use crate::caller::Caller;
use crate::demo::MODEL;
use crate::demo::report::Report;
use crate::demo::screen;
use crate::error::Error;
use crate::stream::Event;
use crate::stream::Stream;

/// The unique part of the first draft's key.
pub(super) const FIRST: &str = "draft-1";
const MAX_TOKENS: u32 = 24;

/// Text of a stream and how it ended.
#[derive(Debug)]
pub(super) struct Read {
    pub(super) text: String,
    pub(super) end: Event,
}

/// Sends one draft through each address, and repeats the first one.
pub(super) async fn run(
    caller: &Caller,
    addresses: &Addresses,
    report: &mut Report,
) -> Result<(), Error> {
    screen::title("Drafts: streamed completions, one through each instance");
    for (number, address) in (1..).zip(&addresses.addresses) {
        let prompt = prompt(number);
        let ask =
            Ask::new(MODEL, &prompt, MAX_TOKENS).with_key(&address.key(&format!("draft-{number}")));
        let mut stream = caller.complete(&address.address, &ask).await?.stream()?;
        screen::part(&format!("   {}:", address.instance));
        let read = read(&mut stream, u64::MAX).await;
        screen::part("\n");
        let whole = complete(&prompt, MAX_TOKENS, &read);
        report.check(&format!("draft {number} is whole and in order"), whole);
    }
    repeat(caller, addresses, report).await
}

/// Repeats the key of the first draft at the last address.
async fn repeat(caller: &Caller, addresses: &Addresses, report: &mut Report) -> Result<(), Error> {
    let Some(last) = addresses.addresses.last() else {
        return Ok(());
    };
    screen::title("Repeat: the key of draft 1 again, at another instance");
    let prompt = prompt(1);
    let ask = Ask::new(MODEL, &prompt, MAX_TOKENS).with_key(&addresses.key(0, FIRST));
    let mut stream = caller.complete(&last.address, &ask).await?.stream()?;
    screen::part(&format!("   {}:", last.instance));
    let read = read(&mut stream, u64::MAX).await;
    screen::part("\n");
    report.check(
        "the repeat gives the same whole answer",
        complete(&prompt, MAX_TOKENS, &read),
    );
    Ok(())
}

/// Reads and prints up to `most` tokens.
pub(super) async fn read(stream: &mut Stream, most: u64) -> Read {
    let mut text = String::new();
    loop {
        match stream.next().await {
            Event::Head(_) => {}
            Event::Tokens(tokens) => {
                screen::part(&tokens.text);
                text.push_str(&tokens.text);
            }
            end => return Read { text, end },
        }
        if stream.offset() >= most {
            return Read {
                text,
                end: Event::Cut,
            };
        }
    }
}

/// Whether `read` is the whole answer to `prompt`.
pub(super) fn complete(prompt: &str, max_tokens: u32, read: &Read) -> bool {
    let expected = fake::text::expected(prompt, max_tokens as usize);
    read.end == Event::Done(expected.len() as u64) && read.text == expected.concat()
}

fn prompt(number: u32) -> String {
    format!("Draft a reorder for farm {number}: sow unit, 240 animals, last delivery 12 t.")
}
