//! Controls the stand-ins of a fleet: records, faults, links and the platform's list.

use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::error::Error;
use crate::fleet::Fleet;
use crate::fleet::POLL_INTERVAL;
use crate::list::State;
use crate::plan::PLATFORM;
use crate::process::START_TIMEOUT;
use crate::settings::OPERATOR;
use crate::settings::TOKEN;
use crate::start;

impl Fleet {
    /// Returns the counters of the stand-in `name` (`GET /control/record`).
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`], [`Error::Http`] or [`Error::UnexpectedAnswer`].
    pub async fn record(&self, name: &str) -> Result<Value, Error> {
        self.client
            .get_json(self.backend_address(name)?, "/control/record")
            .await
    }

    /// Sets a fault of the stand-in `name`; see `docs/PROTOCOLS.md` for the modes.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`], [`Error::Http`] or [`Error::UnexpectedAnswer`].
    pub async fn set_fault(&self, name: &str, mode: &str, ms: u64) -> Result<(), Error> {
        let body = json!({ "mode": mode, "ms": ms });
        self.client
            .post_json(self.backend_address(name)?, "/control/fault", &body)
            .await
            .map(drop)
    }

    /// Sets the mode of the link from `from` to `to`: `pass`, `cut`, `hang`, `delay` or `repeat`.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`] if the plan has no such link, [`Error::Http`] or
    /// [`Error::UnexpectedAnswer`].
    pub async fn set_link_mode(
        &self,
        from: &str,
        to: &str,
        mode: &str,
        ms: u64,
    ) -> Result<(), Error> {
        let link_address = self.links.get(&(from.to_owned(), to.to_owned()));
        let port = link_address.and_then(|address| address.rsplit_once(':')?.1.parse::<u16>().ok());
        let Some(port) = port else {
            return Err(Error::UnknownName {
                name: format!("{from}->{to}"),
            });
        };
        let body = json!({ "port": port, "mode": mode, "ms": ms });
        self.client
            .post_json(
                self.backend_address(start::FORWARDER)?,
                "/control/link",
                &body,
            )
            .await
            .map(drop)
    }

    /// Sets the state of an instance or replica on the platform's list.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`], [`Error::Http`] or [`Error::UnexpectedAnswer`].
    pub async fn set_list_state(&mut self, name: &str, state: State) -> Result<(), Error> {
        if !self.list.mark(name, state) {
            return Err(Error::UnknownName {
                name: name.to_owned(),
            });
        }
        self.publish_list().await
    }

    /// Removes an instance or replica from the platform's list.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownName`], [`Error::Http`] or [`Error::UnexpectedAnswer`].
    pub async fn remove_from_list(&mut self, name: &str) -> Result<(), Error> {
        if !self.list.remove(name) {
            return Err(Error::UnknownName {
                name: name.to_owned(),
            });
        }
        self.publish_list().await
    }

    /// Sets the lag, in milliseconds, after which changes of the platform's list become visible.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] or [`Error::UnexpectedAnswer`].
    pub async fn set_list_lag(&mut self, ms: u64) -> Result<(), Error> {
        self.list.lag_ms = ms;
        self.publish_list().await
    }

    /// Sends the list to the platform.
    pub(crate) async fn publish_list(&self) -> Result<(), Error> {
        let body = serde_json::to_value(&self.list).unwrap_or_default();
        self.client
            .post_json(self.backend_address(PLATFORM)?, "/control/list", &body)
            .await
            .map(drop)
    }

    /// Waits until every daemon has read the table and sees all others as alive.
    pub(crate) async fn wait_until_settled(&self) -> Result<(), Error> {
        let end = Instant::now() + START_TIMEOUT;
        for (name, listen) in &self.daemons {
            while !self.is_settled(&listen.admin).await {
                if Instant::now() > end {
                    return Err(Error::Timeout {
                        step: "see the other daemons",
                        peer: name.clone(),
                    });
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn is_settled(&self, admin: &str) -> bool {
        let table = self.get_as_operator(admin, "/v1/table").await;
        let status = self.get_as_operator(admin, "/v1/status").await;
        let members = status
            .as_ref()
            .and_then(|status| status["members"].as_array());
        let alive = members.map(|members| members.iter().filter(|one| one["state"] == "alive"));
        let others = self.daemons.len() - 1;
        table.is_some() && alive.is_some_and(|alive| alive.count() >= others)
    }

    /// Returns the response of `path` at an admin address as JSON, or `None` unless its status is
    /// 200.
    pub(crate) async fn get_as_operator(&self, admin: &str, path: &str) -> Option<Value> {
        let request = self
            .client
            .request(Method::GET, admin, path)
            .header("Authorization", format!("Bearer {TOKEN}"))
            .header("Waxwing-Operator", OPERATOR);
        let answer = self.client.send(request, admin).await.ok()?;
        (answer.status == 200).then(|| answer.json())
    }
}
