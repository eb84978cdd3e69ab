//! Runs every file of `scenarios/` as a test.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use scenario::error::Error;
use scenario::runner;
use scenario::script::Script;
use tokio::sync::Semaphore;

/// Number of concurrent scenarios; each has ten to twenty processes.
const MAX_CONCURRENT: usize = 3;
/// Folder for the logs of failed scenarios.
const LOG_FOLDER: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/scenarios");
/// How often a scenario is repeated because the host paused during it.
const REPEATS: usize = 2;
/// Pause of the host from which daemons detect that they were suspended.
const PAUSE: Duration = Duration::from_secs(1);
/// Interval between two checks of the clock.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

static PERMITS: Semaphore = Semaphore::const_new(MAX_CONCURRENT);

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn scenario_passes(#[files("scenarios/*.yaml")] file: PathBuf) {
    let _permit = PERMITS
        .acquire()
        .await
        .expect("the semaphore is never closed");
    for repeat in 0..=REPEATS {
        let pauses = count_pauses();
        let Err(error) = run(&file).await else {
            return;
        };
        // A pause of the host also pauses the daemons, so the scenario did not run as written.
        // Without such a pause, every failure counts.
        let paused = pauses.load(Ordering::Relaxed);
        let excused = paused > 0 && repeat < REPEATS;
        assert!(excused, "{}: {error}", file.display());
        println!(
            "repeated {}: the host paused {paused} times: {error}",
            file.display()
        );
    }
}

async fn run(file: &Path) -> Result<(), Error> {
    let name = file.file_stem().and_then(|name| name.to_str());
    let script = Script::read(file)?;
    runner::run(name.unwrap_or("scenario"), script, Path::new(LOG_FOLDER)).await
}

/// Counts pauses of this process, which are most likely pauses of the host, until the returned
/// value is dropped.
fn count_pauses() -> Arc<AtomicU64> {
    let pauses = Arc::new(AtomicU64::new(0));
    let counted = Arc::downgrade(&pauses);
    thread::spawn(move || {
        let mut last = Instant::now();
        while let Some(pauses) = counted.upgrade() {
            thread::sleep(POLL_INTERVAL);
            if last.elapsed() > PAUSE {
                pauses.fetch_add(1, Ordering::Relaxed);
            }
            last = Instant::now();
        }
    });
    pauses
}
