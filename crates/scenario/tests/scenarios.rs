//! Every file of `scenarios/` is a test.

use std::path::Path;
use std::path::PathBuf;

use rstest::rstest;
use scenario::play;
use scenario::script::Script;
use tokio::sync::Semaphore;

/// Scenarios that run at once; each has ten to twenty processes.
const AT_ONCE: usize = 3;
/// Logs of scenarios that failed.
const KEEP: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/scenarios");

static TURNS: Semaphore = Semaphore::const_new(AT_ONCE);

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds(#[files("scenarios/*.yaml")] file: PathBuf) {
    let _turn = TURNS.acquire().await.expect("the semaphore stays open");
    let name = file
        .file_stem()
        .and_then(|name| name.to_str())
        .unwrap_or("scenario");
    let script = Script::read(&file).unwrap_or_else(|error| panic!("{error}"));
    let (promise, failure) = (script.promise.clone(), script.failure.clone());
    let played = play::run(name, script, Path::new(KEEP)).await;
    played.unwrap_or_else(|error| panic!("{name}: {error}\n{promise}\n{failure}"));
}
