//! Routes whose services have changed lately.
//!
//! A stream whose record is lost may have begun at any service that its route
//! named within the lifetime of a stream.

use std::sync::{Mutex, MutexGuard};

use super::plan::{Plan, Route};
use crate::{decide::origin::retention_ms, util::common};

common! {
    /// A route that was added, changed or removed.
    struct Change {
        host: String,
        prefix: String,
        at: u64,
        /// Time for which streams from before may be resumed, in ms.
        retention_ms: u64,
    }
}

/// The changes of routes within the lifetime of a stream.
#[derive(Debug, Default)]
pub(super) struct RouteChanges {
    changes: Mutex<Vec<Change>>,
}

impl RouteChanges {
    /// Records that a plan replaces another one.
    pub fn record(&self, now: u64, before: &Plan, after: &Plan) {
        let all = before.routes().iter().chain(after.routes());
        let longest_ms = all.map(|route| route.timeout_ms).max();
        let retention_ms = retention_ms(longest_ms.unwrap_or(0));
        let changed = changed_routes(before, after)
            .chain(changed_routes(after, before))
            .map(|route| Change {
                host: route.host.clone(),
                prefix: route.prefix.clone(),
                at: now,
                retention_ms,
            });
        let mut changes = self.lock();
        changes.retain(|change| change.is_recent(now));
        changes.extend(changed);
    }

    /// Returns true if requests of a route may have gone to other services
    /// within the lifetime of a stream, or their streams may live longer than
    /// those of the present route.
    pub fn has_changed(&self, now: u64, route: &Route) -> bool {
        self.lock().iter().any(|change| {
            let (one, other) = (&change.prefix, &route.prefix);
            change.is_recent(now)
                && change.host == route.host
                && (one.starts_with(other) || other.starts_with(one))
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Change>> {
        let locked = self.changes.lock();
        locked.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Change {
    fn is_recent(&self, now: u64) -> bool {
        now <= self.at + self.retention_ms
    }
}

/// Returns the routes of a plan that are not the same in another one.
fn changed_routes<'a>(
    plan: &'a Plan,
    other: &'a Plan,
) -> impl Iterator<Item = &'a Route> {
    plan.routes().iter().filter(|route| {
        let found = other.route(&route.host, &route.prefix);
        found.is_none_or(|found| {
            found.prefix != route.prefix
                || found.timeout_ms != route.timeout_ms
                || !services(found).eq(services(route))
        })
    })
}

fn services(route: &Route) -> impl Iterator<Item = &str> {
    let split = route.split.iter().filter(|(_, weight)| *weight > 0);
    split.map(|(service, _)| service.as_str())
}
