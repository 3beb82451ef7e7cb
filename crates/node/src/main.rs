//! The binary `wellplank`: one instance.

fn main() -> std::process::ExitCode {
    wellplank_node::run()
}
