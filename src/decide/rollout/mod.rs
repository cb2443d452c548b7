//! Roll-outs: moves the traffic of a service to another software version.
//!
//! An operator orders a roll-out. Until the new version is judged good, all
//! nodes together send it a small share of the service's requests. Then the
//! share rises in steps to all requests, and the roll-out is completed once no
//! request is in flight at another version. A version that is judged bad, or
//! that can't be judged in time, is reverted.

/// Bounds on what a version gets before it is judged good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Largest share of the service's requests between the order and its
    /// deadline, over all nodes.
    pub share: f64,
    /// Requests that it may get in addition, over all nodes.
    pub slack: f64,
    /// Time from the 50th bad answer after which it gets no request, in ms.
    pub rollback_ms: u64,
}
