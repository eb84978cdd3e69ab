//! The known instances: which are members, and their addresses.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::Fleet;
use fleet::Member;
use fleet::Message;
use fleet::Output;
use fleet::Settings;
use fleet::entry::Entry as Listed;
use fleet::member::State;
use fleet::owner;
use ident::Incarnation;
use ident::Instance;
use ident::Time;
use ident::Zone;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use relay::directory::Endpoint;
use relay::directory::LARGE_SHARE;

use crate::instance_info::InstanceInfo;

/// Key whose owner among the members of a data centre is its poller, the one that reads the store
/// for all.
const POLLER_KEY: u64 = 1;
/// Time after joining during which all listed instances count as members. Members are discovered
/// within a few seconds; until then each newcomer would take itself for the poller.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time for which an unreachable instance is assumed to be running. Later it counts as gone, or
/// replacing instances would be enough to lose the majority.
const ABSENCE_TIMEOUT: Duration = Duration::from_mins(10);
/// Delay of a step from which this daemon counts as having stood still. Others wait for longer before
/// they choose another keeper.
const MIN_STANDSTILL: Duration = Duration::from_millis(400);
/// Number of daemons that may keep a key: the keeper and its deputy.
const KEEPERS: usize = 2;

/// The instances that this daemon knows.
#[derive(Debug)]
pub struct Members {
    own: InstanceInfo,
    /// `None` until this daemon accepts callers, since members are advertised to them.
    fleet: Option<Fleet>,
    /// Whether only members count; see [`SETTLING_TIME`].
    is_settled: bool,
    joined_at: Time,
    others: HashMap<Instance, InstanceInfo>,
    listed: Vec<Listed>,
    /// Whether the list of instances was read from the store.
    is_listed: bool,
    /// Instances that are not reachable members and did not leave, with the time since when.
    absent: HashMap<Instance, Time>,
    /// Those that were members before they became unreachable. The fleet forgets dead members that
    /// are not listed.
    lost: HashSet<Instance>,
    /// Those that announced to leave and have not come back.
    left: HashSet<Instance>,
    /// When each other instance last ceased to be a member in good standing.
    departed: HashMap<Instance, Time>,
    /// When this daemon last saw no majority or stood still, so that others may have had another keeper.
    out_of_touch_at: Time,
    /// Time of the next step.
    next_step: Time,
    /// Time of the last known change of the membership.
    changed_at: Time,
    /// Largest number of instances seen at once; divides the retry budget that all share.
    max_alive: usize,
}

/// A datagram to send.
#[derive(Debug)]
pub struct Outgoing {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Membership message.
    pub message: Message,
    /// Info of a random other instance.
    pub hint: Option<InstanceInfo>,
}

impl Members {
    /// Knows this instance only, which is not yet a member.
    pub fn new(own: InstanceInfo) -> Self {
        Self {
            own,
            fleet: None,
            is_settled: false,
            joined_at: Time::ZERO,
            others: HashMap::new(),
            listed: Vec::new(),
            is_listed: false,
            absent: HashMap::new(),
            lost: HashSet::new(),
            left: HashSet::new(),
            departed: HashMap::new(),
            out_of_touch_at: Time::ZERO,
            next_step: Time::NEVER,
            changed_at: Time::ZERO,
            max_alive: 1,
        }
    }

    /// Info of this instance.
    pub const fn own(&self) -> &InstanceInfo {
        &self.own
    }

    /// Whether this daemon is a member.
    pub const fn joined(&self) -> bool {
        self.fleet.is_some()
    }

    /// Joins the fleet; `started` orders the runs of this instance.
    pub fn join(&mut self, now: Time, started: u64) {
        let incarnation = Incarnation(rand::random());
        let instance = self.own.instance();
        let local_member = Member::new(instance, incarnation, started, self.own.data_centre);
        let mut fleet = Fleet::new(local_member, Settings::new(), rand::random());
        fleet.set_list(now, &self.listed);
        for instance in self.others.keys() {
            self.absent.entry(*instance).or_insert(now);
        }
        self.fleet = Some(fleet);
        self.joined_at = now;
        self.changed_at = now;
        self.out_of_touch_at = now;
        self.next_step = now;
        // Members are discovered one by one; until then the list gives their number.
        self.max_alive = self.max_alive.max(self.listed.len());
    }

    /// Announces that this daemon accepts no new callers.
    pub fn leave(&mut self, now: Time) {
        if let Some(fleet) = &mut self.fleet {
            fleet.leave(now);
        }
    }

    /// Sets the instances that the store lists.
    pub fn set_listed(&mut self, now: Time, instances: &[InstanceInfo]) {
        self.is_listed = true;
        self.listed = instances
            .iter()
            .map(|info| Listed::new(info.instance(), info.data_centre))
            .collect();
        for info in instances {
            self.learn(now, info);
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.set_list(now, &self.listed);
        }
    }

    /// Adds or updates an instance, unless it is this one or its info is not usable.
    pub fn learn(&mut self, now: Time, info: &InstanceInfo) {
        let instance = info.instance();
        if instance == self.own.instance() || !info.is_usable() {
            return;
        }
        if !self.others.contains_key(&instance) {
            self.absent.insert(instance, now);
        }
        self.others.insert(instance, info.clone());
        if !self.listed.iter().any(|entry| entry.instance == instance) {
            self.listed.push(Listed::new(instance, info.data_centre));
        }
    }

    /// Handles a membership message of the instance `from`.
    pub fn receive(&mut self, now: Time, from: &InstanceInfo, message: &Message) {
        let known = self.listed.len();
        self.learn(now, from);
        let Some(fleet) = &mut self.fleet else { return };
        if self.listed.len() > known {
            fleet.set_list(now, &self.listed);
        }
        fleet.receive(now, from.instance(), message);
    }

    /// Runs the due steps; returns the datagrams to send, the members that changed, and the time of
    /// the next step.
    pub fn step(&mut self, now: Time) -> (Vec<Outgoing>, Vec<Member>, Time) {
        if self.stands_still(now) || !self.is_majority(now) {
            self.out_of_touch_at = now;
        }
        let Some(fleet) = &mut self.fleet else {
            return (Vec::new(), Vec::new(), Time::NEVER);
        };
        self.is_settled |= now.since(self.joined_at) > SETTLING_TIME;
        let mut outputs = Vec::new();
        let next = fleet.step(now, &mut outputs);
        self.next_step = next;
        if fleet.declared_dead() {
            let started = fleet.local_member().started + 1;
            self.join(now, started);
            return (Vec::new(), Vec::new(), now);
        }
        let mut sends = Vec::new();
        let mut changed = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, message } => sends.extend(self.outgoing(to, message)),
                Output::Changed { member, before } => {
                    self.note_absence(now, &member, before);
                    changed.push(member);
                }
            }
        }
        self.max_alive = self.max_alive.max(self.alive_count());
        (sends, changed, next)
    }

    /// Records whether `member` is reachable.
    fn note_absence(&mut self, now: Time, member: &Member, before: Option<State>) {
        self.changed_at = now;
        if member.state != State::Alive && before != Some(State::Leaving) {
            self.departed.insert(member.instance, now);
        }
        match member.state {
            State::Alive => {
                self.left.remove(&member.instance);
            }
            State::Leaving => {
                self.left.insert(member.instance);
            }
            State::Suspect | State::Dead => {}
        }
        match member.state {
            // A member that leaves on purpose is not on the other side of a network partition.
            State::Alive | State::Leaving => {
                self.absent.remove(&member.instance);
                self.lost.remove(&member.instance);
            }
            State::Suspect if before != Some(State::Suspect) => {}
            State::Suspect | State::Dead => {
                self.absent.insert(member.instance, now);
                self.lost.insert(member.instance);
            }
        }
    }

    /// Time of the last known change of the membership.
    pub const fn changed_at(&self) -> Time {
        self.changed_at
    }

    /// Since when this daemon, if it is the keeper of `key`, has been so without interruption: no
    /// member that comes before it has left since, and it has neither stood still nor lost the
    /// majority.
    pub fn keeper_since(&self, now: Time, key: u64) -> Time {
        if self.stands_still(now) {
            return now;
        }
        let own = self.own.instance();
        let precedes =
            |other: Instance| owner::choose(key, [own, other].into_iter()) == Some(other);
        let departed = self.departed.iter();
        let preceding = departed.filter(|(instance, _)| precedes(**instance));
        let departed_at = preceding.map(|(_, at)| *at).max();
        departed_at.unwrap_or_default().max(self.out_of_touch_at)
    }

    /// Whether this daemon was to step long before `now`.
    fn stands_still(&self, now: Time) -> bool {
        now.since(self.next_step) >= MIN_STANDSTILL
    }

    /// Whether the reachable members outnumber the instances that may be running out of reach. For
    /// `SETTLING_TIME` after joining, all known instances count as reachable, except members that
    /// were lost meanwhile. A daemon that knows of no other is not a majority.
    pub fn is_majority(&self, now: Time) -> bool {
        let knows_others = self.is_listed || !self.others.is_empty();
        match &self.fleet {
            None => false,
            Some(_) if !knows_others => false,
            Some(fleet) if !self.is_settled => {
                let absent = self.absent(now, fleet);
                let lost = absent.filter(|instance| self.lost.contains(instance));
                let lost = lost.count();
                self.known_count().saturating_sub(lost) > lost
            }
            Some(fleet) => fleet.alive().count() > self.absent(now, fleet).count(),
        }
    }

    /// The unreachable instances that may be running.
    fn absent(&self, now: Time, fleet: &Fleet) -> impl Iterator<Item = Instance> {
        // Collecting the members takes time in proportion to their number; usually none is absent.
        let members = fleet.alive().filter(|_| !self.absent.is_empty());
        let reachable: HashSet<Instance> = members.map(|member| member.instance).collect();
        let absent = self.absent.iter().filter(move |(instance, since)| {
            // The info of a reachable member may have arrived after its membership record.
            now.since(**since) < ABSENCE_TIMEOUT && !reachable.contains(*instance)
        });
        absent.map(|(instance, _)| *instance)
    }

    /// The keeper of `key` and its deputy, with their addresses for peers.
    pub fn keepers(&self, key: u64) -> Vec<(Instance, SocketAddr)> {
        self.rank(key, KEEPERS)
    }

    /// The first `count` instances for `key` by rendezvous hashing, with their addresses for peers.
    pub fn rank(&self, key: u64, count: usize) -> Vec<(Instance, SocketAddr)> {
        let fleet = self.fleet.as_ref();
        let ranked = match fleet.filter(|_| self.is_settled) {
            Some(fleet) => owner::rank(key, fleet.serving().map(|member| member.instance), count),
            None => owner::rank(key, self.not_dead().map(InstanceInfo::instance), count),
        };
        let at = |instance| Some((instance, self.info(instance)?.peers));
        ranked.into_iter().filter_map(at).collect()
    }

    /// Name of an instance, or its key if the name is not known.
    pub fn name(&self, instance: Instance) -> String {
        let info = self.others.get(&instance);
        info.map_or_else(|| instance.to_string(), |info| info.name.clone())
    }

    /// Number of instances that share the retry budget: the largest number of members seen at once.
    pub const fn sharers(&self) -> usize {
        self.max_alive
    }

    /// Instances that are advertised to callers: members that are neither leaving nor suspected.
    pub fn advertised(&self) -> Vec<Endpoint> {
        let Some(fleet) = &self.fleet else {
            return Vec::new();
        };
        let alive = fleet.alive().filter(|member| member.state == State::Alive);
        alive
            .filter_map(|member| self.info(member.instance))
            .map(|info| Endpoint {
                data_centre: info.data_centre,
                address: info.callers,
                capacity: info.capacity,
            })
            .collect()
    }

    /// Peer addresses and capacities of the other instances that are advertised, in `data_centres` if
    /// these are given.
    pub fn serving_peers<'a>(
        &'a self,
        data_centres: Option<&'a [Zone]>,
    ) -> impl Iterator<Item = (SocketAddr, u32)> + 'a {
        let alive = self.fleet.iter().flat_map(Fleet::alive);
        let alive = alive.filter(|member| member.state == State::Alive);
        let infos = alive.filter_map(|member| self.others.get(&member.instance));
        infos
            .filter(move |info| data_centres.is_none_or(|list| list.contains(&info.data_centre)))
            .map(|info| (info.peers, info.capacity))
    }

    /// Whether another instance has the address `ip` for its peers.
    pub fn has_instance_at(&self, ip: IpAddr) -> bool {
        self.others.values().any(|info| info.peers.ip() == ip)
    }

    /// Whether this daemon owns `key`.
    pub fn is_owner(&self, key: u64) -> bool {
        let owner = self.fleet.as_ref().and_then(|fleet| fleet.owner(key));
        owner == Some(self.own.instance())
    }

    /// Whether this daemon is the keeper of `key`; see [`Self::keepers`].
    pub fn is_keeper(&self, key: u64) -> bool {
        let keeper = self.rank(key, 1);
        keeper
            .first()
            .is_some_and(|(instance, _)| *instance == self.own.instance())
    }

    /// Peer address of this data centre's poller; `None` if that is this daemon.
    pub fn poller(&self) -> Option<SocketAddr> {
        let poller = self.poller_in(self.own.data_centre)?;
        self.others.get(&poller).map(|info| info.peers)
    }

    /// The poller of `data_centre`: chosen among the members, or, for [`SETTLING_TIME`] after
    /// joining, among all listed instances that are not known to be dead. Only large instances are
    /// chosen, since the poller serves all others of its data centre.
    fn poller_in(&self, data_centre: Zone) -> Option<Instance> {
        let fleet = self.fleet.as_ref();
        let mut candidates: Vec<&InstanceInfo> = match fleet.filter(|_| self.is_settled) {
            Some(fleet) => {
                let local = fleet.serving().filter(|member| member.zone == data_centre);
                local
                    .filter_map(|member| self.info(member.instance))
                    .collect()
            }
            None => {
                let all = self.not_dead();
                all.filter(|info| info.data_centre == data_centre).collect()
            }
        };
        let largest = candidates.iter().map(|info| info.capacity).max()?;
        let least = f64::from(largest) * LARGE_SHARE;
        candidates.retain(|info| f64::from(info.capacity) >= least);
        owner::choose(
            POLLER_KEY,
            candidates.into_iter().map(InstanceInfo::instance),
        )
    }

    /// Instances that are not known to be dead, including this one.
    fn not_dead(&self) -> impl Iterator<Item = &InstanceInfo> {
        let all = std::iter::once(&self.own).chain(self.others.values());
        all.filter(|info| !self.is_dead(info.instance()))
    }

    /// Whether `instance` announced to leave and is no longer a member.
    pub fn has_left(&self, instance: Instance) -> bool {
        let fleet = self.fleet.as_ref();
        let member = fleet.and_then(|fleet| fleet.current(instance));
        self.left.contains(&instance) && member.is_none_or(|member| member.state == State::Dead)
    }

    fn is_dead(&self, instance: Instance) -> bool {
        let fleet = self.fleet.as_ref();
        let member = fleet.and_then(|fleet| fleet.current(instance));
        member.is_some_and(|member| member.state == State::Dead) || self.lost.contains(&instance)
    }

    /// Peer address of a random other daemon of this data centre; `None` if no other is known.
    pub fn random_local_peer(&self) -> Option<SocketAddr> {
        let local = self.own.data_centre;
        let others = self.others.values();
        let others = others.filter(|info| info.data_centre == local);
        others.map(|info| info.peers).choose(&mut rand::rng())
    }

    /// Number of known instances of this data centre, including this one.
    pub fn local_count(&self) -> usize {
        let local = self.own.data_centre;
        let others = self.others.values();
        1 + others.filter(|info| info.data_centre == local).count()
    }

    /// Peer addresses of the pollers of other data centres, in random order.
    pub fn remote_pollers(&self) -> Vec<SocketAddr> {
        let local = self.own.data_centre;
        let mut remote: Vec<Zone> = self.others.values().map(|info| info.data_centre).collect();
        remote.retain(|zone| *zone != local);
        remote.sort_unstable();
        remote.dedup();
        remote.shuffle(&mut rand::rng());
        let pollers = remote.into_iter().filter_map(|zone| self.poller_in(zone));
        let instances = pollers.filter_map(|poller| self.others.get(&poller));
        instances.map(|info| info.peers).collect()
    }

    /// Peer address of `instance`, if it is known.
    pub fn peer_address(&self, instance: Instance) -> Option<SocketAddr> {
        self.others.get(&instance).map(|info| info.peers)
    }

    /// Peer addresses of all other known instances.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.others.values().map(|info| info.peers).collect()
    }

    /// Number of known instances, including this one.
    pub fn known_count(&self) -> usize {
        1 + self.others.len()
    }

    /// Infos of all known instances, this one first.
    pub fn all_instances(&self) -> Vec<InstanceInfo> {
        let own = std::iter::once(&self.own);
        own.chain(self.others.values()).cloned().collect()
    }

    /// Number of reachable members, including this one.
    pub fn alive_count(&self) -> usize {
        self.fleet.as_ref().map_or(1, |fleet| fleet.alive().count())
    }

    fn info(&self, instance: Instance) -> Option<&InstanceInfo> {
        if instance == self.own.instance() {
            return Some(&self.own);
        }
        self.others.get(&instance)
    }

    fn outgoing(&self, to: Instance, message: Message) -> Option<Outgoing> {
        let info = self.others.get(&to)?;
        let hint = self.others.values().choose(&mut rand::rng());
        Some(Outgoing {
            to: info.peers,
            message,
            hint: hint.filter(|hint| hint.name != info.name).cloned(),
        })
    }
}
