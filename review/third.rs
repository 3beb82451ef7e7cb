//! Stand-ins for cases 7 and 8 and a further one: a store, runners and clients, and the instances as processes of their own.

#[path = "third_fleet.rs"]
mod fleet;
#[path = "third_foreign.rs"]
mod foreign;
#[path = "third_http.rs"]
mod http;
#[path = "third_json.rs"]
mod json;
#[path = "third_keys.rs"]
mod keys;
#[path = "third_record.rs"]
mod record;
#[path = "third_reuse.rs"]
mod reuse;
#[path = "third_runner.rs"]
mod runner;
#[path = "third_store.rs"]
mod store;

use std::process::ExitCode;

/// Outcome of a case.
pub enum Outcome {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
    /// The case could not run.
    Failed(String),
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let file = std::env::args()
        .nth(2)
        .unwrap_or_else(|| "record.txt".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new(&file);
    let outcome = match case.as_str() {
        "foreign" => foreign::play(&record, trouble),
        "keys" => keys::play(&record, trouble),
        "reuse" => reuse::play(&record, trouble),
        _ => Outcome::Failed(format!("no case {case:?}")),
    };
    match outcome {
        Outcome::Broken => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Outcome::Held => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Failed(reason) => {
            record.line(&format!("result: could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
