//! Scenes of the routing bench, and what they give.

use wellplank_core::settings::Routing;

/// One setting of the bench.
#[derive(Clone, Debug)]
pub struct Scene {
    /// Whether runners add their load to every tenth token.
    pub carried: bool,
    /// Runners lost in the middle of the time measured.
    pub lost: usize,
    /// Whether one customer asks ten times as much as the others.
    pub flood: bool,
    /// Whether an instance is lost in the middle.
    pub instance_lost: bool,
    /// Requests a customer may have at once over all instances.
    pub max_running: u32,
    /// Work offered over what the runners can do.
    pub offered: f64,
    /// How runners are chosen.
    pub routing: Routing,
    /// Seed.
    pub seed: u64,
    /// Time between load reports, in milliseconds.
    pub load_ms: u64,
    /// Runners that each instance works with; 0 for all.
    pub subset: usize,
}

/// What one scene gave.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests answered whole.
    pub answered: usize,
    /// Times between the tokens of a stream, in milliseconds.
    pub between_ms: Vec<f64>,
    /// Prompt starts found in a cache, and not found.
    pub cache: (u64, u64),
    /// Requests that ended with an error after they were sent.
    pub failed: usize,
    /// Times to the first token, in milliseconds.
    pub first_ms: Vec<f64>,
    /// Times to the first token of customers that do not flood.
    pub first_others_ms: Vec<f64>,
    /// Times to the last token of short requests, in milliseconds.
    pub short_ms: Vec<f64>,
    /// Most requests that the flooding customer had running at once.
    pub most_running: u32,
    /// Requests refused.
    pub refused: usize,
    /// Refusals later than 50 ms.
    pub late: usize,
    /// Times from asking to being refused, in milliseconds.
    pub refusal_ms: Vec<f64>,
    /// Retries, resumes and hedges.
    pub moved: u64,
    /// Tokens of whole answers, by customer.
    pub tokens: Vec<f64>,
    /// Tokens delivered.
    pub delivered: u64,
    /// Requests.
    pub requests: usize,
}

impl Scene {
    /// An ordinary scene.
    pub fn new(routing: Routing, offered: f64) -> Self {
        Self {
            carried: true,
            flood: false,
            instance_lost: false,
            lost: 0,
            max_running: 10_000,
            offered,
            routing,
            seed: 1,
            load_ms: 1_000,
            subset: 0,
        }
    }
}
