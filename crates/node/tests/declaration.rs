//! Declarations: faults with their places, and parts.

use {
    googletest::prelude::*,
    serde_json::json,
    wellplank_node::declaration,
    wellplank_wire::operator::{Customer, Declaration, Model, Service},
};

fn declaration() -> Declaration {
    let customer = |name: &str| Customer {
        key_digest: blake3::hash(name.as_bytes()).to_hex().to_string(),
        max_running: 5,
        name: name.into(),
        services: vec!["summary".into()],
        weight: 1,
    };
    Declaration {
        customers: (0..50)
            .map(|index| customer(&format!("mill-{index}")))
            .collect(),
        models: vec![Model {
            adapters: vec!["notebooks".into()],
            name: "llm".into(),
            pool: "runner".into(),
            version: "1".into(),
        }],
        services: vec![Service {
            adapter: "notebooks".into(),
            deadline_ms: 1_000,
            max_wait_ms: 1_000,
            model: "llm".into(),
            name: "summary".into(),
            ..Default::default()
        }],
    }
}

fn places(declaration: &Declaration) -> Vec<String> {
    let faults = declaration::check(declaration);
    faults.into_iter().map(|fault| fault.place).collect()
}

#[gtest]
fn right_declaration_has_no_fault() {
    expect_that!(places(&declaration()), is_empty());
}

#[gtest]
fn every_fault_is_named_with_its_place() {
    let mut wrong = declaration();
    wrong.customers[0].weight = 0;
    wrong.customers[1].key_digest = "no".into();
    wrong.customers[2].name = "mill-3".into();
    wrong.services[0].adapter = "none".into();
    wrong.services[0].deadline_ms = 0;
    expect_that!(
        places(&wrong),
        unordered_elements_are![
            eq("customers[0].weight"),
            eq("customers[1].key_digest"),
            eq("customers[3].name"),
            eq("services[0].adapter"),
            eq("services[0].deadline_ms"),
        ]
    );
}

#[gtest]
fn removed_model_still_used_is_a_fault() {
    let mut wrong = declaration();
    wrong.models.clear();
    expect_that!(places(&wrong), contains(eq("services[0].model")));
}

#[gtest]
fn removed_service_still_allowed_is_a_fault() {
    let mut wrong = declaration();
    wrong.services.clear();
    expect_that!(places(&wrong).len(), eq(50));
}

#[gtest]
fn service_with_model_and_pool_is_a_fault() {
    let mut wrong = declaration();
    wrong.services[0].pool = "yard".into();
    expect_that!(places(&wrong), elements_are![eq("services[0].model")]);
}

#[gtest]
fn parts_join_to_the_whole() {
    let whole = declaration();
    let mut joined = declaration::join(declaration::split(&whole).iter());
    joined.customers.sort_by_key(|customer| {
        whole
            .customers
            .iter()
            .position(|other| other.name == customer.name)
    });
    expect_that!(joined, eq(&whole));
}

#[gtest]
fn change_of_one_customer_changes_one_part() {
    let before = declaration::split(&declaration());
    let mut changed = declaration();
    changed.customers[7].weight = 9;
    let after = declaration::split(&changed);
    let new = after.iter().filter(|part| !before.contains(part)).count();
    expect_that!(new, eq(1));
}

#[gtest]
fn declaration_is_json_with_names_and_without_foreign_fields() {
    let text = json!({ "services": [{ "name": "a", "policy": "latency" }] }).to_string();
    let read: Declaration = serde_json::from_str(&text).unwrap();
    expect_that!(read.services[0].policy, eq(1));
    let foreign = serde_json::from_str::<Declaration>(r#"{"modles":[]}"#);
    expect_that!(foreign.is_err(), eq(true));
    let value = serde_json::from_str::<Declaration>(r#"{"services":[{"policy":"fast"}]}"#);
    expect_that!(
        value.unwrap_err().to_string(),
        contains_substring("unknown variant `fast`, expected `latency` or `resources`")
    );
}
