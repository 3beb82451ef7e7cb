//! The command line of the stand-ins.

use super::*;

/// The command line.
pub(crate) fn command() -> Command {
    let listen = Arg::new("listen")
        .help("Address to listen on")
        .long("listen")
        .required(true)
        .value_name("ADDRESS")
        .value_parser(clap::value_parser!(SocketAddr));
    Command::new("standin")
        .about("Stand-ins of engines, services and the platform")
        .arg_required_else_help(true)
        .subcommand(Command::new("demo").about("Runs the demo in this process"))
        .subcommand(
            Command::new("engine")
                .about("Runs an engine")
                .arg(listen.clone()),
        )
        .subcommand(
            Command::new("platform")
                .about("Runs the platform's key-value service and list")
                .arg(listen.clone()),
        )
        .subcommand(
            Command::new("plain")
                .about("Runs a plain service")
                .arg(listen),
        )
        .subcommand_required(true)
}

/// Runs the command that the arguments name.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    let Ok(runtime) = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    else {
        return ExitCode::FAILURE;
    };
    runtime.block_on(async {
        let Some((name, arguments)) = matches.subcommand() else {
            return ExitCode::FAILURE;
        };
        if name == "demo" {
            return demo::run().await;
        }
        let address = *arguments.get_one("listen").expect("is required");
        match name {
            "engine" => Engine::new(address).serve().await,
            "plain" => Plain::new(address).serve().await,
            _ => Platform::new(address).serve().await,
        }
        ExitCode::SUCCESS
    })
}
