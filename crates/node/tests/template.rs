//! Settings as the template for the users' platform writes them, over the numbers that its pages allow.

use {
    googletest::prelude::*,
    serde_json::{Value, json},
    wellplank_node::Settings,
};

const TEMPLATE: &str = include_str!("../../../platform/settings.template");

/// A platform's fields, with some of the bounds.
fn fields(bounds: &Value) -> Value {
    let mut fields = json!({
        "bounds": {
            "config_apply_ms": 2000, "drain_ms": 2000, "grace_s": 8, "retry_extra": 150, "retry_ratio": 0.8,
            "retry_window_s": 10,
        },
        "heartbeat_ms": 1200,
        "internal_ports": [7200, 7215],
        "ip": "10.1.0.19",
        "limits": { "link_mbps": 1000.0, "max_fds": 4100, "memory_mb": 260 },
        "listen": { "front": "10.1.0.19:8740", "readiness": "10.1.0.19:8749" },
        "node_name": "front-ukkel-hall-1",
        "platform": { "address": "10.200.1.7:8742" },
        "zone": "ukkel-hall",
    });
    for (name, value) in bounds.as_object().into_iter().flatten() {
        fields["bounds"][name] = value.clone();
    }
    fields
}

/// The field of a path such as `bounds.grace_s`; null if there is none.
fn field<'a>(fields: &'a Value, path: &str) -> &'a Value {
    path.split('.')
        .fold(fields, |value, name| match name.parse::<usize>() {
            Ok(index) => &value[index],
            Err(_) => &value[name],
        })
}

/// Fills a template as the platform's pages say: values, values as JSON, and parts that stand if a value is given or not.
fn fill(template: &str, fields: &Value) -> String {
    let Some((before, rest)) = template.split_once("{{") else {
        return template.into();
    };
    let (gap, after) = rest.split_once("}}").expect("a gap ends");
    if let Some(path) = gap.strip_prefix(['#', '^']) {
        let (part, after) = after
            .split_once(&format!("{{{{/{path}}}}}"))
            .expect("a part ends");
        let is_given = !matches!(field(fields, path), Value::Null | Value::Bool(false));
        let stands = is_given == gap.starts_with('#');
        let part = if stands {
            fill(part, fields)
        } else {
            String::new()
        };
        return format!("{before}{part}{}", fill(after, fields));
    }
    let value = match gap.strip_suffix("|json") {
        Some(path) => field(fields, path).to_string(),
        None => match field(fields, gap) {
            Value::Null => String::new(),
            Value::String(text) => text.clone(),
            value => value.to_string(),
        },
    };
    format!("{before}{value}{}", fill(after, fields))
}

/// Settings as they are read with some of the bounds.
fn settings(bounds: &Value) -> Settings {
    let text = fill(TEMPLATE, &fields(bounds));
    Settings::parse(&text).unwrap_or_else(|faults| panic!("{bounds}: {faults:?}"))
}

/// Guards against an instance that does not start because a bound is a fraction.
#[gtest]
fn bounds_in_seconds_may_be_fractions() {
    for thousandths in [
        100_u32, 250, 1_000, 2_500, 7_100, 7_125, 8_000, 8_500, 59_999, 60_000,
    ] {
        let seconds = f64::from(thousandths) / 1_000.0;
        let read = settings(&json!({ "grace_s": seconds, "retry_window_s": seconds }));
        let grace_ms = read.hosted.map(|hosted| hosted.grace_ms);
        expect_that!(grace_ms, some(eq(u64::from(thousandths))), "{seconds} s");
        expect_that!(
            read.core.retry.window_ms,
            eq(u64::from(thousandths)),
            "{seconds} s"
        );
    }
    for seconds in [1, 8, 60] {
        let read = settings(&json!({ "grace_s": seconds, "retry_window_s": seconds }));
        expect_that!(read.core.retry.window_ms, eq(seconds * 1_000));
    }
}

/// Guards against an instance that does not start because a bound in milliseconds is a fraction.
#[gtest]
fn bounds_in_milliseconds_may_be_fractions() {
    let read = settings(&json!({ "config_apply_ms": 2_000.4, "drain_ms": 1_999.6 }));
    let hosted = read.hosted.expect("the template has the section");
    expect_that!(hosted.apply_ms, eq(2_000));
    expect_that!(hosted.leave_ms, eq(2_000));
}

/// Guards against settings that fit one kind of platform only.
#[gtest]
fn platforms_with_and_without_ordered_roll_outs_are_read() {
    let versions = |bounds: &Value| settings(bounds).core.versions;
    expect_that!(
        versions(&json!({})),
        not(eq(versions(&json!({ "exposure_share": 0.1 }))))
    );
}
