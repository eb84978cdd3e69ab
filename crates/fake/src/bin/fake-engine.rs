//! A model engine as a program of its own.

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
        .with("name", "name in its state (engine)")
        .with("role", "prefill or decode (prefill)")
        .with("slots", "requests that its memory holds (20)")
        .with("queue", "prefills that may wait (32)")
        .with("fences", "whether lower fencing numbers are refused (true)")
        .with("seed", "seed of its random choices (1)")
        .with("speed", "factor on prefill, decode and link (1.0)")
        .with("prefill-ms", "fixed time of a prefill (40)")
        .with("prefill-rate", "tokens a second of a prefill (8000)")
        .with("decode-ms", "time between tokens of an empty batch (12)")
        .with(
            "decode-each-ms",
            "time that each running request adds (0.6)",
        )
        .with("kv-bytes", "bytes of KV cache a token (130000)")
        .with("link-rate", "bytes a second of its link (3e9)")
        .with("result-ms", "how long a finished prefill is kept (800)")
        .with("load-lag-ms", "how late the load report is (300)")
        .with("event-lag-ms", "how late cache events are (500)")
        .with("event-gap", "probability that a cache event is lost (0.02)")
        .with("blocks", "blocks of the prefix cache (4096)")
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
