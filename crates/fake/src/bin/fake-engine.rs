//! Runs the stand-in for a model engine.

use std::time::Duration;

use fake::engine::Engine;
use fake::engine::Settings;
use fake::options::Options;
use fake::options::Values;
use fake::web;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let values = options().parse();
    let engine = Engine::new(settings(&values));
    let listener = web::bind(values.listen()).await?;
    println!("listening {}", listener.local_addr()?);
    engine.serve(listener).await
}

fn options() -> Options {
    Options::new("fake-engine")
        .with("name", "name in the state report (engine)")
        .with("role", "prefill or decode (prefill)")
        .with("slots", "requests that fit in memory (20)")
        .with("queue", "maximum number of queued prefills (32)")
        .with("fences", "refuse lower fencing numbers (true)")
        .with("seed", "seed of the random generator (1)")
        .with("speed", "speed factor of prefill, decode and link (1.0)")
        .with("prefill-ms", "fixed time of a prefill (40)")
        .with("prefill-rate", "prefill rate in tokens per second (8000)")
        .with("decode-ms", "time between tokens with an empty batch (12)")
        .with(
            "decode-each-ms",
            "time added by each request in the batch (0.6)",
        )
        .with("kv-bytes", "bytes of KV cache per token (130000)")
        .with("link-rate", "link rate in bytes per second (3e9)")
        .with("result-ms", "retention of a finished prefill (800)")
        .with("load-lag-ms", "lag of the load report (300)")
        .with("event-lag-ms", "lag of cache events (500)")
        .with("event-gap", "probability of losing a cache event (0.02)")
        .with("blocks", "capacity of the prefix cache in blocks (4096)")
}

fn settings(values: &Values) -> Settings {
    let default = Settings::default();
    let millis = |name: &str, default: Duration| {
        let ms = values.get(name, default.as_secs_f64() * 1_000.0);
        Duration::from_secs_f64(ms / 1_000.0)
    };
    Settings {
        name: values.get("name", default.name),
        role: values.get("role", default.role),
        slots: values.get("slots", default.slots),
        queue: values.get("queue", default.queue),
        fences: values.get("fences", default.fences),
        seed: values.get("seed", default.seed),
        speed: values.get("speed", default.speed),
        prefill_fixed: millis("prefill-ms", default.prefill_fixed),
        prefill_rate: values.get("prefill-rate", default.prefill_rate),
        decode_base: millis("decode-ms", default.decode_base),
        decode_each: millis("decode-each-ms", default.decode_each),
        kv_bytes: values.get("kv-bytes", default.kv_bytes),
        link_rate: values.get("link-rate", default.link_rate),
        result: millis("result-ms", default.result),
        load_lag: millis("load-lag-ms", default.load_lag),
        event_lag: millis("event-lag-ms", default.event_lag),
        event_gap: values.get("event-gap", default.event_gap),
        blocks: values.get("blocks", default.blocks),
    }
}
