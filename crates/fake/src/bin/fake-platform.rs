//! Runs the stand-in for the platform.

use fake::options::Options;
use fake::platform::Platform;
use fake::platform::Settings;
use fake::web;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let values = Options::new("fake-platform")
        .with("writes", "writes per second (500)")
        .with("reads", "reads per second (2000)")
        .with("weights", "weight store calls per second (2)")
        .with("latency-ms", "latency of each call (2)")
        .parse();
    let default = Settings::default();
    let settings = Settings {
        writes: values.get("writes", default.writes),
        reads: values.get("reads", default.reads),
        weights: values.get("weights", default.weights),
        latency: values.millis("latency-ms", default.latency.as_millis() as u64),
    };
    let listener = web::bind(values.listen()).await?;
    println!("listening {}", listener.local_addr()?);
    Platform::new(&settings).serve(listener).await
}
