//! Streams at engines of several software versions, on real sockets: callers take them up while versions come and go and
//! instances restart.

use {
    futures_util::future::join_all,
    googletest::prelude::*,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::time::{Duration, Instant},
    tokio::time::sleep,
    wellplank_standin::{
        client::Ask,
        order,
        site::{Plan, Site, run},
        versions::{self, Learning, Loss},
        worker::{self, Mode},
    },
};

/// Streams that callers take up.
const STREAMS: usize = 12;

/// Bytes of a stream that a caller has read when it loses its instance: some events.
const READ_BYTES: usize = 120;

/// Time within which a caller is told that its stream can not go on.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Time after which running streams are written to the store.
const WRITTEN: Duration = Duration::from_millis(800);

/// Time after which an instance knows changes of the list.
const KNOWN: Duration = Duration::from_millis(300);

fn plan(instances: usize, versions: &'static [&'static str]) -> Plan {
    Plan {
        engines: 4 * versions.len(),
        instances,
        versions,
        ..Plan::default()
    }
}

/// A stream of its own.
fn ask(number: usize, name: &str) -> Ask {
    let prompt = format!("5c1e07a2:200,{number:x}:5000");
    Ask::stream(name).with("wellplank-prefix-hash", &prompt)
}

/// What a caller has of its stream, while its connection lasts.
struct Begun {
    /// The rest of the answer.
    _connection: Incoming,
    number: usize,
    /// Name of the try that brought the first event.
    origin: String,
    /// Position of the last whole event that it has.
    position: u64,
}

/// Begins streams at an instance and reads their first events.
async fn begin(site: &Site, instance: usize) -> Vec<Begun> {
    for seat in &site.engines {
        seat.worker.set(Mode::Slow);
    }
    let begun = (0..STREAMS).map(async |number| {
        let origin = format!("first-{instance}-{number}");
        let address = site.instances[instance].callers;
        let response = ask(number, &origin).open(address).await;
        let mut connection = response.into_body();
        let mut text = Vec::new();
        while text.len() < READ_BYTES {
            let frame = connection.frame().await.expect("the stream goes on");
            let data = frame.expect("the stream goes on").into_data();
            text.extend_from_slice(&data.unwrap_or_default());
        }
        Begun {
            _connection: connection,
            number,
            origin,
            position: String::from_utf8_lossy(&text).matches("\n\n").count() as u64,
        }
    });
    let begun = join_all(begun).await;
    for seat in &site.engines {
        seat.worker.set(Mode::Good);
    }
    begun
}

/// Has the callers take up their streams at an instance; how many got the whole rest, and the others' statuses.
async fn take_up(site: &Site, instance: usize, begun: &[Begun]) -> (usize, Vec<u16>) {
    let answers = begun.iter().map(async |begun| {
        let address = site.instances[instance].callers;
        let name = format!("again-{}-{}", begun.number, begun.position);
        let ask = ask(begun.number, &name).taking_up(&begun.origin, begun.position);
        let asked = Instant::now();
        let got = ask.send(address).await;
        let rest = worker::events(&ask.body, begun.position);
        let whole = got.whole && got.body == rest;
        if !whole {
            expect_that!(asked.elapsed(), lt(AT_ONCE), "{}", got.body);
        }
        (whole, got.status.as_u16())
    });
    let answers = join_all(answers).await;
    let whole = answers.iter().filter(|(whole, _)| *whole).count();
    let others = answers.into_iter().filter(|(whole, _)| !whole);
    (whole, others.map(|(_, status)| status).collect())
}

/// Has all engines of a version end.
fn retire(site: &mut Site, version: &str) {
    let of_version = |site: &Site, engine: usize| site.engines[engine].worker.version == version;
    for engine in 0..site.engines.len() {
        if of_version(site, engine) {
            site.remove_engine(engine);
        }
    }
}

/// Versions of the engines that ran streams.
fn used_versions(site: &Site) -> Vec<&'static str> {
    let mut versions: Vec<&str> = site.ledger.runs().iter().map(|run| run.version).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

#[gtest]
fn stream_goes_on_at_no_other_version_behind_a_restart_of_its_instance() {
    run(plan(2, &["v1", "v2"]), async |mut site: Site| {
        let begun = begin(&site, 0).await;
        retire(&mut site, "v1");
        site.restart(0).await;
        site.wait_ready().await;
        let (whole, refused) = take_up(&site, 0, &begun).await;
        expect_that!(order::mixed(&site.ledger.runs()), is_empty());
        expect_that!(refused, each(eq(&503)));
        expect_that!(whole + refused.len(), eq(STREAMS));
    });
}

#[gtest]
fn streams_go_on_at_their_versions_behind_a_restart_of_their_instance() {
    run(plan(2, &["v0", "v1", "v2"]), async |mut site: Site| {
        retire(&mut site, "v0");
        sleep(KNOWN).await;
        let begun = begin(&site, 0).await;
        site.restart(0).await;
        let (whole, _) = take_up(&site, 0, &begun).await;
        expect_that!(order::mixed(&site.ledger.runs()), is_empty());
        expect_that!(whole, ge(STREAMS / 2));
    });
}

#[gtest]
fn streams_go_on_at_their_versions_at_another_instance() {
    run(plan(2, &["v0", "v1", "v2"]), async |mut site: Site| {
        retire(&mut site, "v0");
        sleep(KNOWN).await;
        let begun = begin(&site, 0).await;
        site.instances[0].host.kill();
        let (whole, _) = take_up(&site, 1, &begun).await;
        expect_that!(order::mixed(&site.ledger.runs()), is_empty());
        expect_that!(whole, ge(STREAMS / 2));
    });
}

#[gtest]
fn streams_go_on_at_their_versions_behind_a_restart_of_all_instances() {
    run(plan(2, &["v0", "v1", "v2"]), async |mut site: Site| {
        retire(&mut site, "v0");
        sleep(KNOWN).await;
        let begun = begin(&site, 0).await;
        sleep(WRITTEN).await;
        for instance in 0..site.instances.len() {
            site.instances[instance].host.kill();
        }
        for instance in 0..site.instances.len() {
            site.restart(instance).await;
        }
        let (whole, _) = take_up(&site, 1, &begun).await;
        expect_that!(order::mixed(&site.ledger.runs()), is_empty());
        expect_that!(whole, ge(STREAMS / 2));
    });
}

#[gtest]
fn versions_serve_side_by_side_without_an_order() {
    run(plan(2, &["v1", "v2", "v3"]), async |site: Site| {
        begin(&site, 0).await;
        begin(&site, 1).await;
        expect_that!(used_versions(&site), eq(&vec!["v1", "v2", "v3"]));
    });
}

/// Expects that no stream changes its version when instances are lost, and that at least half go on where two engines of
/// theirs serve.
fn expect_bound(instances: usize) {
    for loss in Loss::ALL {
        let outcome = versions::run(instances, loss, Learning::Stored, 1);
        expect_that!(outcome.violations, is_empty(), "{loss:?}");
        expect_that!(outcome.taken_up, ge(STREAMS), "{loss:?}");
        expect_that!(2 * outcome.went_on, ge(outcome.taken_up), "{loss:?}");
    }
}

#[gtest]
fn streams_of_two_instances_stay_at_their_versions() {
    expect_bound(2);
}

#[gtest]
fn streams_of_six_instances_stay_at_their_versions() {
    expect_bound(6);
}

#[gtest]
fn streams_of_74_instances_stay_at_their_versions() {
    expect_bound(74);
}

#[gtest]
fn streams_of_300_instances_stay_at_their_versions() {
    expect_bound(300);
}
