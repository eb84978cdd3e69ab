//! Replicas that were lost while at work: whether each of them ended.

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::timeout;
use relay::fingerprint::Fingerprint;
use relay::quarantine::LIMIT;
use relay::server::Key;

use crate::ask;
use crate::ask::Presence;
use crate::clock;
use crate::shared::Shared;

/// Pause between two questions to a replica that does not answer.
const PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Questions without an answer from which on a replica counts as ended, about a second after its answer broke off:
/// who sends the request again must know by then, and the list would tell up to 3.6 s after the end. Counted, since
/// time passes without a question where this process is stopped or its machine suspended.
const MAX_UNANSWERED: usize = 3;
/// Questions in all. Their pauses take 3.9 s, longer than the 3.6 s after which a replica that ended is no longer listed;
/// one that still closes connections then is there.
const MAX_PROBES: usize = 14;
/// Time that a request waits for what is being found out, before it is sent again: a replica that is there
/// answers within some milliseconds, and a port that is closed refuses as soon.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Has each lost replica asked whether it is there, forever.
pub async fn run(shared: Rc<Shared>) {
    loop {
        for (key, replica) in shared.probes.take_new() {
            tokio::task::spawn_local(probe(Rc::clone(&shared), key, replica));
        }
        shared.probes.added().await;
    }
}

/// Finds out whether `replica`, behind `key`, ended.
async fn probe(shared: Rc<Shared>, key: Key, replica: u64) {
    let started = Instant::now();
    let presence = probe_presence(&shared, key).await;
    for fingerprint in shared.probes.take_requests(key) {
        if presence != Presence::Here {
            shared.note_end(fingerprint, replica);
        }
    }
    shared.probes.notify_finished();
    log::info!(kind = "inquiry", replica = format!("{replica:016x}"), presence = format!("{presence:?}"), ms = started.elapsed().as_millis() as u64; "a replica was lost while at work");
}

async fn probe_presence(shared: &Shared, key: Key) -> Presence {
    let mut unanswered = 0;
    for number in 1..=MAX_PROBES {
        match ask::presence(shared, key).await {
            Presence::Unknown if unanswered + 1 == MAX_UNANSWERED => return Presence::Unknown,
            Presence::Unknown => unanswered += 1,
            Presence::Closing => {}
            presence => return presence,
        }
        if number < MAX_PROBES {
            sleep(PROBE_PAUSE).await;
        }
    }
    Presence::Here
}

impl Shared {
    /// Whether the request may be sent to a replica. Waits for a short time where replicas that were lost with
    /// it may have ended, and would quarantine it together with those that have.
    pub async fn may_send(&self, fingerprint: Fingerprint) -> bool {
        let decision = async {
            loop {
                let finished = self.probes.finished();
                if self.quarantined_for(fingerprint).is_some() {
                    return false;
                }
                if !self.may_become_quarantined(fingerprint) {
                    return true;
                }
                finished.await;
            }
        };
        timeout(MAX_WAIT, decision).await.unwrap_or(false)
    }

    /// Whether the replicas that were lost with the request would quarantine it if all of them have ended.
    fn may_become_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let quarantine = self.quarantine.borrow();
        let ends = quarantine.get(fingerprint).map_or(0, |r| r.ends.len());
        ends + self.probes.count(fingerprint) >= LIMIT
            && !quarantine.was_served_lately(clock::unix(), fingerprint)
    }
}
