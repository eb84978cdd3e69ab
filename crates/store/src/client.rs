//! Client of the platform's store.
//!
//! Answers contain no request id, so each call uses a new connection: on a reused one, a late
//! second answer would be taken for the answer to the next call. A failure that may have occurred
//! after the connection was established is [`Error::Lost`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use call::direct;
use call::direct::Limits;
use call::memory::Memory;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Step;
use crate::list::List;
use crate::txn::Reply;
use crate::txn::Row;
use crate::txn::Txn;

/// Maximum length of an answer's body, and of all that are being read together, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// An answer that is not parsed yet.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: Bytes,
}

#[derive(Debug, Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

/// A client of the platform.
#[derive(Debug, Clone)]
pub struct Client {
    peer: SocketAddr,
    timeout: Duration,
    limits: Limits,
}

impl Client {
    /// A client of the platform at `peer`; each call times out after `timeout`.
    pub fn new(peer: SocketAddr, timeout: Duration) -> Self {
        let limits = Limits {
            body: MAX_BODY_BYTES,
            memory: Memory::new(MAX_BODY_BYTES),
        };
        Self {
            peer,
            timeout,
            limits,
        }
    }

    /// Executes a transaction.
    ///
    /// # Errors
    ///
    /// See [`Error`]; only a write that ended as lost or malformed may have taken effect.
    pub async fn txn(&self, txn: &Txn) -> Result<Reply, Error> {
        let step = Step::Txn;
        let answer = self.send(step, Method::POST, "/v1/txn", json(txn)).await?;
        match answer.status {
            StatusCode::OK => Ok(Reply::Committed(self.read::<Rows>(step, &answer)?.rows)),
            StatusCode::CONFLICT => Ok(Reply::Conflict(self.read::<Rows>(step, &answer)?.rows)),
            status => Err(self.status_error(step, status)),
        }
    }

    /// Reads all rows whose key begins with `prefix`; they may be stale.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn read_rows(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let path = format!("/v1/rows?{}", query("prefix", prefix));
        let answer = self.get(Step::Rows, &path).await?;
        Ok(self.read::<Rows>(Step::Rows, &answer)?.rows)
    }

    /// Reads the list that the platform returns to `requester`.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn read_list(&self, requester: &str) -> Result<List, Error> {
        let path = format!("/v1/list?{}", query("for", requester));
        let answer = self.get(Step::List, &path).await?;
        self.read(Step::List, &answer)
    }

    /// Reads the object `name`; `None` if there is none.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let path = format!("/v1/objects/{name}");
        let answer = self
            .send(Step::GetObject, Method::GET, &path, Vec::new())
            .await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body.to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(self.status_error(Step::GetObject, status)),
        }
    }

    /// Writes the object `name`.
    ///
    /// # Errors
    ///
    /// See [`Error`]; only a write that ended as lost or malformed may have taken effect.
    pub async fn put_object(&self, name: &str, bytes: Vec<u8>) -> Result<(), Error> {
        let path = format!("/v1/objects/{name}");
        let answer = self
            .send(Step::PutObject, Method::PUT, &path, bytes)
            .await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            status => Err(self.status_error(Step::PutObject, status)),
        }
    }

    async fn get(&self, step: Step, path: &str) -> Result<Answer, Error> {
        let answer = self.send(step, Method::GET, path, Vec::new()).await?;
        match answer.status {
            StatusCode::OK => Ok(answer),
            status => Err(self.status_error(step, status)),
        }
    }

    async fn send(
        &self,
        step: Step,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answer, Error> {
        let request = (method, path, body);
        let (status, body) =
            direct::exchange(step, self.peer, self.timeout, &self.limits, request).await?;
        Ok(Answer { status, body })
    }

    fn read<T: DeserializeOwned>(&self, step: Step, answer: &Answer) -> Result<T, Error> {
        serde_json::from_slice(&answer.body).map_err(|e| Error::Malformed {
            step,
            peer: self.peer,
            cause: e.to_string(),
        })
    }

    /// The error for a status. A server error other than 503 counts as lost: the call may have
    /// taken effect before the server failed.
    fn status_error(&self, step: Step, status: StatusCode) -> Error {
        match status {
            StatusCode::SERVICE_UNAVAILABLE => {}
            status if status.is_server_error() => return self.lost(step, status.to_string()),
            _ => {}
        }
        Error::Refused {
            step,
            peer: self.peer,
            status: status.as_u16(),
            body: Bytes::new(),
        }
    }

    fn lost(&self, step: Step, cause: String) -> Error {
        Error::Lost {
            step,
            peer: self.peer,
            cause,
        }
    }
}

fn query(name: &str, value: &str) -> String {
    form_urlencoded::Serializer::new(String::new())
        .append_pair(name, value)
        .finish()
}

fn json(txn: &Txn) -> Vec<u8> {
    serde_json::to_vec(txn).expect("every transaction is valid JSON")
}
