//! The platform's service: queries of the core, the list, and the history of edits.

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

/// A call to the platform is given up after this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of the platform at the address of `config`.
pub fn client(config: &Config) -> Client {
    Client::new(config.platform, CALL_TIMEOUT)
}

/// Carries out queries of the core, each in a task of its own.
#[derive(Debug)]
pub struct Platform {
    client: Client,
    inbox: Inbox,
}

impl Platform {
    /// Answers of `client` go to `inbox`.
    pub fn new(client: Client, inbox: Inbox) -> Self {
        Self { client, inbox }
    }

    /// Carries out `request`; `Event::StoreReplied` follows.
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
