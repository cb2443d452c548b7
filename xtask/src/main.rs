//! `cargo run -p xtask` writes `src/wire/generated.rs` anew.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    xtask::generate(&xtask::root().join("src/wire"))
}
