//! API keys of customers on the users' platform: real instances, whose operators take keys away and give them back.

use {
    googletest::prelude::*,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
    wellplank_standin::{
        client::{Ask, Got},
        site::{KEY, Plan, Site, configuration, run},
        worker,
    },
};

/// Time after which a configuration is in force at every instance.
const APPLIED: Duration = Duration::from_millis(1_500);

/// A key that no configuration holds.
const UNKNOWN: &str = "never-held";

/// Two instances, so that one of them learns of changes from the other.
fn plan() -> Plan {
    Plan {
        instances: 2,
        ..Plan::default()
    }
}

/// A configuration with these customers.
fn with_customers(version: u64, customers: Value) -> Value {
    let mut configuration = configuration(version);
    configuration["tenants"] = customers;
    configuration
}

async fn accept(site: &Site, configuration: &Value) {
    site.shelf.put("op/config", configuration);
    sleep(APPLIED).await;
}

/// The request with another key, or with none.
fn with_key(ask: Ask, key: Option<&str>) -> Ask {
    let mut ask = ask.with("authorization", &format!("Token {}", key.unwrap_or("")));
    if key.is_none() {
        ask.headers.retain(|(name, _)| *name != "authorization");
    }
    ask
}

/// Statuses of a request of each kind at an instance, with a key or none.
async fn statuses(instance: SocketAddr, key: Option<&str>, run: &str) -> Vec<u16> {
    let asks = [Ask::once(run), Ask::again(run), Ask::stream(run)];
    let mut statuses = Vec::new();
    for ask in asks {
        let got = with_key(ask, key).send(instance).await;
        statuses.push(got.status.as_u16());
    }
    statuses
}

/// Expects that each instance refuses every kind of request as unauthorized, with each of these keys, and that none runs.
async fn expect_refused(site: &Site, keys: &[Option<&str>]) {
    let before = site.ledger.runs().len();
    for instance in &site.instances {
        for key in keys {
            let statuses = statuses(instance.callers, *key, "refused").await;
            expect_that!(statuses, each(eq(&401)), "with key {key:?}");
        }
    }
    expect_that!(site.ledger.runs().len(), eq(before));
}

/// Guards against routes that are open to everybody once the last customer has gone with its keys.
#[gtest]
fn no_request_runs_once_the_last_keys_are_taken_away() {
    run(plan(), async |mut site: Site| {
        let served = statuses(site.instances[0].callers, Some(KEY), "served").await;
        expect_that!(served, each(eq(&200)));
        accept(&site, &with_customers(5, json!([]))).await;
        expect_refused(&site, &[Some(KEY), Some(UNKNOWN), Some(""), None]).await;
        // An instance that knows no other configuration than this one.
        site.join().await;
        expect_refused(&site, &[Some(KEY), Some(UNKNOWN), None]).await;
        accept(&site, &configuration(6)).await;
        for instance in &site.instances {
            let served = statuses(instance.callers, Some(KEY), "returned").await;
            expect_that!(served, each(eq(&200)));
        }
        expect_refused(&site, &[Some(UNKNOWN), None]).await;
    });
}

/// Guards against the same where a customer stays without any key.
#[gtest]
fn no_request_runs_for_customers_without_keys() {
    run(plan(), async |site: Site| {
        let customers = json!([{"name": "mill", "api_keys": []}]);
        accept(&site, &with_customers(5, customers)).await;
        expect_refused(&site, &[Some(KEY), Some(UNKNOWN), None]).await;
    });
}

/// Guards against a list of customers that can not be read and is taken for none: the configuration before it stays.
#[gtest]
fn list_of_customers_that_can_not_be_read_opens_no_route() {
    run(plan(), async |site: Site| {
        for (version, customers) in [(5, json!(null)), (6, json!({})), (7, json!("none"))] {
            accept(&site, &with_customers(version, customers)).await;
            expect_refused(&site, &[Some(UNKNOWN), None]).await;
        }
        let served = statuses(site.instances[0].callers, Some(KEY), "served").await;
        expect_that!(served, each(eq(&200)));
    });
}

/// Guards against public routes that are closed, and others that are open, while nobody has a key.
#[gtest]
fn while_nobody_has_a_key_only_public_routes_are_served() {
    run(plan(), async |site: Site| {
        let mut configuration = with_customers(5, json!([]));
        configuration["routes"][1]["public"] = true.into();
        accept(&site, &configuration).await;
        for instance in &site.instances {
            for key in [Some(KEY), Some(UNKNOWN), None] {
                let statuses = statuses(instance.callers, key, "public").await;
                expect_that!(statuses, elements_are![eq(&401), eq(&200), eq(&401)]);
            }
        }
    });
}

/// Guards against requests that are refused where the operators' configuration asks for no keys at all.
#[gtest]
fn without_a_list_of_customers_no_key_is_required() {
    run(plan(), async |site: Site| {
        let mut open = configuration(5);
        open.as_object_mut().unwrap().remove("tenants");
        accept(&site, &open).await;
        for instance in &site.instances {
            for key in [Some(UNKNOWN), None] {
                let statuses = statuses(instance.callers, key, "open").await;
                expect_that!(statuses, each(eq(&200)));
            }
        }
        let names = site.ledger.runs();
        let names = names.iter().map(|run| run.header("wellplank-tenant"));
        expect_that!(names.collect::<Vec<_>>(), each(eq(&"")));
    });
}

/// Guards against streams that are cut by the revocation of their key, and against callers that take them up again with it.
#[gtest]
fn running_stream_ends_whole_behind_the_revocation_and_is_not_taken_up_again() {
    run(plan(), async |site: Site| {
        let ask = Ask::stream("r1");
        let response = ask.open(site.instances[0].callers).await;
        site.shelf.put("op/config", &with_customers(5, json!([])));
        let got = Got::read(response, usize::MAX).await;
        expect_that!(got.whole, eq(true));
        expect_that!(got.body, eq(&worker::events(&ask.body, 0)));
        sleep(APPLIED).await;
        for instance in &site.instances {
            let ask = Ask::stream("r2").taking_up("r1", 3);
            let got = ask.send(instance.callers).await;
            expect_that!(got.status.as_u16(), eq(401));
        }
        expect_that!(site.ledger.runs().len(), eq(1));
    });
}
