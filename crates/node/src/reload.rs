//! Settings that are read again while an instance runs.

use super::*;
use std::time::SystemTime as FileTime;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Time between two looks at whether the file has changed.
const LOOK: Duration = Duration::from_secs(1);

/// Watches a settings file.
pub(crate) struct Reload {
    changed: Option<FileTime>,
    hangup: Signal,
    path: PathBuf,
    settings: Settings,
}

impl Reload {
    /// Watches the file that `settings` came from.
    pub fn new(path: PathBuf, settings: Settings) -> Self {
        Self {
            changed: changed(&path),
            hangup: signal(SignalKind::hangup()).expect("signals can be waited for"),
            path,
            settings,
        }
    }

    /// Waits until the file holds other settings. A file with faults changes nothing.
    pub async fn next(&mut self) -> Settings {
        loop {
            let cause = tokio::select! {
                _ = self.hangup.recv() => "signal",
                () = sleep(LOOK) => "file",
            };
            let now = changed(&self.path);
            if cause == "file" && now == self.changed {
                continue;
            }
            self.changed = now;
            match arguments::read_settings(&self.path) {
                Ok(settings) => {
                    let same = settings == self.settings;
                    info!(cause, same; "settings read again");
                    self.name_fixed(&settings);
                    if !same {
                        self.settings = settings.clone();
                        return settings;
                    }
                }
                Err(error) => error!("the settings in force stay: {error}"),
            }
        }
    }

    /// Names what takes a restart to change.
    fn name_fixed(&self, settings: &Settings) {
        let fixed = |settings: &Settings| {
            let addresses = settings
                .hosted
                .map(|hosted| (hosted.metrics, hosted.peers, hosted.ready, hosted.store));
            (settings.instance.clone(), settings.listen, addresses)
        };
        if fixed(settings) != fixed(&self.settings) {
            warn!("the name and addresses of an instance change only at its start");
        }
    }
}

/// When a file was changed; `None` if that can not be said.
fn changed(path: &Path) -> Option<FileTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}
