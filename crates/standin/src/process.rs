//! What a process has used, as the kernel tells it.

use super::*;

/// Clock ticks a second in which the kernel counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of a page of memory.
const PAGE: f64 = 4_096.0;

/// A `wellplank` process run for a measurement; it is ended with the value.
pub struct Process {
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    /// Where it listens for other instances.
    pub peers: SocketAddr,
    child: std::process::Child,
    folder: std::path::PathBuf,
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Used {
    /// Processor time in seconds.
    pub cpu_seconds: f64,
    /// Resident memory in bytes.
    pub memory_bytes: f64,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    /// Starts the `wellplank` that was built beside this program.
    pub fn start(settings: &Value) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("wellplank-{}", Uuid::new_v4()));
        std::fs::create_dir_all(&folder)?;
        let file = folder.join("settings.json");
        std::fs::write(&file, settings.to_string())?;
        let program = std::env::current_exe()?.with_file_name("wellplank");
        let child = std::process::Command::new(program)
            .args(["run", "--settings"])
            .arg(&file)
            .env("RUST_LOG", "warn")
            .stderr(std::process::Stdio::null())
            .stdout(std::process::Stdio::null())
            .spawn()?;
        let address = |name: &str| -> SocketAddr {
            let text = settings["listen"][name].as_str().unwrap_or_default();
            text.parse().expect("settings hold addresses")
        };
        Ok(Self {
            callers: address("callers"),
            child,
            folder,
            operators: address("operators"),
            peers: address("peers"),
        })
    }

    /// What it has used until now.
    pub fn used(&self) -> Used {
        let folder = format!("/proc/{}", self.child.id());
        let read = |name: &str| std::fs::read_to_string(format!("{folder}/{name}"));
        let stat = read("stat").unwrap_or_default();
        let fields: Vec<&str> = stat.split_whitespace().collect();
        let field = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
        let ticks = field(13).unwrap_or(0.0) + field(14).unwrap_or(0.0);
        let pages = read("statm").unwrap_or_default();
        let pages = pages
            .split_whitespace()
            .nth(1)
            .and_then(|text| text.parse::<f64>().ok());
        Used {
            cpu_seconds: ticks / TICKS_PER_SECOND,
            memory_bytes: pages.unwrap_or(0.0) * PAGE,
        }
    }
}

/// Resident memory of a process at its peak, in kibibytes; `None` if it is gone.
pub(crate) fn peak_kib(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
