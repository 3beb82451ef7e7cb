//! Health probes of upstreams: `GET /load` returns the load, which also shows that the upstream is alive.

use super::*;
use wellplank_core::counter::AnswerBound;

/// Timeout of a probe; the core gives up on it earlier.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Bound of a load report, of which a sound one takes a hundredth.
const REPORT_BOUND: http::Bound = http::Bound {
    bytes: 64 << 10,
    subject: AnswerBound::Load,
};

/// A load report: the response to a probe, which engines may also add to the events of a stream.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct LoadReport {
    #[serde(default)]
    leaving: bool,
    running: u32,
    slots: u32,
    waiting: u32,
}

impl LoadReport {
    /// Converts the report to the core's representation.
    pub fn load(self) -> Load {
        Load {
            leaving: self.leaving,
            pace_percent: upstream::USUAL_PACE_PERCENT,
            running: self.running,
            slots: self.slots,
            waiting: self.waiting,
        }
    }
}

/// Probes an upstream and reports its load and whether it is alive to the core task.
pub(crate) async fn run(
    http: HttpClient,
    driver: Driver,
    upstream: upstream::Key,
    address: SocketAddr,
) {
    let exchange = http.exchange(http::get(address, "/load"), REPORT_BOUND);
    let result = timeout(TIMEOUT, exchange).await;
    let report = match result {
        Ok(Ok((StatusCode::OK, body))) => serde_json::from_slice::<LoadReport>(&body).ok(),
        Ok(Err(http::Error::TooLong(bound))) => {
            driver.report_too_long(bound, address);
            None
        }
        _ => None,
    };
    let alive = report.is_some();
    if let Some(report) = report {
        driver.send_event(Event::Load {
            load: report.load(),
            upstream,
        });
    }
    driver.send_event(Event::Probed { upstream, alive });
}
