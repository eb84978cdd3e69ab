//! Access to the platform: store requests of the core, the list and the history of edits.

mod commit;
mod error;
mod history;
pub mod list;
mod outcomes;
mod read;
mod sweep;

use std::time::Duration;

use node::action::StoreRequest;
use node::event::Event;
use node::event::StoreReply;
use node::ids::QueryId;
use store::Client;

use crate::config::Config;
use crate::driver::inbox::Inbox;
use crate::platform::error::Error;

pub use history::history;
pub use list::poll as poll_list;
pub use sweep::run as sweep_periodically;
pub use sweep::sweep;

/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A client for the platform address in `config`.
pub fn client(config: &Config) -> Client {
    Client::new(config.platform, CALL_TIMEOUT)
}

/// Executes the store requests of the core, each in its own task.
#[derive(Debug)]
pub struct Platform {
    client: Client,
    inbox: Inbox,
}

impl Platform {
    /// Creates an executor that sends the replies of `client` to `inbox`.
    pub fn new(client: Client, inbox: Inbox) -> Self {
        Self { client, inbox }
    }

    /// Executes `request` and sends its reply as `Event::StoreReplied`.
    pub fn query(&self, query: QueryId, request: StoreRequest) {
        let client = self.client.clone();
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let outcome = execute(&client, request).await;
            inbox.event(Event::StoreReplied { query, outcome }).await;
        });
    }
}

async fn execute(client: &Client, request: StoreRequest) -> StoreReply {
    let outcome = match request {
        StoreRequest::Generation => read::generation(client).await,
        StoreRequest::Table => read::table(client).await,
        StoreRequest::Commit(edit) => commit::commit(client, &edit).await,
        StoreRequest::Record {
            incarnation,
            sequence,
            outcomes,
        } => outcomes::record(client, incarnation, sequence, &outcomes).await,
        StoreRequest::Outcome { incarnation, key } => {
            outcomes::find(client, incarnation, &key).await
        }
    };
    outcome.unwrap_or_else(|error| StoreReply::Failed {
        maybe: error.is_uncertain(),
        cause: error.to_string(),
    })
}

type Outcome = Result<StoreReply, Error>;
