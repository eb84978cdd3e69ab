//! The platform as a program of its own.

use fake::options::Options;
use fake::platform::Platform;
use fake::platform::Settings;
use fake::web;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let values = Options::new("fake-platform")
        .with("writes", "writes a second (500)")
        .with("reads", "reads a second (2000)")
        .with("weights", "weight store calls a second (2)")
        .with("latency-ms", "time that each call takes (2)")
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
