//! The two arms of a comparison: requests through daemons, and direct requests to the fake replicas.
//!
//! Both open a connection for each request, as the scenarios' caller does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use engine::Claim;
use engine::Client;
use engine::decode;
use engine::prefill;
use engine::stream;
use ident::Handle;
use ident::Incarnation;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use scenario::caller::Caller;
use scenario::http_client::HttpClient;
use scenario::reply::Outcome;
use scenario::reply::Reply;
use scenario::requests::Completion;
use scenario::requests::PlainCall;
use scenario::stream::Event;

use crate::cluster;
use crate::load::Sample;

const CUSTOMER: &str = "krmiva";
/// Path of the plain call.
const PLAIN_PATH: &str = "lots/17";
/// Size of the vocabulary of prompts.
const WORDS: u64 = 5_000;
/// Distance between the prompt seeds of two run seeds, so that runs share no prompt.
const SEED_STEP: u64 = 1 << 32;

/// A prompt of `words` words, the same for the same `seed` and `number`.
pub fn prompt(seed: u64, number: u64, words: usize) -> String {
    let mut random = Pcg64Mcg::seed_from_u64(seed * SEED_STEP + number);
    let words = (0..words).map(|_| format!("w{}", random.random_range(0..WORDS)));
    words.collect::<Vec<String>>().join(" ")
}

/// Sends requests through daemons in round-robin order.
#[derive(Debug, Clone)]
pub struct ThroughDaemons {
    addresses: Arc<Vec<String>>,
    caller: Caller,
}

impl ThroughDaemons {
    /// Requests to the daemons at `addresses`.
    pub fn new(addresses: Vec<String>) -> Self {
        Self {
            addresses: Arc::new(addresses),
            caller: Caller::new(CUSTOMER),
        }
    }

    fn address(&self, number: u64) -> &str {
        &self.addresses[number as usize % self.addresses.len()]
    }

    /// Sends one plain call.
    pub async fn plain(&self, number: u64) -> Option<Sample> {
        let started = Instant::now();
        let call = PlainCall::new(cluster::APPLICATION, PLAIN_PATH);
        match self.caller.call(self.address(number), &call).await {
            Ok(Outcome::Answered { status: 200, .. }) => Some(plain(started)),
            _ => None,
        }
    }

    /// Sends one language-model request for `tokens` tokens.
    pub async fn model(&self, number: u64, prompt: &str, tokens: u32) -> Option<Sample> {
        let started = Instant::now();
        let request = Completion::new(cluster::MODEL, prompt, tokens);
        let reply = self
            .caller
            .complete(self.address(number), &request)
            .await
            .ok()?;
        let mut stream = match reply {
            Reply::Stream(stream) => stream,
            Reply::Refused(refusal) => {
                eprintln!("request {number} refused: {refusal}");
                return None;
            }
        };
        let mut first = None;
        loop {
            match stream.next().await {
                Event::Head(_) => {}
                Event::Tokens(_) => first = first.or_else(|| Some(started.elapsed())),
                Event::Done(tokens) => return model(started, first, tokens),
                end => {
                    eprintln!("request {number} ended early: {end:?}");
                    return None;
                }
            }
        }
    }
}

/// Sends requests directly to fake replicas in round-robin order.
#[derive(Debug, Clone)]
pub struct Direct {
    prefills: Arc<Vec<SocketAddr>>,
    decodes: Arc<Vec<SocketAddr>>,
    applications: Arc<Vec<String>>,
    client: Client,
    web: HttpClient,
    owner: Incarnation,
}

impl Direct {
    /// Requests to these replicas; `seed` keeps the handles of two runs distinct.
    pub fn new(
        prefills: &[String],
        decodes: &[String],
        applications: Vec<String>,
        seed: u64,
    ) -> Self {
        let parse = |texts: &[String]| texts.iter().filter_map(|text| text.parse().ok()).collect();
        Self {
            prefills: Arc::new(parse(prefills)),
            decodes: Arc::new(parse(decodes)),
            applications: Arc::new(applications),
            client: Client::new(),
            web: HttpClient::new(),
            owner: Incarnation(rand::random::<u64>() ^ seed),
        }
    }

    /// Sends one plain call.
    pub async fn plain(&self, number: u64) -> Option<Sample> {
        let started = Instant::now();
        let address = &self.applications[number as usize % self.applications.len()];
        let answer = self
            .web
            .get(address, &format!("/{PLAIN_PATH}"))
            .await
            .ok()?;
        (answer.status == 200).then(|| plain(started))
    }

    /// Sends one language-model request for `tokens` tokens: a prefill, then a decode.
    pub async fn model(&self, number: u64, prompt: String, tokens: u32) -> Option<Sample> {
        let started = Instant::now();
        let source = self.prefills[number as usize % self.prefills.len()];
        let target = self.decodes[number as usize % self.decodes.len()];
        let claim = Claim::new(Handle::new(self.owner, number), self.owner, 1);
        let request = prefill::Request {
            claim,
            prompt_tokens: prompt.split_whitespace().count() as u32,
            prompt,
            generated: Vec::new(),
            max_tokens: tokens,
            priority: 0,
            blocks: Vec::new(),
        };
        self.client.prefill(source, &request).await.ok()?;
        let request = decode::Request {
            claim,
            source,
            max_tokens: tokens,
            priority: 0,
            offset: 0,
        };
        let mut stream = self.client.decode(target, &request).await.ok()?;
        let mut first = None;
        while let Some(event) = stream.next().await {
            match event.ok()? {
                stream::Event::Tokens { .. } => first = first.or_else(|| Some(started.elapsed())),
                stream::Event::End { offset, .. } => {
                    return model(started, first, u64::from(offset));
                }
                stream::Event::Imported | stream::Event::Superseded => {}
            }
        }
        None
    }
}

fn plain(started: Instant) -> Sample {
    let total = started.elapsed();
    Sample {
        first: total,
        total,
        tokens: 0,
    }
}

fn model(started: Instant, first: Option<Duration>, tokens: u64) -> Option<Sample> {
    let total = started.elapsed();
    first.map(|first| Sample {
        first,
        total,
        tokens,
    })
}
