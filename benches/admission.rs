//! Prints the table of `docs/design/admission.md`: admission under load, in
//! virtual time. It takes minutes.
//!
//! The environment variable `LOAD` selects rows by a part of their name, such
//! as `74 Burst`. With `SECONDS`, each row also has the middle seconds.

#[allow(dead_code)]
#[path = "../tests/all/admission_load.rs"]
mod admission_load;

fn main() {
    admission_load::print_table();
}
