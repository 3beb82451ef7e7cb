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
        client::{Ask, Got},
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

/// Begins streams at an instance and reads some of their events.
async fn begin(site: &Site, instance: usize) -> Vec<Begun> {
    begin_up_to(site, instance, READ_BYTES).await
}

/// Begins streams at an instance and reads events of so many bytes.
async fn begin_up_to(site: &Site, instance: usize, bytes: usize) -> Vec<Begun> {
    for seat in &site.engines {
        seat.worker.set(Mode::Slow);
    }
    let begun = (0..STREAMS).map(async |number| {
        let origin = format!("first-{instance}-{number}");
        let address = site.instances[instance].callers;
        let response = ask(number, &origin).open(address).await;
        let mut connection = response.into_body();
        let mut text = Vec::new();
        while text.len() < bytes {
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

/// Has the entries of all engines of a version go, as of those that leave without a word; they serve on.
fn withdraw(site: &Site, version: &str) {
    for seat in &site.engines {
        if seat.worker.version == version {
            site.shelf.remove(&format!("servers/{}", seat.worker.name));
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

/// When the engines of a version leave, as seen from the loss of all instances.
#[derive(Clone, Copy, Debug)]
enum Gone {
    Before,
    At,
    Behind,
    Never,
}

/// Time between the leave of the engines and the loss of the instances, or the other way around.
const APART: Duration = Duration::from_millis(150);

/// Time for which callers take up a stream again and again.
const RETRYING: Duration = Duration::from_millis(2_500);

/// Time behind the store's return within which an instance serves streams of unknown origin again.
const RECOVERY: Duration = Duration::from_secs(6);

/// Pause between two of their tries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Has the callers take up their streams again and again; how many got the whole rest.
async fn take_up_patiently(site: &Site, begun: &[Begun]) -> usize {
    let answers = begun.iter().map(async |begun| {
        let end = Instant::now() + RETRYING;
        let mut attempt = begun.number;
        while Instant::now() < end {
            let address = site.instances[attempt % site.instances.len()].callers;
            attempt += 1;
            let name = format!("again-{}-{attempt}", begun.number);
            let ask = ask(begun.number, &name).taking_up(&begun.origin, begun.position);
            if let Ok(response) = ask.try_open(address).await {
                let got = Got::read(response, usize::MAX).await;
                if got.whole && got.body == worker::events(&ask.body, begun.position) {
                    return true;
                }
            }
            sleep(RETRY_PAUSE).await;
        }
        false
    });
    let answers = join_all(answers).await;
    answers.into_iter().filter(|whole| *whole).count()
}

/// Kills all instances a while behind the first events of streams, and starts them again; how many went on, and the streams
/// that hold two versions.
async fn lose_all(site: &mut Site, age: Duration, gone: Gone) -> (usize, usize) {
    let begun = begin_up_to(site, 0, 1).await;
    sleep(age).await;
    if matches!(gone, Gone::Before) {
        withdraw(site, "v1");
        sleep(APART).await;
    }
    for instance in &mut site.instances {
        instance.host.kill();
    }
    if matches!(gone, Gone::Behind) {
        sleep(APART).await;
    }
    if !matches!(gone, Gone::Never) {
        withdraw(site, "v1");
    }
    for instance in 0..site.instances.len() {
        site.restart(instance).await;
    }
    let whole = take_up_patiently(site, &begun).await;
    (whole, order::mixed(&site.ledger.runs()).len())
}

/// Expects that no young stream goes on at another version behind the loss of all instances.
fn expect_young_bound(instances: usize) {
    for gone in [Gone::Before, Gone::At, Gone::Behind] {
        for age_ms in [0, 250] {
            run(plan(instances, &["v1", "v2"]), async |mut site: Site| {
                let age = Duration::from_millis(age_ms);
                let (whole, mixed) = lose_all(&mut site, age, gone).await;
                println!("{instances} {gone:?} {age_ms} ms: {whole} went on, {mixed} mixed");
                expect_that!(mixed, eq(0), "{gone:?}, {age_ms} ms");
            });
        }
    }
}

#[gtest]
fn young_stream_goes_on_at_no_other_version_behind_the_loss_of_the_only_instance() {
    expect_young_bound(1);
}

#[gtest]
fn young_stream_goes_on_at_no_other_version_behind_the_loss_of_three_instances() {
    expect_young_bound(3);
}

#[gtest]
fn young_stream_goes_on_at_no_other_version_behind_the_loss_of_six_instances() {
    expect_young_bound(6);
}

/// Guards against binding streams by refusing those that were not in the store yet.
#[gtest]
fn young_streams_go_on_behind_the_loss_of_all_instances() {
    for instances in [1, 3, 6] {
        for age_ms in [100, 400] {
            run(plan(instances, &["v1", "v2"]), async |mut site: Site| {
                let age = Duration::from_millis(age_ms);
                let (whole, mixed) = lose_all(&mut site, age, Gone::Never).await;
                println!("{instances} {age_ms} ms: {whole} of {STREAMS} went on, {mixed} mixed");
                expect_that!(mixed, eq(0), "{instances}, {age_ms} ms");
                expect_that!(whole, ge(STREAMS / 2), "{instances}, {age_ms} ms");
            });
        }
    }
}

/// Guards against refusing what can not be of another version: the store names one.
#[gtest]
fn young_streams_of_the_only_version_go_on_behind_the_loss_of_all_instances() {
    for instances in [1, 3, 6] {
        run(plan(instances, &["v1"]), async |mut site: Site| {
            let (whole, _) = lose_all(&mut site, Duration::ZERO, Gone::Never).await;
            println!("{instances}: {whole} of {STREAMS} went on");
            expect_that!(whole, ge(STREAMS / 2), "{instances}");
        });
    }
}

/// Guards against a conclusion from a store that says nothing: a stream that nobody knows is not sent on, and goes on once
/// the store answers.
#[gtest]
fn stream_of_unknown_origin_goes_on_at_no_version_while_the_store_does_not_answer() {
    run(plan(1, &["v1"]), async |site: Site| {
        site.shelf.away(true);
        let ask = ask(1, "again").taking_up("nobody-knows", 3);
        let got = ask.send(site.instances[0].callers).await;
        expect_that!(got.status.as_u16(), eq(503), "{}", got.body);
        site.shelf.away(false);
        let end = Instant::now() + RECOVERY;
        let mut whole = false;
        while !whole && Instant::now() < end {
            sleep(RETRY_PAUSE).await;
            whole = ask.send(site.instances[0].callers).await.whole;
        }
        expect_that!(whole, eq(true));
    });
}

/// Guards against names that are lost with what the store wrote behind its copy.
#[gtest]
fn versions_are_named_again_when_the_store_comes_back_from_a_copy() {
    run(plan(3, &["v1", "v2"]), async |site: Site| {
        let names = || site.shelf.keys("wellplank/versions/");
        expect_that!(names().len(), eq(2));
        let key = names().pop().expect("versions are named");
        site.shelf.remove(&key);
        let copy = site.shelf.copy();
        site.shelf.restore(&copy);
        let end = Instant::now() + RECOVERY;
        while names().len() < 2 && Instant::now() < end {
            sleep(RETRY_PAUSE).await;
        }
        expect_that!(names().len(), eq(2));
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

/// Prefix of the names of versions in the store.
const NAMES: &str = "wellplank/versions/";

/// Time within which the versions of a pool are named.
const NAMED: Duration = Duration::from_secs(3);

/// Waits until the store holds so many names, and returns how many it holds.
async fn count_names(site: &Site, wanted: usize) -> usize {
    let end = Instant::now() + NAMED;
    while site.shelf.keys(NAMES).len() < wanted && Instant::now() < end {
        sleep(KNOWN).await;
    }
    site.shelf.keys(NAMES).len()
}

/// Guards against pools that share one name, so that each name that is written takes that of another pool away.
#[gtest]
fn each_pool_whose_engines_state_no_version_has_a_name_of_its_own() {
    run(plan(1, &[""]), async |site: Site| {
        expect_that!(count_names(&site, 1).await, eq(1));
        let mut configuration = wellplank_standin::site::configuration(2);
        let mut route = configuration["routes"][0].clone();
        route["name"] = "stream-2".into();
        route["path_prefix"] = "/other/".into();
        route["service"] = "other".into();
        let routes = configuration["routes"].as_array_mut().unwrap();
        routes.push(route);
        let mut service = configuration["services"][0].clone();
        service["name"] = "other".into();
        let services = configuration["services"].as_array_mut().unwrap();
        services.push(service);
        site.shelf.put("op/config", &configuration);
        sleep(KNOWN).await;
        let entry = serde_json::json!({
            "service": "other", "address": wellplank_standin::host::free_address(), "zone": "dc-0",
            "version": "", "slots": 1, "state": "ready", "cold_left_ms": 0, "call_seq": 0,
        });
        site.shelf.put("servers/other-0", &entry);
        expect_that!(count_names(&site, 2).await, eq(2));
    });
}

/// Guards against names that a store which was restored from a backup lacks for ever: streams of unknown origin would be refused,
/// or go on beside a version that is not named.
#[gtest]
fn versions_are_named_again_behind_a_restore_of_the_store_from_a_backup_without_them() {
    run(plan(2, &["v1", "v2"]), async |site: Site| {
        expect_that!(count_names(&site, 2).await, eq(2));
        for key in site.shelf.keys(NAMES) {
            site.shelf.remove(&key);
        }
        let copy = site.shelf.copy();
        site.shelf.restore(&copy);
        expect_that!(count_names(&site, 2).await, eq(2));
    });
}

/// Time that the store holds back no name for: as long as streams of a version that is not named wait.
const HELD: Duration = Duration::from_millis(1_500);

/// Guards against versions that nobody names while the instances that write for all are lost and their entries last.
#[gtest]
fn version_that_joins_is_named_while_the_instances_that_write_for_all_are_lost() {
    run(plan(4, &["v1"]), async |mut site: Site| {
        expect_that!(count_names(&site, 1).await, eq(1));
        sleep(2 * WRITTEN).await;
        let mut order: Vec<usize> = (0..4).collect();
        order.sort_by_key(|index| wellplank_core::upstream::id(&format!("instance-{index}")));
        for index in &order[..2] {
            site.instances[*index].host.kill();
        }
        let entry = serde_json::json!({
            "service": "engines", "address": wellplank_standin::host::free_address(), "zone": "dc-0",
            "version": "v2", "slots": 1, "state": "ready", "cold_left_ms": 0, "call_seq": 0,
        });
        site.shelf.put("servers/new-0", &entry);
        sleep(HELD).await;
        expect_that!(site.shelf.keys(NAMES).len(), eq(2));
    });
}
