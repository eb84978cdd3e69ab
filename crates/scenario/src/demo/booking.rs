//! Ordinary calls: a repeatable stock query and a lorry booking that is not repeatable.

use crate::address::Addresses;
use crate::caller::Caller;
use crate::demo::output;
use crate::demo::report::Report;
use crate::error::Error;
use crate::reply::Outcome;
use crate::requests::PlainCall;

/// Unique part of the booking's key.
pub(super) const BOOKING_KEY: &str = "booking-1";
const LORRY: &str = r#"{"mill":"osijek","lorry":7,"tons":12}"#;

/// Sends both calls, and repeats the booking at another instance with the same key.
pub(super) async fn run(
    caller: &Caller,
    addresses: &Addresses,
    report: &mut Report,
) -> Result<(), Error> {
    output::title("Ordinary calls: a stock question, a lorry booking");
    let first = addresses.first();
    let stock = caller
        .call(&first.address, &PlainCall::new("stock", "mills/osijek"))
        .await?;
    show(&first.instance, "stock question", &stock);
    report.check(
        "the stock question is answered",
        matches!(stock, Outcome::Answered { .. }),
    );

    let key = first.key(BOOKING_KEY);
    let book = PlainCall::with_once("booking", "lorries", LORRY, &key);
    let booked = caller.call(&first.address, &book).await?;
    show(&first.instance, "booking", &booked);
    report.check(
        "the booking is answered",
        matches!(booked, Outcome::Answered { .. }),
    );

    let other = &addresses.addresses[addresses.addresses.len() - 1];
    let again = caller.call(&other.address, &book).await?;
    show(&other.instance, "same booking, same key", &again);
    report.check(
        "the repeat gives the first answer",
        is_repeat(&booked, &again),
    );

    let keyless = PlainCall { key: None, ..book };
    let refused = caller.call(&other.address, &keyless).await?;
    show(&other.instance, "booking without a key", &refused);
    report.check(
        "a booking without a key is refused, not run",
        is_refused(&refused),
    );
    Ok(())
}

fn show(instance: &str, what: &str, outcome: &Outcome) {
    match outcome {
        Outcome::Answered {
            status,
            body,
            before,
        } => {
            let before = if *before { " (answered before)" } else { "" };
            output::line(&format!("{what} at {instance}: {status}{before} {body}"));
        }
        Outcome::Refused(refusal) => output::line(&format!("{what} at {instance}: {refusal}")),
    }
}

fn is_repeat(first: &Outcome, second: &Outcome) -> bool {
    match (first, second) {
        (
            Outcome::Answered { body, .. },
            Outcome::Answered {
                body: again,
                before: true,
                ..
            },
        ) => body == again,
        _ => false,
    }
}

fn is_refused(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Refused(refusal) => refusal.outcome == "not_run" && refusal.reason == "key_needed",
        Outcome::Answered { .. } => false,
    }
}
