//! Reads a configuration from its files, `base.toml` and `sites/*.toml`.

use std::{fs, path::Path};

use super::Failure;
use crate::wire::SourceFile;

/// Reads the base and the overlays; the overlays are sorted by name.
pub fn read(folder: &Path) -> Result<(SourceFile, Vec<SourceFile>), Failure> {
    let base = read_file(&folder.join("base.toml"), "base.toml")?;
    let sites = folder.join("sites");
    let listing = fs::read_dir(&sites).map_err(|error| {
        Failure::Invalid(format!("can't read {}: {error}", sites.display()))
    })?;
    let mut overlays = Vec::new();
    for entry in listing {
        let entry =
            entry.map_err(|error| Failure::Invalid(error.to_string()))?;
        let path = entry.path();
        if path.extension().is_none_or(|kind| kind != "toml") {
            continue;
        }
        let name = format!("sites/{}", entry.file_name().display());
        overlays.push(read_file(&path, &name)?);
    }
    overlays.sort_by(|left, right| left.name.cmp(&right.name));
    Ok((base, overlays))
}

fn read_file(path: &Path, name: &str) -> Result<SourceFile, Failure> {
    let text = fs::read_to_string(path).map_err(|error| {
        Failure::Invalid(format!("can't read {}: {error}", path.display()))
    })?;
    Ok(SourceFile { name: name.to_owned(), text })
}
