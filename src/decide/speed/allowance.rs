//! Limits the bytes in which nodes report the speed of replicas.

/// Bytes a second that a node may send where there are [`LARGE`] nodes.
const LARGE_BYTES_PER_S: f32 = 100.0;
const LARGE: f32 = 300.0;
/// Bytes a second that a node may send where there are few.
const MAX_BYTES_PER_S: f32 = 4000.0;
/// Bytes of one report, and of the field that holds them.
const REPORT_BYTES: f32 = 8.0;
const FIELD_BYTES: f32 = 3.0;
/// Reports in one datagram.
const MAX_REPORTS: f32 = 16.0;
/// Interval between new reports, in ms: a little less than a round.
const INTERVAL_MS: u64 = 250;

/// Limits the reports of one node.
///
/// Every report goes to all active nodes, which have as many to send, so the
/// bytes fall with the square of the number of nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    bytes_per_s: f32,
    recipients: f32,
    /// Bytes that may be sent to each recipient now.
    credit: f32,
    updated_at: u64,
}

impl Allowance {
    /// Sets the number of nodes, and of those that are sent each datagram.
    pub fn set(&mut self, nodes: usize, recipients: usize) {
        let scale = LARGE / (nodes.max(1) as f32);
        let bytes = LARGE_BYTES_PER_S * (scale * scale).max(1.0);
        self.bytes_per_s = bytes.min(MAX_BYTES_PER_S);
        self.recipients = recipients as f32;
    }

    /// Returns the number of reports that may be sent now; `None` if the last
    /// ones have just been sent.
    pub fn next(&mut self, now: u64) -> Option<usize> {
        let elapsed_ms = now.saturating_sub(self.updated_at);
        if self.updated_at > 0 && elapsed_ms < INTERVAL_MS {
            return None;
        }
        self.updated_at = now.max(1);
        let earned = self.bytes_per_s * (elapsed_ms as f32 / 1000.0)
            / self.recipients.max(1.0);
        let most = FIELD_BYTES + MAX_REPORTS * REPORT_BYTES;
        self.credit = (self.credit + earned).min(most);
        Some(((self.credit - FIELD_BYTES) / REPORT_BYTES).max(0.0) as usize)
    }

    /// Counts reports as sent.
    pub fn spend(&mut self, reports: usize) {
        if reports > 0 {
            self.credit -= FIELD_BYTES + reports as f32 * REPORT_BYTES;
        }
    }
}
