//! Upstreams of a rush of calls: where they are, how fast each works at a time, and where and how often callers ask.

/// Data centre of each upstream where all are alike; callers are spread evenly over five.
const EVEN_HOMES: [usize; 6] = [0, 0, 1, 2, 3, 4];

/// Data centres where all upstreams are alike.
const EVEN_DATA_CENTRES: usize = 5;

/// What a call takes at each upstream, over the mean, where that does not change.
const EVEN_SLOWNESS: [f64; 6] = [0.9, 1.0, 1.3, 0.85, 1.05, 1.0];

/// Data centre of each upstream where there are few, one in each, and what a call takes there, over the mean.
const FEW_HOMES: [usize; 3] = [0, 1, 2];
const FEW_SLOWNESS: [f64; 3] = [0.9, 1.0, 1.1];

/// Data centre of each upstream of the uneven site.
const UNEVEN_HOMES: [usize; 7] = [0, 0, 1, 1, 2, 2, 3];

/// Data centres of the uneven site.
const UNEVEN_DATA_CENTRES: usize = 4;

/// Probability that an upstream of the uneven site is slow, and how many times as long a call then takes.
const SLOW_SHARE: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;

/// Time for which the same upstreams of the uneven site are slow, in milliseconds.
const SLOW_MS: u64 = 600;

/// Calls per millisecond at the peak of a wave at the uneven site.
const PEAK_PER_MS: f64 = 0.431;

/// Period of the waves in milliseconds, and the part of it between the peaks of two data centres.
const WAVE_MS: f64 = 12_000.0;
const WAVE_SHIFT: f64 = 0.06;

/// Calls of a data centre between its peaks, over those at them.
const WAVE_LEAST: f64 = 0.3;

/// Time in which some upstreams are leaving, in milliseconds from the start; a peak is in its middle.
const LEAVING_MS: std::ops::Range<u64> = 9_000..17_000;

/// Upstreams of a rush, and the callers before them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Layout {
    /// Six upstreams of constant speed; callers are spread evenly.
    Even,
    /// The same with three upstreams.
    Few,
    /// Seven upstreams, some of which are slow for a time; waves of callers differ by data centre.
    Uneven {
        /// Upstreams that leave for some seconds, and come back as new incarnations.
        leaving: usize,
    },
}

impl Layout {
    /// Data centre of each upstream.
    pub fn homes(self) -> &'static [usize] {
        match self {
            Self::Even => &EVEN_HOMES,
            Self::Few => &FEW_HOMES,
            Self::Uneven { .. } => &UNEVEN_HOMES,
        }
    }

    /// Number of data centres.
    pub fn data_centres(self) -> usize {
        match self {
            Self::Even => EVEN_DATA_CENTRES,
            Self::Few => FEW_HOMES.len(),
            Self::Uneven { .. } => UNEVEN_DATA_CENTRES,
        }
    }

    /// Name of the data centre of an instance.
    pub fn data_centre(self, instance: usize) -> String {
        format!("dc-{}", instance % self.data_centres())
    }

    /// What a call that starts `since` milliseconds from the start takes at an upstream, over the usual.
    pub fn slowness(self, seed: u64, upstream: usize, since: u64) -> f64 {
        match self {
            Self::Even => EVEN_SLOWNESS[upstream],
            Self::Few => FEW_SLOWNESS[upstream],
            Self::Uneven { .. } => {
                let draw = [seed, upstream as u64, since / SLOW_MS];
                let mut hasher = blake3::Hasher::new();
                for number in draw {
                    hasher.update(&number.to_le_bytes());
                }
                let byte = hasher.finalize().as_bytes()[0];
                if f64::from(byte) < SLOW_SHARE * 256.0 {
                    SLOW_FACTOR
                } else {
                    1.0
                }
            }
        }
    }

    /// The same in the bound on what can be answered in time, which is reckoned at the mean speed where that is constant.
    pub fn ceiling_slowness(self, seed: u64, upstream: usize, since: u64) -> f64 {
        match self {
            Self::Even | Self::Few => 1.0,
            Self::Uneven { .. } => self.slowness(seed, upstream, since),
        }
    }

    /// Calls of the data centre of an instance at a time, over those at its peak.
    pub fn wave(self, instance: usize, since: u64) -> f64 {
        match self {
            Self::Even | Self::Few => 1.0,
            Self::Uneven { .. } => {
                let data_centre = instance % UNEVEN_DATA_CENTRES;
                let phase = since as f64 / WAVE_MS - data_centre as f64 * WAVE_SHIFT;
                let height = (1.0 - (std::f64::consts::TAU * phase).cos()) / 2.0;
                WAVE_LEAST + (1.0 - WAVE_LEAST) * height
            }
        }
    }

    /// Calls per millisecond at the uneven site.
    pub fn calls_per_ms(self, since: u64) -> f64 {
        let waves = (0..UNEVEN_DATA_CENTRES).map(|data_centre| self.wave(data_centre, since));
        PEAK_PER_MS * waves.sum::<f64>() / UNEVEN_DATA_CENTRES as f64
    }

    /// Whether an upstream is leaving at a time.
    pub fn is_leaving(self, upstream: usize, since: u64) -> bool {
        match self {
            Self::Even | Self::Few => false,
            Self::Uneven { leaving } => upstream < leaving && LEAVING_MS.contains(&since),
        }
    }

    /// Start time of the incarnation of an upstream that is listed at a time.
    pub fn started_ms(self, upstream: usize, since: u64) -> u64 {
        match self {
            Self::Uneven { leaving } if upstream < leaving && since >= LEAVING_MS.end => {
                LEAVING_MS.end
            }
            Self::Even | Self::Few | Self::Uneven { .. } => 0,
        }
    }

    /// When the list of upstreams changes, in milliseconds from the start.
    pub fn list_changes_ms(self) -> Vec<u64> {
        match self {
            Self::Uneven { leaving } if leaving > 0 => vec![LEAVING_MS.start, LEAVING_MS.end],
            Self::Even | Self::Few | Self::Uneven { .. } => Vec::new(),
        }
    }
}
