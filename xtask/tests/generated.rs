//! Checks that the committed code matches the protocol file.

use std::fs;

#[test]
fn generated_code_is_current() {
    let name = format!("azuremount-generated-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("a folder for the new code");
    xtask::generate(&folder).expect("the protocol file compiles");
    let new = fs::read_to_string(folder.join("generated.rs"));
    let committed =
        fs::read_to_string(xtask::root().join("src/wire/generated.rs"));
    let _ = fs::remove_dir_all(&folder);
    assert!(
        new.expect("new code") == committed.expect("committed code"),
        "src/wire/generated.rs is stale; run `cargo run -p xtask`"
    );
}
