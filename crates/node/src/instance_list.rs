//! The platform's list of instances, polled with `GET /instances`. The list lags behind the fleet.

use super::*;
use wellplank_core::counter::AnswerBound;

/// Time-out of a read.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bound of the list: some hundred bytes for each of tens of thousands of instances and upstreams.
const LIST_BOUND: http::Bound = http::Bound {
    bytes: 16 << 20,
    subject: AnswerBound::List,
};

/// An instance on the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub(crate) struct ListedInstance {
    /// Address on which it listens for other instances.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Unique name.
    pub instance: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Result of a read.
enum ReadResult {
    /// The elements, and the entity tag with which the next read asks whether they have changed.
    Changed(
        Vec<Result<ListedInstance, platform::Error>>,
        Option<header::HeaderValue>,
    ),
    /// No valid response in time.
    Failed,
    /// The list has not changed since the last read.
    Unchanged,
}

/// Polls the list until the instance ends and passes it to the core task and the other tasks. The list service does not
/// send a list again that has not changed since the last read.
pub(crate) async fn poll(
    settings: Settings,
    clock: Clock,
    driver: Driver,
    sender: watch::Sender<Vec<ListedInstance>>,
    traffic: Traffic,
) {
    let http = HttpClient::metered(&traffic);
    let mut ticks = interval(Duration::from_millis(settings.list_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut etag = None;
    loop {
        ticks.tick().await;
        let requested_at = clock.now();
        match read(&http, &driver, settings.platform.list, etag.as_ref()).await {
            ReadResult::Changed(read, new_etag) => {
                etag = new_etag;
                let instances = valid_instances(read, &driver);
                let entries = Some(instances.iter().map(list_entry).collect());
                driver.send_event(Event::List {
                    requested_at,
                    entries,
                });
                sender.send_replace(instances);
            }
            ReadResult::Failed => warn!("reading the platform's list of instances failed"),
            ReadResult::Unchanged => driver.send_event(Event::List {
                requested_at,
                entries: None,
            }),
        }
    }
}

/// The instances without the malformed elements, which are logged and counted.
fn valid_instances(
    read: Vec<Result<ListedInstance, platform::Error>>,
    driver: &Driver,
) -> Vec<ListedInstance> {
    let mut instances = Vec::new();
    for element in read {
        match element {
            Ok(instance) => instances.push(instance),
            Err(error) => {
                warn!("ignored a malformed element of the platform's list: {error}");
                driver.count(Counter::EntryInvalid("listed_instance"));
            }
        }
    }
    instances
}

fn list_entry(instance: &ListedInstance) -> event::ListEntry {
    event::ListEntry {
        address: instance.address,
        born: 0,
        data_centre: instance.data_centre.clone(),
        leaving: instance.leaving,
        name: instance.instance.clone(),
        pool: instance.pool.clone(),
        registered_at: Position::default(),
        slots: 0,
        version: String::new(),
    }
}

async fn read(
    http: &HttpClient,
    driver: &Driver,
    address: SocketAddr,
    etag: Option<&header::HeaderValue>,
) -> ReadResult {
    let mut request = http::get(address, "/instances");
    if let Some(etag) = etag {
        let headers = request.headers_mut();
        headers.insert(header::IF_NONE_MATCH, etag.clone());
    }
    let exchange = timeout(
        RESPONSE_TIMEOUT,
        http.exchange_with_headers(request, LIST_BOUND),
    );
    let response = match exchange.await {
        Ok(Ok(response)) => response,
        Ok(Err(http::Error::TooLong(bound))) => {
            driver.report_too_long(bound, address);
            return ReadResult::Failed;
        }
        Ok(Err(_)) | Err(_) => return ReadResult::Failed,
    };
    let etag = response.headers().get(header::ETAG).cloned();
    match response.status() {
        StatusCode::NOT_MODIFIED => ReadResult::Unchanged,
        StatusCode::OK => platform::list::decode("instances", response.body())
            .map_or(ReadResult::Failed, |read| ReadResult::Changed(read, etag)),
        _ => ReadResult::Failed,
    }
}
