//! A caller of the system: fetches addresses, sends requests, and reads and resumes streams.
//!
//! ```no_run
//! # async fn example(address: &str) -> Result<(), scenario::error::Error> {
//! use scenario::requests::Completion;
//! use scenario::caller::Caller;
//!
//! let caller = Caller::new("krmiva");
//! let addresses = caller.addresses(address, None).await?;
//! let key = addresses.key(0, "order-17");
//! let completion = Completion::new("ration", "reorder for farm 12", 16).with_key(&key);
//! let stream = caller.complete(&addresses.first().address, &completion).await?.stream()?;
//! let rest = stream.read_to_end().await;
//! println!("{} tokens: {}", rest.tokens, rest.text);
//! # Ok(())
//! # }
//! ```

use http::Method;
use serde_json::json;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::client::RequestBuilder;
use volo_http::response::Response;

use crate::address::Addresses;
use crate::error::Error;
use crate::http_client;
use crate::http_client::Answer;
use crate::http_client::HttpClient;
use crate::refusal::Refusal;
use crate::reply::Outcome;
use crate::reply::Reply;
use crate::requests::Completion;
use crate::requests::PlainCall;
use crate::stream::Stream;

/// Caller class that is used if none is set.
pub const DEFAULT_CLASS: &str = "default";
/// Header with the outcome of a call.
const OUTCOME: &str = "Waxwing-Outcome";
/// Value of [`OUTCOME`] for an answer from the application.
const ANSWERED: &str = "answered";
/// Value of [`OUTCOME`] for an answer already given to an earlier request with the same key.
const ANSWERED_BEFORE: &str = "answered_before";
const COMPLETIONS: &str = "/v1/completions";
const RESUME: &str = "/v1/resume";

/// A caller of one customer.
#[derive(Debug, Clone)]
pub struct Caller {
    client: HttpClient,
    customer: String,
    class: String,
}

impl Caller {
    /// Creates a caller of `customer` in the default class.
    pub fn new(customer: &str) -> Self {
        Self {
            client: HttpClient::new(),
            customer: customer.to_owned(),
            class: DEFAULT_CLASS.to_owned(),
        }
    }

    /// Sets the caller class.
    #[must_use]
    pub fn with_class(mut self, class: &str) -> Self {
        class.clone_into(&mut self.class);
        self
    }

    /// Fetches the addresses to use from the instance at `address`.
    ///
    /// # Errors
    ///
    /// [`Error::Http`], or [`Error::UnexpectedAnswer`] if the response has no address or cannot be
    /// parsed.
    pub async fn addresses(
        &self,
        address: &str,
        data_centre: Option<&str>,
    ) -> Result<Addresses, Error> {
        let query = data_centre
            .map(|name| format!("?data_centre={name}"))
            .unwrap_or_default();
        let path = format!("/v1/addresses{query}");
        let answer = self.client.get(address, &path).await?;
        let parsed: Option<Addresses> = serde_json::from_str(&answer.body).ok();
        let filled = parsed.filter(|parsed| !parsed.addresses.is_empty());
        filled.ok_or_else(|| Error::UnexpectedAnswer {
            step: format!("GET {path}"),
            peer: address.to_owned(),
            status: answer.status,
            body: answer.body,
        })
    }

    /// Sends a language-model request to the instance at `address`.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if the connection is lost before the response headers.
    pub async fn complete(&self, address: &str, completion: &Completion) -> Result<Reply, Error> {
        let body = json!({
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
        });
        let request = self.request(
            Method::POST,
            address,
            COMPLETIONS,
            completion.key.as_deref(),
        );
        let response = self.client.open(request.json(&body), address).await?;
        read_reply(response, address, COMPLETIONS, 0).await
    }

    /// Resumes a stream after `offset` tokens, at any instance.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if the connection is lost before the response headers.
    pub async fn resume(&self, address: &str, token: &str, offset: u64) -> Result<Reply, Error> {
        let request = self
            .request(Method::POST, address, RESUME, None)
            .header("Waxwing-Resume", token)
            .header("Last-Event-ID", offset.to_string());
        let response = self.client.open(request, address).await?;
        read_reply(response, address, RESUME, offset).await
    }

    /// Sends a call to a plain application through the instance at `address`.
    ///
    /// # Errors
    ///
    /// [`Error::Http`] if the connection is lost before the end of the response.
    pub async fn call(&self, address: &str, call: &PlainCall) -> Result<Outcome, Error> {
        let path = format!("/v1/call/{}/{}", call.service, call.path);
        let mut request = self.request(call.method.clone(), address, &path, call.key.as_deref());
        if !call.repeatable {
            request = request.header("Waxwing-Repeatable", "no");
        }
        if !call.body.is_empty() {
            request = request
                .data(call.body.clone())
                .header("Content-Type", "application/json");
        }
        let answer = self.client.send(request, address).await?;
        Ok(read_outcome(answer))
    }

    fn request(
        &self,
        method: Method,
        address: &str,
        path: &str,
        key: Option<&str>,
    ) -> RequestBuilder<Client> {
        let request = self
            .client
            .request(method, address, path)
            .header("Waxwing-Customer", self.customer.clone())
            .header("Waxwing-Class", self.class.clone());
        match key {
            Some(key) => request.header("Idempotency-Key", key),
            None => request,
        }
    }
}

async fn read_reply(
    response: Response<Body>,
    address: &str,
    path: &str,
    offset: u64,
) -> Result<Reply, Error> {
    if response.status() == http::StatusCode::OK {
        return Stream::open(response, offset, address).map(Reply::Stream);
    }
    let answer = http_client::read(response, format!("POST {path}"), address).await?;
    Ok(Reply::Refused(Refusal::with_body(
        answer.status,
        &answer.body,
    )))
}

/// Converts a response. Errors of the application count as answers; the outcome header
/// distinguishes them from refusals.
fn read_outcome(answer: Answer) -> Outcome {
    let header = answer.header(OUTCOME).unwrap_or_default();
    if header != ANSWERED && header != ANSWERED_BEFORE {
        return Outcome::Refused(Refusal::with_body(answer.status, &answer.body));
    }
    Outcome::Answered {
        status: answer.status,
        before: header == ANSWERED_BEFORE,
        body: answer.body,
    }
}
