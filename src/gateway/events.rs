//! Splits event streams at event boundaries.
//!
//! A replica may stop in the middle of an event. Only whole events are
//! forwarded to the caller, so that a stream that is resumed at another
//! replica continues exactly after the last forwarded event, without a missing
//! or duplicate event.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes. A longer run of bytes without the end
/// of an event is not an event stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers a stream's bytes until events are complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last: Option<u64>,
    has_events: bool,
}

/// Why a stream can't be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// An event is longer than the maximum.
    TooLong,
    /// An event's id is not greater than the id before it.
    OutOfOrder {
        /// The id before it.
        last: u64,
        /// The event's id.
        received: u64,
    },
}

impl Splitter {
    /// Creates a splitter for a stream that continues after the event with the
    /// id `last`, if any.
    pub fn open(last: Option<u64>) -> Splitter {
        Splitter { last, ..Splitter::default() }
    }

    /// Returns the id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns true when a whole event has been received.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Returns true when no part of an event is buffered.
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Adds bytes and returns the events that are complete now.
    ///
    /// # Errors
    ///
    /// Returns an error when ids do not increase or an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        // The end of an event may span the previous bytes and these.
        let searched = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.buffer, searched) else {
            return match self.buffer.len() > MAX_EVENT_BYTES {
                true => Err(Error::TooLong),
                false => Ok(Bytes::new()),
            };
        };
        self.has_events = true;
        let whole = self.buffer.split_to(end).freeze();
        self.check_ids(&whole)?;
        Ok(whole)
    }

    fn check_ids(&mut self, events: &[u8]) -> Result<(), Error> {
        for line in events.split(|byte| *byte == b'\n') {
            let Some(received) = id_of(line) else { continue };
            if let Some(last) = self.last
                && received <= last
            {
                return Err(Error::OutOfOrder { last, received });
            }
            self.last = Some(received);
        }
        Ok(())
    }
}

/// Returns where the last whole event ends, searching from `from` on.
fn end_of_last_event(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).rev().find_map(|at| {
        let rest = &bytes[at..];
        let is_lf = rest.starts_with(b"\n\n");
        let is_crlf = rest.starts_with(b"\r\n\r\n");
        match (is_lf, is_crlf) {
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
