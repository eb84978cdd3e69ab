//! Daemons that are lost without notice and replaced at other addresses, beside a table of instances that lists them all.

use std::time::Duration;

use gateway::instance_info::InstanceInfo;
use gateway::members::Members;
use gateway::members::Outgoing;
use ident::Time;
use ident::Zone;
use rstest::rstest;

/// Interval between two steps of all daemons.
const TICK: Duration = Duration::from_millis(50);
/// Interval between two readings of the list by the pollers.
const LIST_PERIOD: Duration = Duration::from_secs(6);
/// Time from the loss of a machine to the start of another one.
const REPLACE_TIME: Duration = Duration::from_secs(1);
/// Time after which each daemon knows which others it reaches.
const DETECTION_TIME: Duration = Duration::from_secs(5);

/// Daemons, the network between them, and the rows of the table of instances.
struct Fleet {
    now: Time,
    running: Vec<Daemon>,
    rows: Vec<InstanceInfo>,
    read_at: Time,
    started: u8,
}

struct Daemon {
    members: Members,
    /// Only daemons of the same side reach each other; all reach the store.
    side: u8,
}

fn info(number: u8) -> InstanceInfo {
    InstanceInfo {
        name: format!("entry-{number}"),
        data_centre: Zone::new("here"),
        callers: ([127, 0, 0, number], 1).into(),
        peers: ([127, 0, 0, number], 2).into(),
        capacity: 1_000,
    }
}

impl Fleet {
    /// `count` daemons that have found each other.
    fn new(count: u8) -> Self {
        let mut fleet = Self {
            now: Time::ZERO,
            running: Vec::new(),
            rows: (1..=count).map(info).collect(),
            read_at: Time::ZERO,
            started: count,
        };
        for number in 1..=count {
            fleet.start(info(number), 0);
        }
        fleet.run(DETECTION_TIME);
        fleet
    }

    /// Starts a daemon, which writes its row and reads the list.
    fn start(&mut self, own: InstanceInfo, side: u8) {
        if !self.rows.contains(&own) {
            self.rows.push(own.clone());
        }
        let mut members = Members::new(own);
        members.set_listed(self.now, &self.rows);
        members.join(self.now, 1 + self.now.since(Time::ZERO).as_millis() as u64);
        self.running.push(Daemon { members, side });
    }

    /// Starts a daemon at an address of its own.
    fn start_another(&mut self) {
        self.started += 1;
        self.start(info(self.started), 0);
    }

    /// Ends the daemon that has run the longest, without notice, and starts another one a second later.
    fn replace(&mut self) {
        self.running.remove(0);
        self.run(REPLACE_TIME);
        self.start_another();
    }

    /// Ends all daemons and starts them again, but for the one that has run the longest, which is replaced.
    fn restart_all(&mut self) {
        let ended = std::mem::take(&mut self.running);
        for daemon in &ended[1..] {
            self.start(daemon.members.own().clone(), 0);
        }
        self.start_another();
    }

    fn run(&mut self, period: Duration) {
        let end = self.now + period;
        while self.now < end {
            self.now = self.now + TICK;
            for index in 0..self.running.len() {
                self.step(index);
            }
            if self.now.since(self.read_at) >= LIST_PERIOD {
                self.read_at = self.now;
                self.read_lists();
            }
        }
    }

    /// Runs the steps that are due at a daemon and at those that it sends to.
    fn step(&mut self, index: usize) {
        let (sends, _, _) = self.running[index].members.step(self.now);
        let from = self.running[index].members.own().clone();
        let side = self.running[index].side;
        for Outgoing { to, message, hint } in sends {
            let mut all = self.running.iter();
            let reached =
                all.position(|daemon| daemon.side == side && daemon.members.own().peers == to);
            let Some(reached) = reached else { continue };
            let members = &mut self.running[reached].members;
            members.receive(self.now, &from, &message);
            if let Some(hint) = hint {
                members.learn(self.now, &hint);
            }
            self.step(reached);
        }
    }

    /// All daemons read the list, write their rows again if they are missing, and remove those that they may.
    fn read_lists(&mut self) {
        for daemon in &mut self.running {
            let own = daemon.members.own().clone();
            if !self.rows.contains(&own) {
                self.rows.push(own);
            }
            daemon.members.set_listed(self.now, &self.rows);
            let removed = |row: &InstanceInfo| daemon.members.may_unlist(self.now, row.instance());
            let removed: Vec<InstanceInfo> = self
                .rows
                .iter()
                .filter(|row| removed(row))
                .cloned()
                .collect();
            for row in removed {
                daemon.members.note_unlisted(row.instance());
                self.rows.retain(|kept| *kept != row);
            }
        }
    }

    /// Numbers of daemons of each side, of two, that see a majority.
    fn majorities(&self) -> [usize; 2] {
        [0, 1].map(|side| {
            let daemons = self.running.iter().filter(|daemon| daemon.side == side);
            daemons
                .filter(|daemon| daemon.members.is_majority(self.now))
                .count()
        })
    }

    /// Moves the last `count` daemons to the other side.
    fn cut_off(&mut self, count: usize) {
        let kept = self.running.len() - count;
        self.running[kept..]
            .iter_mut()
            .for_each(|daemon| daemon.side = 1);
    }
}

/// Guards against daemons that admit next to nothing of quotas for minutes, since machines that were lost before count as
/// cut off.
#[rstest]
#[case::three(3, 6, 20)]
#[case::five(5, 4, 6)]
#[case::five_for_longer(5, 12, 10)]
#[case::seven(7, 12, 6)]
fn machines_that_are_replaced_one_by_one_do_not_cost_the_majority(
    #[case] count: u8,
    #[case] losses: usize,
    #[case] period_s: u64,
) {
    let mut fleet = Fleet::new(count);
    let all = [usize::from(count), 0];
    for loss in 1..=losses {
        fleet.replace();
        fleet.run(Duration::from_secs(period_s).saturating_sub(REPLACE_TIME));
        assert_eq!(fleet.majorities(), all, "loss {loss}");
    }
    fleet.restart_all();
    fleet.run(DETECTION_TIME);
    assert_eq!(fleet.majorities(), all, "all restarted");
}

/// Guards against two groups that cannot reach each other and both grant whole quotas.
#[test]
fn at_most_one_side_of_a_partition_has_a_majority() {
    for (count, cut_off) in [(2, 1), (3, 1), (4, 2), (5, 2), (7, 3)] {
        let mut fleet = Fleet::new(count);
        fleet.cut_off(cut_off);
        fleet.run(DETECTION_TIME);
        for second in 0..90 {
            fleet.run(Duration::from_secs(1));
            let [larger, smaller] = fleet.majorities();
            assert_eq!(smaller, 0, "{cut_off} of {count}, {second} s");
            assert_eq!(
                larger > 0,
                usize::from(count) > 2 * cut_off,
                "{cut_off} of {count}, {second} s"
            );
        }
    }
}

/// Guards against a daemon that starts on the smaller side and finds no row of the larger one.
#[test]
fn daemons_that_start_on_the_smaller_side_have_no_majority() {
    let mut fleet = Fleet::new(5);
    fleet.cut_off(2);
    fleet.run(Duration::from_secs(30));
    let ended = fleet.running.pop().unwrap();
    fleet.run(DETECTION_TIME);
    fleet.start(ended.members.own().clone(), 1);
    for _ in 0..60 {
        // A daemon that has just started takes all for reachable until it knows better.
        fleet.run(DETECTION_TIME);
        assert_eq!(fleet.majorities(), [3, 0]);
    }
}

/// Guards against the row of a running daemon that stays away once the others reach it again.
#[test]
fn a_daemon_that_was_cut_off_is_back_once_the_others_reach_it() {
    let mut fleet = Fleet::new(5);
    let before = fleet.now;
    fleet.cut_off(2);
    fleet.run(Duration::from_secs(30));
    assert!(!fleet.running[4].members.is_back_since(fleet.now, before));
    fleet.running.iter_mut().for_each(|daemon| daemon.side = 0);
    fleet.run(DETECTION_TIME);
    assert!(fleet.running[4].members.is_back_since(fleet.now, before));
    assert!(!fleet.running[0].members.is_back_since(fleet.now, before));
    assert_eq!(fleet.majorities(), [5, 0]);
}
