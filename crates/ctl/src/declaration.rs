//! Reading declarations from files, which are meant to be under version control, and comparing them.

use super::*;

/// Reads a file as a declaration, or merges all `.json` files of a directory in the order of their names. A directory without any
/// is an error: it is not the declaration that takes everything away.
pub fn read(path: &Path) -> Result<Declaration, Error> {
    if !path.is_dir() {
        return read_file(path);
    }
    let failed = |error: std::io::Error| Error::File(path.to_owned(), error.to_string());
    let mut files: Vec<PathBuf> = std::fs::read_dir(path)
        .map_err(failed)?
        .map(|entry| entry.map(|entry| entry.path()))
        .collect::<Result<_, _>>()
        .map_err(failed)?;
    files.retain(|file| {
        file.extension()
            .is_some_and(|extension| extension == "json")
    });
    if files.is_empty() {
        return Err(Error::File(path.to_owned(), "holds no .json file".into()));
    }
    files.sort();
    files
        .iter()
        .try_fold(Declaration::default(), |mut merged, file| {
            let part = read_file(file)?;
            merged.customers.extend(part.customers);
            merged.models.extend(part.models);
            merged.services.extend(part.services);
            Ok(merged)
        })
}

/// Describes the changes from `old` to `new`, a line each: `+` for an added entry, `~` for a changed and `-` for a removed one.
pub fn diff(old: &Declaration, new: &Declaration) -> Vec<String> {
    let mut lines = Vec::new();
    compare(
        &mut lines,
        "customer",
        &old.customers,
        &new.customers,
        |entry| &entry.name,
    );
    compare(&mut lines, "model", &old.models, &new.models, |entry| {
        &entry.name
    });
    compare(
        &mut lines,
        "service",
        &old.services,
        &new.services,
        |entry| &entry.name,
    );
    lines
}

fn compare<T: PartialEq + Serialize>(
    lines: &mut Vec<String>,
    kind: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &String,
) {
    for entry in new {
        match old.iter().find(|other| name(other) == name(entry)) {
            None => lines.push(format!("+ {kind} {} {}", name(entry), json!(entry))),
            Some(other) if other != entry => {
                lines.push(format!("~ {kind} {} {}", name(entry), json!(entry)));
            }
            Some(_) => {}
        }
    }
    lines.extend(
        old.iter()
            .filter(|entry| !new.iter().any(|other| name(other) == name(entry)))
            .map(|entry| format!("- {kind} {}", name(entry))),
    );
}

fn read_file(path: &Path) -> Result<Declaration, Error> {
    let failed = |text: String| Error::File(path.to_owned(), text);
    let text = std::fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| failed(error.to_string()))
}
