//! The binary `standin`: stand-ins as processes, the demo and the measuring tool.

fn main() -> std::process::ExitCode {
    wellplank_standin::run()
}
