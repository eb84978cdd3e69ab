//! Reading the settings again: at SIGHUP, and when the file has changed.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;

use crate::settings::Settings;
use crate::shared::Shared;

/// Time between two looks at the file, which may change without a signal.
const PERIOD: Duration = Duration::from_secs(3);

/// Follows the file at `path`, forever.
pub async fn follow(shared: Rc<Shared>, path: PathBuf) {
    let mut seen = fs::read(&path).ok();
    loop {
        sleep(PERIOD).await;
        let now = fs::read(&path).ok();
        if now != seen {
            seen = now;
            reload(&shared, &path);
        }
    }
}

/// Reads the settings again. What binds sockets and names stays that of the start.
pub fn reload(shared: &Shared, path: &Path) {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!(kind = "reload", cause = error.to_string(); "settings cannot be read; those in force stay");
            return;
        }
    };
    let before = shared.settings();
    match settings {
        settings if settings == *before => {
            log::info!(kind = "reload"; "settings read again; nothing changed");
        }
        settings if settings.needs_restart(&before) => {
            log::warn!(kind = "reload"; "instance, data_centre, listen and store take effect at the next start; the rest is in force");
            shared.apply_settings(settings.with_fixed_fields_of(&before));
        }
        settings => {
            log::info!(kind = "reload"; "settings in force");
            shared.apply_settings(settings);
        }
    }
}
