//! Frames between daemons: one HTTP/2 connection for each direction of each pair.
//!
//! A daemon connects to a peer when it has the first frame for it, and sends all frames in the body
//! of one long `POST`. The head of the request proves that the sender holds the fleet's secret,
//! because frames of an outsider could replace the table.
//!
//! Frames contain ages (`wire::TableStatus`), which are wrong in a late frame. Therefore a frame
//! that has waited too long is dropped, a connection whose peer does not answer pings is reset
//! together with the data that the system has buffered for it, and a daemon that was paused drops
//! its incoming connections before reading from them.

mod error;
mod link;
mod queue;
mod server;
mod watchdog;

use std::collections::HashMap;
use std::sync::Arc;

use ident::Instance;
use wire::Frame;

use crate::directory::Directory;
use crate::driver::inbox::Inbox;
use crate::metrics::Metrics;
use crate::peers::queue::Queue;
use crate::secret::Secret;

pub use server::serve;

/// Path of the request that carries frames.
const FRAMES_PATH: &str = "/v1/frames";

/// Header by which the dialling side proves that it holds the fleet's secret.
const PROOF_HEADER: &str = "waxwing-proof";
/// Purpose of the proof of the dialling side; see [`Secret::proof`].
pub const PROOF_PURPOSE: &str = "peer frames";

/// State shared by the links.
#[derive(Debug, Clone)]
pub struct Shared {
    /// Addresses of peers.
    pub directory: Arc<Directory>,
    /// Sends events to the core.
    pub inbox: Inbox,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Proof that the dialling side holds the fleet's secret.
    pub proof: Secret,
}

/// The sending side of all links.
#[derive(Debug)]
pub struct Peers {
    shared: Shared,
    queues: HashMap<Instance, Arc<Queue>>,
}

impl Peers {
    /// Creates a sender without links; a link opens with its first frame.
    pub fn new(shared: Shared) -> Self {
        Self {
            shared,
            queues: HashMap::new(),
        }
    }

    /// Queues `frame` for `to`, dropping it if it cannot be encoded. A full queue evicts other
    /// frames.
    pub fn send(&mut self, to: Instance, frame: &Frame) {
        let bytes = match wire::encode(frame) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!(step = "encode", peer = to.to_string().as_str(); "{error}");
                return;
            }
        };
        let queue = self
            .queues
            .entry(to)
            .or_insert_with(|| open(&self.shared, to));
        let dropped = queue.push(bytes, queue::is_membership(&frame.body));
        self.shared.metrics.frames_dropped(dropped);
    }
}

fn open(shared: &Shared, to: Instance) -> Arc<Queue> {
    let queue = Arc::new(Queue::new());
    tokio::spawn(link::run(shared.clone(), to, Arc::clone(&queue)));
    queue
}
