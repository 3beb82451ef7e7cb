//! What the process as a whole shows: its resident memory, and how long its core task had to wait for the thread.
//!
//! An end by the limit of memory leaves no line of its own; the lines and gauges here are what is left of it.

use super::*;

/// File that tells the resident memory of this process.
const STATUS_FILE: &str = "/proc/self/status";

/// Start of the line with the resident memory, which is in kibibytes.
const RESIDENT_FIELD: &str = "VmRSS:";

/// Step of the resident memory at which its growth is logged, in bytes.
const GROWTH_STEP: u64 = 32 << 20;

/// Time between two ticks from which the core task counts as held up: callers notice it.
const HELD_UP: Duration = Duration::from_millis(250);

/// Resident memory and lateness of a process, between two reports.
pub(crate) struct ProcessState {
    /// Longest time between two ticks since the last report.
    gap: Duration,
    ticked_at: Instant,
    /// Number of steps of memory that were logged; it does not fall, so that each step is logged once.
    steps: u64,
}

impl ProcessState {
    /// State of a process that starts.
    pub fn new() -> Self {
        Self {
            gap: Duration::ZERO,
            ticked_at: Instant::now(),
            steps: 0,
        }
    }

    /// Records a tick of the core task.
    pub fn record_tick(&mut self) {
        self.gap = self.gap.max(self.ticked_at.elapsed());
        self.ticked_at = Instant::now();
    }

    /// Sets the gauges, and logs what is out of the ordinary. `running` is the number of open requests.
    pub fn report(&mut self, meter: &meter::Meter, running: usize) {
        let gap = std::mem::take(&mut self.gap);
        meter.set_tick_gap(gap);
        if gap >= HELD_UP {
            let gap_ms = gap.as_millis() as u64;
            warn!(gap_ms, running; "the core task was held up");
        }
        let Some(bytes) = resident_bytes() else {
            return;
        };
        meter.set_resident(bytes);
        let steps = bytes / GROWTH_STEP;
        if steps > self.steps {
            self.steps = steps;
            let resident_mib = bytes >> 20;
            warn!(resident_mib, running; "resident memory has grown");
        }
    }
}

/// Resident memory of this process in bytes; `None` where the system does not tell it.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_FIELD));
    let kibibytes: u64 = line?.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes << 10)
}
