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

/// What a read of the list gave.
enum Read {
    /// New lines, and the tag by which the next read asks whether they changed.
    Changed(Vec<Line>, Option<header::HeaderValue>),
    /// No answer.
    Failed,
    /// The lines are those of the last read.
    Same,
}

/// Reads the list for ever and tells the core task and the other tasks. A list that has not changed
/// since the last read is not sent again.
pub(crate) async fn run(
    settings: Settings,
    clock: Clock,
    driver: Driver,
    sender: watch::Sender<Vec<Line>>,
    traffic: Traffic,
) {
    let http = Http::control(&traffic);
    let mut ticks = interval(Duration::from_millis(settings.list_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tag = None;
    loop {
        ticks.tick().await;
        let asked = clock.now();
        match read(&http, settings.platform.list, tag.as_ref()).await {
            Read::Changed(lines, new_tag) => {
                tag = new_tag;
                let listed = Some(lines.iter().map(listed).collect());
                driver.event(Event::List {
                    requested_at: asked,
                    entries: listed,
                });
                sender.send_replace(lines);
            }
            Read::Failed => warn!("the platform's list did not answer"),
            Read::Same => driver.event(Event::List {
                requested_at: asked,
                entries: None,
            }),
        }
    }
}

fn listed(line: &Line) -> event::ListEntry {
    event::ListEntry {
        address: line.address,
        born: 0,
        data_centre: line.data_centre.clone(),
        leaving: line.leaving,
        name: line.instance.clone(),
        pool: line.pool.clone(),
        registered_at: Position::default(),
        slots: 0,
        version: String::new(),
    }
}

async fn read(http: &Http, address: SocketAddr, tag: Option<&header::HeaderValue>) -> Read {
    let mut request = http::get(address, "/instances");
    if let Some(tag) = tag {
        let headers = request.headers_mut();
        headers.insert(header::IF_NONE_MATCH, tag.clone());
    }
    let exchange = timeout(PATIENCE, http.exchange_whole(request));
    let Ok(Ok(response)) = exchange.await else {
        return Read::Failed;
    };
    let tag = response.headers().get(header::ETAG).cloned();
    match response.status() {
        StatusCode::NOT_MODIFIED => Read::Same,
        StatusCode::OK => serde_json::from_slice(response.body())
            .map_or(Read::Failed, |lines| Read::Changed(lines, tag)),
        _ => Read::Failed,
    }
}
