//! Probes replicas that were lost while at work, to find out whether they ended.

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::timeout;
use relay::fingerprint::Content;
use relay::replica::Replica;
use relay::server::Key;

use crate::clock;
use crate::control;
use crate::control::Presence;
use crate::presence;
use crate::shared::Shared;

/// Pause between two probes of a replica that does not answer.
const PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Unanswered probes after which a replica counts as ended, about two seconds after its answer broke
/// off: a sound replica may be silent for a second or more, and the list shows the end up to 3.6 s
/// later. Probes are counted instead of time because time also passes while this process is stopped or its
/// machine suspended.
const MAX_UNANSWERED: usize = 5;
/// Maximum number of probes. Their pauses take 3.9 s, longer than the 3.6 s after which an ended
/// replica is no longer listed; one that still closes connections then is alive.
const MAX_PROBES: usize = 14;
/// Probes of a replica that closes its connections after an answer that ended with its connection.
/// One at its connection limit accepts some in between.
const MAX_CLOSING_PROBES: usize = 3;
/// Pause between these probes.
const CLOSING_PAUSE: Duration = Duration::from_millis(100);
/// Maximum time that a request waits for probes before it is sent again: a live replica answers
/// within some milliseconds, and a closed port refuses as fast.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Starts a probe of each lost replica, forever.
pub async fn run(shared: Rc<Shared>) {
    loop {
        for (key, replica) in shared.probes.take_new() {
            tokio::task::spawn_local(probe(Rc::clone(&shared), key, replica));
        }
        shared.probes.added().await;
    }
}

/// Probes `replica`, behind `key`, and records its end if it has ended.
async fn probe(shared: Rc<Shared>, key: Key, replica: u64) {
    let started = Instant::now();
    let presence = probe_presence(&shared, key).await;
    let has_ended = presence != Presence::Here && !presence::is_running(&shared, key).await;
    for suspect in shared.probes.take_suspects(key) {
        if has_ended {
            shared.note_end(&suspect, replica);
        }
    }
    shared.probes.notify_finished();
    log::info!(kind = "inquiry", replica = format!("{replica:016x}"), presence = format!("{presence:?}"), ended = has_ended, ms = started.elapsed().as_millis() as u64; "a replica was lost while at work");
}

/// Whether `replica`, which had `key` and of which an answer has just ended with its connection, is still
/// there; `None` if that is unknown. The end of its process ends an answer, too, also if the replica is
/// draining or has left the list.
pub async fn outlives_answer(shared: &Rc<Shared>, key: Key, replica: &Replica) -> Option<bool> {
    if shared.has_restarted(key) {
        return Some(false);
    }
    let mut presence = control::probe_at(shared, key, replica).await;
    for _ in 1..MAX_CLOSING_PROBES {
        if presence != Presence::Closing {
            break;
        }
        sleep(CLOSING_PAUSE).await;
        presence = control::probe_at(shared, key, replica).await;
    }
    match presence {
        Presence::Here => Some(true),
        Presence::Unknown | Presence::Unreachable => None,
        // The path of this daemon may be cut.
        Presence::Ended | Presence::Closing => {
            let is_running = presence::is_running(shared, key).await;
            (!is_running).then_some(false)
        }
    }
}

async fn probe_presence(shared: &Shared, key: Key) -> Presence {
    let mut unanswered = 0;
    for number in 1..=MAX_PROBES {
        while shared.backs_off(key) {
            sleep(PROBE_PAUSE).await;
        }
        match control::probe(shared, key).await {
            Presence::Unknown | Presence::Unreachable if unanswered + 1 == MAX_UNANSWERED => {
                return Presence::Unknown;
            }
            Presence::Unknown | Presence::Unreachable => unanswered += 1,
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
    /// Whether a request with `content` may be sent to a replica. Waits up to `MAX_WAIT` while the
    /// outcome of probes may quarantine it.
    pub async fn may_send(&self, content: &Content) -> bool {
        let decision = async {
            loop {
                let finished = self.probes.finished();
                if self.withheld(content).is_some() {
                    return false;
                }
                if !self.may_become_withheld(content) {
                    return true;
                }
                finished.await;
            }
        };
        timeout(MAX_WAIT, decision).await.unwrap_or(false)
    }

    fn may_become_withheld(&self, content: &Content) -> bool {
        let quarantine = self.quarantine.borrow();
        let probed = |fingerprint| self.probes.count(fingerprint);
        quarantine.may_become_withheld(clock::unix(), content, probed)
    }
}
