//! Replicas that were lost while at work: whether each of them ended.

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::timeout;
use relay::fingerprint::Fingerprint;
use relay::quarantine::LIMIT;
use relay::server::Key;

use crate::clock;
use crate::control;
use crate::control::Presence;
use crate::shared::Shared;

/// Pause between two questions to a replica that does not answer.
const ASK_AGAIN: Duration = Duration::from_millis(300);
/// Questions without an answer from which on a replica counts as ended, about a second after its answer broke off:
/// who sends the request again must know by then, and the list would tell up to 3.6 s after the end. Counted, since
/// time passes without a question where this process is stopped or its machine suspended.
const MAX_UNANSWERED: usize = 3;
/// Questions in all. Their pauses take 3.9 s, longer than the 3.6 s after which a replica that ended is no longer listed;
/// one that still closes connections then is there.
const MAX_QUESTIONS: usize = 14;
/// Time that a request waits for what is being found out, before it is sent again: a replica that is there
/// answers within some milliseconds, and a port that is closed refuses as soon.
const WAIT: Duration = Duration::from_millis(400);

/// Has each lost replica asked whether it is there, forever.
pub async fn run(shared: Rc<Shared>) {
    loop {
        for (key, replica) in shared.inquiries.take_new() {
            tokio::task::spawn_local(find_out(Rc::clone(&shared), key, replica));
        }
        shared.inquiries.opened().await;
    }
}

/// Finds out whether `replica`, behind `key`, ended.
async fn find_out(shared: Rc<Shared>, key: Key, replica: u64) {
    let begun = Instant::now();
    let presence = ask_for_presence(&shared, key).await;
    for fingerprint in shared.inquiries.take_requests(key) {
        if presence != Presence::Here {
            shared.note_end(fingerprint, replica);
        }
    }
    shared.inquiries.close();
    log::info!(kind = "inquiry", replica = format!("{replica:016x}"), presence = format!("{presence:?}"), ms = begun.elapsed().as_millis() as u64; "a replica was lost while at work");
}

async fn ask_for_presence(shared: &Shared, key: Key) -> Presence {
    let mut unanswered = 0;
    for question in 1..=MAX_QUESTIONS {
        match control::probe(shared, key).await {
            Presence::Unknown if unanswered + 1 == MAX_UNANSWERED => return Presence::Unknown,
            Presence::Unknown => unanswered += 1,
            Presence::Closing => {}
            presence => return presence,
        }
        if question < MAX_QUESTIONS {
            sleep(ASK_AGAIN).await;
        }
    }
    Presence::Here
}

impl Shared {
    /// Whether the request may be sent to a replica. Waits for a short time where replicas that were lost with
    /// it may have ended, and would quarantine it together with those that have.
    pub async fn may_send(&self, fingerprint: Fingerprint) -> bool {
        let decided = async {
            loop {
                let closed = self.inquiries.closed();
                if self.quarantined_for(fingerprint).is_some() {
                    return false;
                }
                if !self.is_in_question(fingerprint) {
                    return true;
                }
                closed.await;
            }
        };
        timeout(WAIT, decided).await.unwrap_or(false)
    }

    /// Whether the replicas that were lost with the request would quarantine it if all of them have ended.
    fn is_in_question(&self, fingerprint: Fingerprint) -> bool {
        let quarantine = self.quarantine.borrow();
        let ends = quarantine.get(fingerprint).map_or(0, |r| r.ends.len());
        ends + self.inquiries.count(fingerprint) >= LIMIT
            && !quarantine.was_served_lately(clock::unix(), fingerprint)
    }
}
