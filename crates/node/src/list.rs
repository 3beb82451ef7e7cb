//! The platform's list of instances: `GET /instances`, read again and again; it lags.

use super::*;

/// Time that the list has to answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// One line of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub(crate) struct Line {
    /// Where it listens for the system.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Unique name.
    pub instance: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Reads the list for ever and tells the core task and the other tasks.
pub(crate) async fn run(
    settings: Settings,
    driver: Driver,
    sender: watch::Sender<Vec<Line>>,
    traffic: Traffic,
) {
    let http = Http::control(&traffic);
    let mut ticks = interval(Duration::from_millis(settings.list_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(lines) = read(&http, settings.platform.list).await else {
            warn!("the platform's list did not answer");
            continue;
        };
        driver.event(Event::List(lines.iter().map(listed).collect()));
        sender.send_if_modified(|known| {
            let changed = *known != lines;
            *known = lines;
            changed
        });
    }
}

fn listed(line: &Line) -> event::Listed {
    event::Listed {
        address: line.address,
        leaving: line.leaving,
        name: line.instance.clone(),
        pool: line.pool.clone(),
    }
}

async fn read(http: &Http, address: SocketAddr) -> Option<Vec<Line>> {
    let exchange = http.exchange(http::get(address, "/instances"));
    match timeout(PATIENCE, exchange).await {
        Ok(Ok((StatusCode::OK, body))) => serde_json::from_slice(&body).ok(),
        _ => None,
    }
}
