//! Generates Rust code from `proto/azuremount.proto`.
//!
//! The build of azuremount runs no generator: the generated code is committed
//! as `src/wire/generated.rs`, and a test of this crate checks that it is
//! current. The generator is a separate crate so that it builds even when the
//! library doesn't.

use std::{
    error::Error,
    fs,
    path::{Path, PathBuf},
};

/// Returns the root folder of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Generates `generated.rs` in `folder`.
pub fn generate(folder: &Path) -> Result<(), Box<dyn Error>> {
    let proto = root().join("proto");
    let files = protox::compile([proto.join("azuremount.proto")], [proto])?;
    tonic_prost_build::configure().out_dir(folder).compile_fds(files)?;
    let generated = folder.join("azuremount.v1.rs");
    fs::rename(generated, folder.join("generated.rs"))?;
    Ok(())
}
