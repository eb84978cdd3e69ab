//! Operators, their edits, and checks of the verdicts they receive.

use std::time::Duration;

use node::action;
use node::event::Event;
use rand::RngExt;
use table::drain::DrainTarget;
use table::edit::Change;
use table::edit::Edit;
use table::row::Row;

use super::Simulation;
use super::connections::Peer;
use super::plan::Fault;
use super::sim_event::OperatorEvent;
use super::sim_event::SimEvent;

/// Number of consecutive row edits that [`Fault::Edit`] stands for.
const EDITS_PER_FAULT: u64 = 4;
/// Interval between these edits.
const EDIT_INTERVAL: Duration = Duration::from_millis(350);
/// Attempts after which an edit counts as one that never ends.
const MAX_TRIES: u32 = 40;
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// An operator with one edit.
#[derive(Debug)]
pub struct Operator {
    pub edit: Edit,
    daemon: usize,
    tries: u32,
    /// Whether an earlier attempt may have been committed.
    maybe_committed: bool,
    pub finished: bool,
    /// The replica that the edit drains.
    drained_engine: Option<usize>,
}

impl Simulation {
    /// Schedules edits of rows by new operators.
    pub(super) fn add_editors(&mut self, selector: usize) {
        for number in 0..EDITS_PER_FAULT {
            let daemon = self.rng.random_range(0..self.daemons.len());
            let event = SimEvent::Edit {
                daemon,
                selector: selector + number as usize % 2,
            };
            self.schedule(EDIT_INTERVAL * number as u32, event);
        }
    }

    /// Adds an operator that sends the edit of `fault` to `daemon`.
    pub(super) fn add_operator(&mut self, fault: Fault, daemon: usize, selector: usize) {
        let number = self.operators.len();
        let draining = [0, 2, 5][selector % 3];
        let target = DrainTarget::Replica(self.engines[draining].name.clone());
        let change = match fault {
            Fault::Drain => Change::Drain(target),
            Fault::Undrain => Change::Undrain(target),
            _ => self.changed_row(daemon, selector),
        };
        if fault == Fault::Undrain {
            self.engines[draining].drained_since = None;
        }
        let edit = Edit::new(&format!("edit-{number}"), "ana").with_change(change);
        self.operators.push(Operator {
            edit,
            daemon,
            tries: 0,
            maybe_committed: false,
            finished: false,
            drained_engine: (fault == Fault::Drain).then_some(draining),
        });
        self.handle_operator_event(number, &OperatorEvent::Begin);
    }

    fn changed_row(&mut self, daemon: usize, selector: usize) -> Change {
        let seen = self.daemons[daemon]
            .core
            .as_ref()
            .and_then(node::Node::table);
        let table = seen.unwrap_or(&self.store.table);
        let base = table.rows[selector % table.rows.len()].clone();
        let share = self.rng.random_range(1..50);
        let row = Row {
            share,
            ..base.clone()
        };
        Change::Put {
            row,
            base: Some(base),
        }
    }

    pub(super) fn handle_operator_event(&mut self, operator: usize, event: &OperatorEvent) {
        self.trace_line(|| format!("operator {operator} receives {event:?}"));
        match event {
            OperatorEvent::Begin => self.send_edit(operator),
            OperatorEvent::Disconnected
            | OperatorEvent::Received(action::Verdict::Undecided { .. }) => {
                self.operators[operator].maybe_committed = true;
                self.retry_edit(operator);
            }
            OperatorEvent::Received(action::Verdict::Rejected { .. }) => self.retry_edit(operator),
            OperatorEvent::Received(action::Verdict::Conflict { .. }) => {
                self.operators[operator].finished = true;
            }
            OperatorEvent::Received(
                action::Verdict::Accepted { generation } | action::Verdict::Repeated { generation },
            ) => {
                self.operators[operator].finished = true;
                let now = self.now;
                self.accepted.entry(*generation).or_insert(now);
                self.record_drain(operator);
            }
        }
    }

    fn record_drain(&mut self, operator: usize) {
        let Some(engine) = self.operators[operator].drained_engine else {
            return;
        };
        let target = DrainTarget::Replica(self.engines[engine].name.clone());
        let mut others = self.operators.iter();
        let undone = others.any(|other| other.edit.changes == [Change::Undrain(target.clone())]);
        if !undone {
            self.engines[engine].drained_since.get_or_insert(self.now);
        }
    }

    fn retry_edit(&mut self, operator: usize) {
        let entry = &mut self.operators[operator];
        entry.daemon = self.rng.random_range(0..self.daemons.len());
        if entry.tries < MAX_TRIES {
            self.schedule(
                RETRY_DELAY,
                SimEvent::Operator {
                    operator,
                    event: OperatorEvent::Begin,
                },
            );
        } else {
            self.record_violation(format!(
                "operator {operator} got no verdict after {MAX_TRIES} attempts"
            ));
        }
    }

    fn send_edit(&mut self, operator: usize) {
        let daemon = self.operators[operator].daemon;
        self.operators[operator].tries += 1;
        if self.daemons[daemon].core.is_none() {
            return self.retry_edit(operator);
        }
        let call = self.open_conn(daemon, Peer::Operator(operator), 0);
        let edit = self.operators[operator].edit.clone();
        let run = self.daemons[daemon].run;
        self.deliver_event(daemon, run, Event::Edited { call, edit });
    }

    /// Checks a verdict against the edits that the store has applied.
    pub(super) fn check_verdict(&mut self, operator: usize, verdict: &action::Verdict) {
        let id = self.operators[operator].edit.id.clone();
        let applied = self.store.applied.get(&id).copied();
        let is_true = match verdict {
            action::Verdict::Accepted { generation } | action::Verdict::Repeated { generation } => {
                applied == Some(*generation)
            }
            action::Verdict::Conflict { .. } | action::Verdict::Rejected { .. } => {
                applied.is_none()
            }
            action::Verdict::Undecided { .. } => true,
        };
        if !is_true {
            let maybe = self.operators[operator].maybe_committed;
            self.record_violation(format!(
                "{id} has verdict {verdict:?}, the store has it at {applied:?} (maybe committed before: {maybe})"
            ));
        }
    }
}
