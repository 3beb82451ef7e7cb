//! The binary `wellplankctl`: the operators' command line.

fn main() -> std::process::ExitCode {
    wellplank_ctl::run()
}
