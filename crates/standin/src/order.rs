//! Whether streams held events of upstreams of two software versions, over all tries of their callers.

use super::*;
use worker::Run;

/// Header in which a caller that takes a stream up names the try that brought its first event.
const RESUMES: &str = "resumes";

/// Streams that went on at another version than the one that began them, a line each. A stream was begun by the last run from
/// its start before it went on.
pub fn mixed(runs: &[Run]) -> Vec<String> {
    let mut began: HashMap<&str, &str> = HashMap::new();
    let mut mixed = Vec::new();
    for run in runs {
        let name = run.header("wellplank-request-id");
        let origin = match run.header(RESUMES) {
            "" => name,
            origin => origin,
        };
        if run.header("last-event-id").is_empty() {
            began.insert(origin, run.version);
            continue;
        }
        let version = began.get(origin).copied().unwrap_or_default();
        if version != run.version {
            let (worker, other) = (&run.worker, run.version);
            mixed.push(format!(
                "{origin} began at {version}; {name} went on at {other}, {worker}"
            ));
        }
    }
    mixed
}
