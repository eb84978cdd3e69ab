//! Replicas that were lost while at work: whether each of them ended.

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::timeout;
use relay::fingerprint::Fingerprint;
use relay::server::Key;

use crate::ask;
use crate::ask::Presence;
use crate::shared::Shared;

/// Pause between two questions to a replica that does not answer.
const ASK_AGAIN: Duration = Duration::from_millis(300);
/// Time after which a replica that does not answer and is still listed is no longer asked. Entries of replicas
/// that end without a word are removed within 3.6 s.
const GIVE_UP: Duration = Duration::from_millis(4_500);
/// Time that a suspect request waits for what is being found out, before it is sent again: a replica that is
/// there answers within some milliseconds, and a port that is closed refuses as soon.
const VERDICT: Duration = Duration::from_millis(400);

/// Finds out whether `replica`, behind `key`, ended.
pub(super) async fn run(shared: Rc<Shared>, key: Key, replica: u64) {
    let begun = Instant::now();
    let mut presence = ask::presence(&shared, key).await;
    while presence == Presence::Unknown && begun.elapsed() < GIVE_UP {
        sleep(ASK_AGAIN).await;
        presence = ask::presence(&shared, key).await;
    }
    for fingerprint in shared.inquiries.take_requests(key) {
        if presence == Presence::Ended {
            shared.note_end(fingerprint, replica);
        }
    }
    shared.inquiries.close();
    log::info!(kind = "inquiry", replica = format!("{replica:016x}"), presence = format!("{presence:?}"), ms = begun.elapsed().as_millis() as u64; "a replica was lost while at work");
}

impl Shared {
    /// Waits for what is being found out about a request that one more ended replica would hold.
    pub async fn inquired(&self, fingerprint: Fingerprint) {
        let is_suspect = |shared: &Self| {
            let quarantine = shared.quarantine.borrow();
            let record = quarantine.get(fingerprint);
            record.is_some_and(|record| record.is_suspect() && !record.is_held())
        };
        let verdict = async {
            loop {
                let closed = self.inquiries.closed();
                if !is_suspect(self) || !self.inquiries.concerns(fingerprint) {
                    return;
                }
                closed.await;
            }
        };
        // Without a verdict in time it goes on like any other.
        let _ = timeout(VERDICT, verdict).await;
    }
}
