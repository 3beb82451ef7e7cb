//! Generates the code of the schema files into the `wire` package, where it is committed.
//!
//! Run it from the root of the repository after a change of a schema file:
//! `cargo run -p wellplank-schema`. With `--check` it only says whether the committed code is
//! that of the schema files.

use std::{error::Error, fs, path::Path, process::ExitCode};

const FILES: [&str; 2] = ["operator.proto", "peer.proto"];
const GENERATED: &str = "crates/wire/src/generated";
const SCHEMAS: &str = "crates/wire/proto";

/// Messages that operators write as JSON.
const DECLARED: [&str; 4] = ["Declaration", "Customer", "Model", "Service"];

fn generate(folder: &Path) -> Result<(), Box<dyn Error>> {
    let schemas = protox::compile(FILES, [SCHEMAS])?;
    let mut builder = tonic_prost_build::configure()
        .out_dir(folder)
        .emit_rerun_if_changed(false);
    for message in DECLARED {
        let path = format!("wellplank.operator.v1.{message}");
        builder = builder
            .type_attribute(&path, "#[derive(serde::Deserialize, serde::Serialize)]")
            .type_attribute(&path, "#[serde(default, deny_unknown_fields)]");
    }
    for (field, module) in [("priority", "priority"), ("policy", "policy")] {
        builder = builder.field_attribute(
            format!("wellplank.operator.v1.Service.{field}"),
            format!("#[serde(with = \"crate::name::{module}\")]"),
        );
    }
    builder.compile_fds(schemas)?;
    Ok(())
}

fn run() -> Result<bool, Box<dyn Error>> {
    if !std::env::args().any(|argument| argument == "--check") {
        generate(Path::new(GENERATED))?;
        return Ok(true);
    }
    let folder = std::env::temp_dir().join(format!("wellplank-schema-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    generate(&folder)?;
    let mut same = true;
    for entry in fs::read_dir(&folder)? {
        let entry = entry?;
        let committed = fs::read(Path::new(GENERATED).join(entry.file_name()))?;
        same &= committed == fs::read(entry.path())?;
    }
    fs::remove_dir_all(&folder)?;
    Ok(same)
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("the committed code in {GENERATED} is not that of {SCHEMAS}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
