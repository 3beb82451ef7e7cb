//! Command line of wellplank for operators, and the client behind it.

pub mod client;
pub mod declaration;
pub mod error;

mod arguments;
mod command;
mod table;

pub use {client::Client, error::Error};

use {
    clap::{Arg, ArgAction, ArgMatches},
    serde::Serialize,
    serde_json::{Value, json},
    std::{
        fmt::{self, Display, Formatter},
        path::{Path, PathBuf},
        process::ExitCode,
        time::{Duration, Instant},
    },
    tonic::{Request, transport::Channel},
    uuid::Uuid,
    wellplank_wire::operator::{
        self as schema, ApplyReply, ApplyRequest, Declaration, DrainRequest, GetReply, GetRequest,
        HistoryReply, HistoryRequest, StatusReply, StatusRequest, operator_client::OperatorClient,
    },
};

/// Parses the arguments and runs their command, with errors on standard error.
pub fn run() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let matches = arguments::command().get_matches();
    let result = runtime
        .map_err(Error::Runtime)
        .and_then(|runtime| runtime.block_on(command::run(&matches)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}
