//! Settings: all faults are found in one pass, and `wellplank check` prints them.

use {
    googletest::prelude::*,
    serde_json::{Value, json},
    std::process::Command,
    wellplank_node::Settings,
};

/// The default settings, with changes.
struct Test {
    settings: Value,
}

impl Test {
    fn faults(&self) -> Vec<String> {
        match Settings::parse(&self.settings.to_string()) {
            Ok(_) => Vec::new(),
            Err(faults) => faults.iter().map(ToString::to_string).collect(),
        }
    }

    fn new() -> Self {
        Self {
            settings: Settings::defaults(),
        }
    }

    /// Exit code, standard output and standard error of `wellplank check`.
    fn check(&self) -> (Option<i32>, String, String) {
        let name = format!("wellplank-{}-{:p}.json", std::process::id(), self);
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, self.settings.to_string()).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_wellplank"))
            .args(["check", "--settings"])
            .arg(&path)
            .output()
            .unwrap();
        std::fs::remove_file(path).unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
            String::from_utf8(output.stderr).unwrap(),
        )
    }

    fn set(mut self, pointer: &str, value: Value) -> Self {
        let (parent, name) = pointer.rsplit_once('/').unwrap();
        self.settings.pointer_mut(parent).unwrap()[name] = value;
        self
    }
}

#[gtest]
fn defaults_have_no_faults() {
    expect_that!(Test::new().faults(), is_empty());
}

#[gtest]
fn parsed_defaults_equal_core_defaults() {
    let parsed = Settings::parse(&Settings::defaults().to_string()).unwrap();
    expect_that!(
        parsed.core,
        eq(&wellplank_core::settings::Settings::default())
    );
}

#[gtest]
fn all_faults_are_reported_in_one_pass() {
    let faults = Test::new()
        .set("/listen/callers", json!("nowhere"))
        .set("/core/queue_max", json!(0))
        .set("/core/retry_earn", json!(2.0))
        .set("/secret", json!("short"))
        .set("/unknown", json!(1))
        .faults();
    expect_that!(
        faults,
        unordered_elements_are![
            starts_with("listen.callers: must be an IP address and port"),
            eq("core.queue_max: 0 must be an integer from 1 to 1000000"),
            eq("core.retry_earn: 2.0 must be a number from 0 to 1"),
            eq("secret: must be 64 hexadecimal digits"),
            eq("unknown: unknown setting"),
        ]
    );
}

#[gtest]
fn unknown_option_is_reported_with_the_valid_ones() {
    let faults = Test::new()
        .set("/core/relay_resume", json!("twice"))
        .set("/core/routing", json!(3))
        .faults();
    expect_that!(
        faults,
        unordered_elements_are![
            eq("core.relay_resume: `twice` must be one of copy, anew, none"),
            eq("core.routing: 3 must be a non-empty string"),
        ]
    );
}

#[gtest]
fn missing_required_settings_are_faults() {
    let faults = Settings::parse("{}").unwrap_err();
    let places: Vec<&str> = faults.iter().map(|fault| fault.place.as_str()).collect();
    expect_that!(places, contains(eq(&"instance")));
    expect_that!(places, contains(eq(&"platform.store")));
}

#[gtest]
fn invalid_json_is_one_fault() {
    expect_that!(Settings::parse("{").unwrap_err().len(), eq(1));
    expect_that!(Settings::parse("[]").unwrap_err().is_empty(), eq(false));
}

/// Guards against a bound on answers that refuses ordinary ones.
#[gtest]
fn bounds_on_answers_below_64_kib_are_faults() {
    for name in ["body_bytes", "event_bytes", "instance_bytes"] {
        let faults = Test::new()
            .set(&format!("/core/answers/{name}"), json!(65_535))
            .faults();
        let place = format!("core.answers.{name}: ");
        expect_that!(faults, elements_are![starts_with(place.as_str())]);
    }
}

#[gtest]
fn stall_limits_must_be_in_order() {
    let faults = Test::new().set("/core/stall_min_ms", json!(5_000)).faults();
    expect_that!(
        faults,
        elements_are![starts_with("core.stall_min_ms: 5000")]
    );
}

#[gtest]
fn check_exits_with_2_and_prints_the_faults() {
    let (code, _, stderr) = Test::new().set("/body_max", json!("big")).check();
    expect_that!(code, some(eq(2)));
    expect_that!(
        stderr,
        contains_substring("body_max: \"big\" must be an integer")
    );
}

#[gtest]
fn check_of_valid_settings_prints_ok() {
    let (code, stdout, _) = Test::new().check();
    expect_that!(code, some(eq(0)));
    expect_that!(stdout, eq("ok\n"));
}
