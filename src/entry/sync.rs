//! Synchronises an entry with control: configuration, fleet, lease.
//!
//! One task long-polls the control leader, which holds each request until
//! something changes, for at most half a second. Every reply renews the
//! entry's lease. The lease counts from the time when the request was *sent*,
//! because the reply may have been delayed for any length of time.
//!
//! An entry without a lease accepts no new requests. Therefore an old
//! configuration or a departed endpoint is out of use at every entry within
//! [`ENTRY_LEASE_MS`], whichever links are cut: each entry has either received
//! the change or stopped accepting requests.

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

/// Delay before retrying a failed sync.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Syncs with control until the process exits.
pub async fn run(state: Shared) {
    let mut versions = Versions::default();
    let mut draining = state.board.draining.watch();
    let mut lease_loss_logged = false;
    loop {
        let sent_at = state.now();
        let request = build_request(&state, &versions);
        let answer = tokio::select! {
            answer = state.control.sync(request) => answer,
            // Control must learn at once that this entry drains.
            () = draining.changed() => continue,
        };
        match answer {
            Ok(reply) => {
                apply_reply(&state, &mut versions, sent_at, reply);
                lease_loss_logged = false;
            }
            Err(failure) => {
                if !lease_loss_logged && !state.holds_lease() {
                    warn!(
                        target: "sync",
                        "No lease; sync with control failed: {failure}."
                    );
                    lease_loss_logged = true;
                }
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

#[derive(Debug, Default)]
struct Versions {
    term: u64,
    entries: u64,
}

fn build_request(state: &Shared, versions: &Versions) -> SyncRequest {
    let in_force = state
        .board
        .config
        .read()
        .as_ref()
        .as_ref()
        .map_or(0, |known| known.revision);
    let renewed: Vec<Load> = super::endpoints::take_heartbeats(state);
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

fn apply_reply(
    state: &Shared,
    versions: &mut Versions,
    sent_at: u64,
    reply: SyncReply,
) {
    if !apply_config(state, &reply) {
        return;
    }
    apply_fleet(state, &reply);
    apply_entries(state, versions, &reply);
    versions.term = reply.term;
    state.board.orders.write(reply.orders);
    let until = sent_at + ENTRY_LEASE_MS;
    if !state.board.lease.read().fresh {
        info!(target: "sync", "Acquired the lease.");
    }
    state.board.lease.write(Lease { until, fresh: true });
}

/// Puts a newer configuration in force. Returns false on a fault, so that the
/// lease is not renewed and expires.
fn apply_config(state: &Shared, reply: &SyncReply) -> bool {
    let known = state.board.config.read();
    let revision = known.as_ref().as_ref().map_or(0, |known| known.revision);
    if reply.revision < revision {
        // The revision of an accepted configuration never decreases. A member
        // with a lower revision than this entry cannot be a leader with a
        // quorum.
        error!(
            target: "sync",
            "Control sent configuration revision {}, which is below \
             {revision}.",
            reply.revision
        );
        return false;
    }
    if reply.revision == revision {
        return true;
    }
    let (Some(base), Some(overlay)) = (&reply.base, &reply.overlay) else {
        error!(
            target: "sync",
            "Configuration revision {} has no base or no overlay for data \
             centre {}.",
            reply.revision, state.info.data_centre
        );
        return false;
    };
    match config::render(base, overlay) {
        Ok(config) => {
            info!(
                target: "sync",
                "Configuration revision {} is in force.", reply.revision
            );
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
                error!(
                    target: "sync",
                    "Can't render the configuration: {problem}."
                );
            }
            false
        }
    }
}

fn apply_fleet(state: &Shared, reply: &SyncReply) {
    let config = state.board.config.read();
    let config = config.as_ref().as_ref().map(|known| &known.config);
    let mut fleet = state.fleet();
    if reply.fleet_version != fleet.version() {
        let endpoints = reply.endpoints.clone();
        fleet.set_endpoints(reply.fleet_version, endpoints, config);
        state.board.departed.update(|departed| {
            // Departures that this entry received first stay in the list;
            // their content is the same.
            for record in &reply.departed {
                upsert(
                    departed,
                    record.clone(),
                    super::endpoints::endpoint_id,
                );
            }
        });
    }
    fleet.record_loads(state.now(), &reply.loads);
}

fn apply_entries(state: &Shared, versions: &mut Versions, reply: &SyncReply) {
    if reply.entries_version == versions.entries {
        return;
    }
    versions.entries = reply.entries_version;
    let mut entries = reply.entries.clone();
    if reply.settling {
        // A new leader has not yet received syncs from all entries. If this
        // entry dropped one of them from its list now, backup entries would
        // take over requests that the dropped entry still runs.
        for old in state.board.entries.read().iter() {
            if !entries.iter().any(|new| new.id == old.id) {
                entries.push(old.clone());
            }
        }
        // Version 0 requests the list again until it is complete.
        versions.entries = 0;
    }
    entries.sort_by(|left, right| left.id.cmp(&right.id));
    let others = entries
        .iter()
        .filter(|entry| entry.serving && entry.id != state.info.id)
        .count();
    state.fleet().set_peers(others);
    state.board.entries.write(entries);
}
