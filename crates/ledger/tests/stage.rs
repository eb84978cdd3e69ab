//! Allowed stage transitions of a request.

use ident::Handle;
use ident::Incarnation;
use ledger::stage::Stage;

const STAGES: [Stage; 5] = [
    Stage::Waiting,
    Stage::Prefill,
    Stage::Decode,
    Stage::Call,
    Stage::Ended,
];

/// All allowed transitions.
const ALLOWED: [(Stage, Stage); 11] = [
    (Stage::Waiting, Stage::Prefill),
    (Stage::Waiting, Stage::Call),
    (Stage::Waiting, Stage::Ended),
    (Stage::Prefill, Stage::Decode),
    (Stage::Prefill, Stage::Waiting),
    (Stage::Prefill, Stage::Ended),
    (Stage::Decode, Stage::Prefill),
    (Stage::Decode, Stage::Waiting),
    (Stage::Decode, Stage::Ended),
    (Stage::Call, Stage::Waiting),
    (Stage::Call, Stage::Ended),
];

#[test]
fn only_listed_transitions_are_allowed_and_errors_name_stages_and_attempt() {
    let handle = Handle::new(Incarnation(0x91c5), 26);
    for from in STAGES {
        for to in STAGES {
            match from.advance(to, handle) {
                Ok(stage) => {
                    assert_eq!(stage, to);
                    assert!(ALLOWED.contains(&(from, to)), "{from:?} to {to:?}");
                }
                Err(error) => {
                    let text = error.to_string();
                    assert!(!ALLOWED.contains(&(from, to)), "{text}");
                    assert!(text.contains(from.as_str()) && text.contains(to.as_str()));
                    assert!(text.contains(&handle.to_string()));
                }
            }
        }
    }
}
