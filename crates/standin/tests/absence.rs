//! What instances conclude from what they do not know, on real sockets.

use {
    futures_util::future::join_all,
    googletest::prelude::*,
    http_body_util::{BodyExt, Full},
    hyper::Request,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    wellplank_standin::{
        http,
        site::{Plan, Site, run},
    },
};

/// Outage in which the leases of all instances expire: they last 20 s.
const LONG_OUTAGE: Duration = Duration::from_secs(23);

/// Time behind an outage in which instances register again and read the entries of the others.
const RETURN: Duration = Duration::from_secs(5);

/// Interval between two looks at an instance.
const LOOK: Duration = Duration::from_millis(20);

/// Number of instances that an instance shares limits and permits with, by its metrics.
async fn known_instances(metrics: SocketAddr) -> u64 {
    let request = Request::get(format!("http://{metrics}/metrics"));
    let request = request.body(Full::default()).unwrap();
    let response = http::client().request(request).await.unwrap();
    let page = response.into_body().collect().await.unwrap().to_bytes();
    let page = String::from_utf8(page.to_vec()).unwrap();
    let mut lines = page.lines();
    let value = lines.find_map(|line| line.strip_prefix("wellplank_instances "));
    value.unwrap().parse().unwrap()
}

/// The fewest instances that one has known within a time, and for how long it has known fewer than there are.
async fn fewest_known(metrics: SocketAddr, all: u64, within: Duration) -> (u64, Duration) {
    let begun = Instant::now();
    let (mut fewest, mut short) = (u64::MAX, Duration::ZERO);
    let mut looked = begun;
    while begun.elapsed() < within {
        let known = known_instances(metrics).await;
        fewest = fewest.min(known);
        if known < all {
            short += looked.elapsed();
        }
        looked = Instant::now();
        sleep(LOOK).await;
    }
    (fewest, short)
}

/// Guards against instances that take themselves to be alone behind an outage in which the leases of all expired: each then uses the
/// permits and limits of all, and tells nobody of its streams.
#[gtest]
fn instances_know_each_other_behind_an_outage_that_outlasts_their_leases() {
    let plan = Plan {
        instances: 3,
        ..Plan::default()
    };
    run(plan, async |site: Site| {
        let metrics: Vec<SocketAddr> = site.instances.iter().map(|one| one.metrics).collect();
        let settled = Instant::now();
        while join_all(metrics.iter().map(|one| known_instances(*one))).await != [3, 3, 3] {
            assert!(settled.elapsed() < RETURN, "instances find each other");
            sleep(LOOK).await;
        }
        site.shelf.away(true);
        sleep(LONG_OUTAGE).await;
        site.shelf.away(false);
        let known = metrics.iter().map(|one| fewest_known(*one, 3, RETURN));
        for (instance, (fewest, short)) in join_all(known).await.into_iter().enumerate() {
            expect_that!(fewest, eq(3), "{instance}, for {} ms", short.as_millis());
        }
    });
}
