//! Requests as they arrive, repeat and go away.

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
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Refusal;
use crate::action::Tell;
use crate::decision::Step;
use crate::node::Node;
use crate::open::End;
use crate::open::Open;
use crate::open::OpenKey;
use crate::open::Reach;
use crate::open::Targets;
use crate::refusals::SOON;
use crate::request::Request;
use crate::request::Work;

/// How much longer than its row's longest wait a request waits for a keeper that is silent.
const PATIENCE: Duration = Duration::from_secs(1);
/// How many times the address answer's time to live a leaving daemon still takes requests.
const LEAVING_TTLS: u32 = 2;

impl Node {
    pub(crate) fn arrived(&mut self, call: CallId, request: Request, out: &mut Vec<Action>) {
        let key = match Self::key_of(&request) {
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
            (Some(mark), Some(key)) => self.repeat(call, key, mark, out),
            (None, Some(key)) if self.is_foreign(key) => {
                self.ask(call, key.clone(), Some(request), out);
            }
            (None, Some(key)) if self.may_run_elsewhere(key, &request) => {
                let earlier = Some(Outcome::Unknown);
                self.open_new(call, Some(key.clone()), &request, earlier, out);
            }
            _ => self.open_new(call, key, &request, None, out),
        }
    }

    /// Whether another instance may have run a repeatable key of this run: its prefix is older than
    /// the end of a pause in which this run may have counted as lost.
    fn may_run_elsewhere(&self, key: &Key, request: &Request) -> bool {
        let paused = self.life.woke > self.begun;
        let woke_s = self.unix_s() - self.now.since(self.life.woke).as_secs();
        let older = key.prefix().is_some_and(|prefix| prefix.issued <= woke_s);
        paused && older && self.is_repeatable(request)
    }

    /// Opens a request and asks for its placement, or refuses it. `earlier` is the outcome told in
    /// place of *not run* if an earlier try with the same key may have got further.
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
            Ok(opened) => {
                if earlier.is_some() {
                    self.requests.open[opened].reach = Reach::Touched;
                }
                self.begin(opened, out);
            }
            Err(refusal) => {
                let outcome = earlier.unwrap_or(refusal.outcome);
                self.refuse(call, &label, Refusal { outcome, ..refusal }, out);
            }
        }
    }

    /// The key of a request, checked for its form.
    fn key_of(request: &Request) -> Result<Option<Key>, Refusal> {
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

    /// Opens a request, unless a rule forbids it.
    fn admit(
        &mut self,
        call: CallId,
        key: Option<Key>,
        request: &Request,
    ) -> Result<OpenKey, Refusal> {
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

    /// While this daemon is out of contact others may count it as lost, and one of them may run a
    /// repeatable key of this run.
    fn stale_outcome(&self, key: Option<&Key>, request: &Request) -> Outcome {
        let keyed = key.and_then(Key::prefix).is_some();
        if keyed && self.is_repeatable(request) {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Whether a leaving or drained daemon takes nothing new any more: callers may hold its address
    /// for a while after it began to leave.
    pub(crate) fn is_closed(&self) -> bool {
        let span = self.settings.address_ttl * LEAVING_TTLS;
        let since = self.life.leaving.or(self.life.drained);
        since.is_some_and(|since| self.now >= since + span)
    }

    /// The row for a request; several pools of one service and class are drawn by their shares.
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
    ) -> OpenKey {
        let handle = self.fresh_handle();
        let work = ticket_work(&request.work);
        let ticket = Ticket::new(handle, row.id(), work, self.settings.zone);
        let pool = Pool::new(&row.pool);
        let opened = self.requests.open.insert(Open {
            origin: Some(call),
            key: key.clone(),
            repeatable,
            fence: self.unix_ms(),
            patience: Duration::from_millis(u64::from(row.max_wait_ms)) + PATIENCE,
            priority: row.priority,
            targets: Targets::new(row),
            ..Open::new(call, &request.customer, pool, ticket, self.now)
        });
        self.requests.by_handle.insert(handle, opened);
        self.requests.by_call.insert(call, opened);
        if let Some(key) = key {
            self.requests
                .keys
                .set(self.unix_s(), &key, KeyState::Open(opened));
        }
        opened
    }

    pub(crate) fn fresh_handle(&mut self) -> Handle {
        Handle::new(self.incarnation(), self.number())
    }

    fn begin(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let entry = &self.requests.open[opened];
        let pool = format!("pool {}", self.tables.rows.pool_name(entry.pool));
        let row = self.tables.rows.row_name(entry.ticket.row);
        let reason = format!("row {row}, attempt {}", entry.handle());
        self.log(&entry.label(), Step::Admit, &pool, &reason, out);
        self.submit(opened, out);
    }

    /// A key that was seen before.
    fn repeat(&mut self, call: CallId, key: &Key, mark: KeyState<OpenKey>, out: &mut Vec<Action>) {
        let label = key.to_string();
        self.log(
            &label,
            Step::Repeat,
            mark_word(&mark),
            "the key was seen before",
            out,
        );
        match mark {
            KeyState::Open(opened) => self.take_over_locally(opened, call, 0, true, out),
            KeyState::Answered {
                status,
                body: Some(body),
            } => {
                let tell = Tell::Answer {
                    status,
                    body,
                    repeated: true,
                };
                out.push(Action::Tell { call, tell });
            }
            KeyState::Answered { body: None, .. } => {
                let refusal = Self::refusal(Outcome::Failed, Reason::AnswerGone, Duration::ZERO);
                self.refuse(call, &label, refusal, out);
            }
            KeyState::Streamed { token } => self.resumed(call, &key.customer, &token, 0, out),
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

    pub(crate) fn left(&mut self, call: CallId, out: &mut Vec<Action>) {
        self.requests
            .questions
            .retain(|_, question| question.call != call);
        let Some(opened) = self.requests.by_call.remove(&call) else {
            return;
        };
        let now = self.now;
        let Some(entry) = self
            .requests
            .open
            .get_mut(opened)
            .filter(|entry| entry.call == Some(call))
        else {
            return;
        };
        entry.call = None;
        entry.origin = entry.origin.filter(|origin| *origin != call);
        entry.times.left = Some(now);
        let reads_stream = entry.headed && entry.stage == Stage::Decode;
        if !reads_stream && entry.stage != Stage::Call {
            self.abandon(opened, "the caller went away", out);
        }
    }

    /// Ends streams whose callers did not come back. One that lost its reader may have another owner
    /// by now, and is verified first.
    pub(crate) fn give_up_left(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let gone = self
            .requests
            .open_where(|entry| entry.is_left(now) && entry.withheld.is_none());
        for opened in gone {
            let entry = &mut self.requests.open[opened];
            if entry.stage == Stage::Decode && entry.order.is_none() {
                entry.withheld = Some(Vec::new());
            } else {
                self.abandon(opened, "the caller did not come back", out);
            }
        }
    }

    /// Ends a request that nobody waits for, and releases all that it holds.
    pub(crate) fn abandon(&mut self, opened: OpenKey, reason: &str, out: &mut Vec<Action>) {
        let outcome = if self.requests.open[opened].is_touched() {
            Outcome::Failed
        } else {
            Outcome::NotRun
        };
        let refusal = Self::refusal(outcome, Reason::Backend, SOON);
        let label = self.requests.open[opened].label();
        self.log(&label, Step::End, "abandoned", reason, out);
        self.end(opened, &End::Refused(refusal), out);
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

const fn mark_word(mark: &KeyState<OpenKey>) -> &'static str {
    match mark {
        KeyState::Open(_) => "attached",
        KeyState::Answered { .. } => "answered before",
        KeyState::Streamed { .. } => "streamed before",
        KeyState::Unknown => "unknown",
        KeyState::Failed => "failed",
    }
}
