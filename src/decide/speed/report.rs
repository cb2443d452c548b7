//! What nodes report to each other of a replica, in eight bytes.
//!
//! From the highest bit: 32 bits of the replica's hash, 8 of the figure, 6 of
//! its age in steps of 16 ms, 8 of the relative time, 6 of the samples'
//! weight in halves, and 4 that are unused.

use crate::util::common;

/// Age from which a figure is not reported, in ms.
pub(super) const MAX_AGE_MS: u64 = 63 * AGE_STEP_MS;
const AGE_STEP_MS: u64 = 16;
/// Logs of times are reported in steps of a sixtieth from -2.1 to 2.1.
const LOG_STEPS: f32 = 60.0;

common! {
    copy
    /// The node that reports.
    pub struct Sender {
        /// Its address.
        pub ip: u32,
        /// Its incarnation.
        pub incarnation: u64,
    }
}

/// One node's evidence about a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// See [`Report::key`].
    pub replica: u32,
    /// The log of the last figure, and its age in ms.
    pub figure: Option<(f32, u64)>,
    /// Mean of the node's own samples.
    pub log_time: f32,
    /// Samples that still count; 0 if there are none.
    pub weight: f32,
}

impl Report {
    /// Returns the part of a replica's hash that identifies it in reports.
    pub fn key(hash: u64) -> u32 {
        (hash >> 32) as u32
    }

    /// Writes the report as a number.
    pub fn pack(&self) -> u64 {
        let (figure, age) = match self.figure {
            Some((log, age_ms)) => {
                (pack_log(log), (age_ms / AGE_STEP_MS).min(63))
            }
            None => (0, 0),
        };
        let weight = (self.weight * 2.0).clamp(0.0, 63.0) as u64;
        (u64::from(self.replica) << 32)
            | (figure << 24)
            | (age << 18)
            | (pack_log(self.log_time) << 10)
            | (weight << 4)
    }

    /// Reads a number that another node has written. All numbers are valid.
    pub fn unpack(packed: u64) -> Report {
        let log_time = unpack_log((packed >> 10) & 0xff);
        Report {
            replica: (packed >> 32) as u32,
            figure: unpack_log((packed >> 24) & 0xff)
                .map(|log| (log, ((packed >> 18) & 0x3f) * AGE_STEP_MS)),
            log_time: log_time.unwrap_or(0.0),
            weight: match log_time {
                Some(_) => ((packed >> 4) & 0x3f) as f32 / 2.0,
                None => 0.0,
            },
        }
    }
}

fn pack_log(log: f32) -> u64 {
    ((log * LOG_STEPS).round() + 128.0).clamp(1.0, 255.0) as u64
}

fn unpack_log(packed: u64) -> Option<f32> {
    (packed > 0).then(|| (packed as f32 - 128.0) / LOG_STEPS)
}
