//! Builds settings files.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// The secret of the fleet.
pub const SECRET: &str = "secret of the test fleet";
/// The operator's token.
pub const TOKEN: &str = "token of the test operator";

static COUNT: AtomicU32 = AtomicU32::new(0);

/// Valid settings.
pub fn valid(
    caller: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
    platform: SocketAddr,
) -> String {
    format!(
        "name: entry-1
data_centre: osijek-a
listen: {{caller: \"{caller}\", peer: \"{peer}\", admin: \"{admin}\"}}
platform: \"{platform}\"
secret: \"{SECRET}\"
operators: {{ana: \"{TOKEN}\"}}
"
    )
}

/// Writes settings to a new file.
pub fn write(text: &str) -> PathBuf {
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("entry-{}-{number}.yaml", process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}
