//! Generates requests modelled on the two users' traffic.

use std::time::Duration;

use ident::Row;
use ident::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use route::rule::Rule;

/// Tokens in one prefix block.
pub const BLOCK: u32 = 128;
/// Period of the load, in seconds.
const CYCLE: f64 = 20.0;
/// Length of the burst in each period, in seconds.
const BURST: f64 = 3.0;
/// Load in a burst relative to the mean.
const BURST_FACTOR: f64 = 1.8;
/// Standard deviation of the logarithm of prompt and output lengths.
const SIGMA: f64 = 0.6;
/// Customers of each class; the requests of one share a prompt prefix.
const CUSTOMERS: usize = 100;

/// A caller class.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Name, also in the key of its row.
    pub name: &'static str,
    /// Fraction of all arrivals of its kind (model or plain).
    pub fraction: f64,
    /// Whether it calls a plain application.
    pub plain: bool,
    /// Its row: share, priority, targets and ceilings.
    pub rule: Rule,
    /// Mean prompt tokens.
    pub prompt: f64,
    /// Mean generated tokens.
    pub output: f64,
}

/// One user's replicas and callers.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Name in the printed tables and the CSV.
    pub name: &'static str,
    /// Prefill replicas.
    pub prefills: usize,
    /// Decode replicas.
    pub decodes: usize,
    /// Model requests per second at full load.
    pub capacity: f64,
    /// One-way delay between data centres.
    pub delay: Duration,
    /// Caller classes.
    pub classes: Vec<Class>,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Index of its caller class.
    pub class: usize,
    /// When it reaches the daemon that owns it.
    pub at: Time,
    /// Prompt tokens.
    pub prompt: u32,
    /// Prefix blocks of the prompt.
    pub blocks: Vec<u64>,
    /// Tokens to generate.
    pub output: u32,
    /// Service time of a plain call.
    pub service: Duration,
    /// When the caller cancels it, if it does.
    pub cancel: Option<Time>,
}

fn class(name: &'static str, fraction: f64, prompt: f64, output: f64) -> Class {
    let rule = Rule {
        row: Row::from_parts("lab", name, "pool"),
        share: 1,
        priority: 5,
        ttft: Duration::from_secs(4),
        tbt: Duration::from_millis(29),
        max_wait: Duration::from_secs(12),
        prefill_ceiling: 1_000,
        decode_ceiling: 1_000,
        retry_percent: 10,
        waste_percent: 50,
    };
    Class {
        name,
        fraction,
        plain: false,
        rule,
        prompt,
        output,
    }
}

fn plain(name: &'static str) -> Class {
    let mut class = class(name, 1.0, 0.0, 0.0);
    class.plain = true;
    class.rule.priority = 0;
    class.rule.ttft = Duration::from_millis(150);
    class.rule.max_wait = Duration::from_secs(2);
    class
}

/// Krmiva: long farm histories, drafts that may wait a little, plain calls for lorry bookings.
pub fn krmiva() -> Workload {
    let mut farmer = class("farmer", 0.34, 6_000.0, 250.0);
    let mut coop = class("coop", 0.33, 6_000.0, 250.0);
    let mut agent = class("agent", 0.33, 6_000.0, 250.0);
    farmer.rule.share = 3;
    coop.rule.share = 2;
    agent.rule.decode_ceiling = 24;
    for class in [&mut farmer, &mut coop, &mut agent] {
        class.rule.waste_percent = 90;
    }
    Workload {
        name: "krmiva",
        prefills: 6,
        decodes: 3,
        capacity: 9.2,
        delay: Duration::from_micros(1_500),
        classes: vec![farmer, coop, agent, plain("lorry")],
    }
}

/// Krmiva with two more decode replicas and two fewer prefill replicas, so that prefill is the
/// bottleneck.
pub fn krmiva_prefill() -> Workload {
    Workload {
        name: "krmiva-4p5d",
        prefills: 4,
        decodes: 5,
        capacity: 11.0,
        ..krmiva()
    }
}

/// Qureshi: summaries of fridge readings, rewrites for which people wait, plain calls for basket syncs.
pub fn qureshi() -> Workload {
    let mut rewrite = class("rewrite", 0.4, 1_800.0, 120.0);
    let mut summary = class("summary", 0.6, 3_500.0, 180.0);
    rewrite.rule.priority = 3;
    rewrite.rule.ttft = Duration::from_millis(1_500);
    rewrite.rule.tbt = Duration::from_millis(25);
    rewrite.rule.max_wait = Duration::from_secs(5);
    summary.rule.ttft = Duration::from_secs(6);
    summary.rule.max_wait = Duration::from_secs(20);
    for class in [&mut rewrite, &mut summary] {
        class.rule.waste_percent = 10;
    }
    Workload {
        name: "qureshi",
        prefills: 7,
        decodes: 5,
        capacity: 25.0,
        delay: Duration::from_micros(500),
        classes: vec![rewrite, summary, plain("basket")],
    }
}

impl Workload {
    /// Generates the requests of a run of `span` at `load` (1.0 is full). A fraction `cancel` of them is
    /// cancelled.
    pub fn requests(&self, load: f64, span: Duration, cancel: f64, seed: u64) -> Vec<Request> {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut all = Vec::new();
        for plain in [false, true] {
            let rate = if plain { 60.0 } else { self.capacity * load };
            let mut at = 0.0;
            loop {
                at += -random.random::<f64>().max(1e-12).ln() / (rate * relative_load(at));
                if at >= span.as_secs_f64() {
                    break;
                }
                all.push(self.request(plain, at, cancel, &mut random));
            }
        }
        all.sort_by_key(|request| request.at);
        all
    }

    fn request(&self, plain: bool, at: f64, cancel: f64, random: &mut Pcg64Mcg) -> Request {
        let index = self.pick_class(plain, random.random());
        let class = &self.classes[index];
        let at = Time((at * 1e6) as u64);
        let customer = (random.random::<f64>().powf(1.6) * CUSTOMERS as f64) as u64;
        let mut customer_random = Pcg64Mcg::seed_from_u64(customer * 31 + index as u64);
        let history = (log_normal(class.prompt * 0.8, &mut customer_random) as u32).min(16_000);
        let fresh = (log_normal(class.prompt * 0.2, random) as u32).clamp(16, 4_000);
        let output =
            (log_normal(class.output, random) as u32).clamp(8, class.output as u32 * 4 + 8);
        let shared_blocks = history / BLOCK;
        let prefix =
            (0..shared_blocks).map(|i| customer << 32 | (index as u64) << 24 | u64::from(i));
        let salt: u64 = random.random::<u64>() | 1 << 63;
        let tail = (shared_blocks..(history + fresh) / BLOCK).map(|i| salt ^ u64::from(i));
        let service = Duration::from_secs_f64(log_normal(0.04, random));
        let given_up = random.random::<f64>() < cancel;
        let patience = Duration::from_secs_f64(random.random::<f64>() * 8.0);
        Request {
            class: index,
            at,
            prompt: history + fresh,
            blocks: if plain {
                Vec::new()
            } else {
                prefix.chain(tail).collect()
            },
            output,
            service,
            cancel: given_up.then_some(at + patience),
        }
    }

    fn pick_class(&self, plain: bool, mut draw: f64) -> usize {
        let mut last = 0;
        for (index, class) in self.classes.iter().enumerate() {
            if class.plain != plain {
                continue;
            }
            last = index;
            draw -= class.fraction;
            if draw < 0.0 {
                break;
            }
        }
        last
    }

    /// The rules of all caller classes.
    pub fn rules(&self) -> Vec<Rule> {
        self.classes.iter().map(|class| class.rule).collect()
    }
}

/// Load at `at` seconds relative to the mean.
fn relative_load(at: f64) -> f64 {
    if at % CYCLE < BURST {
        return BURST_FACTOR;
    }
    (CYCLE - BURST * BURST_FACTOR) / (CYCLE - BURST)
}

/// Draws a log-normal sample with the given mean.
fn log_normal(mean: f64, random: &mut Pcg64Mcg) -> f64 {
    let (a, b): (f64, f64) = (random.random(), random.random());
    let normal = (-2.0 * a.max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
}
