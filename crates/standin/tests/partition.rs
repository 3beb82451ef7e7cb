//! Instances that are partitioned from all upstreams, while callers, the store and the other instances reach them.

use {
    futures_util::future::join_all,
    googletest::prelude::*,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::sleep,
    wellplank_standin::{
        client::Work,
        site::{Plan, Site, run},
        uplink::State,
    },
};

/// Time behind the start of a partition from which on first tries count: the users' `contact_ms`.
const CONTACT: Duration = Duration::from_secs(3);

/// Time over which first tries are counted.
const WINDOW: Duration = Duration::from_secs(3);

/// Share of the first tries at partitioned instances that is to be served, of the share at the others.
const AIM: f64 = 0.95;

/// Instances that are partitioned: all of one of the two data centres.
const PARTITIONED: [usize; 2] = [0, 2];

/// First tries that were served, and all of them.
type Tries = (usize, usize);

fn plan() -> Plan {
    Plan {
        instances: 4,
        links: true,
        ..Plan::default()
    }
}

fn share((served, asked): Tries) -> f64 {
    served as f64 / asked as f64
}

/// Has callers ask all instances for some time; first tries at the partitioned ones, and at the others.
async fn ask(site: &Site, work: Work, lasts: Duration) -> (Tries, Tries) {
    let instances = 0..site.instances.len();
    let counts = join_all(instances.map(|instance| site.bring(instance, work, lasts))).await;
    let mut sums = [(0, 0), (0, 0)];
    for (instance, (served, asked)) in counts.into_iter().enumerate() {
        let sum = &mut sums[usize::from(!PARTITIONED.contains(&instance))];
        *sum = (sum.0 + served, sum.1 + asked);
    }
    (sums[0], sums[1])
}

fn partition(site: &Site, state: State) {
    for instance in PARTITIONED {
        site.instances[instance].set_links(state);
    }
}

/// Partitions instances in one of the ways, and expects them to serve first tries nearly as often as the others do.
fn expect_served(work: Work, state: State) {
    run(plan(), async |site: Site| {
        ask(&site, work, Duration::from_secs(1)).await;
        partition(&site, state);
        ask(&site, work, CONTACT).await;
        let (partitioned, others) = ask(&site, work, WINDOW).await;
        expect_that!(share(others), ge(AIM));
        expect_that!(
            share(partitioned),
            ge(AIM * share(others)),
            "{partitioned:?}"
        );
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in site.ledger.runs() {
            *runs
                .entry(run.header("wellplank-request-id").to_owned())
                .or_default() += 1;
        }
        let twice = runs.values().filter(|count| **count > 1).count();
        if matches!(work, Work::Once) {
            expect_that!(twice, eq(0));
        }
    });
}

#[gtest]
fn calls_at_instances_whose_new_connections_are_refused_are_served() {
    expect_served(Work::Call, State::Refuses);
}

#[gtest]
fn calls_that_may_run_once_at_instances_whose_connections_are_reset_are_served_and_run_once() {
    expect_served(Work::Once, State::Resets);
}

#[gtest]
fn calls_that_may_run_once_at_instances_whose_connections_hang_are_served_and_run_once() {
    expect_served(Work::Once, State::Hangs);
}

#[gtest]
fn streams_at_instances_whose_new_connections_are_refused_are_served() {
    expect_served(Work::Stream, State::Refuses);
}

#[gtest]
fn streams_at_instances_whose_connections_hang_are_served() {
    expect_served(Work::Stream, State::Hangs);
}

#[gtest]
fn first_call_behind_a_quiet_partition_is_served() {
    run(plan(), async |site: Site| {
        partition(&site, State::Refuses);
        sleep(CONTACT).await;
        let (partitioned, _) = ask(&site, Work::Once, Duration::from_millis(200)).await;
        expect_that!(share(partitioned), ge(AIM), "{partitioned:?}");
    });
}
