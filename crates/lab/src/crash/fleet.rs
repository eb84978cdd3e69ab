//! The daemons' records and the messages between them.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;
use relay::fingerprint::Content;
use relay::fingerprint::Fingerprint;
use relay::quarantine::Change;
use relay::quarantine::Quarantine;
use relay::quarantine::Withheld;
use relay::quarantine::record::Record;
use relay::quarantine::record::UnixMs;

/// Longest delay of a datagram; a quarter of it at least.
const MAX_DELAY: Duration = Duration::from_millis(8);
/// Clock time at the start of a run.
const START: u64 = 1_780_000_000_000;

/// A record on its way.
#[derive(Debug, Clone)]
pub struct Message {
    /// Receiving daemon.
    pub to: usize,
    /// Sending daemon.
    pub from: usize,
    /// The record.
    pub record: Record,
}

/// All daemons.
#[derive(Debug)]
pub struct Fleet {
    daemons: Vec<Quarantine>,
    loss: f64,
    /// Messages sent so far.
    pub messages: u64,
}

impl Fleet {
    /// Daemons without records.
    pub fn new(daemons: usize, loss: f64) -> Self {
        let daemons = (0..daemons as u64).map(|number| {
            let seed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            Quarantine::new().with_seed(seed)
        });
        Self {
            daemons: daemons.collect(),
            loss,
            messages: 0,
        }
    }

    /// Why `daemon` sends a request with `content` to no replica.
    pub fn withheld(&self, now: Duration, daemon: usize, content: &Content) -> Option<Withheld> {
        self.daemons[daemon].withheld(unix(now), content)
    }

    /// Records that `replica` ended while running `contents` of `daemon`; returns the messages to the
    /// others and the contents that became quarantined.
    pub fn note_end(
        &mut self,
        now: Duration,
        daemon: usize,
        contents: &[Fingerprint],
        replica: u64,
    ) -> (Vec<Message>, Vec<Fingerprint>) {
        let mut messages = Vec::new();
        let mut quarantined = Vec::new();
        for content in contents {
            match self.daemons[daemon].note_end(unix(now), *content, replica) {
                Change::Quarantined => quarantined.push(*content),
                Change::Other => {}
                Change::None | Change::Served | Change::Cleared => continue,
            }
            messages.extend(self.announce(daemon, *content));
        }
        (messages, quarantined)
    }

    /// Records that `daemon` served `contents`; returns the messages to the others.
    pub fn note_served(
        &mut self,
        now: Duration,
        daemon: usize,
        contents: impl Iterator<Item = Fingerprint>,
    ) -> Vec<Message> {
        let mut messages = Vec::new();
        for content in contents {
            let record = self.daemons[daemon].note_served(unix(now), content);
            if record.is_some() {
                messages.extend(self.announce(daemon, content));
            }
        }
        messages
    }

    /// Merges a received record; returns the answer, if there is one, and whether the content became
    /// quarantined.
    pub fn receive(&mut self, now: Duration, message: &Message) -> (Option<Message>, bool) {
        let daemon = &mut self.daemons[message.to];
        let change = daemon.merge(unix(now), &message.record);
        let record = daemon.get(message.record.fingerprint).cloned();
        let answer = record.filter(|_| change == Change::Served);
        let answer = answer.map(|record| Message {
            to: message.from,
            from: message.to,
            record,
        });
        self.messages += u64::from(answer.is_some());
        (answer, change == Change::Quarantined)
    }

    /// Whether a datagram arrives, and when.
    pub fn delay(&self, random: &mut Pcg64) -> Option<Duration> {
        let lost = random.random::<f64>() < self.loss;
        let delay = MAX_DELAY.mul_f64(random.random_range(0.25..1.0));
        (!lost).then_some(delay)
    }

    fn announce(&mut self, daemon: usize, content: Fingerprint) -> Vec<Message> {
        let Some(record) = self.daemons[daemon].get(content).cloned() else {
            return Vec::new();
        };
        let others = (0..self.daemons.len()).filter(|other| *other != daemon);
        let messages = others.map(|to| Message {
            to,
            from: daemon,
            record: record.clone(),
        });
        let messages: Vec<Message> = messages.collect();
        self.messages += messages.len() as u64;
        messages
    }
}

const fn unix(now: Duration) -> UnixMs {
    UnixMs(START + now.as_millis() as u64)
}
