//! Checks the expectations of a scenario.

use std::time::Duration;

use ident::Pool;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::error::Error;
use crate::runner::POLL_INTERVAL;
use crate::runner::Runner;
use crate::runner::connection::Connection;
use crate::runner::connection::End;
use crate::runner::decisions;
use crate::runner::decisions::DecisionLine;
use crate::runner::seconds;
use crate::runner::unix_ms;
use crate::script::expect::AtMost;
use crate::script::expect::Decisions;
use crate::script::expect::Drained;
use crate::script::expect::Exit;
use crate::script::expect::Expect;
use crate::script::expect::InForce;
use crate::script::expect::Keeper;
use crate::script::expect::NotReady;
use crate::script::expect::Outcome;
use crate::script::expect::Row;
use crate::script::expect::Runs;
use crate::script::expect::Verdicts;

impl Runner {
    pub(super) async fn check(&mut self, expect: Expect) -> Result<(), Error> {
        match expect {
            Expect::Outcome(outcome) => self.check_outcome(&outcome).await,
            Expect::Whole(name) => self.check_whole(&name).await,
            Expect::Runs(runs) => self.check_runs(&runs).await,
            Expect::Released(released) => {
                self.check_released(&released.at, seconds(released.within))
                    .await
            }
            Expect::Exit(exit) => self.check_exit(&exit).await,
            Expect::InForce(force) => self.check_force(&force).await,
            Expect::Verdicts(verdicts) => self.check_verdicts(&verdicts),
            Expect::NotReady(daemon) => self.check_not_ready(&daemon).await,
            Expect::Drained(drained) => self.check_drained(&drained).await,
            Expect::Decisions(decisions) => self.check_decisions(&decisions),
            Expect::AtMost(limit) => self.check_at_most(&limit).await,
            Expect::Keeper(keeper) => self.check_keeper(&keeper),
            Expect::Row(row) => self.check_row(&row).await,
        }
    }

    async fn check_outcome(&self, outcome: &Outcome) -> Result<(), Error> {
        self.wait_ends(&outcome.of, outcome.connection).await?;
        let names = self.matching_requests(&outcome.of)?;
        let least = outcome.least.unwrap_or(names.len());
        let mut right = 0;
        let mut wrong = Vec::new();
        let mut slowest = Duration::ZERO;
        for name in names {
            let connections = &self.request(&name)?.connections;
            let index = outcome.connection.unwrap_or(connections.len()) - 1;
            let Some(connection) = connections.get(index) else {
                return Err(self.failure(format!("{name} has no connection {}", index + 1)));
            };
            let Some(ended) = connection.ended() else {
                wrong.push(format!("{name}: still open"));
                continue;
            };
            slowest = slowest.max(ended.at.saturating_duration_since(connection.opened));
            if outcome.is.iter().any(|word| ended.end.matches(word)) {
                right += 1;
            } else {
                wrong.push(format!("{name}: {:?}", ended.end));
            }
        }
        let found = format!(
            "expected {} to end as {:?}, got {wrong:?}",
            outcome.of, outcome.is
        );
        self.ensure(right >= least, found)?;
        self.check_slowest(outcome, slowest)
    }

    fn check_slowest(&self, outcome: &Outcome, slowest: Duration) -> Result<(), Error> {
        let what = format!("slowest end of {} ({})", outcome.of, outcome.is.join(", "));
        self.print_measurement(&what, slowest.as_secs_f64());
        let met = outcome
            .within
            .is_none_or(|within| slowest <= seconds(within));
        self.ensure(met, format!("{what} after {slowest:?}"))
    }

    async fn check_whole(&self, name: &str) -> Result<(), Error> {
        self.wait_end(name).await?;
        for name in self.matching_requests(name)? {
            let request = self.request(&name)?;
            let ended = request.connections.last().and_then(Connection::ended);
            let whole = match ended.as_ref().map(|ended| &ended.end) {
                Some(End::Done(_)) => request.tokens() == request.expected().len() as u64,
                Some(End::Answered { .. }) => true,
                _ => false,
            };
            let tokens = request.tokens();
            self.ensure(
                whole,
                format!("{name} is incomplete: {tokens} tokens, then {ended:?}"),
            )?;
        }
        Ok(())
    }

    async fn check_runs(&self, runs: &Runs) -> Result<(), Error> {
        let counted = self.collector.all_runs().await;
        let lines: Vec<DecisionLine> = self
            .daemons()
            .iter()
            .flat_map(|daemon| self.decision_lines(daemon))
            .collect();
        for name in self.matching_requests(&runs.of)? {
            let key = self
                .request(&name)?
                .key
                .borrow()
                .clone()
                .unwrap_or_default();
            let handles = decisions::handles(&lines, &key);
            let names = handles.iter().chain(std::iter::once(&key));
            let count: u64 = names.filter_map(|name| counted.get(name)).sum();
            let met = count >= runs.least && count <= runs.most;
            self.ensure(met, format!("{name} ran {count} times"))?;
        }
        Ok(())
    }

    /// Waits until no engine that answers holds any slot or KV cache.
    pub(super) async fn check_released(
        &self,
        engines: &[String],
        limit: Duration,
    ) -> Result<(), Error> {
        let start = Instant::now();
        loop {
            let mut held = Vec::new();
            for name in engines {
                let handles = self.collector.held(name).await.unwrap_or_default();
                held.extend(
                    handles
                        .into_iter()
                        .map(|handle| format!("{name}: {handle}")),
                );
            }
            if held.is_empty() {
                let what = format!("release of {}", engines.join(", "));
                self.print_measurement(&what, start.elapsed().as_secs_f64());
                return Ok(());
            }
            self.ensure(start.elapsed() < limit, format!("still held: {held:?}"))?;
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn check_exit(&mut self, exit: &Exit) -> Result<(), Error> {
        let status = self
            .fleet
            .wait_for_exit(&exit.of, seconds(exit.within))
            .await?;
        let code = status.code();
        self.ensure(
            code == Some(exit.code),
            format!("{} exited with {status}", exit.of),
        )?;
        let target = self.stop_times.get(&exit.of);
        let Some(target) = target else {
            return Ok(());
        };
        let took = target.elapsed();
        self.print_measurement(&format!("planned stop of {}", exit.of), took.as_secs_f64());
        let found = format!("{} exited too early, after {took:?}", exit.of);
        self.ensure(took >= seconds(exit.not_before), found)
    }

    async fn check_force(&self, force: &InForce) -> Result<(), Error> {
        let Some(submitted) = self.submitted_edits.get(&force.edit) else {
            return Err(self.failure(format!("no edit is named {}", force.edit)));
        };
        let daemons = self.daemons_or_all(&force.at);
        let limit = (force.within * 1_000.0) as u64;
        loop {
            let passed = unix_ms().saturating_sub(submitted.unix_ms);
            let mut behind = Vec::new();
            for daemon in &daemons {
                let table = self.table_at(daemon).await;
                let generation = table.map_or(0, |table| table.generation);
                if generation < submitted.generation {
                    behind.push(format!("{daemon}: {generation}"));
                }
            }
            if behind.is_empty() {
                let what = format!("edit {} in force at {}", force.edit, daemons.join(", "));
                self.print_measurement(&what, passed as f64 / 1_000.0);
                return Ok(());
            }
            self.ensure(
                passed < limit,
                format!("not in force after {passed} ms: {behind:?}"),
            )?;
            sleep(POLL_INTERVAL).await;
        }
    }

    fn check_verdicts(&self, verdicts: &Verdicts) -> Result<(), Error> {
        let mut found = Vec::new();
        let mut texts = Vec::new();
        for name in &verdicts.of {
            let Some(submitted) = self.submitted_edits.get(name) else {
                return Err(self.failure(format!("no edit is named {name}")));
            };
            found.push(submitted.verdict.clone());
            texts.push(&submitted.text);
        }
        found.sort_unstable();
        self.ensure(found == verdicts.are, format!("verdicts are {texts:?}"))
    }

    async fn check_not_ready(&self, expected: &NotReady) -> Result<(), Error> {
        let admin = self.fleet.daemon(&expected.at)?.admin.clone();
        let start = Instant::now();
        loop {
            let status = self.fleet.client.get(&admin, "/health").await?.status;
            if status != http::StatusCode::OK {
                let what = format!("{} no longer decides", expected.at);
                self.print_measurement(&what, start.elapsed().as_secs_f64());
                return Ok(());
            }
            let passed = start.elapsed();
            let found = format!("{} is still ready after {passed:?}", expected.at);
            self.ensure(passed < seconds(expected.within), found)?;
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn check_drained(&self, drained: &Drained) -> Result<(), Error> {
        let Some(marked) = self.drain_times.get(&drained.at).copied() else {
            return Err(self.failure(format!("{} was not marked to drain", drained.at)));
        };
        let record = self.collector.record(&drained.at).await.unwrap_or_default();
        let last = record["last_new_work_ms"].as_u64().unwrap_or(0);
        let late = last.saturating_sub(marked) as f64 / 1_000.0;
        self.print_measurement(
            &format!("last new work at {} after its mark", drained.at),
            late,
        );
        self.ensure(
            late <= drained.within,
            format!("new work {late} s after the mark"),
        )
    }

    fn check_decisions(&self, expected: &Decisions) -> Result<(), Error> {
        let daemons = self.daemons_or_all(&expected.at);
        let lines = daemons
            .iter()
            .flat_map(|daemon| self.decision_lines(daemon));
        let count = lines.filter(|line| line.step == expected.step).count();
        let met = count >= expected.least && expected.most.is_none_or(|most| count <= most);
        self.ensure(met, format!("{count} decisions `{}`", expected.step))
    }

    async fn check_at_most(&self, limit: &AtMost) -> Result<(), Error> {
        let end = Instant::now() + seconds(limit.seconds);
        let mut peak = 0;
        while Instant::now() < end {
            peak = peak.max(self.collector.decoding_count(&limit.at).await);
            sleep(POLL_INTERVAL).await;
        }
        println!("measured {}: peak at {}: {peak}", self.name, limit.at);
        let met = peak >= limit.least && peak <= limit.most;
        self.ensure(met, format!("{} had a peak of {peak} attempts", limit.at))
    }

    fn check_keeper(&self, expected: &Keeper) -> Result<(), Error> {
        let pool = Pool::new(&expected.of).to_string();
        let lines = self.decision_lines(&expected.is);
        let latest = lines
            .iter()
            .rfind(|line| line.is_keeper(&expected.of) || line.is_keeper(&pool));
        let keeper = latest.map_or("unknown", |line| &line.choice);
        self.ensure(keeper == expected.is, format!("the keeper is {keeper}"))
    }

    async fn check_row(&self, expected: &Row) -> Result<(), Error> {
        let table = self.table_at(&expected.at).await?;
        let Some(row) = table.rows.iter().find(|row| row.key() == expected.key) else {
            return Err(self.failure(format!("no row {}", expected.key)));
        };
        let json = serde_json::to_value(row).unwrap_or_default();
        for (column, value) in &expected.has {
            let wanted = serde_json::to_value(value).unwrap_or_default();
            let found = &json[column.as_str()];
            self.ensure(
                *found == wanted,
                format!("{column} is {found}, not {wanted}"),
            )?;
        }
        Ok(())
    }
}
