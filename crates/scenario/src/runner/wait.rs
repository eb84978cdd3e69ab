//! Waits for the events that a scenario names.

use tokio::time::Instant;
use tokio::time::sleep;

use crate::error::Error;
use crate::runner::DEFAULT_TIMEOUT;
use crate::runner::POLL_INTERVAL;
use crate::runner::Runner;
use crate::runner::connection::Connection;
use crate::script::step::Tokens;
use crate::script::step::Wait;
use crate::script::step::Work;

impl Runner {
    pub(super) async fn wait(&mut self, wait: Wait) -> Result<(), Error> {
        match wait {
            Wait::Head(name) => self.wait_head(&name).await,
            Wait::Tokens(tokens) => self.wait_tokens(&tokens).await,
            Wait::End(name) => self.wait_end(&name).await,
            Wait::Work(work) => self.wait_work(&work).await,
            Wait::Ready(name) => self.fleet.wait_until_daemon_ready(&name).await,
        }
    }

    async fn wait_head(&self, name: &str) -> Result<(), Error> {
        for name in self.matching_requests(name)? {
            let request = self.request(&name)?;
            let Some(connection) = request.connections.last() else {
                continue;
            };
            let came = connection
                .wait_until(DEFAULT_TIMEOUT, |now| {
                    now.head.is_some() || now.end.is_some()
                })
                .await;
            let head = connection.progress.borrow().head.is_some();
            let end = connection.ended();
            self.ensure(
                came && head,
                format!("{name} got no head; its end is {end:?}"),
            )?;
        }
        Ok(())
    }

    async fn wait_tokens(&self, tokens: &Tokens) -> Result<(), Error> {
        let request = self.request(&tokens.of)?;
        let end = Instant::now() + DEFAULT_TIMEOUT;
        let whole = request.expected().len() as u64;
        let count = tokens
            .left
            .map_or(tokens.count, |left| whole.saturating_sub(left));
        while request.tokens() < count {
            let name = &tokens.of;
            let ended = request.connections.last().and_then(Connection::ended);
            let late = Instant::now() > end || ended.is_some();
            let found = format!(
                "{name} got only {} tokens; its end is {ended:?}",
                request.tokens()
            );
            self.ensure(!late, found)?;
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits for the end of the latest connection of each request named.
    pub(super) async fn wait_end(&self, name: &str) -> Result<(), Error> {
        self.wait_ends(name, None).await
    }

    /// Waits for the end of connection `number`, or else the latest, of each request named.
    pub(super) async fn wait_ends(&self, name: &str, number: Option<usize>) -> Result<(), Error> {
        for name in self.matching_requests(name)? {
            let connections = &self.request(&name)?.connections;
            let index = number.unwrap_or(connections.len()) - 1;
            let Some(connection) = connections.get(index) else {
                return Err(self.failure(format!("{name} has no connection {}", index + 1)));
            };
            // Of several requests with a pause in between, the last starts long after the step.
            let pause = connection.opened.saturating_duration_since(Instant::now());
            let ended = connection
                .wait_until(pause + DEFAULT_TIMEOUT * 3, |now| now.end.is_some())
                .await;
            self.ensure(ended, format!("{name} did not end in time"))?;
        }
        Ok(())
    }

    async fn wait_work(&self, work: &Work) -> Result<(), Error> {
        let end = Instant::now() + DEFAULT_TIMEOUT;
        loop {
            let count = self
                .collector
                .work_count(&work.at, work.phase.as_deref())
                .await;
            if count >= work.count {
                return Ok(());
            }
            let found = format!(
                "{} has only {count} attempts or calls in phase {:?}",
                work.at, work.phase
            );
            self.ensure(Instant::now() < end, found)?;
            sleep(POLL_INTERVAL).await;
        }
    }
}
