//! Every file of `scenarios/` is a test.

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

/// Scenarios that run at once; each has ten to twenty processes.
const AT_ONCE: usize = 3;
/// Logs of scenarios that failed.
const KEEP: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/scenarios");
/// How often a scenario is carried out again because the host was paused meanwhile.
const REPEATS: usize = 2;
/// A pause of the host from which daemons take themselves for paused.
const PAUSE: Duration = Duration::from_secs(1);
/// Pause between two looks at the clock.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

static TURNS: Semaphore = Semaphore::const_new(AT_ONCE);

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds(#[files("scenarios/*.yaml")] file: PathBuf) {
    let _turn = TURNS.acquire().await.expect("the semaphore stays open");
    for repeat in 0..=REPEATS {
        let pauses = pauses();
        let Err(error) = run(&file).await else {
            return;
        };
        // A page that names no pause of the daemons is not carried out as written if the host
        // itself stood still; without such a pause every failure counts.
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
    runner::run(name.unwrap_or("scenario"), script, Path::new(KEEP)).await
}

/// Counts pauses of this process, and so most likely of the host, until the value is dropped.
fn pauses() -> Arc<AtomicU64> {
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
