//! Sample frames of each kind.

use std::time::Duration;

use bytes::Bytes;
use fleet::Member;
use fleet::Message;
use ident::Handle;
use ident::Incarnation;
use ident::Instance;
use ident::Key;
use ident::Replica;
use ident::Row;
use ident::Zone;
use route::phase::Phase;
use route::scheduler::Hold;
use route::ticket::Ticket;
use route::ticket::Work;
use route::verdict::Choice;
use route::verdict::DecisionDetails;
use route::verdict::Reason;
use route::verdict::Verdict;
use table::Table;
use wire::Body;
use wire::Frame;
use wire::KeyStatus;
use wire::TableStatus;

const INCARNATION: Incarnation = Incarnation(u64::MAX);

/// One frame of each kind, with each variant of its content.
pub fn frames() -> Vec<Frame> {
    let bodies = [gossip(), table(), placement(), keys()];
    bodies.into_iter().flatten().map(frame).collect()
}

/// A frame with a body of `length` bytes in its content.
pub fn large(length: usize) -> Frame {
    frame(key_status(KeyStatus::Answered {
        status: 200,
        body: Some(Bytes::from(vec![b'x'; length])),
    }))
}

fn frame(body: Body) -> Frame {
    Frame::new(Instance::new("entry-1"), INCARNATION, body)
}

fn handle() -> Handle {
    Handle::new(INCARNATION, 300)
}

fn gossip() -> Vec<Body> {
    let me = Member::new(
        Instance::new("entry-1"),
        INCARNATION,
        1_700_000_000_000,
        Zone::new("johar"),
    );
    let news = vec![me; 28];
    let target = Instance::new("entry-2");
    let messages = [
        Message::Ping {
            seq: 0,
            news: Vec::new(),
        },
        Message::Ack {
            seq: u32::MAX,
            news: news.clone(),
        },
        Message::Probe {
            seq: 250,
            target,
            news: news.clone(),
        },
        Message::Pull {
            from: target,
            news: news.clone(),
        },
        Message::Page { news },
    ];
    messages.map(Body::Gossip).to_vec()
}

fn table() -> Vec<Body> {
    let row = table::row::Row::new("ration", "default", "ration");
    let news = TableStatus {
        generation: 7,
        store_age_ms: Some(300),
        settled: true,
        asked: 1_000_000,
        answer: true,
    };
    vec![
        Body::News(news),
        Body::News(TableStatus {
            store_age_ms: None,
            answer: false,
            ..news
        }),
        Body::Pull,
        Body::Push(Box::new(Table::new(7, vec![row]))),
        Body::Announce {
            edit: 2,
            generation: 8,
        },
        Body::Noted { edit: u64::MAX },
    ]
}

fn placement() -> Vec<Body> {
    let replica = Replica::new("ration-decode");
    let work = Work::Model {
        prompt_tokens: 4_000,
        max_tokens: 64,
        blocks: vec![1, u64::MAX],
        done_tokens: 3,
    };
    let ticket = Ticket {
        handle: handle(),
        row: Row::new("ration/default/ration"),
        work,
        waited: Duration::from_millis(1_500),
        home: Zone::new("johar"),
        attempt: 2,
        avoid: vec![replica],
    };
    let choices = [
        Choice::Paired {
            prefill: Replica::new("ration-prefill"),
            decode: replica,
        },
        Choice::Single { replica },
        Choice::Refused {
            reason: Reason::Doomed,
            retry_after: Duration::from_secs(3),
        },
    ];
    let phases = [
        Phase::Prefilled {
            computed: 100,
            cached: 28,
        },
        Phase::Rejected,
        Phase::Decoding,
        Phase::Finished { tokens: 64 },
        Phase::Gone,
    ];
    let hold = Hold {
        ticket: ticket.clone(),
        prefill: None,
        decode: replica,
        phase: Some(Phase::Decoding),
    };
    let mut bodies = vec![Body::Submit(Box::new(ticket)), Body::Adopt(Box::new(hold))];
    bodies.extend(choices.map(verdict));
    bodies.extend(phases.map(|phase| Body::Advance {
        handle: handle(),
        phase,
    }));
    bodies
}

fn verdict(choice: Choice) -> Body {
    Body::Verdict(Verdict {
        handle: handle(),
        choice,
        why: DecisionDetails::default(),
    })
}

fn keys() -> Vec<Body> {
    let replica = Replica::new("ration-decode");
    let key = Key::new("farm-17", "91c5b8f0aa31e2d4.6930b2f1.lorry-12");
    let statuses = [
        KeyStatus::NotSeen,
        KeyStatus::InProgress,
        KeyStatus::Streaming {
            token: "sealed".to_owned(),
        },
        KeyStatus::Answered {
            status: 200,
            body: None,
        },
        KeyStatus::Answered {
            status: 503,
            body: Some(Bytes::from_static(b"lorry 12")),
        },
        KeyStatus::Unknown,
        KeyStatus::Failed,
        KeyStatus::Expired,
    ];
    let handles = vec![handle(); 3];
    let mut bodies = vec![
        Body::Ask { nonce: 5, key },
        Body::Claimed {
            replica,
            handles: handles.clone(),
        },
        Body::Disowned { replica, handles },
    ];
    bodies.extend(statuses.map(key_status));
    bodies
}

const fn key_status(told: KeyStatus) -> Body {
    Body::Told { nonce: 5, told }
}
