//! The `wellplank` binary, which runs one instance.

fn main() -> std::process::ExitCode {
    wellplank_node::run()
}
