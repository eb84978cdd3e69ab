//! Refusals and their texts.

use std::time::Duration;

use ident::Instance;
use ledger::ids::CallId;

use crate::action::Action;
use crate::action::CallerMessage;
use crate::action::Count;
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Refusal;
use crate::decision::Step;
use crate::node::Node;
use crate::node::millis;

/// Retry delay after a refusal whose cause is temporary.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of addresses in a refusal.
const MAX_ADDRESSES: usize = 3;

impl Reason {
    /// Name in answers and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::NoRow => "no_row",
            Self::NoReplica => "no_replica",
            Self::Doomed => "doomed",
            Self::Ceiling => "ceiling",
            Self::RetryBudget => "retry_budget",
            Self::Stale => "stale",
            Self::Leaving => "leaving",
            Self::Full => "full",
            Self::KeyNeeded => "key_needed",
            Self::KeyExpired => "key_expired",
            Self::OtherRunner => "other_runner",
            Self::RunnerLost => "runner_lost",
            Self::BadToken => "bad_token",
            Self::StreamLost => "stream_lost",
            Self::AnswerGone => "answer_gone",
            Self::Backend => "backend",
        }
    }
}

impl Outcome {
    /// Name in answers and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

impl From<route::verdict::Reason> for Reason {
    fn from(reason: route::verdict::Reason) -> Self {
        match reason {
            route::verdict::Reason::Doomed => Self::Doomed,
            route::verdict::Reason::Ceiling => Self::Ceiling,
            route::verdict::Reason::NoReplica => Self::NoReplica,
            route::verdict::Reason::RetryBudget => Self::RetryBudget,
            route::verdict::Reason::UnknownRow => Self::NoRow,
        }
    }
}

impl Node {
    /// Returns a refusal without addresses; `after` is zero if a retry does not help.
    pub(crate) fn refusal(outcome: Outcome, reason: Reason, after: Duration) -> Refusal {
        Refusal {
            outcome,
            reason,
            retry_after_ms: millis(after),
            addresses: Vec::new(),
        }
    }

    /// Returns a refusal with the addresses of other instances.
    pub(crate) fn refusal_elsewhere(&self, outcome: Outcome, reason: Reason) -> Refusal {
        let me = &self.settings.name;
        let addresses = self
            .addresses(self.now, self.settings.zone)
            .into_iter()
            .filter(|address| address.name != *me)
            .map(|address| address.address)
            .take(MAX_ADDRESSES)
            .collect();
        Refusal {
            outcome,
            reason,
            retry_after_ms: millis(DEFAULT_RETRY_AFTER),
            addresses,
        }
    }

    /// Returns a refusal with the address of `instance`.
    pub(crate) fn refusal_at(&self, reason: Reason, instance: Instance) -> Refusal {
        let addresses = self
            .members
            .listed
            .get(&instance)
            .map(|listed| listed.caller.clone());
        Refusal {
            outcome: Outcome::NotRun,
            reason,
            retry_after_ms: millis(DEFAULT_RETRY_AFTER),
            addresses: addresses.into_iter().collect(),
        }
    }

    /// Refuses a call for which no request was opened.
    pub(crate) fn refuse(
        &self,
        call: CallId,
        label: &str,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        self.log(
            label,
            Step::Refuse,
            refusal.outcome.as_str(),
            refusal.reason.as_str(),
            out,
        );
        out.push(Action::Count(Count::Refused(refusal.outcome)));
        out.push(Action::SendToCaller {
            call,
            message: CallerMessage::Refusal(refusal),
        });
    }
}
