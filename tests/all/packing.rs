//! Packed texts.

use azuremount::packing::{pack, unpack};

use crate::fixed_seeds;

#[test]
fn what_was_packed_is_unpacked() {
    fixed_seeds(40, |bytes| {
        // Long enough to be packed, and with runs that can be.
        let piece: Vec<u8> = bytes.arbitrary()?;
        let text = piece.repeat(200);
        assert_eq!(unpack(&pack(&text)).unwrap(), text);
        Ok(())
    });
}

#[test]
fn a_text_that_looks_packed_is_kept_too() {
    let text = [0x1f, 0x8b, 3];
    assert_eq!(unpack(&pack(&text)).unwrap(), &text[..]);
    let twice = pack(&pack(&[7; 5000]));
    assert_eq!(unpack(&twice).unwrap(), pack(&[7; 5000]));
}

#[test]
fn what_was_kept_before_texts_were_packed_is_understood() {
    let text = "a plan of the version before ".repeat(100);
    assert_eq!(unpack(text.as_bytes()).unwrap(), text.as_bytes());
}

#[test]
fn a_broken_text_is_an_error_at_every_byte() {
    let packed = pack("some routes ".repeat(200).as_bytes());
    for end in 2..packed.len() {
        assert!(unpack(&packed[..end]).is_err(), "cut at {end}");
    }
}

/// Symptom: a node is killed for its memory. Cause: a few kB unpack to more
/// than it has.
#[test]
fn a_text_that_unpacks_to_more_than_memory_is_an_error() {
    let packed = pack(&vec![0; 65 * 1024 * 1024]);
    assert!(packed.len() < 1024 * 1024);
    assert!(unpack(&packed).is_err());
}
