//! The command line.

use super::*;

/// The command line.
pub(crate) fn command() -> clap::Command {
    let file = Arg::new("file")
        .help("JSON file with a declaration, or a folder of such files")
        .long("file")
        .required(true)
        .short('f')
        .value_name("FILE|DIR")
        .value_parser(clap::value_parser!(PathBuf));
    clap::Command::new("wellplankctl")
        .about("Operates wellplank by declarations")
        .arg_required_else_help(true)
        .arg(
            Arg::new("address")
                .default_value("127.0.0.1:8081")
                .global(true)
                .help("Operators' address of any instance")
                .long("address")
                .value_name("ADDRESS"),
        )
        .arg(
            Arg::new("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Print JSON in place of tables")
                .long("json"),
        )
        .arg(
            Arg::new("key")
                .env("WELLPLANK_OPERATOR_KEY")
                .global(true)
                .help("Operators' key")
                .hide_env_values(true)
                .long("key")
                .value_name("KEY"),
        )
        .subcommand(
            clap::Command::new("apply")
                .about("Replaces the declaration by that of a file, in one change")
                .arg(file.clone())
                .arg(
                    Arg::new("dry-run")
                        .action(ArgAction::SetTrue)
                        .help("Check only")
                        .long("dry-run"),
                )
                .arg(
                    Arg::new("expect-revision")
                        .help("Refuse unless this revision is in force")
                        .long("expect-revision")
                        .value_name("N")
                        .value_parser(clap::value_parser!(u64)),
                )
                .arg(
                    Arg::new("note")
                        .default_value("")
                        .help("Why, for the history")
                        .long("note")
                        .value_name("TEXT"),
                )
                .arg(
                    Arg::new("wait")
                        .action(ArgAction::SetTrue)
                        .help("Return when it is in force at every live instance, and name those where it is not")
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
            clap::Command::new("drain").about("Stops an instance as planned: no answer is cut"),
        )
        .subcommand(clap::Command::new("get").about("Prints the declaration in force as JSON"))
        .subcommand(clap::Command::new("history").about("Shows the last accepted changes"))
        .subcommand(clap::Command::new("status").about("Shows the state of an instance"))
        .subcommand_required(true)
        .version(env!("CARGO_PKG_VERSION"))
}
