//! Keeps an entry in step with control: configuration, fleet, lease.
//!
//! One task asks the leader over and over; control holds each question back
//! until there is news, for half a second at most. Every answer renews the
//! entry's lease, counted from when the question was *sent*: the answer may
//! have been on its way for any length of time.
//!
//! Without a lease an entry takes no new request. So an old configuration, or
//! an endpoint that has left, is out of use everywhere within
//! [`ENTRY_LEASE_MS`], whatever links are cut: an entry has either heard of
//! it or stopped by itself.

use std::time::Duration;

use tokio::time::sleep;
use tracing::{error, info, warn};

use super::state::{InForce, Lease, Shared};
use crate::{
    config,
    control::roster::ENTRY_LEASE_MS,
    util::upsert,
    wire::{EntryInfo, Load, SyncReply, SyncRequest},
};

/// Pause after a sync that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Runs until the process ends.
pub async fn run(state: Shared) {
    let mut versions = Versions::default();
    let mut draining = state.board.draining.watch();
    let mut cut_off = false;
    loop {
        let sent_at = state.now();
        let request = question(&state, &versions);
        let answer = tokio::select! {
            answer = state.control.sync(request) => answer,
            // The others must hear at once that this entry stops.
            () = draining.changed() => continue,
        };
        match answer {
            Ok(reply) => {
                take(&state, &mut versions, sent_at, reply);
                cut_off = false;
            }
            Err(failure) => {
                if !cut_off && !state.holds_lease() {
                    warn!(target: "sync", "No lease: {failure}.");
                    cut_off = true;
                }
                sleep(PAUSE).await;
            }
        }
    }
}

#[derive(Debug, Default)]
struct Versions {
    term: u64,
    entries: u64,
}

fn question(state: &Shared, versions: &Versions) -> SyncRequest {
    let in_force = state
        .board
        .config
        .read()
        .as_ref()
        .as_ref()
        .map_or(0, |known| known.revision);
    let renewed: Vec<Load> = super::endpoints::renewed(state);
    SyncRequest {
        entry: Some(EntryInfo {
            serving: state.is_serving(),
            in_force,
            ..state.info.clone()
        }),
        fleet_version: state.fleet().version(),
        term: versions.term,
        renewed,
        fresh: !state.board.lease.read().fresh,
        entries_version: versions.entries,
    }
}

fn take(
    state: &Shared,
    versions: &mut Versions,
    sent_at: u64,
    reply: SyncReply,
) {
    if !take_config(state, &reply) {
        return;
    }
    take_fleet(state, &reply);
    take_entries(state, versions, &reply);
    versions.term = reply.term;
    state.board.orders.write(reply.orders);
    let until = sent_at + ENTRY_LEASE_MS;
    if !state.board.lease.read().fresh {
        info!(target: "sync", "Holds a lease.");
    }
    state.board.lease.write(Lease { until, fresh: true });
}

/// Puts a newer configuration in force; false leaves the lease to lapse.
fn take_config(state: &Shared, reply: &SyncReply) -> bool {
    let known = state.board.config.read();
    let revision = known.as_ref().as_ref().map_or(0, |known| known.revision);
    if reply.revision < revision {
        // An accepted configuration never reverts. A member that has less
        // than this entry can't be a leader with a quorum.
        error!(
            target: "sync",
            "Control has revision {} below {revision}.", reply.revision
        );
        return false;
    }
    if reply.revision == revision {
        return true;
    }
    let (Some(base), Some(overlay)) = (&reply.base, &reply.overlay) else {
        error!(
            target: "sync",
            "Revision {} has nothing for {}.",
            reply.revision, state.info.data_centre
        );
        return false;
    };
    match config::render(base, overlay) {
        Ok(config) => {
            info!(target: "sync", "Revision {} is in force.", reply.revision);
            state.metrics.revision.set(reply.revision as i64);
            state.fleet().rebuild(Some(&config));
            state.admission.configure(&config);
            state.retries().set_percent(config.system.retry_percent);
            let revision = reply.revision;
            state.board.config.write(Some(InForce { revision, config }));
            true
        }
        Err(problems) => {
            for problem in problems {
                error!(target: "sync", "Can't render: {problem}.");
            }
            false
        }
    }
}

fn take_fleet(state: &Shared, reply: &SyncReply) {
    let config = state.board.config.read();
    let config = config.as_ref().as_ref().map(|known| &known.config);
    let mut fleet = state.fleet();
    if reply.fleet_version != fleet.version() {
        let endpoints = reply.endpoints.clone();
        fleet.set_endpoints(reply.fleet_version, endpoints, config);
        state.board.departed.update(|departed| {
            // What was heard here first is kept: it has the same content.
            for record in &reply.departed {
                upsert(departed, record.clone(), super::endpoints::record_id);
            }
        });
    }
    fleet.report(state.now(), &reply.loads);
}

fn take_entries(state: &Shared, versions: &mut Versions, reply: &SyncReply) {
    if reply.entries_version == versions.entries {
        return;
    }
    versions.entries = reply.entries_version;
    let mut entries = reply.entries.clone();
    if reply.settling {
        // A new leader has not heard from all yet. Dropping an entry now
        // would have its buddies take over requests that it still runs.
        for old in state.board.entries.read().iter() {
            if !entries.iter().any(|new| new.id == old.id) {
                entries.push(old.clone());
            }
        }
        // Ask again until the list is whole.
        versions.entries = 0;
    }
    entries.sort_by(|one, other| one.id.cmp(&other.id));
    let others = entries
        .iter()
        .filter(|entry| entry.serving && entry.id != state.info.id)
        .count();
    state.fleet().set_peers(others);
    state.board.entries.write(entries);
}
