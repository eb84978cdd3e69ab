//! Streams are withheld after a pause until their replica shows that nobody took them over.

use std::collections::BTreeSet;
use std::time::Duration;

use ident::Replica;
use ledger::stage::Stage;

use crate::action::Action;
use crate::event::Failure;
use crate::event::HeldAttempt;
use crate::http_status;
use crate::node::Node;
use crate::open::End;
use crate::open::OpenKey;
use crate::open::Withheld;

/// Time within which an order that was sent may not yet show at its replica.
const ORDER_TRAVEL: Duration = Duration::from_secs(1);

impl Node {
    /// Withholds every stream until it is verified: this daemon was paused for longer than the
    /// lease, and others may have taken its streams over.
    pub(crate) fn suspect_streams(&mut self, out: &mut Vec<Action>) {
        for entry in self
            .requests
            .open
            .values_mut()
            .filter(|entry| entry.stage == Stage::Decode)
        {
            entry.withheld.get_or_insert_default();
        }
        self.recheck_suspects(out);
    }

    /// Asks the replicas of withheld streams for their state.
    pub(crate) fn recheck_suspects(&mut self, out: &mut Vec<Action>) {
        let asked = self.now;
        let replicas: BTreeSet<Replica> = self
            .requests
            .open
            .values()
            .filter(|entry| entry.withheld.is_some())
            .filter_map(|entry| entry.place.map(|place| place.run))
            .collect();
        out.extend(replicas.into_iter().map(|replica| Action::Inspect {
            replica,
            after: 0,
            asked,
        }));
    }

    /// Verifies suspect streams against what their replica holds.
    pub(crate) fn verify(
        &mut self,
        replica: Replica,
        works: &[HeldAttempt],
        out: &mut Vec<Action>,
    ) {
        let suspects = self.requests.open_where(|entry| {
            entry.withheld.is_some() && entry.place.is_some_and(|place| place.run == replica)
        });
        for opened in suspects {
            let handle = self.requests.open[opened].handle();
            let held = works.iter().find(|held| held.handle == handle).copied();
            self.verify_one(opened, held, out);
        }
    }

    /// The engine keeps the highest fence it was told, also where it does not enforce it: only a
    /// higher one than this daemon's shows another reader.
    fn verify_one(&mut self, opened: OpenKey, held: Option<HeldAttempt>, out: &mut Vec<Action>) {
        let mine = self.incarnation();
        let now = self.now;
        let entry = &mut self.requests.open[opened];
        let just_sent = now < entry.times.progress + ORDER_TRAVEL;
        let withheld = entry.withheld.take().unwrap_or_default();
        match held {
            Some(held) if held.fence > entry.fence => self.end(opened, &End::Superseded, out),
            _ if entry.is_left(now) => self.abandon(opened, "the caller did not come back", out),
            Some(held) if held.owner == mine => self.tell_withheld(opened, withheld, out),
            None if just_sent => entry.withheld = Some(withheld),
            Some(_) => {
                let offset = entry.sequence.delivered();
                self.attach(opened, offset, out);
                self.tell_keeper_adopted(opened, out);
            }
            None => {
                let failure = Failure::Refused {
                    status: http_status::NOT_FOUND,
                    fence: None,
                };
                self.stream_lost(opened, failure, out);
            }
        }
    }

    fn tell_withheld(&mut self, opened: OpenKey, withheld: Vec<Withheld>, out: &mut Vec<Action>) {
        for arrival in withheld {
            match arrival {
                Withheld::Piece(order, piece) if self.is_current(opened, order) => {
                    self.piece(opened, piece, out);
                }
                Withheld::End(order, failure) if self.is_current(opened, order) => {
                    self.decode_failed(opened, failure, out);
                }
                _ => (),
            }
        }
    }
}
