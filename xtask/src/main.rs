//! `cargo run -p xtask` regenerates `src/wire/generated.rs`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    xtask::generate(&xtask::root().join("src/wire"))
}
