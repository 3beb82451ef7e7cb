//! Definition of the command line.

use super::*;

/// Builds the parser of the command line.
pub(crate) fn command() -> clap::Command {
    let file = Arg::new("file")
        .help("JSON file with a declaration, or a directory of such files")
        .long("file")
        .required(true)
        .short('f')
        .value_name("FILE|DIR")
        .value_parser(clap::value_parser!(PathBuf));
    clap::Command::new("wellplankctl")
        .about("Administers wellplank by declarative configuration")
        .arg_required_else_help(true)
        .arg(
            Arg::new("address")
                .default_value("127.0.0.1:8081")
                .global(true)
                .help("Address of any instance's operator endpoint")
                .long("address")
                .value_name("ADDRESS"),
        )
        .arg(
            Arg::new("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Print JSON instead of tables")
                .long("json"),
        )
        .arg(
            Arg::new("key")
                .env("WELLPLANK_OPERATOR_KEY")
                .global(true)
                .help("Operator key")
                .hide_env_values(true)
                .long("key")
                .value_name("KEY"),
        )
        .subcommand(
            clap::Command::new("apply")
                .about("Replaces the whole declaration by that of a file, atomically")
                .arg(file.clone())
                .arg(
                    Arg::new("dry-run")
                        .action(ArgAction::SetTrue)
                        .help("Validate the declaration without applying it")
                        .long("dry-run"),
                )
                .arg(
                    Arg::new("expect-revision")
                        .help("Fail unless this revision is in force")
                        .long("expect-revision")
                        .value_name("N")
                        .value_parser(clap::value_parser!(u64)),
                )
                .arg(
                    Arg::new("note")
                        .default_value("")
                        .help("Reason for the change, for the history")
                        .long("note")
                        .value_name("TEXT"),
                )
                .arg(
                    Arg::new("wait")
                        .action(ArgAction::SetTrue)
                        .help("Wait until the change is in force at every live instance; on timeout, list those where it is not")
                        .long("wait"),
                ),
        )
        .subcommand(
            clap::Command::new("diff")
                .about("Shows what applying a file would change")
                .arg(file),
        )
        .subcommand(
            clap::Command::new("digest")
                .about("Reads a customer's key from standard input and prints its key_digest"),
        )
        .subcommand(
            clap::Command::new("drain").about("Drains and stops an instance, completing requests in flight"),
        )
        .subcommand(clap::Command::new("get").about("Prints the declaration in force as JSON"))
        .subcommand(clap::Command::new("history").about("Shows the most recently accepted changes"))
        .subcommand(clap::Command::new("status").about("Shows the state of an instance"))
        .subcommand_required(true)
        .version(env!("CARGO_PKG_VERSION"))
}
