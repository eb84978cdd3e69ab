//! Control of the stand-ins of a fleet: records, faults, links and the platform's list.

use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::error::Error;
use crate::fleet::Fleet;
use crate::fleet::LOOK_EVERY;
use crate::list::State;
use crate::plan::PLATFORM;
use crate::process::START_LIMIT;
use crate::settings::OPERATOR;
use crate::settings::TOKEN;
use crate::start;

impl Fleet {
    /// What the stand-in `name` has counted (`GET /control/record`).
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`], [`Error::Http`] or [`Error::Answer`].
    pub async fn record(&self, name: &str) -> Result<Value, Error> {
        self.web.get_json(self.back(name)?, "/control/record").await
    }

    /// Sets a fault of the stand-in `name`; see `docs/PROTOCOLS.md` for the modes.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`], [`Error::Http`] or [`Error::Answer`].
    pub async fn fault(&self, name: &str, mode: &str, ms: u64) -> Result<(), Error> {
        let body = json!({ "mode": mode, "ms": ms });
        self.web
            .post_json(self.back(name)?, "/control/fault", &body)
            .await
            .map(drop)
    }

    /// Sets the mode of the planned link from `from` to `to`: `pass`, `cut`, `hang`, `delay` or
    /// `repeat`.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if the plan has no such link, [`Error::Http`] or [`Error::Answer`].
    pub async fn link(&self, from: &str, to: &str, mode: &str, ms: u64) -> Result<(), Error> {
        let entrance = self.links.get(&(from.to_owned(), to.to_owned()));
        let port = entrance.and_then(|address| address.rsplit_once(':')?.1.parse::<u16>().ok());
        let Some(port) = port else {
            return Err(Error::Unknown {
                name: format!("{from}->{to}"),
            });
        };
        let body = json!({ "port": port, "mode": mode, "ms": ms });
        self.web
            .post_json(self.back(start::FORWARDER)?, "/control/link", &body)
            .await
            .map(drop)
    }

    /// Marks an instance or replica on the platform's list.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`], [`Error::Http`] or [`Error::Answer`].
    pub async fn mark(&mut self, name: &str, state: State) -> Result<(), Error> {
        if !self.list.mark(name, state) {
            return Err(Error::Unknown {
                name: name.to_owned(),
            });
        }
        self.publish().await
    }

    /// Takes an instance or replica off the platform's list.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`], [`Error::Http`] or [`Error::Answer`].
    pub async fn unlist(&mut self, name: &str) -> Result<(), Error> {
        if !self.list.remove(name) {
            return Err(Error::Unknown {
                name: name.to_owned(),
            });
        }
        self.publish().await
    }

    /// How late changes of the platform's list show from now on.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] or [`Error::Answer`].
    pub async fn lag(&mut self, ms: u64) -> Result<(), Error> {
        self.list.lag_ms = ms;
        self.publish().await
    }

    /// Gives the list to the platform.
    pub(crate) async fn publish(&self) -> Result<(), Error> {
        let body = serde_json::to_value(&self.list).unwrap_or_default();
        self.web
            .post_json(self.back(PLATFORM)?, "/control/list", &body)
            .await
            .map(drop)
    }

    /// Waits until every daemon has read the table and sees all the others.
    pub(crate) async fn settled(&self) -> Result<(), Error> {
        let end = Instant::now() + START_LIMIT;
        for (name, listen) in &self.daemons {
            while !self.is_settled(&listen.admin).await {
                if Instant::now() > end {
                    return Err(Error::Late {
                        step: "see the other daemons",
                        peer: name.clone(),
                    });
                }
                sleep(LOOK_EVERY).await;
            }
        }
        Ok(())
    }

    async fn is_settled(&self, admin: &str) -> bool {
        let table = self.as_operator(admin, "/v1/table").await;
        let status = self.as_operator(admin, "/v1/status").await;
        let members = status
            .as_ref()
            .and_then(|status| status["members"].as_array());
        let alive = members.map(|members| members.iter().filter(|one| one["state"] == "alive"));
        let others = self.daemons.len() - 1;
        table.is_some() && alive.is_some_and(|alive| alive.count() >= others)
    }

    /// What `path` of an admin address answers the operator, if that is 200.
    pub(crate) async fn as_operator(&self, admin: &str, path: &str) -> Option<Value> {
        let request = self
            .web
            .request(Method::GET, admin, path)
            .header("Authorization", format!("Bearer {TOKEN}"))
            .header("Waxwing-Operator", OPERATOR);
        let answer = self.web.send(request, admin).await.ok()?;
        (answer.status == 200).then(|| answer.json())
    }
}
