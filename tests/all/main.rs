//! All tests, in one binary: it links once, and its parts share helpers.

mod admission;
// The bench prints its table.
#[allow(dead_code)]
mod admission_load;
mod backoff;
mod brittle;
// The benches use more of these two than the tests do.
#[allow(dead_code)]
mod cluster;
mod config;
mod control_client;
mod crashes;
mod decide;
mod departures;
mod disk;
mod drain;
mod endings;
mod endpoint_answers;
mod explain;
mod fleet;
mod gateway;
mod hung_disk;
mod large_plan;
mod last_answers;
mod ledger;
mod limits;
mod links;
mod member_links;
mod member_lists;
mod mesh;
mod mesh_scale;
mod nodes;
mod not_run;
mod origin;
mod packing;
mod part_quarantine;
mod partition;
mod parts;
mod peer_silence;
mod plan_fetch;
mod plans;
mod product;
mod proof;
mod quarantine;
mod quota;
mod quota_changes;
mod raft;
mod rate_limits;
mod reach;
mod recovery;
mod rejections;
#[allow(dead_code)]
mod relay;
mod replica_speed;
mod requests;
mod retry_budget;
mod roles;
mod rollout_fetch;
mod rollout_judge;
mod rollouts;
mod scenario;
mod search;
mod silence;
mod steps;
mod stream_records;
mod usage_loss;
mod version_changes;
mod version_history;
mod versions;
mod world;

/// Runs a property with the same seeds every time.
///
/// `arbtest` draws random seeds unless it is given one, and runs just once
/// then. A seed's low half is how many bytes it gives.
fn fixed_seeds(
    count: u64,
    mut property: impl FnMut(
        &mut arbtest::arbitrary::Unstructured<'_>,
    ) -> arbtest::arbitrary::Result<()>,
) {
    for number in 1..=count {
        let size = 64 << (number % 6);
        arbtest::arbtest(&mut property).seed(number << 32 | size).run();
    }
}
