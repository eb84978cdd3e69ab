//! Runs the stand-in for a plain application.

use fake::application::Application;
use fake::application::Settings;
use fake::options::Options;
use fake::web;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let values = Options::new("fake-app")
        .with("slots", "concurrent calls; further calls wait (50)")
        .with("service-ms", "duration of one call (5)")
        .with("load-lag-ms", "lag of the load report (200)")
        .parse();
    let default = Settings::default();
    let settings = Settings {
        slots: values.get("slots", default.slots),
        service: values.millis("service-ms", default.service.as_millis() as u64),
        load_lag: values.millis("load-lag-ms", default.load_lag.as_millis() as u64),
    };
    let listener = web::bind(values.listen()).await?;
    println!("listening {}", listener.local_addr()?);
    Application::new(settings).serve(listener).await
}
