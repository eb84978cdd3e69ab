//! Reloads the settings at SIGHUP and when their file has changed.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;

use crate::settings::Settings;
use crate::shared::Shared;

/// Interval between checks of the file, which may change without a signal.
const PERIOD: Duration = Duration::from_secs(3);

/// Watches the file at `path`, forever.
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

/// Reloads the settings. Those that sockets and names depend on keep their values from the start.
pub fn reload(shared: &Shared, path: &Path) {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!(kind = "reload", cause = error.to_string(); "settings cannot be read; the current ones stay in force");
            return;
        }
    };
    let before = shared.settings();
    match settings {
        settings if settings == *before => {
            log::info!(kind = "reload"; "settings reloaded; nothing changed");
        }
        settings if settings.needs_restart(&before) => {
            log::warn!(kind = "reload"; "instance, data_centre, listen and store take effect at the next start; the other settings are in force");
            shared.apply_settings(settings.with_fixed_fields_of(&before));
        }
        settings => {
            log::info!(kind = "reload"; "settings in force");
            shared.apply_settings(settings);
        }
    }
}
