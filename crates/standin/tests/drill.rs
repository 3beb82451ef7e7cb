//! A store that comes back from a copy some seconds old.
//!
//! A drill had the store away for 0.6 s and back from a copy 2.7 s old. What it had acknowledged since was gone, and its revisions
//! were given out again. Three instances watched on from the last revision that they knew, which the store soon had once
//! more: what it took in between they never saw. An upstream that said there that it leaves got 295 requests sent over 2 s
//! behind its word, until the run ended 6.9 s after it. All that an instance believed of the store was ordered by revision
//! alone and only ever grew.
//!
//! What settled it, in these tests on the code of that day: 5 of 18 calls went to an upstream that said among such revisions that it
//! leaves, 3 s behind the store's return. 5 or 6 of 18 went, at each of six moments, to one that had said so before and is
//! `ready` in the copy, 4 to 8 to one that was gone before. Where the copy lacked entries no call was answered, though
//! their upstreams lived, and no instance had entered itself again within 3 s.

use {
    googletest::prelude::*,
    std::time::Duration,
    tokio::time::sleep,
    wellplank_standin::{
        client::Ask,
        shelf::Copy,
        site::{Plan, Site, configuration, run},
    },
};

/// Time for which the store is away before it is back from its copy.
const AWAY: Duration = Duration::from_millis(600);

/// Time in which instances know what the store was told.
const KNOWN: Duration = Duration::from_millis(600);

/// Time behind the return from which on what the store says must be known in time again.
const SETTLED: Duration = Duration::from_secs(3);

/// Time in which a change must be known, as the settings of these instances say, less a little for the test.
const BOUND: Duration = Duration::from_millis(1_900);

/// Writes of other upstreams between the copy and the return, and behind it.
const WRITES: usize = 20;

fn plan() -> Plan {
    Plan {
        desks: 3,
        instances: 3,
        ..Plan::default()
    }
}

/// Has another upstream write its entry again and again, as its heartbeats do.
fn beat(site: &Site, writes: usize) {
    for _ in 0..writes {
        site.enter(&site.desks[2].worker, "desk", 0, "ready");
    }
}

/// The store is away for a moment and back from a copy, with what `meanwhile` writes before anybody is answered again.
async fn drill(site: &Site, copy: &Copy, meanwhile: impl FnOnce(&Site)) {
    site.shelf.away(true);
    sleep(AWAY).await;
    site.shelf.restore(copy);
    meanwhile(site);
    site.shelf.away(false);
}

/// Asks the desks some times at every instance; how often the first of them was asked, and how many were answered.
async fn asked(site: &Site) -> (usize, usize) {
    let before = site.ledger.runs().len();
    let mut answered = 0;
    for instance in &site.instances {
        for ask in 0..6 {
            let run = format!("r{before}-{}-{ask}", instance.callers.port());
            let got = Ask::once(&run).send(instance.callers).await;
            answered += usize::from(got.status.as_u16() == 200);
        }
    }
    let runs = site.ledger.runs();
    let first = runs[before..].iter().filter(|run| run.worker == "desk-0");
    (first.count(), answered)
}

#[gtest]
fn upstream_that_leaves_among_revisions_that_are_given_out_again_gets_no_new_work() {
    run(plan(), async |site: Site| {
        let copy = site.shelf.copy();
        beat(&site, WRITES);
        sleep(KNOWN).await;
        drill(&site, &copy, |site| {
            site.leave(0);
            beat(site, 2 * WRITES);
        })
        .await;
        sleep(SETTLED).await;
        expect_that!(asked(&site).await, eq((0, 18)));
    });
}

#[gtest]
fn upstream_that_had_said_that_it_leaves_is_not_ready_again() {
    run(plan(), async |site: Site| {
        let copy = site.shelf.copy();
        site.leave(0);
        sleep(BOUND).await;
        drill(&site, &copy, |_| ()).await;
        for _ in 0..6 {
            sleep(KNOWN).await;
            expect_that!(asked(&site).await, eq((0, 18)));
        }
    });
}

#[gtest]
fn upstream_that_was_gone_is_not_there_again() {
    run(plan(), async |site: Site| {
        let copy = site.shelf.copy();
        site.shelf.remove("servers/desk-0");
        beat(&site, WRITES);
        sleep(BOUND).await;
        drill(&site, &copy, |_| ()).await;
        for _ in 0..4 {
            sleep(KNOWN).await;
            expect_that!(asked(&site).await, eq((0, 18)));
        }
    });
}

#[gtest]
fn entries_that_the_copy_lacks_are_believed_while_their_owners_write_again() {
    run(plan(), async |site: Site| {
        for desk in 0..3 {
            site.shelf.remove(&format!("servers/desk-{desk}"));
        }
        let copy = site.shelf.copy();
        for desk in 0..3 {
            site.enter(&site.desks[desk].worker, "desk", 0, "ready");
        }
        sleep(BOUND).await;
        drill(&site, &copy, |_| ()).await;
        sleep(Duration::from_millis(700)).await;
        let (_, answered) = asked(&site).await;
        expect_that!(answered, eq(18));
        for desk in 1..3 {
            site.enter(&site.desks[desk].worker, "desk", 0, "ready");
        }
        // The first one does not write again: it is gone.
        sleep(SETTLED).await;
        expect_that!(asked(&site).await, eq((0, 18)));
    });
}

#[gtest]
fn configuration_stays_in_force_and_the_next_one_comes_in_time() {
    run(plan(), async |site: Site| {
        let moved = |version, path: &str| {
            let mut next = configuration(version);
            next["routes"][2]["path_prefix"] = path.into();
            next
        };
        let served = async |path, run: &str| {
            let mut served = 0;
            for instance in &site.instances {
                let run = format!("{run}-{}", instance.callers.port());
                let got = Ask::new(path, &run).send(instance.callers).await;
                served += usize::from(got.status.as_u16() == 200);
            }
            served
        };
        let copy = site.shelf.copy();
        site.shelf.put("op/config", &moved(5, "/first/"));
        beat(&site, WRITES);
        sleep(BOUND).await;
        expect_that!(served("/first/1", "a").await, eq(3));
        drill(&site, &copy, |_| ()).await;
        sleep(BOUND).await;
        expect_that!(served("/first/1", "b").await, eq(3));
        site.shelf.put("op/config", &moved(5, "/first/"));
        site.shelf.put("op/config", &moved(8, "/second/"));
        sleep(BOUND).await;
        expect_that!(served("/second/1", "c").await, eq(3));
    });
}

#[gtest]
fn instances_are_entered_again_soon() {
    let plan = Plan {
        instances: 0,
        ..plan()
    };
    run(plan, async |mut site: Site| {
        let copy = site.shelf.copy();
        for _ in 0..3 {
            site.join().await;
        }
        expect_that!(site.shelf.keys("wellplank/instances/").len(), eq(3));
        drill(&site, &copy, |_| ()).await;
        sleep(SETTLED).await;
        expect_that!(site.shelf.keys("wellplank/instances/").len(), eq(3));
    });
}
