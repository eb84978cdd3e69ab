//! Prepares an order: looks up the address, body and headers before its task starts.

use std::net::SocketAddr;

use engine::Claim;
use engine::attach;
use engine::call;
use engine::decode;
use engine::prefill;
use http::HeaderMap;
use http::HeaderValue;
use ident::Replica;
use node::action::Task;

use crate::directory::Directory;
use crate::driver::content::Content;
use crate::driver::content::ContentStore;
use crate::driver::content::Plain;

const CALL: &str = "waxwing-call";
const KEY: &str = "idempotency-key";

/// A request that is ready to be sent.
#[derive(Debug)]
pub(super) enum Request {
    /// A prefill.
    Prefill(prefill::Request),
    /// A decode.
    Decode(decode::Request),
    /// An attach to a stream.
    Attach(attach::Request),
    /// A cancel.
    Cancel(Claim),
    /// A plain call.
    Plain(call::Request),
}

/// The request of an order and its address; `None` if something that it needs is unknown.
#[derive(Debug)]
pub(super) struct PreparedOrder(pub(super) Option<(SocketAddr, Request)>);

impl PreparedOrder {
    /// Looks up everything that `task` needs.
    pub(super) fn new(
        directory: &Directory,
        replica: Replica,
        claim: Claim,
        task: &Task,
        contents: &ContentStore,
    ) -> Self {
        let address = directory.backend(replica).map(|backend| backend.address);
        let request = request(directory, claim, task, contents);
        if address.is_none() || request.is_none() {
            let handle = claim.handle.to_string();
            log::warn!(
                step = kind(task), request = handle.as_str();
                "order not sent: address known: {}, body and source known: {}",
                address.is_some(), request.is_some()
            );
        }
        Self(address.zip(request))
    }
}

/// The kind of an order, as a metrics label.
pub(super) const fn kind(task: &Task) -> &'static str {
    match task {
        Task::Prefill { .. } => "prefill",
        Task::Decode { .. } => "decode",
        Task::Attach { .. } => "attach",
        Task::Cancel => "cancel",
        Task::Plain { .. } => "plain",
    }
}

fn request(
    directory: &Directory,
    claim: Claim,
    task: &Task,
    contents: &ContentStore,
) -> Option<Request> {
    match task {
        Task::Prefill {
            call,
            prompt_tokens,
            max_tokens,
            done_tokens,
            priority,
            blocks,
        } => {
            let Content::Prompt(prompt) = contents.content(*call)? else {
                return None;
            };
            Some(Request::Prefill(prefill::Request {
                claim,
                prompt: prompt.clone(),
                generated: contents.tokens(*call, *done_tokens)?,
                prompt_tokens: *prompt_tokens,
                max_tokens: *max_tokens,
                priority: *priority,
                blocks: blocks.clone(),
            }))
        }
        Task::Decode {
            source,
            max_tokens,
            offset,
            priority,
        } => Some(Request::Decode(decode::Request {
            claim,
            source: directory.backend(*source)?.address,
            max_tokens: *max_tokens,
            priority: *priority,
            offset: *offset,
        })),
        Task::Attach { offset } => Some(Request::Attach(attach::Request {
            claim,
            offset: *offset,
        })),
        Task::Cancel => Some(Request::Cancel(claim)),
        Task::Plain { call } => match contents.content(*call)? {
            Content::Plain(plain) => Some(Request::Plain(plain_request(claim, plain)?)),
            Content::Prompt(_) => None,
        },
    }
}

fn plain_request(claim: Claim, plain: &Plain) -> Option<call::Request> {
    let headers = headers(claim, plain)?;
    Some(
        call::Request::new(plain.method.clone(), &plain.path)
            .with_headers(headers)
            .with_body(plain.body.clone()),
    )
}

fn headers(claim: Claim, plain: &Plain) -> Option<HeaderMap> {
    let mut headers = plain.headers.clone();
    headers.insert(CALL, HeaderValue::try_from(claim.handle.to_string()).ok()?);
    if let Some(key) = &plain.key {
        headers.insert(KEY, HeaderValue::try_from(key.as_str()).ok()?);
    }
    Some(headers)
}
