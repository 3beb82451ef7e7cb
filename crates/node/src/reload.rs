//! Reloading of the settings file while an instance runs.

use super::*;
use std::time::SystemTime as FileTime;
use tokio::signal::unix::{Signal, SignalKind};

/// Interval between two checks whether the file has changed.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Watches a settings file for changes.
pub(crate) struct SettingsWatcher {
    hangup: Signal,
    /// Modification time at the last read; `None` if it is not known.
    modified: Option<FileTime>,
    path: PathBuf,
    settings: Settings,
}

impl SettingsWatcher {
    /// Watches the file at `path`, from which `settings` were read.
    pub fn new(path: PathBuf, settings: Settings) -> Self {
        Self {
            modified: modified(&path),
            hangup: signals::take(SignalKind::hangup()),
            path,
            settings,
        }
    }

    /// Waits until the file contains other settings. An invalid file is logged and ignored.
    pub async fn next(&mut self) -> Settings {
        loop {
            let cause = tokio::select! {
                _ = self.hangup.recv() => "signal",
                () = sleep(POLL_INTERVAL) => "file",
            };
            let now = modified(&self.path);
            if cause == "file" && now == self.modified {
                continue;
            }
            self.modified = now;
            match arguments::read_settings(&self.path) {
                Ok(settings) => {
                    let same = settings == self.settings;
                    info!(cause, same; "settings read again");
                    self.warn_if_fixed_changed(&settings);
                    if !same {
                        self.settings = settings.clone();
                        return settings;
                    }
                }
                Err(error) => error!("the settings in force stay: {error}"),
            }
        }
    }

    /// Warns if settings were changed that take effect only after a restart.
    fn warn_if_fixed_changed(&self, settings: &Settings) {
        let fixed = |settings: &Settings| {
            let addresses = settings
                .hosted
                .map(|hosted| (hosted.metrics, hosted.peers, hosted.ready, hosted.store));
            (settings.instance.clone(), settings.listen, addresses)
        };
        if fixed(settings) != fixed(&self.settings) {
            warn!(
                "changes to the name and addresses of the instance take effect only after a restart"
            );
        }
    }
}

/// Modification time of a file; `None` if it can not be read.
fn modified(path: &Path) -> Option<FileTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}
