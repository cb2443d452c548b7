//! Compression of the plans that operators send.
//!
//! A plan of some thousand routes is most of a megabyte, and passes through
//! the log, disks, snapshots and every node. Uncompressed, it takes seconds
//! over a link of ten megabits. A node that compressed it again for each of
//! seventy other nodes would be busy for as long. The node that receives a
//! plan from an operator therefore compresses it once, and it stays compressed
//! until it is parsed.
//!
//! A packed text is a gzip file. Its first two bytes are not valid text, so
//! plans that older versions stored uncompressed can still be read.

use std::{
    borrow::Cow,
    io::{self, Read, Write},
};

use flate2::{Compression, read::GzDecoder, write::GzEncoder};

/// Minimum length of a text that is compressed, in bytes. A shorter one fits
/// into one network packet anyway.
const MIN_PACKED_BYTES: usize = 1024;
/// Maximum length of an unpacked text, in bytes: far more than operators send,
/// and as much memory as the smallest VM can spare.
const MAX_TEXT_BYTES: u64 = 64 * 1024 * 1024;
/// First bytes of a gzip file.
const MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Compresses a text, if that makes it shorter.
///
/// Uses the fastest level: compressing a plan of 0.8 MB takes some ms of a
/// core, and a VM has an eighth of one.
pub fn pack(text: &[u8]) -> Vec<u8> {
    if text.len() < MIN_PACKED_BYTES && !is_packed(text) {
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

/// Returns the text of the output of [`pack`]. A text that was never packed is
/// returned as it is.
///
/// # Errors
///
/// Returns an error if a packed text is damaged or longer than 64 MB.
pub fn unpack(kept: &[u8]) -> io::Result<Cow<'_, [u8]>> {
    if !is_packed(kept) {
        return Ok(Cow::Borrowed(kept));
    }
    let mut text = Vec::new();
    GzDecoder::new(kept).take(MAX_TEXT_BYTES + 1).read_to_end(&mut text)?;
    if text.len() as u64 > MAX_TEXT_BYTES {
        let most = format!("longer than {MAX_TEXT_BYTES} bytes when unpacked");
        return Err(io::Error::new(io::ErrorKind::InvalidData, most));
    }
    Ok(Cow::Owned(text))
}

fn is_packed(bytes: &[u8]) -> bool {
    bytes.starts_with(&MAGIC)
}
