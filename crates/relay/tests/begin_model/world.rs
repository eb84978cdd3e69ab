//! The state of the model, and its steps.

use std::collections::hash_map::DefaultHasher;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use ident::Time;
use relay::begins::Begin;
use relay::begins::Stream;
use relay::epoch::Epoch;
use relay::replica::Source;
use relay::replica::Stage;
use relay::score::Criteria;
use relay::score::Version;
use relay::server::Key;

use crate::common;
use crate::instance::Instance;
use crate::instance::Proof;
use crate::instance::Reading;
use crate::instance::Resumption;
use crate::instance::Status;
use crate::store::SERVICE;
use crate::store::Store;

pub const INSTANCES: usize = 3;
pub const STEP: Duration = Duration::from_millis(500);
/// How long a stream may be resumed after its first event.
const LIFETIME: Duration = Duration::from_secs(4);
/// How long a replica may begin streams after its entry was removed.
const UNLISTED_SERVICE: Duration = Duration::from_secs(30);
/// How long most replicas begin streams then.
const DRAIN: Duration = Duration::from_secs(1);
/// How long a resumption waits for a list.
const PATIENCE: Duration = Duration::from_secs(2);
/// Steps of time after which nothing that happened before counts.
pub const LONG: usize =
    ((LIFETIME.as_millis() + UNLISTED_SERVICE.as_millis()) / STEP.as_millis()) as usize + 2;
/// Maximum age of a list that proves the only version for a record, and of a peer's that is used.
const MAX_LIST_AGE: Duration = Duration::from_secs(1);

/// A step of the model. Replicas are named by their position among those that run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Time passes.
    Tick,
    /// A replica of a version is listed, which reports its start or not.
    List(usize, bool),
    /// The entry of a replica is removed, which goes on for a while.
    Unlist(usize),
    /// The same for one that goes on for nearly as long as it may.
    Leave(usize),
    /// A replica restarts under its id with a version; its entry follows later.
    Restart(usize, usize),
    /// A replica writes its entry.
    Publish(usize),
    /// The store forgets its history.
    Forget,
    /// The store keeps a copy.
    Copy,
    /// The store comes back from its copy.
    NewEra,
    /// An instance asks the store for the list.
    Read(usize),
    /// The store answers.
    Answer(usize),
    /// The answer is applied.
    Apply(usize),
    /// The three at once.
    Follow(usize),
    /// Time passes, and an instance follows the list; the others do not.
    Watch(usize),
    /// A number of steps of time pass, and all instances follow the list.
    Quiet(usize),
    /// An instance asks another one whether its list is the same, which answers.
    Ask(usize, usize),
    /// The answer is applied.
    Confirm(usize),
    Freeze(usize),
    Thaw(usize),
    Cut(usize),
    Heal(usize),
    Kill(usize),
    Start(usize),
    /// An instance sends a new stream to a replica.
    Send(usize, usize),
    /// The instance of a stream without an event sends it to another replica.
    Resend(usize, usize),
    /// The first event of a stream arrives and is forwarded.
    Event(usize),
    /// An announcement arrives.
    Deliver(usize),
    Lose(usize),
    /// An instance saves its begins in the store.
    Save(usize),
    /// An instance records the only version in the store.
    Record(usize),
    /// An instance reads the record and the changes since.
    Prove(usize),
    /// What it read is applied.
    Vouch(usize),
    /// The caller of a stream comes to an instance; of the others, those in the mask answer.
    Resume(usize, usize, u8),
    /// An instance reads the saved begins for those that wait.
    Load(usize),
}

/// An error that the model has to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The only version of a list counts, however old that is.
    ListOfAnyAge,
    /// A version that a stream was sent to counts as the one that began it.
    SendsCount,
    /// A list counts as read when its answer arrives.
    ReadAtArrival,
}

/// Decisions by their source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Resumptions without a record of the begin.
    pub asked: u64,
    pub began: u64,
    pub only: u64,
    pub unknown: u64,
}

impl Counts {
    pub const fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.began += other.began;
        self.only += other.only;
        self.unknown += other.unknown;
    }

    pub const fn without(self, before: Self) -> Self {
        Self {
            asked: self.asked - before.asked,
            began: self.began - before.began,
            only: self.only - before.only,
            unknown: self.unknown - before.unknown,
        }
    }

    pub const fn decided(self) -> u64 {
        self.began + self.only + self.unknown
    }
}

/// A stream goes on at another version than that of its first event.
#[derive(Debug)]
pub struct Violation {
    pub trace: Vec<Action>,
    cause: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} after", self.cause)?;
        for action in &self.trace {
            writeln!(f, "  {action:?}")?;
        }
        Ok(())
    }
}

#[derive(Debug, Clone, Hash)]
struct Begun {
    software: String,
    at: Time,
}

#[derive(Debug, Clone, Hash)]
struct Played {
    sender: usize,
    run: u32,
    replica: String,
    birth: Option<u64>,
    /// What the sender takes for the version of the replica.
    believed: Option<String>,
    key: Key,
    begun: Option<Begun>,
}

/// An announcement on its way.
#[derive(Debug, Clone)]
struct Message {
    to: usize,
    begin: Begin,
    sent_at: Time,
}

#[derive(Debug)]
pub struct World {
    pub now: Time,
    pub store: Store,
    pub instances: Vec<Instance>,
    streams: Vec<Played>,
    messages: Vec<Message>,
    runs: u32,
    fault: Option<Fault>,
    counts: Counts,
    trace: Vec<Action>,
    violation: Option<String>,
    log: u64,
}

/// Hash of `state` after `log`.
fn chain(log: u64, state: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    log.hash(&mut hasher);
    state.hash(&mut hasher);
    hasher.finish()
}

fn stream_of(number: usize) -> Stream {
    Stream(number as u64 + 1)
}

impl World {
    /// Three instances that were the first to start, with a list of one version.
    pub fn first(fault: Option<Fault>) -> Self {
        let mut world = Self::empty(fault);
        for i in 0..INSTANCES {
            world.instances[i].pool.note_first_start();
            world.perform(Action::Follow(i));
        }
        world
    }

    fn empty(fault: Option<Fault>) -> Self {
        Self {
            now: Time::from_millis(1_000_000),
            store: Store::new(),
            instances: (0..INSTANCES as u32).map(Instance::new).collect(),
            streams: Vec::new(),
            messages: Vec::new(),
            runs: INSTANCES as u32,
            fault,
            counts: Counts::default(),
            trace: Vec::new(),
            violation: None,
            log: 0,
        }
    }

    /// Three instances that have followed a list of one version for long.
    pub fn new(fault: Option<Fault>) -> Self {
        let mut world = Self::empty(fault);
        world.follow_all(LONG);
        world
    }

    /// All instances follow the list for a number of steps of time.
    fn follow_all(&mut self, steps: usize) {
        for step in 0..steps {
            if step % 3 == 0 {
                for instance in 0..INSTANCES {
                    self.perform(Action::Follow(instance));
                }
            }
            self.perform(Action::Tick);
        }
        for instance in 0..INSTANCES {
            self.perform(Action::Follow(instance));
        }
    }

    pub const fn counts(&self) -> Counts {
        self.counts
    }

    pub fn newest_stream(&self) -> usize {
        self.streams.len().saturating_sub(1)
    }

    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    pub fn message_count(&self) -> usize {
        self.messages.len()
    }

    /// Whether a step has an effect.
    pub fn allows(&self, action: Action) -> bool {
        let answered = |i: usize| {
            self.instances[i]
                .reading
                .as_ref()
                .map(|r| r.answer.is_some())
        };
        let begun = |stream: usize| {
            self.streams
                .get(stream)
                .map(|played| played.begun.is_some())
        };
        match action {
            Action::Answer(i) => answered(i) == Some(false),
            Action::Apply(i) => answered(i).is_some(),
            Action::Read(i) => answered(i).is_none(),
            Action::Confirm(i) => self.instances[i].status.is_some(),
            Action::Event(stream) | Action::Resend(stream, _) => begun(stream) == Some(false),
            Action::Resume(stream, ..) => begun(stream) == Some(true),
            Action::Deliver(message) | Action::Lose(message) => message < self.messages.len(),
            Action::Vouch(i) => self.instances[i].proof.is_some(),
            Action::Load(i) => !self.instances[i].waiting.is_empty(),
            Action::Unlist(position)
            | Action::Leave(position)
            | Action::Restart(position, _)
            | Action::Send(_, position) => self.replica(position).is_some(),
            _ => true,
        }
    }

    /// Takes a step; it is ignored if it is not possible.
    pub fn apply(&mut self, action: Action) {
        self.trace.push(action);
        self.perform(action);
    }

    /// The violation, if there was one.
    pub fn violation(&mut self) -> Option<Violation> {
        let cause = self.violation.take()?;
        let trace = std::mem::take(&mut self.trace);
        Some(Violation { trace, cause })
    }

    /// Hash of the state: equal ones have equal futures.
    pub fn hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, self.log, &self.streams).hash(&mut hasher);
        for instance in &self.instances {
            instance.log.hash(&mut hasher);
        }
        let messages = self.messages.iter();
        let mut messages: Vec<_> = messages
            .map(|message| (message.to, message.begin.stream, message.sent_at))
            .collect();
        messages.sort_unstable();
        messages.hash(&mut hasher);
        hasher.finish()
    }

    /// Notes in the history of `instance` what it did.
    fn note(&mut self, instance: usize, action: Action) {
        let state = (self.now, format!("{action:?}"), self.log);
        let instance = &mut self.instances[instance];
        instance.log = chain(instance.log, &state);
    }

    fn replica(&self, position: usize) -> Option<String> {
        self.store.running().get(position).cloned()
    }

    fn perform(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Tick => self.tick(),
            Action::Watch(i) => {
                self.tick();
                self.perform(Action::Follow(i));
            }
            Action::List(software, is_born) => self.change_store(action, |store| {
                store.list(software, is_born);
            }),
            Action::Quiet(steps) => self.follow_all(steps),
            Action::Unlist(position) => {
                self.change_replica(action, position, |store, id| {
                    store.unlist(id, now + DRAIN);
                });
            }
            Action::Leave(position) => {
                self.change_replica(action, position, |store, id| {
                    store.unlist(id, now + UNLISTED_SERVICE);
                });
            }
            Action::Restart(position, software) => {
                self.change_replica(action, position, |store, id| store.restart(id, software));
            }
            Action::Publish(position) => self.change_replica(action, position, Store::publish),
            Action::Forget => self.change_store(action, Store::forget),
            Action::Copy => self.change_store(action, Store::keep_copy),
            Action::NewEra => self.change_store(action, |store| store.begin_era(now)),
            Action::Freeze(i) => self.instances[i].is_frozen = true,
            Action::Thaw(i) => self.instances[i].is_frozen = false,
            Action::Cut(i) => self.instances[i].is_cut = true,
            Action::Heal(i) => self.instances[i].is_cut = false,
            Action::Kill(i) => self.instances[i].is_up = false,
            Action::Start(i) => {
                self.instances[i] = Instance::new(self.runs);
                self.runs += 1;
            }
            Action::Deliver(message) => self.deliver(message),
            Action::Lose(message) => {
                if message < self.messages.len() {
                    self.messages.remove(message);
                }
            }
            Action::Event(stream) => self.event(stream),
            Action::Resend(stream, position) => self.resend(stream, position),
            Action::Answer(i) => self.answer(i),
            Action::Read(i)
            | Action::Apply(i)
            | Action::Follow(i)
            | Action::Ask(i, _)
            | Action::Confirm(i)
            | Action::Send(i, _)
            | Action::Save(i)
            | Action::Record(i)
            | Action::Prove(i)
            | Action::Vouch(i)
            | Action::Resume(_, i, _)
            | Action::Load(i) => {
                if self.instances[i].acts() {
                    self.act(i, action);
                }
            }
        }
        match action {
            Action::Freeze(i)
            | Action::Thaw(i)
            | Action::Cut(i)
            | Action::Heal(i)
            | Action::Kill(i)
            | Action::Start(i) => self.note(i, action),
            _ => {}
        }
    }

    /// A step of an instance that is able to take it.
    fn act(&mut self, i: usize, action: Action) {
        self.note(i, action);
        match action {
            Action::Read(_) => self.read(i),
            Action::Apply(_) => self.apply_reading(i),
            Action::Follow(_) => {
                self.read(i);
                self.answer(i);
                self.apply_reading(i);
            }
            Action::Ask(_, peer) => self.ask_status(i, peer),
            Action::Confirm(_) => self.confirm(i),
            Action::Send(_, position) => self.send(i, position, None),
            Action::Save(_) => self.save(i),
            Action::Record(_) => self.record(i),
            Action::Prove(_) => self.prove(i),
            Action::Vouch(_) => self.vouch(i),
            Action::Resume(stream, _, mask) => self.resume(stream, i, mask),
            Action::Load(_) => self.load(i),
            _ => {}
        }
        self.decide_waiting(i);
    }

    fn change_store(&mut self, action: Action, change: impl FnOnce(&mut Store)) {
        change(&mut self.store);
        self.log = chain(self.log, &(self.now, format!("{action:?}")));
    }

    fn change_replica(
        &mut self,
        action: Action,
        position: usize,
        change: impl FnOnce(&mut Store, &str),
    ) {
        if let Some(id) = self.replica(position) {
            self.change_store(action, |store| change(store, &id));
        }
    }

    fn tick(&mut self) {
        self.now = self.now + STEP;
        self.store.tick(self.now);
        for i in 0..INSTANCES {
            self.instances[i].begins.remove_expired(self.now);
            if self.instances[i].acts() {
                self.announce(i);
                self.decide_waiting(i);
            }
        }
    }

    fn read(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        instance.reading = Some(Reading {
            began_at: self.now,
            since: instance.pool.version(),
            answer: None,
        });
    }

    fn answer(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        if !instance.is_up || instance.is_cut {
            return;
        }
        if let Some(reading) = &mut instance.reading
            && reading.answer.is_none()
        {
            reading.answer = Some(self.store.read(reading.since));
            self.note(i, Action::Answer(i));
        }
    }

    fn apply_reading(&mut self, i: usize) {
        let now = self.now;
        let is_late = self.fault == Some(Fault::ReadAtArrival);
        let instance = &mut self.instances[i];
        let Some(reading) = instance.reading.take() else {
            return;
        };
        let Some(update) = reading.answer else {
            instance.pool.note_outage(now);
            return;
        };
        let read_at = if is_late { now } else { reading.began_at };
        instance.apply(now, Source::Store, read_at, &update);
    }

    fn ask_status(&mut self, i: usize, peer: usize) {
        let (asker, peer) = (&self.instances[i], &self.instances[peer]);
        if asker.is_cut || !peer.is_reached() {
            return;
        }
        let digest = asker.pool.digest();
        let is_same = peer.pool.confirms(self.now, digest);
        let version = asker.pool.version();
        let status = Status {
            asked_at: self.now,
            digest,
            is_same,
            version: peer.pool.version(),
            age: self.now.since(peer.pool.current_at()),
            update: peer.pool.update_for_peer(self.now, version, digest),
        };
        self.instances[i].status = Some(status);
    }

    fn confirm(&mut self, i: usize) {
        let now = self.now;
        let instance = &mut self.instances[i];
        let Some(status) = instance.status.take() else {
            return;
        };
        let read_at = status.asked_at - status.age;
        let is_fresh = now.since(read_at) < MAX_LIST_AGE && status.version.era >= instance.era;
        let is_same = status.is_same && instance.pool.digest() == status.digest;
        match status.update {
            _ if !is_fresh => {}
            _ if is_same && status.version.era == instance.pool.version().era => {
                instance.pool.confirm_read(now, read_at, status.version);
            }
            Some(update) => instance.apply(now, Source::Peer, read_at, &update),
            None => {}
        }
    }

    /// Sends `stream` again at the instance that sent it.
    fn resend(&mut self, number: usize, position: usize) {
        let Some(stream) = self.streams.get(number) else {
            return;
        };
        let (sender, run, is_begun) = (stream.sender, stream.run, stream.begun.is_some());
        let instance = &self.instances[sender];
        if !is_begun && instance.acts() && instance.run == run {
            self.note(sender, Action::Resend(number, position));
            self.send(sender, position, Some(number));
        }
    }

    /// Sends a stream, a new one without a number, to the replica at `position`, if the list allows it.
    fn send(&mut self, i: usize, position: usize, number: Option<usize>) {
        let Some(id) = self.replica(position) else {
            return;
        };
        let process = &self.store.processes[&id];
        let instance = &mut self.instances[i];
        let criteria = Criteria {
            software: Version::Listed,
            ..common::criteria(SERVICE, Some(Stage::Decode), &[], None)
        };
        let mut tried = Vec::new();
        let mut chosen = None;
        while let Some(key) = instance.pool.choose(
            self.now,
            &Criteria {
                tried: &tried,
                ..criteria
            },
            || 0.0,
        ) {
            if instance.pool.get(key).unwrap().replica.id == id {
                chosen = Some(key);
                break;
            }
            tried.push(key);
        }
        let Some(key) = chosen else { return };
        // The reservation shows the incarnation.
        let birth = process.entry.birth;
        if !instance.pool.update_birth(self.now, key, birth).is_empty() {
            return;
        }
        let believed = instance.pool.get(key).unwrap().replica.software.clone();
        let stream = Played {
            sender: i,
            run: instance.run,
            replica: id,
            birth: birth.map(|birth| birth.0),
            believed: believed.clone(),
            key,
            begun: None,
        };
        let is_new = number.is_none();
        let number = number.unwrap_or(self.streams.len());
        if is_new {
            self.streams.push(stream);
        } else {
            self.streams[number] = stream;
        }
        if self.fault == Some(Fault::SendsCount) {
            let software = believed.unwrap_or_default();
            self.begin(number, i, &software);
        }
    }

    /// The first event of a stream leaves for its caller, or, after a resend, of its second attempt.
    fn event(&mut self, number: usize) {
        let Some(stream) = self.streams.get(number).cloned() else {
            return;
        };
        let instance = &self.instances[stream.sender];
        let is_there = instance.acts() && instance.run == stream.run;
        let process = self.store.processes.get(&stream.replica);
        let process =
            process.filter(|process| process.entry.birth.map(|birth| birth.0) == stream.birth);
        let Some(process) = process.filter(|_| is_there && stream.begun.is_none()) else {
            return;
        };
        if instance.pool.has_restarted(stream.key) {
            return;
        }
        let software = process.entry.software.clone().unwrap();
        self.note(stream.sender, Action::Event(number));
        if stream.believed.as_ref() != Some(&software) {
            self.violation = Some(format!(
                "stream {number} began at {software}, believed {:?}",
                stream.believed
            ));
        }
        self.streams[number].begun = Some(Begun {
            software: software.clone(),
            at: self.now,
        });
        self.begin(number, stream.sender, &software);
    }

    /// Records the begin of a stream at instance `i`, and announces it if needed.
    fn begin(&mut self, number: usize, i: usize, software: &str) {
        let begins = &mut self.instances[i].begins;
        let begun = begins.begin(self.now, stream_of(number), SERVICE, software, LIFETIME);
        if begun.is_err() && self.fault.is_none() {
            self.violation = Some(format!("stream {number} has two begins"));
        }
        self.announce(i);
    }

    fn is_only(&self, i: usize) -> bool {
        let pool = &self.instances[i].pool;
        pool.only_version(self.now, SERVICE, LIFETIME).is_some()
    }

    /// Announces the streams of a service with several versions.
    fn announce(&mut self, i: usize) {
        let is_due = !self.is_only(i);
        let instance = &mut self.instances[i];
        let due = instance.begins.take_unannounced(self.now, |_| is_due);
        if instance.is_cut {
            return;
        }
        for begin in due {
            let others = (0..INSTANCES).filter(|other| *other != i);
            self.messages.extend(others.map(|to| Message {
                to,
                begin: begin.clone(),
                sent_at: self.now,
            }));
        }
    }

    fn deliver(&mut self, number: usize) {
        let Some(message) = self.messages.get(number) else {
            return;
        };
        let to = message.to;
        if !self.instances[to].is_reached() {
            return;
        }
        let message = self.messages.remove(number);
        self.note(to, Action::Deliver(message.begin.stream.0 as usize));
        let learnt = self.instances[to].begins.learn(self.now, &message.begin);
        if learnt.is_err() && self.fault.is_none() {
            self.violation = Some("a begin contradicts another one".to_owned());
        }
    }

    fn save(&mut self, i: usize) {
        let instance = &self.instances[i];
        if instance.is_cut {
            return;
        }
        let saved = instance.begins.saved(self.now, 100).into_iter();
        let saved: Vec<_> = saved.map(|(stream, sw)| (stream, sw.to_owned())).collect();
        let run = instance.run;
        if !saved.is_empty() {
            self.change_store(Action::Save(i), |store| store.save(run, saved));
        }
    }

    fn record(&mut self, i: usize) {
        let instance = &self.instances[i];
        let pool = &instance.pool;
        let age = self.now.since(pool.current_at());
        let only = pool.only_version(self.now, SERVICE, LIFETIME);
        let is_of_era = pool.version().era == self.store.revision().era;
        let Some(only) = only.filter(|_| is_of_era && !instance.is_cut && age <= MAX_LIST_AGE)
        else {
            return;
        };
        let epoch = Epoch::new(only.to_owned(), pool.version()).with_listed(pool.replicas());
        self.change_store(Action::Record(i), |store| store.record(epoch));
    }

    fn prove(&mut self, i: usize) {
        let pool = &self.instances[i].pool;
        let needs = pool.has_seen_one_version(self.now, SERVICE, LIFETIME)
            && pool.has_one_version(SERVICE)
            && !self.is_only(i)
            && !self.instances[i].is_cut;
        let epoch = self.store.epoch().filter(|_| needs);
        let proof = epoch.and_then(|epoch| {
            let changes = self.store.changes_since(epoch.list())?;
            let holds = epoch.holds_after(SERVICE, &changes);
            holds.then(|| Proof {
                asked_at: self.now,
                epoch: epoch.clone(),
            })
        });
        self.instances[i].proof = proof;
    }

    fn vouch(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        if let Some(proof) = instance.proof.take() {
            let software = proof.epoch.software;
            instance
                .pool
                .vouch_version(proof.asked_at, SERVICE, software);
        }
    }

    /// The caller of a stream comes to instance `i`, which asks the others.
    fn resume(&mut self, number: usize, i: usize, mask: u8) {
        let stream = self.streams.get(number);
        let begun = stream.and_then(|stream| stream.begun.as_ref());
        if begun.is_none_or(|begun| self.now >= begun.at + LIFETIME) {
            return;
        }
        // What was read before is older.
        self.now = self.now + Duration::from_micros(1);
        let is_cut = self.instances[i].is_cut;
        let others = (0..INSTANCES).filter(|other| *other != i && !is_cut);
        let answering = others.filter(|other| mask & (1 << other) != 0);
        let answering = answering.filter(|other| self.instances[*other].is_reached());
        let asked = std::iter::once(i).chain(answering);
        let found = asked.into_iter().find_map(|instance| {
            let begins = &self.instances[instance].begins;
            begins.find(self.now, stream_of(number)).map(str::to_owned)
        });
        match found {
            Some(software) => {
                self.counts.began += 1;
                self.bind(number, i, &software, "began");
            }
            None => {
                self.counts.asked += 1;
                self.instances[i].waiting.push(Resumption {
                    stream: number,
                    asked_at: self.now,
                });
            }
        }
    }

    fn only_version_at(&self, i: usize, asked_at: Time) -> Option<String> {
        let pool = &self.instances[i].pool;
        let only = if self.fault == Some(Fault::ListOfAnyAge) {
            pool.only_version(self.now, SERVICE, LIFETIME)
        } else {
            pool.only_version_at(self.now, SERVICE, LIFETIME, asked_at)
        };
        only.map(str::to_owned)
    }

    /// Decides what the list of instance `i` allows, and refuses what has waited too long.
    fn decide_waiting(&mut self, i: usize) {
        for resumption in std::mem::take(&mut self.instances[i].waiting) {
            match self.only_version_at(i, resumption.asked_at) {
                Some(software) => {
                    self.counts.only += 1;
                    self.bind(resumption.stream, i, &software, "only");
                }
                None if self.now >= resumption.asked_at + PATIENCE => self.counts.unknown += 1,
                None => self.instances[i].waiting.push(resumption),
            }
        }
    }

    /// Reads the saved begins after the list.
    fn load(&mut self, i: usize) {
        if self.instances[i].is_cut {
            return;
        }
        let instance = &mut self.instances[i];
        for (stream, software) in self.store.saved() {
            let begin = Begin {
                stream: *stream,
                software: software.clone(),
                lifetime: LIFETIME,
            };
            if instance.begins.learn(self.now, &begin).is_err() {
                self.violation = Some("a saved begin contradicts another one".to_owned());
            }
        }
        for resumption in std::mem::take(&mut self.instances[i].waiting) {
            let begins = &self.instances[i].begins;
            let found = begins.find(self.now, stream_of(resumption.stream));
            match found.map(str::to_owned) {
                Some(software) => {
                    self.counts.began += 1;
                    self.bind(resumption.stream, i, &software, "saved");
                }
                None => self.instances[i].waiting.push(resumption),
            }
        }
    }

    /// A stream goes on at instance `i` with the version `software`.
    fn bind(&mut self, number: usize, i: usize, software: &str, source: &str) {
        let Some(begun) = &self.streams[number].begun else {
            return;
        };
        if begun.software != software {
            self.violation = Some(format!(
                "stream {number} of {} goes on at {software} ({source}, instance {i})",
                begun.software
            ));
            return;
        }
        let is_served = self.instances[i].pool.serves_version(SERVICE, software);
        if is_served && self.store.runs_version(software) {
            self.streams[number].begun = Some(Begun {
                software: software.to_owned(),
                at: self.now,
            });
            self.begin(number, i, software);
        }
    }
}
