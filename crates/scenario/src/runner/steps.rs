//! Executes the steps of a scenario.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::error::Error;
use crate::list::State;
use crate::runner::Runner;
use crate::runner::request::Request;
use crate::runner::request::ResumeClaim;
use crate::runner::request::Route;
use crate::runner::seconds;
use crate::runner::unix_ms;
use crate::script::start::Between;
use crate::script::step::Resume;
use crate::script::step::Retry;
use crate::script::step::Send;
use crate::script::step::Slow;
use crate::script::step::Step;

impl Runner {
    /// Executes one step.
    pub(super) async fn execute(&mut self, step: Step) -> Result<(), Error> {
        match step {
            Step::Send(send) => self.send(&send),
            Step::Retry(retry) => self.retry(&retry),
            Step::Resume(resume) => self.resume(&resume),
            Step::Cancel(name) => self.cancel(&name),
            Step::Kill(name) => self.kill(&name).await,
            Step::Freeze(name) => self.freeze(&name),
            Step::Wake(name) => self.fleet.unpause(&name),
            Step::Stop(name) => self.stop(&name),
            Step::Restart(name) => self.restart(&name).await,
            Step::Cut(links) => self.link(&links, "cut", 0).await,
            Step::Hang(links) => self.link(&links, "hang", 0).await,
            Step::Slow(slow) => self.slow(slow).await,
            Step::Repeat(links) => self.link(&links, "repeat", 0).await,
            Step::Mend(links) => self.link(&links, "pass", 0).await,
            Step::Fault(fault) => self.fleet.set_fault(&fault.at, &fault.mode, fault.ms).await,
            Step::Edit(edit) => self.edit(edit).await,
            Step::Race(edits) => self.race(edits).await,
            Step::Mark(name) => self.mark(&name).await,
            Step::Unlist(name) => self.fleet.remove_from_list(&name).await,
            Step::LagMs(ms) => self.fleet.set_list_lag(ms).await,
            Step::Wait(wait) => self.wait(wait).await,
            Step::Sleep(time) => {
                sleep(seconds(time)).await;
                Ok(())
            }
            Step::Expect(expect) => self.check(expect).await,
        }
    }

    fn send(&mut self, send: &Send) -> Result<(), Error> {
        let spec = Arc::new(send.clone());
        for index in 0..send.count.unwrap_or(1) {
            let name = match send.count {
                Some(_) => format!("{}-{}", send.name, index + 1),
                None => send.name.clone(),
            };
            let daemon = &send.via[index as usize % send.via.len()];
            let pause = Duration::from_millis(send.every_ms) * index;
            let route = self.route(daemon, pause)?;
            let unique = format!("{}-{name}", self.name);
            let mut request = Request::new(Arc::clone(&spec), unique);
            request.open(route, self.address_cache.clone(), self.collector.clone());
            let former = self.requests.insert(name.clone(), request);
            self.ensure(former.is_none(), format!("two requests are named {name}"))?;
        }
        Ok(())
    }

    fn route(&self, daemon: &str, pause: Duration) -> Result<Route, Error> {
        Ok(Route {
            daemon: daemon.to_owned(),
            address: self.fleet.daemon(daemon)?.caller.clone(),
            pause,
        })
    }

    fn retry(&mut self, retry: &Retry) -> Result<(), Error> {
        let route = self.route(&retry.via, Duration::ZERO)?;
        let (address_cache, collector) = (self.address_cache.clone(), self.collector.clone());
        self.request(&retry.request)?;
        if let Some(request) = self.requests.get_mut(&retry.request) {
            request.open(route, address_cache, collector);
        }
        Ok(())
    }

    fn resume(&mut self, resume: &Resume) -> Result<(), Error> {
        let route = self.route(&resume.via, Duration::ZERO)?;
        let request = self.request(&resume.request)?;
        let Some(token) = request.token() else {
            return Err(self.failure(format!("{} has no resume token yet", resume.request)));
        };
        let token = if resume.damaged {
            damaged(&token)
        } else {
            token
        };
        let customer = resume.customer.as_ref().unwrap_or(&request.spec.customer);
        let claim = ResumeClaim {
            token,
            offset: resume.offset.unwrap_or_else(|| request.tokens()),
            customer: customer.clone(),
        };
        if let Some(request) = self.requests.get_mut(&resume.request) {
            request.resume(route, claim);
        }
        Ok(())
    }

    fn cancel(&mut self, name: &str) -> Result<(), Error> {
        for name in self.matching_requests(name)? {
            for connection in &self.requests[&name].connections {
                connection.task.abort();
            }
        }
        Ok(())
    }

    async fn kill(&mut self, name: &str) -> Result<(), Error> {
        self.disrupted.insert(name.to_owned());
        self.collector.save_counts(name).await;
        self.fleet.kill(name).await
    }

    fn freeze(&mut self, name: &str) -> Result<(), Error> {
        self.disrupted.insert(name.to_owned());
        self.fleet.pause(name)
    }

    fn stop(&mut self, name: &str) -> Result<(), Error> {
        self.stop_times.insert(name.to_owned(), Instant::now());
        self.fleet.terminate(name)
    }

    async fn restart(&mut self, name: &str) -> Result<(), Error> {
        self.disrupted.insert(name.to_owned());
        self.collector.save_counts(name).await;
        self.fleet.restart(name).await
    }

    async fn link(&self, links: &Between, mode: &str, ms: u64) -> Result<(), Error> {
        for (from, to) in self.start.routes(links) {
            self.fleet.set_link_mode(&from, &to, mode, ms).await?;
        }
        Ok(())
    }

    async fn slow(&self, slow: Slow) -> Result<(), Error> {
        let links = Between {
            between: slow.between,
            and: slow.and,
        };
        self.link(&links, "delay", slow.ms).await
    }

    async fn mark(&mut self, name: &str) -> Result<(), Error> {
        self.fleet.set_list_state(name, State::Leaving).await?;
        self.drain_times.insert(name.to_owned(), unix_ms());
        Ok(())
    }
}

/// Returns the token with its middle character changed.
fn damaged(token: &str) -> String {
    let middle = token.len() / 2;
    let other = if token[middle..].starts_with('A') {
        "B"
    } else {
        "A"
    };
    format!("{}{other}{}", &token[..middle], &token[middle + 1..])
}
