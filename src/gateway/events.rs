//! Streams of events, cut where an event ends.
//!
//! A replica may stop anywhere, also in the middle of an event. Only whole
//! events go on to the client, so that a stream that is resumed elsewhere
//! goes on exactly behind the last one, with none missing and none doubled.

use bytes::{Bytes, BytesMut};

/// The longest event that is waited for, in bytes. A stream without an end
/// of an event in so many bytes is no stream of events.
const LONGEST: usize = 256 * 1024;

/// Collects a stream's bytes until events are whole.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last: Option<u64>,
}

/// A stream that can't be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoiled {
    /// An event without an end.
    TooLong,
    /// An event came twice, or one is missing.
    OutOfOrder {
        /// The last id that was passed on.
        last: u64,
        /// The id that came.
        came: u64,
    },
}

impl Splitter {
    /// Starts behind the event with the id `last`, if there was one.
    pub fn open(last: Option<u64>) -> Splitter {
        Splitter { rest: BytesMut::new(), last }
    }

    /// The id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// True when the stream stands between two events.
    pub fn is_between_events(&self) -> bool {
        self.rest.is_empty()
    }

    /// Takes bytes; gives the whole events that are there now.
    ///
    /// # Errors
    ///
    /// When ids do not grow, or an event has no end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Spoiled> {
        // An end can stand across the border to the bytes before.
        let searched = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_end(&self.rest, searched) else {
            return match self.rest.len() > LONGEST {
                true => Err(Spoiled::TooLong),
                false => Ok(Bytes::new()),
            };
        };
        let whole = self.rest.split_to(end).freeze();
        self.check_ids(&whole)?;
        Ok(whole)
    }

    fn check_ids(&mut self, events: &[u8]) -> Result<(), Spoiled> {
        for line in events.split(|byte| *byte == b'\n') {
            let Some(came) = id_of(line) else { continue };
            if let Some(last) = self.last
                && came <= last
            {
                return Err(Spoiled::OutOfOrder { last, came });
            }
            self.last = Some(came);
        }
        Ok(())
    }
}

/// Where the last whole event ends, looking only behind `from`.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).rev().find_map(|at| {
        let rest = &bytes[at..];
        let unix = rest.starts_with(b"\n\n");
        let other = rest.starts_with(b"\r\n\r\n");
        match (unix, other) {
            (true, _) => Some(at + 2),
            (_, true) => Some(at + 4),
            _ => None,
        }
    })
}

fn id_of(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?.trim_end_matches('\r');
    text.strip_prefix("id:")?.trim().parse().ok()
}
