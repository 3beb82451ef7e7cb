//! Probes of upstreams: `GET /load` answers with the load, and so that the upstream lives.

use super::*;

/// Time after which a probe is not waited for; the core gives up on it earlier.
const PATIENCE: Duration = Duration::from_secs(2);

/// A load report, as upstreams answer a probe and engines may add it to the events of a stream.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Report {
    #[serde(default)]
    leaving: bool,
    running: u32,
    slots: u32,
    waiting: u32,
}

impl Report {
    /// The report as the core takes it.
    pub fn load(self) -> Load {
        Load {
            leaving: self.leaving,
            running: self.running,
            slots: self.slots,
            waiting: self.waiting,
        }
    }
}

/// Probes an upstream and tells the core task what it said.
pub(crate) async fn run(
    http: HttpClient,
    driver: Driver,
    upstream: upstream::Key,
    address: SocketAddr,
) {
    let exchange = http.exchange(http::get(address, "/load"));
    let answer = timeout(PATIENCE, exchange).await;
    let report = match answer {
        Ok(Ok((StatusCode::OK, body))) => serde_json::from_slice::<Report>(&body).ok(),
        _ => None,
    };
    let alive = report.is_some();
    if let Some(report) = report {
        driver.event(Event::Load {
            load: report.load(),
            upstream,
        });
    }
    driver.event(Event::Probed { upstream, alive });
}
