//! What callers get from an instance whose planned stop runs out of time.

use {
    futures_util::future::join_all,
    googletest::prelude::*,
    hyper::StatusCode,
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::{task::JoinHandle, time::sleep},
    wellplank_standin::{
        client::{Ask, Got},
        site::{self, Plan, Site},
        worker::Mode,
    },
};

/// Time that an instance has to stop, in milliseconds.
const GRACE_MS: u64 = 2_000;

/// Streams that arrive together.
const STREAMS: usize = 8;

/// Those of them that are sent: one upstream reads two prompts at once.
const SENT: usize = 2;

/// A site with one upstream that streams and never begins to, and an objective of streams beyond the time that an instance
/// has to stop.
async fn start() -> Site {
    let plan = Plan {
        engines: 1,
        grace_ms: GRACE_MS,
        ..Plan::default()
    };
    let site = Site::start(plan).await;
    for seat in &site.engines {
        seat.worker.set(Mode::Silent);
    }
    let mut configuration = site::configuration(2);
    configuration["routes"][0]["slo_ms"] = json!(8_000);
    site.shelf.put("op/config", &configuration);
    sleep(Duration::from_millis(500)).await;
    site
}

/// Asks, and returns what came: `None` if the connection closed before an answer began.
fn ask(ask: Ask, address: SocketAddr) -> JoinHandle<Option<Got>> {
    tokio::spawn(async move {
        let response = ask.try_open(address).await.ok()?;
        Some(Got::read(response, usize::MAX).await)
    })
}

/// Guards against a stop that ends the process with requests in its queue, which then get neither an answer nor a refusal.
#[gtest]
fn requests_that_wait_are_refused_before_the_instance_ends() {
    run_with(async |mut site: Site| {
        let address = site.instances[0].callers;
        let asked = (0..STREAMS).map(|number| ask(Ask::stream(&format!("r{number}")), address));
        let asked: Vec<_> = asked.collect();
        sleep(Duration::from_millis(300)).await;
        site.instances[0].stop().await;
        let got = join_all(asked).await;
        let got: Vec<Option<Got>> = got.into_iter().map(|got| got.unwrap()).collect();
        let count = |status| {
            let with_status = got.iter().flatten().filter(|got| got.status == status);
            with_status.count()
        };
        expect_that!(got.iter().filter(|got| got.is_none()).count(), eq(0));
        expect_that!(count(StatusCode::SERVICE_UNAVAILABLE), eq(STREAMS - SENT));
        // What an upstream may have run is not promised to have not run.
        expect_that!(count(StatusCode::BAD_GATEWAY), eq(SENT));
    });
}

fn run_with<F: Future<Output = ()>>(test: impl FnOnce(Site) -> F) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async { test(start().await).await });
    runtime.shutdown_background();
}
