//! The binary `wellplankctl`, the command line for operators.

fn main() -> std::process::ExitCode {
    wellplank_ctl::run()
}
