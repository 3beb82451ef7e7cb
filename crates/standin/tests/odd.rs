//! Odd entries of other writers in the store, through real sockets: no instance ends or stops following it, all other entries
//! are in force, and only the upstream of an odd entry gets no new work.

use {
    googletest::prelude::*,
    http_body_util::{BodyExt, Full},
    hyper::Request,
    serde_json::{Value, json},
    std::{
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
    wellplank_standin::{
        client::Ask,
        host::{self, Host},
        http,
        site::{Plan, Seat, Site, run},
        worker::Worker,
    },
};

/// Time in which each instance must give work to an upstream that joins: a call each 20 ms, and the store's changes are known
/// within a second.
const JOIN_TIME: Duration = Duration::from_secs(3);

/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_secs(3);

/// Time in which each instance has read the others once more.
const READ_INTERVAL: Duration = Duration::from_millis(2_500);

/// An element of a list that a decoder of the whole list can not bear.
const ODD_ITEM: &str = r#"{"private_key":"servers/odd-item","revision":1e999,"value":1e999}"#;

/// Size of the largest odd values, in bytes.
const LARGEST: usize = 600 << 10;

/// The same before many instances, whose reads share the one thread of the store's stand-in; beyond what a datagram holds.
const LARGEST_IN_LARGE_FLEET: usize = 80 << 10;

/// Counts the upstreams that joined, for their names.
static JOINED: AtomicUsize = AtomicUsize::new(0);

fn nest(depth: usize) -> Vec<u8> {
    [vec![b'['; depth], vec![b']'; depth]].concat()
}

/// A valid entry with one field replaced by text that need not be valid JSON.
fn entry(field: &str, text: &[u8]) -> Vec<u8> {
    let mut entry = json!({
        "service": "desk", "address": "127.0.0.1:9", "zone": "dc-0", "version": "v1", "slots": 4,
        "state": "ready", "cold_left_ms": 0, "call_seq": 0, "born": 7,
    });
    entry.as_object_mut().unwrap().remove(field);
    let rest = entry.to_string();
    [
        b"{\"",
        field.as_bytes(),
        b"\":",
        text,
        b",",
        &rest.as_bytes()[1..],
    ]
    .concat()
}

/// Odd values, the largest of which have about so many bytes.
fn values(largest: usize) -> Vec<Vec<u8>> {
    let long = |bytes: usize| format!("\"{}\"", "z".repeat(bytes)).into_bytes();
    vec![
        b"no JSON at all \xff\x00".to_vec(),
        Vec::new(),
        nest(200),
        nest(largest / 2),
        entry("more", &nest(200)),
        entry("more", &nest(largest / 2)),
        entry("more", b"1e999"),
        entry("version", &nest(200)),
        entry("version", b"1e999"),
        entry("version", &long(largest)),
        entry("zone", &long(largest / 2)),
        entry("service", &long(largest / 2)),
        entry("slots", b"1e999"),
        entry("slots", b"18446744073709551616"),
        entry("slots", b"-1"),
        entry("slots", b"4294967295"),
        entry("born", b"18446744073709551615"),
        entry("born", b"1e999"),
        entry("address", br#""127.0.0.1:70000""#),
        entry("address", br#""127.0.0.1:0""#),
        entry("address", br#""127.0.0.1:9","address":"127.0.0.1:9""#),
    ]
}

/// Writes all odd values, and odd keys, where `entries` begin.
fn write_odd(site: &Site, entries: &str) {
    write_odd_of(site, entries, LARGEST);
}

fn write_odd_of(site: &Site, entries: &str, largest: usize) {
    for (index, value) in values(largest).into_iter().enumerate() {
        site.shelf
            .put_bytes(&format!("{entries}odd-{index}"), value);
    }
    let absurd = entry("slots", b"4294967295");
    for key in [
        "",
        "/",
        "a/b/c",
        "ä\"\\\n\u{1}",
        "%20&since_rev=9",
        &"k".repeat(largest / 2),
    ] {
        site.shelf
            .put_bytes(&format!("{entries}{key}"), absurd.clone());
    }
}

/// Removes what was written there: the stand-in of the store takes seconds to encode many of the largest values at once.
fn remove_odd(site: &Site, entries: &str) {
    for key in site.shelf.keys(entries) {
        let name = key.strip_prefix(entries).unwrap_or_default();
        let sound = ["desk-", "engine-", "joined-", "dc-", "instance-"];
        if !sound.iter().any(|sound| name.starts_with(sound)) {
            site.shelf.remove(&key);
        }
    }
}

/// Has an upstream join in each data centre, since calls go to the nearest one where it has slots; returns what their names begin
/// with.
fn join(site: &mut Site, service: &str) -> String {
    let prefix = format!("joined-{}-", JOINED.fetch_add(1, Ordering::Relaxed));
    for data_centre in 0..2 {
        let name = format!("{prefix}{data_centre}");
        let worker = Worker::new(host::free_address(), &name, &site.ledger);
        let host = Host::new(1);
        host.spawn(worker.clone().serve());
        site.enter(&worker, service, data_centre, "ready");
        site.desks.push(Seat { host, worker });
    }
    prefix
}

/// Number of calls that the upstreams ran whose names begin so.
fn ran(site: &Site, prefix: &str) -> usize {
    let runs = site.ledger.runs();
    let of_them = runs.iter().filter(|run| run.worker.starts_with(prefix));
    of_them.count()
}

/// Has upstreams join, and each instance give them work in time; returns the first that does not.
async fn first_that_does_not_follow(site: &mut Site) -> Option<usize> {
    let name = join(site, "desk");
    for (index, member) in site.instances.iter().enumerate() {
        let before = ran(site, &name);
        let end = Instant::now() + JOIN_TIME;
        let mut calls = 0;
        while ran(site, &name) == before {
            if Instant::now() > end {
                return Some(index);
            }
            calls += 1;
            let ask = Ask::again(&format!("{name}-{index}-{calls}"));
            let got = ask.send(member.callers).await;
            expect_that!(got.status.as_u16(), eq(200));
            sleep(Duration::from_millis(20)).await;
        }
    }
    None
}

/// Value of a counter of an instance.
async fn counted(site: &Site, instance: usize, event: &str) -> u64 {
    let uri = format!("http://{}/metrics", site.instances[instance].metrics);
    let request = Request::get(uri).body(Full::default()).unwrap();
    let response = http::client().request(request).await.unwrap();
    let page = response.into_body().collect().await.unwrap().to_bytes();
    let page = String::from_utf8(page.to_vec()).unwrap();
    let name = format!("wellplank_events_total{{event=\"{event}\"}}");
    let line = page.lines().find(|line| line.starts_with(&name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.map_or(0, |value| value.parse::<f64>().unwrap() as u64)
}

fn plan(instances: usize) -> Plan {
    Plan {
        instances,
        ..Plan::default()
    }
}

/// Each reader of the list meets all odd values and keys: the watch, the page at a start, behind an outage in which they were
/// written, and behind the compaction of the history.
#[gtest]
fn odd_entries_end_no_instance_and_no_instance_stops_following_the_list() {
    run(plan(3), async |mut site: Site| {
        write_odd(&site, "servers/");
        expect_that!(first_that_does_not_follow(&mut site).await, none(), "watch");
        for reason in ["form", "address", "zone", "service", "version", "key"] {
            let event = format!("entry.odd.{reason}");
            expect_that!(counted(&site, 0, &event).await, gt(0), "{reason}");
        }
        site.restart(1).await;
        site.wait_ready().await;
        expect_that!(first_that_does_not_follow(&mut site).await, none(), "start");
        site.shelf.away(true);
        sleep(OUTAGE / 2).await;
        remove_odd(&site, "servers/");
        write_odd(&site, "servers/again-");
        sleep(OUTAGE / 2).await;
        site.shelf.away(false);
        sleep(OUTAGE).await;
        expect_that!(
            first_that_does_not_follow(&mut site).await,
            none(),
            "outage"
        );
        site.shelf.cut();
        remove_odd(&site, "servers/");
        write_odd(&site, "servers/compacted-");
        site.shelf.forget();
        expect_that!(
            first_that_does_not_follow(&mut site).await,
            none(),
            "compaction"
        );
        for member in &site.instances {
            expect_that!(member.is_ready().await, eq(true));
        }
    });
}

/// Guards against instances that fail to read a page or watch answer since one of its items can not be decoded.
#[gtest]
fn odd_item_of_each_page_and_watch_answer_keeps_no_instance_from_following() {
    run(plan(2), async |mut site: Site| {
        for odd in [
            ODD_ITEM,
            "1e999",
            &String::from_utf8(nest(100_000)).unwrap(),
        ] {
            site.shelf.spoil(odd);
            expect_that!(first_that_does_not_follow(&mut site).await, none(), "watch");
            site.shelf.forget();
            expect_that!(first_that_does_not_follow(&mut site).await, none(), "page");
            site.restart(0).await;
            site.wait_ready().await;
            expect_that!(first_that_does_not_follow(&mut site).await, none(), "start");
        }
        expect_that!(counted(&site, 0, "entry.odd.item").await, gt(0));
    });
}

/// Guards against odd values under the prefixes of the instances themselves, and as the configuration.
#[gtest]
fn odd_values_under_own_prefixes_and_as_configuration_end_no_instance() {
    run(plan(3), async |mut site: Site| {
        for prefix in ["wellplank/instances/", "wellplank/instances/dc-0/"] {
            let before = counted(&site, 0, "entry.odd.instance").await;
            write_odd(&site, prefix);
            sleep(READ_INTERVAL).await;
            expect_that!(counted(&site, 0, "entry.odd.instance").await, gt(before));
            expect_that!(
                first_that_does_not_follow(&mut site).await,
                none(),
                "{prefix}"
            );
            remove_odd(&site, prefix);
        }
        let member = json!({"address": "127.0.0.1:0", "data_centre": "dc-0"});
        site.shelf.put("wellplank/instances/dc-0/nobody", &member);
        for prefix in ["wellplank/streams/", "wellplank/quarantine/"] {
            write_odd(&site, prefix);
        }
        for value in values(LARGEST) {
            site.shelf.put_bytes("op/config", value);
            sleep(Duration::from_millis(20)).await;
        }
        sleep(READ_INTERVAL).await;
        expect_that!(first_that_does_not_follow(&mut site).await, none());
        expect_that!(counted(&site, 0, "entry.odd.configuration").await, gt(0));
        site.shelf
            .put("op/config", &wellplank_standin::site::configuration(2));
        site.restart(0).await;
        site.wait_ready().await;
        expect_that!(first_that_does_not_follow(&mut site).await, none(), "start");
        for event in ["entry.odd.streams", "entry.odd.quarantine"] {
            expect_that!(counted(&site, 0, event).await, gt(0), "{event}");
        }
    });
}

/// Guards against an odd value that costs other upstreams than the one whose entry it overwrites.
#[gtest]
fn odd_value_over_a_listed_entry_stops_new_work_to_that_upstream_alone() {
    for value in [nest(300_000), entry("address", br#""127.0.0.1:70000""#)] {
        run(plan(2), async |site: Site| {
            let spoilt = site.desks[0].worker.name.clone();
            site.shelf.put_bytes(&format!("servers/{spoilt}"), value);
            sleep(Duration::from_secs(1)).await;
            let before = ran(&site, &spoilt);
            for index in 0..20 {
                let member = &site.instances[index % 2];
                let got = Ask::again(&format!("r{index}")).send(member.callers).await;
                expect_that!(got.status.as_u16(), eq(200));
            }
            expect_that!(ran(&site, &spoilt), eq(before));
        });
    }
}

/// Has the followers of a large fleet meet odd values: a few instances read the store, and the others follow them by datagrams and
/// by lists over connections.
fn follow_beside_odd_entries(largest: usize) {
    run(plan(26), async |mut site: Site| {
        write_odd_of(&site, "servers/", largest);
        expect_that!(
            first_that_does_not_follow(&mut site).await,
            none(),
            "update"
        );
        site.restart(3).await;
        site.wait_ready().await;
        expect_that!(
            first_that_does_not_follow(&mut site).await,
            none(),
            "list of another"
        );
    });
}

/// Guards against an update or a list of other instances that odd entries keep from arriving.
#[gtest]
fn odd_entries_keep_no_follower_of_a_large_fleet_from_the_list() {
    follow_beside_odd_entries(LARGEST_IN_LARGE_FLEET);
}

/// The same beside entries that together have some megabytes.
#[gtest]
fn largest_odd_entries_keep_no_follower_of_a_large_fleet_from_the_list() {
    follow_beside_odd_entries(LARGEST);
}

/// Guards against an upstream that gets no work since its service is called as the pool of instances.
#[gtest]
fn upstream_of_a_service_that_is_called_as_the_pool_of_instances_gets_work() {
    run(plan(1), async |mut site: Site| {
        let mut configuration: Value = wellplank_standin::site::configuration(2);
        let services = configuration["services"].as_array_mut().unwrap();
        services.push(json!({"name": "wellplank"}));
        configuration["routes"][1]["service"] = json!("wellplank");
        site.shelf.put("op/config", &configuration);
        let name = join(&mut site, "wellplank");
        sleep(Duration::from_secs(1)).await;
        let got = Ask::again("r1").send(site.instances[0].callers).await;
        expect_that!(got.status.as_u16(), eq(200));
        expect_that!(ran(&site, &name), eq(1));
    });
}

/// Guards against headers of callers with numbers beyond any range: each is answered, and the instance serves on.
#[gtest]
fn absurd_headers_of_callers_are_answered_and_end_nothing() {
    run(plan(1), async |site: Site| {
        let address = site.instances[0].callers;
        let largest = u64::MAX.to_string();
        let numbers = [
            "18446744073709551616",
            &largest,
            "-1",
            "1e999",
            "",
            "0",
            "9".repeat(300).leak(),
        ];
        let names = [
            "last-event-id",
            "wellplank-timeout-ms",
            "wellplank-token-usage",
            "wellplank-prefix-hash",
            "resumes",
        ];
        for name in names {
            for (index, number) in numbers.iter().enumerate() {
                let run = format!("{name}-{index}");
                let got = Ask::stream(&run).with(name, number).send(address).await;
                expect_that!(got.status.as_u16(), ge(200), "{name}: {number}");
            }
        }
        let pair = format!("{0},{0}", u32::MAX);
        for index in 0..4 {
            let ask = Ask::stream(&format!("tokens-{index}"));
            let got = ask.with("wellplank-token-usage", &pair).send(address).await;
            expect_that!(got.status.as_u16(), ge(200));
        }
        let got = Ask::stream("last").send(address).await;
        expect_that!(got.status.as_u16(), eq(200));
        expect_that!(got.whole, eq(true));
    });
}
