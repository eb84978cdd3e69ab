//! Withholds streams after a pause until their replica shows that nobody took them over.

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
use crate::open::OpenId;
use crate::open::Withheld;

/// Time that a sent order may take to become visible at its replica.
const ORDER_TRANSIT: Duration = Duration::from_secs(1);

impl Node {
    /// Withholds all streams until they are verified, because other daemons may have taken them
    /// over during a pause longer than the lease.
    pub(crate) fn withhold_streams(&mut self, out: &mut Vec<Action>) {
        for entry in self
            .requests
            .open
            .values_mut()
            .filter(|entry| entry.stage == Stage::Decode)
        {
            entry.withheld.get_or_insert_default();
        }
        self.inspect_withheld(out);
    }

    /// Inspects the replicas of withheld streams.
    pub(crate) fn inspect_withheld(&mut self, out: &mut Vec<Action>) {
        let asked = self.now;
        let replicas: BTreeSet<Replica> = self
            .requests
            .open
            .values()
            .filter(|entry| entry.withheld.is_some())
            .filter_map(|entry| entry.placement.map(|placement| placement.serving))
            .collect();
        out.extend(replicas.into_iter().map(|replica| Action::Inspect {
            replica,
            after: 0,
            asked,
        }));
    }

    /// Verifies withheld streams against the attempts that their replica holds.
    pub(crate) fn verify(
        &mut self,
        replica: Replica,
        works: &[HeldAttempt],
        out: &mut Vec<Action>,
    ) {
        let suspects = self.requests.open_where(|entry| {
            entry.withheld.is_some()
                && entry
                    .placement
                    .is_some_and(|placement| placement.serving == replica)
        });
        for open_id in suspects {
            let handle = self.requests.open[open_id].handle();
            let held = works.iter().find(|held| held.handle == handle).copied();
            self.verify_stream(open_id, held, out);
        }
    }

    /// Verifies one stream. The engine stores the highest fence it received, even if it does not
    /// enforce fences: only one higher than this daemon's shows another reader.
    fn verify_stream(&mut self, open_id: OpenId, held: Option<HeldAttempt>, out: &mut Vec<Action>) {
        let mine = self.incarnation();
        let now = self.now;
        let entry = &mut self.requests.open[open_id];
        let just_sent = now < entry.times.progress + ORDER_TRANSIT;
        let withheld = entry.withheld.take().unwrap_or_default();
        match held {
            Some(held) if held.fence > entry.fence => self.end(open_id, &End::Superseded, out),
            _ if entry.is_abandoned(now) => {
                self.abandon(open_id, "the caller did not come back", out);
            }
            Some(held) if held.owner == mine => self.deliver_withheld(open_id, withheld, out),
            None if just_sent => entry.withheld = Some(withheld),
            Some(_) => {
                let offset = entry.reassembler.delivered();
                self.attach(open_id, offset, out);
                self.notify_keeper(open_id, out);
            }
            None => {
                let failure = Failure::Refused {
                    status: http_status::NOT_FOUND,
                    fence: None,
                };
                self.handle_lost_stream(open_id, failure, out);
            }
        }
    }

    fn deliver_withheld(
        &mut self,
        open_id: OpenId,
        withheld: Vec<Withheld>,
        out: &mut Vec<Action>,
    ) {
        for arrival in withheld {
            match arrival {
                Withheld::Piece(order, piece) if self.is_current(open_id, order) => {
                    self.handle_piece(open_id, piece, out);
                }
                Withheld::End(order, failure) if self.is_current(open_id, order) => {
                    self.handle_decode_failure(open_id, failure, out);
                }
                _ => (),
            }
        }
    }
}
