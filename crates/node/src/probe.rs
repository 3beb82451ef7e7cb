//! Probes of upstreams: `GET /load` answers with the load, and so that the upstream lives.

use super::*;

/// Time after which a probe is not waited for; the core gives up on it earlier.
const PATIENCE: Duration = Duration::from_secs(2);

/// The answer of an upstream.
#[derive(Debug, Deserialize)]
struct Report {
    #[serde(default)]
    leaving: bool,
    running: u32,
    slots: u32,
    waiting: u32,
}

/// Probes an upstream and tells the core task what it said.
pub(crate) async fn run(http: Http, driver: Driver, upstream: upstream::Key, address: SocketAddr) {
    let exchange = http.exchange(http::get(address, "/load"));
    let answer = timeout(PATIENCE, exchange).await;
    let report = match answer {
        Ok(Ok((StatusCode::OK, body))) => serde_json::from_slice::<Report>(&body).ok(),
        _ => None,
    };
    let alive = report.is_some();
    if let Some(report) = report {
        let load = Load {
            leaving: report.leaving,
            running: report.running,
            slots: report.slots,
            waiting: report.waiting,
        };
        driver.event(Event::Load { upstream, load });
    }
    driver.event(Event::Probed { upstream, alive });
}
