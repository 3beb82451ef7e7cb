//! Configuration: accepted once, in force everywhere, never reverting.

use {
    googletest::prelude::*,
    serde_json::json,
    std::time::Duration,
    tonic::transport::Channel,
    wellplank_ctl::Error,
    wellplank_standin::{
        Caller, Fleet,
        caller::Ask,
        fleet::{OPERATOR_KEY, Plan},
        http,
    },
    wellplank_wire::operator::{ApplyRequest, Declaration, operator_client::OperatorClient},
};

fn run(plan: Plan, test: impl AsyncFnOnce(Fleet, Plan)) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build()
        .unwrap();
    runtime.block_on(async { test(Fleet::start(&plan).await, plan).await });
}

/// A declaration that differs from the others by one weight.
fn declaration(weight: u32) -> Declaration {
    let mut declaration = Fleet::declaration();
    declaration.customers[0].weight = weight;
    declaration
}

async fn platform(fleet: &Fleet, fault: serde_json::Value) {
    http::post(fleet.platform.address, "/control", &fault)
        .await
        .unwrap();
}

#[gtest]
fn change_is_in_force_at_every_instance() {
    let plan = Plan {
        instances: 5,
        ..Plan::default()
    };
    run(plan, async |fleet, _| {
        let mut operator = fleet.operator(2).await;
        let reply = operator
            .apply(declaration(7), None, false, "weigh")
            .await
            .unwrap();
        expect_that!(reply.revision, eq(2));
        fleet.in_force(2).await;
        for index in 0..5 {
            let held = fleet.operator(index).await.get().await.unwrap();
            let customers = held.declaration.unwrap().customers;
            expect_that!(
                customers.iter().any(|customer| customer.weight == 7),
                eq(true)
            );
        }
        let history = fleet.operator(0).await.history().await.unwrap();
        let last = history.changes.last().unwrap();
        expect_that!(last.note, eq("weigh"));
        expect_that!(last.revision, eq(2));
    });
}

#[gtest]
fn of_two_operators_who_expect_one_revision_one_wins() {
    run(Plan::default(), async |fleet, _| {
        let (mut one, mut other) = (fleet.operator(0).await, fleet.operator(1).await);
        let results = tokio::join!(
            one.apply(declaration(2), Some(1), false, ""),
            other.apply(declaration(3), Some(1), false, ""),
        );
        let won = [&results.0, &results.1]
            .iter()
            .filter(|result| result.is_ok())
            .count();
        let told = [&results.0, &results.1]
            .iter()
            .filter(|result| matches!(result, Err(Error::Conflict(2))))
            .count();
        expect_that!((won, told), eq((1, 1)));
    });
}

#[gtest]
fn racing_changes_are_each_accepted_once() {
    run(Plan::default(), async |fleet, _| {
        let (mut one, mut other) = (fleet.operator(0).await, fleet.operator(1).await);
        let mut revisions = Vec::new();
        for weight in 1..=8 {
            let (first, second) = tokio::join!(
                one.apply(declaration(2 * weight), None, false, ""),
                other.apply(declaration(2 * weight + 1), None, false, ""),
            );
            revisions.extend([first.unwrap().revision, second.unwrap().revision]);
        }
        revisions.sort_unstable();
        expect_that!(revisions, eq(&(2..=17).collect::<Vec<u64>>()));
        fleet.in_force(17).await;
    });
}

#[gtest]
fn change_whose_answer_is_lost_is_accepted_once() {
    run(Plan::default(), async |fleet, _| {
        platform(&fleet, json!({ "count": 2, "fault": "lose_answers" })).await;
        let mut operator = fleet.operator(0).await;
        let reply = operator
            .apply(declaration(7), None, false, "")
            .await
            .unwrap();
        expect_that!(reply.revision, eq(2));
        fleet.in_force(2).await;
        let history = operator.history().await.unwrap();
        expect_that!(history.changes.len(), eq(2));
    });
}

#[gtest]
fn instance_started_while_the_store_is_down_takes_the_configuration_of_its_peers() {
    run(Plan::default(), async |mut fleet, plan| {
        platform(&fleet, json!({ "fault": "down" })).await;
        fleet.add_instance(&plan, "entry-3").await;
        fleet.in_force(1).await;
        let ask = Ask::new("notebook-summary", "log", 20);
        let caller = Caller {
            key: "sawmill".into(),
        };
        let outcome = caller.generate(fleet.caller_address(2), &ask).await;
        expect_that!(outcome.error, none());
        expect_that!(ask.is_whole(&outcome.tokens), eq(true));
    });
}

#[gtest]
fn faulty_change_is_refused_whole() {
    run(Plan::default(), async |fleet, _| {
        let mut wrong = declaration(7);
        wrong.models.clear();
        wrong.customers[1].max_running = 0;
        let mut operator = fleet.operator(0).await;
        let result = operator.apply(wrong, None, false, "").await;
        let Err(Error::Faults(faults)) = result else {
            panic!("{result:?}");
        };
        expect_that!(faults.len(), eq(4));
        expect_that!(operator.status().await.unwrap().revision, eq(1));
    });
}

/// Guards against a customer who may use every service once the last one has gone from its list.
#[gtest]
fn customer_whose_last_service_is_taken_away_may_not_use_all_services() {
    run(Plan::default(), async |fleet, _| {
        let mut limited = Fleet::declaration();
        limited.customers[1].all_services = false;
        limited.customers[1].services = vec!["cutting-plan".into()];
        let mut operator = fleet.operator(0).await;
        let reply = operator.apply(limited.clone(), None, false, "").await;
        fleet.in_force(reply.unwrap().revision).await;
        limited.customers[1].services.clear();
        let result = operator.apply(limited, None, false, "").await;
        if let Ok(reply) = &result {
            fleet.in_force(reply.revision).await;
        }
        let caller = Caller {
            key: "sawmill".into(),
        };
        let ask = Ask::new("notebook-summary", "log", 3);
        let outcome = caller.generate(fleet.caller_address(0), &ask).await;
        expect_that!(outcome.error.as_deref(), some(eq("unauthorized")));
        let Err(Error::Faults(faults)) = result else {
            panic!("{result:?}");
        };
        expect_that!(faults[0].place, eq("customers[1].services"));
    });
}

/// Guards against a change that brings no declaration and takes everything away.
#[gtest]
fn change_without_a_declaration_changes_nothing() {
    run(Plan::default(), async |fleet, _| {
        let address = fleet.operators[0];
        let channel = Channel::from_shared(format!("http://{address}")).unwrap();
        let mut operator = OperatorClient::new(channel.connect().await.unwrap());
        let mut request = tonic::Request::new(ApplyRequest {
            change: "none".into(),
            ..Default::default()
        });
        let key = format!("Bearer {OPERATOR_KEY}").parse().unwrap();
        request.metadata_mut().insert("authorization", key);
        let before = fleet.operator(0).await.get().await.unwrap();
        let reply = operator.apply(request).await.unwrap().into_inner();
        let places: Vec<&str> = reply.faults.iter().map(|fault| &*fault.place).collect();
        expect_that!(places, elements_are![eq(&"declaration")]);
        let after = fleet.operator(0).await.get().await.unwrap();
        expect_that!(after.revision, eq(before.revision));
        expect_that!(after.declaration, eq(&before.declaration));
    });
}

#[gtest]
fn instance_that_does_not_answer_is_named() {
    run(Plan::default(), async |mut fleet, _| {
        fleet.instances[1].host.kill();
        let status = fleet.operator(0).await.status_everywhere().await.unwrap();
        let silent: Vec<&str> = status
            .peers
            .iter()
            .filter(|peer| !peer.reachable)
            .map(|peer| peer.name.as_str())
            .collect();
        expect_that!(silent, elements_are![eq(&"entry-2")]);
    });
}

#[gtest]
fn leaving_engine_gets_no_new_work_though_the_list_does_not_say_so() {
    let plan = Plan {
        engines: 2,
        instances: 4,
        ..Plan::default()
    };
    run(plan, async |fleet, _| {
        let leaving = &fleet.engines[0];
        http::post(leaving.address, "/control", &json!({ "fault": "leave" }))
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = fleet.counter("retried.leaving").await;
        let started = fleet.spent_by(0).await.started;
        let caller = Caller {
            key: "sawmill".into(),
        };
        for number in 0..40 {
            let ask = Ask::new("notebook-summary", &format!("log {number}"), 3);
            let address = fleet.caller_address(number % 4);
            let outcome = caller.generate(address, &ask).await;
            expect_that!(ask.is_whole(&outcome.tokens), eq(true));
        }
        expect_that!(fleet.spent_by(0).await.started, eq(started));
        expect_that!(fleet.counter("retried.leaving").await, eq(before));
    });
}

#[gtest]
fn two_instances_of_a_data_centre_watch_and_the_others_hear_of_changes() {
    let plan = Plan {
        instances: 6,
        ..Plan::default()
    };
    run(plan, async |fleet, _| {
        let calls = http::get(fleet.platform.address, "/control/calls")
            .await
            .unwrap();
        expect_that!(calls["watches"].as_u64(), some(le(2)));
        expect_that!(calls["watches"].as_u64(), some(ge(1)));
        let mut operator = fleet.operator(0).await;
        operator
            .apply(declaration(7), None, false, "")
            .await
            .unwrap();
        fleet.in_force(2).await;
    });
}
