//! Declarations: the faults that a check finds, with their places; splitting into parts and joining them; the JSON form.

use {
    googletest::prelude::*,
    serde_json::json,
    wellplank_core::config::Permission,
    wellplank_node::declaration,
    wellplank_wire::operator::{Customer, Declaration, Model, Service},
};

fn declaration() -> Declaration {
    let customer = |name: &str| Customer {
        all_services: false,
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
fn valid_declaration_has_no_faults() {
    expect_that!(places(&declaration()), is_empty());
}

#[gtest]
fn all_faults_are_reported_with_their_places() {
    let mut invalid = declaration();
    invalid.customers[0].weight = 0;
    invalid.customers[1].key_digest = "no".into();
    invalid.customers[2].name = "mill-3".into();
    invalid.services[0].adapter = "none".into();
    invalid.services[0].deadline_ms = 0;
    expect_that!(
        places(&invalid),
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
fn service_of_a_removed_model_is_a_fault() {
    let mut invalid = declaration();
    invalid.models.clear();
    expect_that!(places(&invalid), contains(eq("services[0].model")));
}

#[gtest]
fn allowing_a_removed_service_is_a_fault() {
    let mut invalid = declaration();
    invalid.services.clear();
    expect_that!(places(&invalid).len(), eq(50));
}

#[gtest]
fn service_with_model_and_pool_is_a_fault() {
    let mut invalid = declaration();
    invalid.services[0].pool = "yard".into();
    expect_that!(places(&invalid), elements_are![eq("services[0].model")]);
}

#[gtest]
fn joined_parts_equal_the_declaration() {
    let original = declaration();
    let mut joined = declaration::join(declaration::split(&original).iter());
    joined.customers.sort_by_key(|customer| {
        original
            .customers
            .iter()
            .position(|other| other.name == customer.name)
    });
    expect_that!(joined, eq(&original));
}

#[gtest]
fn changing_one_customer_changes_one_part() {
    let before = declaration::split(&declaration());
    let mut changed = declaration();
    changed.customers[7].weight = 9;
    let after = declaration::split(&changed);
    let changed_parts = after.iter().filter(|part| !before.contains(part)).count();
    expect_that!(changed_parts, eq(1));
}

#[gtest]
fn json_has_enum_names_and_no_unknown_fields() {
    let text = json!({ "services": [{ "name": "a", "policy": "latency" }] }).to_string();
    let parsed: Declaration = serde_json::from_str(&text).unwrap();
    expect_that!(parsed.services[0].policy, eq(1));
    let unknown_field = serde_json::from_str::<Declaration>(r#"{"modles":[]}"#);
    expect_that!(unknown_field.is_err(), eq(true));
    let unknown_variant =
        serde_json::from_str::<Declaration>(r#"{"services":[{"policy":"fast"}]}"#);
    expect_that!(
        unknown_variant.unwrap_err().to_string(),
        contains_substring("unknown variant `fast`, expected `latency` or `resources`")
    );
}

/// Guards against a customer who may call every service once its list of services is empty.
#[gtest]
fn customer_names_services_or_all_of_them() {
    let places_with = |services: &[&str], all_services: bool| {
        let mut declaration = declaration();
        declaration.customers.truncate(1);
        declaration.customers[0].services = services.iter().map(|name| (*name).into()).collect();
        declaration.customers[0].all_services = all_services;
        places(&declaration)
    };
    for (services, all_services) in [
        (&[][..], false),
        (&["summary"], true),
        (&["unknown"], false),
    ] {
        let places = places_with(services, all_services);
        expect_that!(places, elements_are![eq("customers[0].services")]);
    }
    expect_that!(places_with(&["summary"], false), is_empty());
    expect_that!(places_with(&[], true), is_empty());
}

/// Guards against customers of a declaration that an earlier version accepted and that may call nothing any more.
#[gtest]
fn permitted_services_are_compiled() {
    let mut declaration = declaration();
    declaration.customers.truncate(3);
    declaration.customers[1].services.clear();
    declaration.customers[1].all_services = true;
    declaration.customers[2].services.clear();
    let config = declaration::compile(&declaration, 1);
    let permission = |name: &str| {
        let digest = blake3::hash(name.as_bytes()).to_hex().to_string();
        config.access.customer(&digest).unwrap().services.clone()
    };
    let only = Permission::Only(vec!["summary".into()]);
    expect_that!(permission("mill-0"), eq(&only));
    expect_that!(permission("mill-1"), eq(&Permission::All));
    expect_that!(permission("mill-2"), eq(&Permission::All));
    expect_that!(only.includes("summary"), eq(true));
    expect_that!(only.includes("other"), eq(false));
    expect_that!(Permission::Only(Vec::new()).includes("summary"), eq(false));
}
