//! A decode replica: a batch whose memory grows, and runs that it sets aside.

use crate::decode::setup::Engine;

/// A run at a replica.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Number of its request.
    pub request: usize,
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Tokens made, and to be made in all.
    pub made: f64,
    /// Tokens to be made in all.
    pub total: f64,
    /// Time for which it is read still, in milliseconds.
    reading: f64,
    /// When it began here.
    begun: f64,
}

/// What happened to a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Happened {
    /// It made tokens.
    Made {
        /// Number of its request.
        request: usize,
        /// Events so far.
        events: u64,
        /// Whether it is over.
        over: bool,
    },
    /// It was set aside for want of memory.
    SetAside(f64),
}

/// One replica.
#[derive(Debug, Clone)]
pub struct Replica {
    engine: Engine,
    running: Vec<Work>,
    /// Runs without memory, the oldest first.
    aside: Vec<Work>,
    /// Memory that is reserved for runs that are not here yet.
    reserved: f64,
}

impl Work {
    /// A run of `request` that was read elsewhere.
    pub const fn new(request: usize, prompt: f64, total: f64) -> Self {
        Self {
            request,
            prompt,
            made: 0.0,
            total,
            reading: 0.0,
            begun: 0.0,
        }
    }

    const fn held(&self) -> f64 {
        self.prompt + self.made
    }
}

impl Replica {
    /// An idle replica.
    pub const fn new(engine: Engine) -> Self {
        Self {
            engine,
            running: Vec::new(),
            aside: Vec::new(),
            reserved: 0.0,
        }
    }

    /// Tokens in use.
    pub fn used(&self) -> f64 {
        self.running.iter().map(Work::held).sum::<f64>() + self.reserved
    }

    /// Reserves `tokens`, if there is room.
    pub fn reserve(&mut self, tokens: f64) -> bool {
        let fits = self.aside.is_empty() && self.used() + tokens <= self.engine.memory as f64;
        if fits {
            self.reserved += tokens;
        }
        fits
    }

    /// Begins `work`, for which `tokens` were reserved.
    pub fn begin(&mut self, now: f64, work: Work, tokens: f64) {
        self.reserved -= tokens;
        self.running.push(Work { begun: now, ..work });
    }

    /// Takes a run away that goes on elsewhere; `None` if it makes no tokens here.
    pub fn stop(&mut self, request: usize) -> Option<Work> {
        let at = self.running.iter().position(|w| w.request == request)?;
        Some(self.running.swap_remove(at))
    }

    /// Requests at work here.
    pub const fn count(&self) -> usize {
        self.running.len() + self.aside.len()
    }

    /// Lets `ms` pass until `now`.
    pub fn pass(&mut self, now: f64, ms: f64, happened: &mut Vec<Happened>) {
        self.bring_back();
        let batch = self.running.len() as f64;
        let step = self.engine.step_ms + self.engine.step_slot_ms * batch;
        // While a prompt is read, next to no tokens are made.
        if let Some(read) = self.running.iter_mut().find(|work| work.reading > 0.0) {
            read.reading -= ms;
            return;
        }
        let event_tokens = self.engine.event_tokens as f64;
        for work in &mut self.running {
            let before = (work.made / event_tokens) as u64;
            work.made = (work.made + ms / step).min(work.total);
            let events = (work.made / event_tokens) as u64;
            let over = work.made >= work.total;
            if over || events > before {
                happened.push(Happened::Made {
                    request: work.request,
                    events,
                    over,
                });
            }
        }
        self.running.retain(|work| work.made < work.total);
        self.set_aside(now, happened);
    }

    /// Sets the newest runs aside until the memory suffices.
    fn set_aside(&mut self, _now: f64, happened: &mut Vec<Happened>) {
        while self.used() > self.engine.memory as f64 && !self.running.is_empty() {
            let newest = (0..self.running.len())
                .max_by(|a, b| self.running[*a].begun.total_cmp(&self.running[*b].begun));
            let Some(newest) = newest else { return };
            let work = self.running.swap_remove(newest);
            happened.push(Happened::SetAside(work.held()));
            self.aside.push(work);
        }
    }

    /// Reads a run again that was set aside, once there is room.
    fn bring_back(&mut self) {
        let room = self.engine.memory as f64 - self.used();
        if self.aside.first().is_some_and(|work| work.held() <= room) {
            let mut work = self.aside.remove(0);
            work.reading = work.held() / (self.engine.read_tokens_ms / 2.0);
            self.running.push(work);
        }
    }
}
