//! Arriving requests, repeated keys and callers that disconnect.

use std::time::Duration;

use ident::Handle;
use ident::Key;
use ident::Pool;
use ledger::ids::CallId;
use ledger::keys::Admission;
use ledger::keys::KeyState;
use ledger::stage::Stage;
use rand::RngExt;
use route::ticket::Ticket;
use table::row::Row;

use crate::action::Action;
use crate::action::CallerMessage;
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Refusal;
use crate::decision::Step;
use crate::node::Node;
use crate::open::End;
use crate::open::OpenId;
use crate::open::OpenRequest;
use crate::open::Reach;
use crate::open::Targets;
use crate::refusals::DEFAULT_RETRY_AFTER;
use crate::request::Request;
use crate::request::Work;

/// Time that a request waits for an unresponsive keeper beyond the longest wait of its row.
const KEEPER_GRACE: Duration = Duration::from_secs(1);
/// Lifetimes of an address answer during which a leaving daemon still admits requests.
const LEAVING_TTLS: u32 = 2;

impl Node {
    pub(crate) fn handle_request(&mut self, call: CallId, request: Request, out: &mut Vec<Action>) {
        let key = match Self::parse_key(&request) {
            Ok(key) => key,
            Err(refusal) => return self.refuse(call, &request.customer, refusal, out),
        };
        let known = key
            .as_ref()
            .and_then(|key| self.requests.keys.get(key))
            .cloned();
        match (known, &key) {
            (Some(KeyState::Failed), Some(_)) if self.is_repeatable(&request) => {
                self.open_new(call, key, &request, Some(Outcome::Failed), out);
            }
            (Some(KeyState::Unknown), Some(_)) if self.is_repeatable(&request) => {
                self.open_new(call, key, &request, Some(Outcome::Unknown), out);
            }
            (Some(state), Some(key)) => self.handle_repeat(call, key, state, out),
            (None, Some(key)) if self.is_foreign(key) => {
                self.look_up_key(call, key.clone(), Some(request), out);
            }
            (None, Some(key)) if self.may_run_elsewhere(key, &request) => {
                let earlier = Some(Outcome::Unknown);
                self.open_new(call, Some(key.clone()), &request, earlier, out);
            }
            _ => self.open_new(call, key, &request, None, out),
        }
    }

    /// Returns whether another instance may have run a repeatable key of this run: its prefix is
    /// older than the end of a pause during which this run may have been considered lost.
    fn may_run_elsewhere(&self, key: &Key, request: &Request) -> bool {
        let paused = self.lifecycle.pause_ended > self.started;
        let pause_ended_s = self.unix_s() - self.now.since(self.lifecycle.pause_ended).as_secs();
        let older = key
            .prefix()
            .is_some_and(|prefix| prefix.issued <= pause_ended_s);
        paused && older && self.is_repeatable(request)
    }

    /// Opens a request and submits it for placement, or refuses it. `earlier` is the outcome to
    /// report instead of *not run* if an earlier try with the same key may have reached a replica.
    pub(crate) fn open_new(
        &mut self,
        call: CallId,
        key: Option<Key>,
        request: &Request,
        earlier: Option<Outcome>,
        out: &mut Vec<Action>,
    ) {
        let label = key
            .as_ref()
            .map_or_else(|| request.customer.clone(), Key::to_string);
        match self.admit(call, key, request) {
            Ok(open_id) => {
                if earlier.is_some() {
                    self.requests.open[open_id].reach = Reach::MayHaveReached;
                }
                self.start(open_id, out);
            }
            Err(refusal) => {
                let outcome = earlier.unwrap_or(refusal.outcome);
                self.refuse(call, &label, Refusal { outcome, ..refusal }, out);
            }
        }
    }

    /// Validates the key of a request.
    fn parse_key(request: &Request) -> Result<Option<Key>, Refusal> {
        let invalid = || Self::refusal(Outcome::NotRun, Reason::Invalid, Duration::ZERO);
        match &request.key {
            Some(text) if text.is_empty() || text.len() > Key::MAX_LEN => Err(invalid()),
            Some(text) => Ok(Some(Key::new(&request.customer, text))),
            None => Ok(None),
        }
    }

    fn is_foreign(&self, key: &Key) -> bool {
        key.prefix()
            .is_some_and(|prefix| prefix.runner != self.incarnation())
    }

    /// Opens a request, or returns the reason to refuse it.
    fn admit(
        &mut self,
        call: CallId,
        key: Option<Key>,
        request: &Request,
    ) -> Result<OpenId, Refusal> {
        let not_run = |reason, after| Self::refusal(Outcome::NotRun, reason, after);
        if !self.may_decide() {
            let outcome = self.stale_outcome(key.as_ref(), request);
            return Err(self.refusal_elsewhere(outcome, Reason::Stale));
        }
        if self.is_closed() {
            return Err(self.refusal_elsewhere(Outcome::NotRun, Reason::Leaving));
        }
        let Some(row) = self.pick_row(request) else {
            return Err(not_run(Reason::NoRow, Duration::ZERO));
        };
        let repeatable = request.repeatable && row.repeatable;
        let prefix = key.as_ref().and_then(Key::prefix);
        if !repeatable && prefix.is_none() {
            return Err(not_run(Reason::KeyNeeded, Duration::ZERO));
        }
        if self.requests.open.len() >= self.settings.max_open {
            return Err(self.refusal_elsewhere(Outcome::NotRun, Reason::Full));
        }
        let now = self.unix_s();
        let issued = prefix.map_or(now, |prefix| prefix.issued);
        match key.as_ref().map(|_| self.requests.keys.admit(now, issued)) {
            Some(Admission::Expired) => Err(not_run(Reason::KeyExpired, Duration::ZERO)),
            Some(Admission::Full) => Err(self.refusal_elsewhere(Outcome::NotRun, Reason::Full)),
            Some(Admission::New) | None => Ok(self.insert(call, key, request, &row, repeatable)),
        }
    }

    /// Returns the outcome of a request that is refused for a stale table. While this daemon is out
    /// of contact, peers may consider it lost, and one of them may run a repeatable key of this
    /// run.
    fn stale_outcome(&self, key: Option<&Key>, request: &Request) -> Outcome {
        let keyed = key.and_then(Key::prefix).is_some();
        if keyed && self.is_repeatable(request) {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Returns whether a leaving or draining daemon refuses new requests. It still admits them for
    /// a while, because callers may hold its address.
    pub(crate) fn is_closed(&self) -> bool {
        let span = self.settings.address_ttl * LEAVING_TTLS;
        let since = self.lifecycle.leaving.or(self.lifecycle.draining_since);
        since.is_some_and(|since| self.now >= since + span)
    }

    /// Returns the row for a request, drawn by share if several pools have its service and class.
    fn pick_row(&mut self, request: &Request) -> Option<Row> {
        let table = self.tables.view.table()?;
        let rows: Vec<Row> = table
            .rows
            .iter()
            .filter(|row| row.service == request.service && row.class == request.class)
            .cloned()
            .collect();
        let total: u64 = rows.iter().map(|row| u64::from(row.share)).sum();
        let mut point = match rows.len() {
            0 => return None,
            1 => return rows.into_iter().next(),
            _ => self.rng.random_range(0..total),
        };
        rows.into_iter()
            .find(|row| match point.checked_sub(u64::from(row.share)) {
                Some(rest) => {
                    point = rest;
                    false
                }
                None => true,
            })
    }

    fn insert(
        &mut self,
        call: CallId,
        key: Option<Key>,
        request: &Request,
        row: &Row,
        repeatable: bool,
    ) -> OpenId {
        let handle = self.new_handle();
        let work = ticket_work(&request.work);
        let ticket = Ticket::new(handle, row.id(), work, self.settings.zone);
        let pool = Pool::new(&row.pool);
        let open_id = self.requests.open.insert(OpenRequest {
            body_call: Some(call),
            key: key.clone(),
            repeatable,
            fence: self.unix_ms(),
            max_wait: Duration::from_millis(u64::from(row.max_wait_ms)) + KEEPER_GRACE,
            priority: row.priority,
            targets: Targets::new(row),
            ..OpenRequest::new(call, &request.customer, pool, ticket, self.now)
        });
        self.requests.by_handle.insert(handle, open_id);
        self.requests.by_call.insert(call, open_id);
        if let Some(key) = key {
            self.requests
                .keys
                .set(self.unix_s(), &key, KeyState::Open(open_id));
        }
        open_id
    }

    pub(crate) fn new_handle(&mut self) -> Handle {
        Handle::new(self.incarnation(), self.next_number())
    }

    fn start(&mut self, open_id: OpenId, out: &mut Vec<Action>) {
        let entry = &self.requests.open[open_id];
        let pool = format!("pool {}", self.tables.rows.pool_name(entry.pool));
        let row = self.tables.rows.row_name(entry.ticket.row);
        let reason = format!("row {row}, attempt {}", entry.handle());
        self.log(&entry.label(), Step::Admit, &pool, &reason, out);
        self.submit(open_id, out);
    }

    /// Attaches a repeated key to its request, or answers it from memory.
    fn handle_repeat(
        &mut self,
        call: CallId,
        key: &Key,
        state: KeyState<OpenId>,
        out: &mut Vec<Action>,
    ) {
        let label = key.to_string();
        self.log(
            &label,
            Step::Repeat,
            state_description(&state),
            "the key was seen before",
            out,
        );
        match state {
            KeyState::Open(open_id) => self.move_to_connection(open_id, call, 0, true, out),
            KeyState::Answered {
                status,
                body: Some(body),
            } => {
                let message = CallerMessage::Answer {
                    status,
                    body,
                    repeated: true,
                };
                out.push(Action::SendToCaller { call, message });
            }
            KeyState::Answered { body: None, .. } => {
                let refusal = Self::refusal(Outcome::Failed, Reason::AnswerGone, Duration::ZERO);
                self.refuse(call, &label, refusal, out);
            }
            KeyState::Streamed { token } => self.handle_resume(call, &key.customer, &token, 0, out),
            KeyState::Unknown => {
                let refusal = Self::refusal(Outcome::Unknown, Reason::Backend, Duration::ZERO);
                self.refuse(call, &label, refusal, out);
            }
            KeyState::Failed => {
                let refusal = Self::refusal(Outcome::Failed, Reason::Backend, Duration::ZERO);
                self.refuse(call, &label, refusal, out);
            }
        }
    }

    pub(crate) fn handle_disconnect(&mut self, call: CallId, out: &mut Vec<Action>) {
        self.requests
            .lookups
            .retain(|_, lookup| lookup.call != call);
        let Some(open_id) = self.requests.by_call.remove(&call) else {
            return;
        };
        let now = self.now;
        let Some(entry) = self
            .requests
            .open
            .get_mut(open_id)
            .filter(|entry| entry.call == Some(call))
        else {
            return;
        };
        entry.call = None;
        entry.body_call = entry.body_call.filter(|body_call| *body_call != call);
        entry.times.disconnected = Some(now);
        let reads_stream = entry.head_sent && entry.stage == Stage::Decode;
        if !reads_stream && entry.stage != Stage::Call {
            self.abandon(open_id, "the caller went away", out);
        }
    }

    /// Ends streams whose callers did not reconnect in time. A stream without a reader may have
    /// another owner and is verified first.
    pub(crate) fn end_abandoned(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let gone = self
            .requests
            .open_where(|entry| entry.is_abandoned(now) && entry.withheld.is_none());
        for open_id in gone {
            let entry = &mut self.requests.open[open_id];
            if entry.stage == Stage::Decode && entry.order.is_none() {
                entry.withheld = Some(Vec::new());
            } else {
                self.abandon(open_id, "the caller did not come back", out);
            }
        }
    }

    /// Ends a request without a caller and releases its resources.
    pub(crate) fn abandon(&mut self, open_id: OpenId, reason: &str, out: &mut Vec<Action>) {
        let outcome = if self.requests.open[open_id].may_have_reached() {
            Outcome::Failed
        } else {
            Outcome::NotRun
        };
        let refusal = Self::refusal(outcome, Reason::Backend, DEFAULT_RETRY_AFTER);
        let label = self.requests.open[open_id].label();
        self.log(&label, Step::End, "abandoned", reason, out);
        self.end(open_id, &End::Refused(refusal), out);
    }
}

fn ticket_work(work: &Work) -> route::ticket::Work {
    match work {
        Work::Model {
            prompt_tokens,
            max_tokens,
            blocks,
        } => route::ticket::Work::Model {
            prompt_tokens: *prompt_tokens,
            max_tokens: *max_tokens,
            blocks: blocks.clone(),
            done_tokens: 0,
        },
        Work::Plain => route::ticket::Work::Plain,
    }
}

const fn state_description(state: &KeyState<OpenId>) -> &'static str {
    match state {
        KeyState::Open(_) => "attached",
        KeyState::Answered { .. } => "answered before",
        KeyState::Streamed { .. } => "streamed before",
        KeyState::Unknown => "unknown",
        KeyState::Failed => "failed",
    }
}
