//! Frames from other daemons, and from this one to itself.

use ident::Instance;
use wire::Body;
use wire::Frame;

use crate::action::Action;
use crate::node::Node;

impl Node {
    pub(crate) fn frame(&mut self, frame: Frame, out: &mut Vec<Action>) {
        if frame.from != self.settings.instance {
            self.body(frame.from, frame.body, out);
        }
    }

    pub(crate) fn body(&mut self, from: Instance, body: Body, out: &mut Vec<Action>) {
        match body {
            Body::Gossip(message) => {
                self.members.fleet.receive(self.now, from, &message);
                self.timers.fleet = self.now;
            }
            Body::News(news) => self.news(from, news, out),
            Body::Pull => self.pulled(from, out),
            Body::Push(table) => self.take_table(*table, out),
            Body::ListPull => self.list_pulled(from, out),
            Body::ListPush(copy) => self.list_pushed(copy, out),
            Body::Announce { edit, generation } => self.announced(from, edit, generation, out),
            Body::Noted { edit } => self.noted(from, edit, out),
            Body::Submit(ticket) => self.submitted(from, *ticket),
            Body::Verdict(verdict) => self.decided(from, verdict, out),
            Body::Advance { handle, phase } => self.advanced(handle, phase),
            Body::Adopt(hold) => self.adopted(from, &hold),
            Body::Ask { nonce, key } => self.asked(from, nonce, &key, out),
            Body::Told { nonce, told } => self.told(nonce, told, out),
            Body::Claimed { replica, handles } => self.claimed(from, replica, &handles, out),
            Body::Disowned { replica, handles } => self.disowned(replica, &handles, out),
        }
    }
}
