//! Generates code from the schema files into the `wire` package, where it is committed.
//!
//! Run `cargo run -p wellplank-schema` from the root of the repository after changing a schema file. With `--check` it
//! leaves the committed code as it is, and fails if that is out of date.

use std::{error::Error, fs, path::Path, process::ExitCode};

const SCHEMA_FILES: [&str; 2] = ["operator.proto", "peer.proto"];
const GENERATED_DIR: &str = "crates/wire/src/generated";
const SCHEMA_DIR: &str = "crates/wire/proto";

/// Messages that operators write as JSON, for which serde implementations are generated.
const JSON_MESSAGES: [&str; 4] = ["Declaration", "Customer", "Model", "Service"];

fn generate(out_dir: &Path) -> Result<(), Box<dyn Error>> {
    let schemas = protox::compile(SCHEMA_FILES, [SCHEMA_DIR])?;
    let mut builder = tonic_prost_build::configure()
        .out_dir(out_dir)
        .emit_rerun_if_changed(false);
    for message in JSON_MESSAGES {
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

/// Generates the code or checks it; returns whether the committed code is up to date.
fn run() -> Result<bool, Box<dyn Error>> {
    if !std::env::args().any(|argument| argument == "--check") {
        generate(Path::new(GENERATED_DIR))?;
        return Ok(true);
    }
    let out_dir = std::env::temp_dir().join(format!("wellplank-schema-{}", std::process::id()));
    fs::create_dir_all(&out_dir)?;
    generate(&out_dir)?;
    let mut is_current = true;
    for entry in fs::read_dir(&out_dir)? {
        let entry = entry?;
        let committed = fs::read(Path::new(GENERATED_DIR).join(entry.file_name()))?;
        is_current &= committed == fs::read(entry.path())?;
    }
    fs::remove_dir_all(&out_dir)?;
    Ok(is_current)
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!(
                "the code in {GENERATED_DIR} is out of date with the schemas in {SCHEMA_DIR}; run `cargo run -p wellplank-schema`"
            );
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
