//! Texts of operators as they are kept and sent: compressed.
//!
//! A plan of some thousand routes is most of a megabyte, and passes through
//! log, disks, snapshots and every node. Kept as it comes, it takes seconds
//! over a link of ten megabits, and a node that compresses it anew for each
//! of seventy others is busy for as long. So whoever takes it from an operator
//! packs it once, and it stays packed until it is read.
//!
//! A packed text is a gzip file. Its first two bytes are no text, so a plan
//! that was kept before texts were packed is still understood.

use std::{
    borrow::Cow,
    io::{self, Read, Write},
};

use flate2::{Compression, read::GzDecoder, write::GzEncoder};

/// Shorter texts are kept as they are, in bytes: packing saves no packet.
const LEAST_BYTES: usize = 1024;
/// No text is longer than this when unpacked, in bytes: far more than any
/// operator sends, and as much as the smallest VM has to spare.
const MOST_BYTES: u64 = 64 * 1024 * 1024;
/// What a gzip file begins with.
const MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Packs a text, if that makes it shorter.
///
/// At the fastest level: a plan of 0.8 MB is packed within some ms of a core,
/// and a VM has an eighth of one.
pub fn pack(text: &[u8]) -> Vec<u8> {
    if text.len() < LEAST_BYTES && !is_packed(text) {
        return text.to_vec();
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory does not fail.
    let written = encoder.write_all(text).and_then(|()| encoder.finish());
    match written {
        Ok(packed) if packed.len() < text.len() || is_packed(text) => packed,
        Ok(_) | Err(_) => text.to_vec(),
    }
}

/// The text of what [`pack`] made, or what was never packed.
///
/// # Errors
///
/// When it is packed, and broken or longer than 64 MB.
pub fn unpack(kept: &[u8]) -> io::Result<Cow<'_, [u8]>> {
    if !is_packed(kept) {
        return Ok(Cow::Borrowed(kept));
    }
    let mut text = Vec::new();
    GzDecoder::new(kept).take(MOST_BYTES + 1).read_to_end(&mut text)?;
    if text.len() as u64 > MOST_BYTES {
        let most = format!("longer than {MOST_BYTES} bytes when unpacked");
        return Err(io::Error::new(io::ErrorKind::InvalidData, most));
    }
    Ok(Cow::Owned(text))
}

fn is_packed(bytes: &[u8]) -> bool {
    bytes.starts_with(&MAGIC)
}
