//! Tests of the command line that need no running instance.

use {
    googletest::prelude::*,
    std::{
        io::Write,
        process::{Command, Stdio},
    },
    wellplank_ctl::declaration,
    wellplank_wire::operator::Declaration,
};

/// One run of the command.
struct Test {
    arguments: Vec<String>,
    input: &'static str,
}

impl Test {
    fn arguments(arguments: &[&str]) -> Self {
        Self {
            arguments: arguments.iter().map(ToString::to_string).collect(),
            input: "",
        }
    }

    fn input(mut self, input: &'static str) -> Self {
        self.input = input;
        self
    }

    /// Returns exit code, standard output and standard error.
    fn run(self) -> (Option<i32>, String, String) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_wellplankctl"))
            .args(self.arguments)
            .stderr(Stdio::piped())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut input = child.stdin.take().unwrap();
        input.write_all(self.input.as_bytes()).unwrap();
        drop(input);
        let output = child.wait_with_output().unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
            String::from_utf8(output.stderr).unwrap(),
        )
    }
}

fn example() -> String {
    format!(
        "{}/../../examples/declaration.json",
        env!("CARGO_MANIFEST_DIR")
    )
}

#[gtest]
fn digest_ignores_the_line_ending_of_the_key() {
    let (code, output, _) = Test::arguments(&["digest"]).input("archive-key\n").run();
    expect_that!(code, some(eq(0)));
    expect_that!(
        output.trim(),
        eq(&blake3::hash(b"archive-key").to_hex().to_string())
    );
}

#[gtest]
fn file_with_unknown_field_is_refused_with_its_line() {
    let path = std::env::temp_dir().join(format!("wellplank-ctl-{}.json", std::process::id()));
    std::fs::write(&path, "{\n  \"modles\": []\n}").unwrap();
    let file = path.to_str().unwrap();
    let (code, _, error) = Test::arguments(&["apply", "-f", file]).run();
    std::fs::remove_file(&path).unwrap();
    expect_that!(code, some(eq(2)));
    expect_that!(error, contains_substring("unknown field `modles`"));
    expect_that!(error, contains_substring("line 2"));
}

/// Guards against the wrong folder, which holds no declaration, and takes everything away when it is applied.
#[gtest]
fn folder_without_a_declaration_is_refused() {
    let path = std::env::temp_dir().join(format!("wellplank-ctl-empty-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    std::fs::write(path.join("readme.txt"), "no declaration").unwrap();
    let arguments = [
        "--address",
        "127.0.0.1:1",
        "apply",
        "-f",
        path.to_str().unwrap(),
    ];
    let (code, _, error) = Test::arguments(&arguments).run();
    std::fs::remove_dir_all(&path).unwrap();
    expect_that!(code, some(eq(2)));
    expect_that!(error, contains_substring("holds no .json file"));
}

#[gtest]
fn failed_connection_is_an_error() {
    let arguments = ["--address", "127.0.0.1:1", "status"];
    let (code, _, error) = Test::arguments(&arguments).run();
    expect_that!(code, some(eq(1)));
    expect_that!(
        error,
        contains_substring("failed to connect to 127.0.0.1:1")
    );
}

#[gtest]
fn example_is_a_valid_declaration() {
    let declaration = declaration::read(example().as_ref()).unwrap();
    expect_that!(declaration.services.len(), eq(4));
}

#[gtest]
fn diff_lists_added_changed_and_removed_entries() {
    let old = declaration::read(example().as_ref()).unwrap();
    let mut new = old.clone();
    new.services.remove(0);
    new.customers[0].weight = 2;
    new.models.push(new.models[0].clone());
    new.models[1].name = "other".into();
    let lines = declaration::diff(&old, &new);
    expect_that!(
        lines,
        elements_are![
            starts_with("~ customer hemelarchief"),
            starts_with("+ model other"),
            eq("- service notebook-summary"),
        ]
    );
    expect_that!(declaration::diff(&old, &old), is_empty());
    expect_that!(
        declaration::diff(&Declaration::default(), &old).len(),
        eq(6)
    );
}
