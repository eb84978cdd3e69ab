//! A request of a scenario and its connections.

use std::sync::Arc;
use std::time::Duration;

use fake::text;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::caller::Caller;
use crate::requests::Completion;
use crate::requests::PlainCall;
use crate::runner::address_cache::AddressCache;
use crate::runner::connection;
use crate::runner::connection::Connection;
use crate::runner::connection::End;
use crate::runner::connection::Recorder;
use crate::runner::record_collector::RecordCollector;
use crate::script::step::Model;
use crate::script::step::Send;

/// Reason of a refusal that names the instance to use instead.
const OTHER_RUNNER: &str = "other_runner";
/// Maximum wait for the key of a request.
const KEY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request.
#[derive(Debug)]
pub struct Request {
    /// The step that sends it.
    pub spec: Arc<Send>,
    /// Unique part of the key.
    pub unique: String,
    /// The key, known once an address response gives its prefix.
    pub key: watch::Receiver<Option<String>>,
    key_sender: Arc<watch::Sender<Option<String>>>,
    /// Its connections, oldest first.
    pub connections: Vec<Connection>,
}

/// Target of a connection, with a delay.
#[derive(Debug)]
pub struct Route {
    /// The daemon.
    pub daemon: String,
    /// Its address for callers.
    pub address: String,
    /// Pause before it is opened.
    pub pause: Duration,
}

/// A resume token and the data sent with it.
#[derive(Debug)]
pub struct ResumeClaim {
    /// The token.
    pub token: String,
    /// Number of tokens that the caller claims to have.
    pub offset: u64,
    /// Customer that presents it.
    pub customer: String,
}

impl Request {
    /// Creates a request that has not been sent.
    pub fn new(spec: Arc<Send>, unique: String) -> Self {
        let (key_sender, key) = watch::channel(None);
        let key_sender = Arc::new(key_sender);
        Self {
            spec,
            unique,
            key,
            key_sender,
            connections: Vec::new(),
        }
    }

    /// Returns the prompt, which is unique to the request.
    pub fn prompt(&self, model: Model) -> String {
        let words = (0..model.prompt).map(|index| format!("farm{index}"));
        let words: Vec<String> = words.collect();
        format!("{} {}", self.unique, words.join(" "))
    }

    /// Returns the tokens of the complete answer; none for plain calls.
    pub fn expected(&self) -> Vec<String> {
        self.spec.model.map_or_else(Vec::new, |model| {
            text::expected(&self.prompt(model), model.tokens as usize)
        })
    }

    /// Returns the number of tokens received so far over all connections.
    pub fn tokens(&self) -> u64 {
        self.connections.iter().map(reached).max().unwrap_or(0)
    }

    /// Returns the latest resume token.
    pub fn token(&self) -> Option<String> {
        let heads = self.connections.iter().rev();
        let mut heads = heads.filter_map(|connection| connection.progress.borrow().head.clone());
        heads.next().map(|head| head.resume)
    }

    /// Opens a connection that sends the request with its key.
    pub fn open(&mut self, route: Route, address_cache: AddressCache, collector: RecordCollector) {
        let (recorder, progress) = Recorder::new();
        let request_task = RequestTask {
            caller: Caller::new(&self.spec.customer).with_class(&self.spec.class),
            spec: Arc::clone(&self.spec),
            prompt: self.spec.model.map(|model| self.prompt(model)),
            unique: self.unique.clone(),
            key_sender: self
                .connections
                .is_empty()
                .then(|| Arc::clone(&self.key_sender)),
            key: self.key.clone(),
            address_cache,
        };
        let (target, opened) = (route.daemon.clone(), Instant::now() + route.pause);
        let task = tokio::spawn(request_task.run(route, recorder, collector));
        self.connections.push(Connection {
            target,
            offset: 0,
            opened,
            progress,
            task,
        });
    }

    /// Opens a connection that presents a resume token.
    pub fn resume(&mut self, route: Route, claim: ResumeClaim) {
        let (recorder, progress) = Recorder::new();
        let caller = Caller::new(&claim.customer).with_class(&self.spec.class);
        let (target, offset) = (route.daemon.clone(), claim.offset);
        let task = tokio::spawn(async move {
            let reply = caller.resume(&route.address, &claim.token, offset).await;
            let end = recorder.read(reply).await;
            recorder.end(end, None);
        });
        self.connections.push(Connection {
            target,
            offset,
            opened: Instant::now(),
            progress,
            task,
        });
    }
}

/// Returns the number of tokens that the caller has after `connection`.
fn reached(connection: &Connection) -> u64 {
    let tokens = connection.progress.borrow().tokens;
    match tokens {
        0 => 0,
        _ => connection.offset + tokens,
    }
}

/// The task that sends the request over a connection.
#[derive(Debug)]
struct RequestTask {
    caller: Caller,
    spec: Arc<Send>,
    prompt: Option<String>,
    unique: String,
    /// Publishes the key; only the first connection has it.
    key_sender: Option<Arc<watch::Sender<Option<String>>>>,
    key: watch::Receiver<Option<String>>,
    address_cache: AddressCache,
}

impl RequestTask {
    async fn run(self, route: Route, recorder: Recorder, collector: RecordCollector) {
        sleep(route.pause).await;
        let (address, key) = match self.key(&route, &recorder).await {
            Ok(found) => found,
            Err(cause) => return recorder.end(End::Lost(cause), None),
        };
        let mut end = self.send(&address, &key, &recorder).await;
        if let Some(address) = self.redirected_to(&end) {
            recorder.redirect(&self.address_cache.daemon_name(&address));
            end = self.send(&address, &key, &recorder).await;
        }
        let mut runs = None;
        if end.is_not_run() {
            runs = Some(collector.runs(&key).await);
        }
        recorder.end(end, runs);
    }

    /// Returns the address to which a repeat is redirected.
    fn redirected_to(&self, end: &End) -> Option<String> {
        match end {
            End::Refused(refusal)
                if self.key_sender.is_none() && refusal.reason == OTHER_RUNNER =>
            {
                refusal.addresses.first().cloned()
            }
            _ => None,
        }
    }

    async fn send(&self, address: &str, key: &str, recorder: &Recorder) -> End {
        match (&self.prompt, self.spec.model) {
            (Some(prompt), Some(model)) => {
                let completion =
                    Completion::new(&self.spec.service, prompt, model.tokens).with_key(key);
                recorder
                    .read(self.caller.complete(address, &completion).await)
                    .await
            }
            _ => connection::call_end(self.caller.call(address, &self.plain(key)).await),
        }
    }

    fn plain(&self, key: &str) -> PlainCall {
        if self.spec.once {
            return PlainCall::with_once(&self.spec.service, "orders", "{}", key);
        }
        PlainCall::new(&self.spec.service, "orders").with_key(key)
    }

    /// Returns the address and the key. The first connection takes both from an address response,
    /// which names another instance if its daemon is leaving; later ones use the route and the
    /// same key.
    async fn key(&self, route: &Route, recorder: &Recorder) -> Result<(String, String), String> {
        let Some(key_sender) = &self.key_sender else {
            return Ok((route.address.clone(), self.known_key().await?));
        };
        let (daemon, address_cache) = (&route.daemon, &self.address_cache);
        let key_daemon = self.spec.key_of.as_ref().unwrap_or(daemon);
        let named = address_cache.find(daemon, key_daemon).await?;
        let key = named.key(&self.unique);
        key_sender.send_replace(Some(key.clone()));
        if key_daemon != daemon {
            return Ok((route.address.clone(), key));
        }
        recorder.redirect(&named.instance);
        Ok((named.address, key))
    }

    async fn known_key(&self) -> Result<String, String> {
        let mut key = self.key.clone();
        let known = timeout(KEY_TIMEOUT, key.wait_for(Option::is_some)).await;
        let known = known.ok().and_then(Result::ok).and_then(|key| key.clone());
        known.ok_or_else(|| "the first connection got no key".to_owned())
    }
}
