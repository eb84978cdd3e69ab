//! Control of the stand-ins of a fleet: records, faults, links and the platform's list.

use serde_json::Value;
use serde_json::json;

use crate::error::Error;
use crate::fleet::Fleet;
use crate::list::State;
use crate::plan::PLATFORM;
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

    /// Sets the mode of the planned link from `from` to `to`: `pass`, `cut`, `hang` or `delay`.
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
}
