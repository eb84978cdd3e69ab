//! Dispatches frames from other daemons and from this daemon to itself.

use ident::Instance;
use wire::Body;
use wire::Frame;

use crate::action::Action;
use crate::node::Node;

impl Node {
    pub(crate) fn handle_frame(&mut self, frame: Frame, out: &mut Vec<Action>) {
        if frame.from != self.settings.instance {
            self.handle_body(frame.from, frame.body, out);
        }
    }

    pub(crate) fn handle_body(&mut self, from: Instance, body: Body, out: &mut Vec<Action>) {
        match body {
            Body::Gossip(message) => {
                self.members.fleet.receive(self.now, from, &message);
                self.timers.fleet = self.now;
            }
            Body::News(status) => self.handle_table_status(from, status, out),
            Body::Pull => self.send_table(from, out),
            Body::Push(table) => self.apply_table(*table, out),
            Body::ListPull => self.send_list(from, out),
            Body::ListPush(copy) => self.use_peer_list(copy, out),
            Body::Announce { edit, generation } => {
                self.handle_announcement(from, edit, generation, out);
            }
            Body::Noted { edit } => self.handle_confirmation(from, edit, out),
            Body::Submit(ticket) => self.handle_submission(from, *ticket),
            Body::Verdict(verdict) => self.handle_verdict(from, verdict, out),
            Body::Advance { handle, phase } => self.handle_progress(handle, phase),
            Body::Adopt(hold) => self.handle_adoption(from, &hold),
            Body::Ask { nonce, key } => self.handle_key_query(from, nonce, &key, out),
            Body::Told { nonce, told } => self.handle_key_answer(nonce, told, out),
            Body::Claimed { replica, handles } => self.handle_claims(from, replica, &handles, out),
            Body::Disowned { replica, handles } => self.handle_disowned(replica, &handles, out),
        }
    }
}
