//! Stand-ins for the cases of the second review, with one command for each case.

#[path = "second_alike.rs"]
mod alike;
#[path = "second_client.rs"]
mod client;
#[path = "second_engine.rs"]
mod engine;
#[path = "second_few.rs"]
mod few;
#[path = "second_fleet.rs"]
mod fleet;
#[path = "second_http.rs"]
mod http;
#[path = "second_json.rs"]
mod json;
#[path = "second_moved.rs"]
mod moved;
#[path = "second_record.rs"]
mod record;
#[path = "second_store.rs"]
mod store;

use std::process::ExitCode;

/// The end of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    record::open(path);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "alike" => alike::run(trouble),
        "few" => few::run(trouble),
        "moved" => moved::run(trouble),
        _ => Verdict::NotRun,
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    record::note(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
