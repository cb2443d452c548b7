//! Writes the Rust of `proto/azuremount.proto`.
//!
//! The build of azuremount runs no generator: what this crate writes is
//! committed as `src/wire/generated.rs`, and a test here compares the two. It
//! is a crate of its own so that it still builds when the library doesn't.

use std::{
    error::Error,
    fs,
    path::{Path, PathBuf},
};

/// The root of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Writes `generated.rs` into `folder`.
pub fn generate(folder: &Path) -> Result<(), Box<dyn Error>> {
    let proto = root().join("proto");
    let files = protox::compile([proto.join("azuremount.proto")], [proto])?;
    tonic_prost_build::configure().out_dir(folder).compile_fds(files)?;
    let written = folder.join("azuremount.v1.rs");
    fs::rename(written, folder.join("generated.rs"))?;
    Ok(())
}
