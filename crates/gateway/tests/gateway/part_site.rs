//! Test setup for prompts with a part that crashes each replica which begins to answer.

use crate::common::caller::Caller;
use crate::common::daemon::Daemon;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::event_texts;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::common::replica::stream_head_without_length;
use crate::site::Site;

/// Part that all prompts begin with.
pub const FIRST: &str = "5c1e07a2";
/// Part that crashes replicas, unless it is the last one.
pub const CRASHING: &str = "e4402b7d";
/// Decode replicas of a site.
const DECODE_REPLICAS: usize = 24;

/// How the answer of a replica ends that crashes.
#[derive(Debug, Clone, Copy)]
pub enum Ending {
    /// In chunks, without the last one.
    InChunks,
    /// Without a length or chunks, before the first event.
    BeforeEvents,
    /// Without a length or chunks, after the first event.
    BetweenEvents,
}

/// A site with several daemons and many replicas.
pub struct PartSite {
    /// Store and first daemon.
    pub site: Site,
    /// The other daemons.
    pub others: Vec<Daemon>,
    /// The prefill replica.
    pub prefill: Replica,
    /// The decode replicas.
    pub decode: Vec<Replica>,
}

impl PartSite {
    /// Starts `daemons` daemons in front of replicas that answer by `script`.
    pub fn start(
        name: &str,
        daemons: usize,
        script: impl Fn(&Message) -> Action + Clone + Send + Sync + 'static,
    ) -> Self {
        Self::start_with_prefill(name, daemons, Replica::start_prefill("i-p"), script)
    }

    /// The same with this prefill replica.
    pub fn start_with_prefill(
        name: &str,
        daemons: usize,
        prefill: Replica,
        script: impl Fn(&Message) -> Action + Clone + Send + Sync + 'static,
    ) -> Self {
        let ids = (1..=DECODE_REPLICAS).map(|number| format!("i-{number}"));
        let decode: Vec<_> = ids.map(|id| Replica::start(&id, script.clone())).collect();
        let site = Site::start_with_prefill(name, &prefill, &decode.iter().collect::<Vec<_>>());
        let others =
            (1..daemons).map(|number| site.start_another(&format!("{name}-{number}"), true));
        let others: Vec<Daemon> = others.collect();
        for daemon in &others {
            daemon.wait_until_ready();
        }
        Self {
            site,
            others,
            prefill,
            decode,
        }
    }

    /// The daemon for the `number`-th request.
    pub fn daemon(&self, number: usize) -> &Daemon {
        match number % (self.others.len() + 1) {
            0 => &self.site.daemon,
            other => &self.others[other - 1],
        }
    }

    /// Number of prefills and runs of prompts in which `part` is not the last one.
    pub fn arrivals(&self, part: &str) -> usize {
        let replicas = self.decode.iter().chain([&self.prefill]);
        let received = replicas.flat_map(Replica::requests);
        received.filter(|request| has_part(request, part)).count()
    }

    /// Number of runs of prompts in which `part` is not the last one.
    pub fn runs(&self, part: &str) -> usize {
        let received = self.decode.iter().flat_map(Replica::requests);
        received.filter(|request| has_part(request, part)).count()
    }
}

/// The parts of `request` without the last one, as the caller spelled them.
fn shared_parts(request: &Message) -> Vec<&str> {
    let prompt = request.header("prompt-prefix").unwrap_or_default();
    let mut ids: Vec<&str> = prompt
        .split(',')
        .filter_map(|part| Some(part.split_once(':')?.0))
        .collect();
    ids.pop();
    ids
}

/// Whether `part` is among the parts of `request`, and not the last one.
pub fn has_part(request: &Message, part: &str) -> bool {
    let id = |text: &str| u64::from_str_radix(text, 16).unwrap();
    shared_parts(request)
        .iter()
        .any(|shared| id(shared) == id(part))
}

/// A script of replicas that crash as they begin to answer a prompt with the part [`CRASHING`].
pub fn crash_on_part(ending: Ending) -> impl Fn(&Message) -> Action + Clone + Send + Sync {
    move |request| match ending {
        _ if !has_part(request, CRASHING) => serve_whole(request),
        Ending::InChunks => Action::Crash([stream_head(request), events(1, 1)].concat()),
        Ending::BeforeEvents => Action::Crash(stream_head_without_length(request)),
        Ending::BetweenEvents => {
            let event = event_texts(1, 1).into_bytes();
            Action::Crash([stream_head_without_length(request), event].concat())
        }
    }
}

/// The answer of a sound replica.
pub fn serve_whole(request: &Message) -> Action {
    Action::Send([stream_head(request), events(1, 2), chunk(b"")].concat())
}

/// Sends a generation whose prompt has the part [`FIRST`], `parts`, and one of its own.
pub fn start_prompt(daemon: &Daemon, parts: &[&str], own: usize) -> Caller {
    let shared = [FIRST].into_iter().chain(parts.iter().copied());
    let shared: Vec<&str> = shared.collect();
    let prompt = format!("{}:200,a{own:07x}:260", shared.join(":200,"));
    start_whole_prompt(daemon, &prompt, own)
}

/// Sends a generation with these parts of its prompt.
pub fn start_whole_prompt(daemon: &Daemon, prompt: &str, own: usize) -> Caller {
    let mut caller = daemon.caller();
    let id = format!("p{own}");
    let headers = [
        ("Request-Id", id.as_str()),
        ("Deadline-Ms", "4000"),
        ("Token-Counts", "1460,80"),
        ("Prompt-Prefix", prompt),
    ];
    let body = format!("prompt {own}");
    caller.start_request("POST /draft/1", &headers, body.as_bytes());
    caller
}

/// Whether a sound request is served in full at the first attempt.
pub fn is_served(daemon: &Daemon, parts: &[&str], own: usize) -> bool {
    let response = start_prompt(daemon, parts, own).read();
    response.status() == 200 && response.complete
}
