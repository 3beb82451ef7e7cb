//! Stand-ins for the cases of the review: a store, runners and clients around processes of the system.
//!
//! `stand-in CASE --program FILE --folder DIR --record FILE --trouble 0|1` plays a case and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod alike;
mod client;
mod http;
mod json;
mod memory;
mod restart;
mod runner;
mod site;
mod store;

use std::{
    path::PathBuf,
    process::ExitCode,
    time::{Duration, Instant},
};

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(100);

/// What a case is played with.
pub struct Plan {
    pub folder: PathBuf,
    pub program: PathBuf,
    pub record: site::Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// Whether the rule was broken; an error says why the case could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|word| word == "runner") {
        return match runner::run(&arguments[1..]) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::FAILURE,
        };
    }
    let option = |name: &str| {
        let at = arguments.iter().position(|word| word == name)?;
        arguments.get(at + 1).cloned()
    };
    let (Some(case), Some(program), Some(folder), Some(record)) = (
        arguments.first(),
        option("--program"),
        option("--folder"),
        option("--record"),
    ) else {
        eprintln!("usage: stand-in CASE --program FILE --folder DIR --record FILE --trouble 0|1");
        return ExitCode::from(2);
    };
    let Ok(record) = site::Record::create(&PathBuf::from(record)) else {
        eprintln!("the record can not be written");
        return ExitCode::from(2);
    };
    let plan = Plan {
        folder: folder.into(),
        program: program.into(),
        record: record.clone(),
        trouble: option("--trouble").is_none_or(|text| text != "0"),
    };
    let outcome = match case.as_str() {
        "alike" => alike::play(&plan),
        "memory" => memory::play(&plan),
        "restart" => restart::play(&plan),
        other => Err(format!("there is no case {other}")),
    };
    let (text, code) = match outcome {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}

/// Waits until something holds, or for a time; returns whether it holds.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit.min(LIMIT);
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    holds()
}
