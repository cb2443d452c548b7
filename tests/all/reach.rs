//! Decisions on whether a node reaches the replicas of a service.

use azuremount::decide::reach::{Change, Probe, Reach};

/// Runs the rounds of probes that are due from `from` to `to`, in ms, with the
/// given result of each probe. Returns the number of probes and the changes.
fn probe(
    reach: &mut Reach,
    from: u64,
    to: u64,
    result: Probe,
) -> (usize, Vec<Change>) {
    let mut count = 0;
    let mut changes = Vec::new();
    for now in (from..to).step_by(20) {
        let asked = reach.begin_probes(now);
        count += asked;
        if asked > 0 {
            let probes = vec![result; asked];
            changes.extend(reach.end_probes(now + 10, asked, &probes));
        }
    }
    (count, changes)
}

/// Guards against a service that counts as unreachable because one replica
/// crashed.
#[test]
fn one_failed_connection_is_no_partition() {
    let mut reach = Reach::default();
    reach.record_failure();
    let (count, changes) = probe(&mut reach, 0, 1000, Probe::Answered);
    assert!(count > 0);
    assert_eq!(changes, []);
    assert!(!reach.is_unreachable());
}

/// Guards against a replica that is silent for a moment and counts as
/// partitioned.
#[test]
fn a_silent_replica_that_answers_probes_is_no_partition() {
    let mut reach = Reach::default();
    reach.record_begin(0);
    let (count, changes) = probe(&mut reach, 0, 3000, Probe::Answered);
    assert!((1..=5).contains(&count), "{count} probes");
    assert_eq!(changes, []);
}

/// Guards against nodes that go on sending requests to replicas from which
/// nothing arrives any more.
#[test]
fn silence_of_all_replicas_is_noticed_within_two_seconds() {
    let mut reach = Reach::default();
    reach.record_begin(0);
    let (_, changes) = probe(&mut reach, 0, 2000, Probe::Failed);
    assert_eq!(changes, [Change::Lost]);
    assert!(reach.is_unreachable() && reach.is_quiet(2000));
    assert_eq!(reach.works_since(2000), None);
}

/// Guards against open connections that are given up although they work.
#[test]
fn open_connections_are_used_while_bytes_arrive() {
    let mut reach = Reach::default();
    reach.record_begin(0);
    reach.record_failure();
    let (_, changes) = probe(&mut reach, 0, 300, Probe::Failed);
    assert_eq!(changes, [Change::Lost]);
    reach.record_heard(400);
    assert!(reach.works_since(500).is_some());
    assert_eq!(reach.works_since(1500), None);
}

/// Guards against a partition that is remembered after it has healed.
#[test]
fn a_healed_partition_is_forgotten_within_a_second() {
    let mut reach = Reach::default();
    reach.record_failure();
    probe(&mut reach, 0, 5000, Probe::Failed);
    assert!(reach.is_unreachable());
    let (_, changes) = probe(&mut reach, 5000, 6000, Probe::Answered);
    assert!(matches!(changes[..], [Change::Restored { .. }]), "{changes:?}");
}

/// Guards against probes that keep overloaded replicas busy.
#[test]
fn an_unreachable_service_is_probed_a_few_times_a_second() {
    let mut reach = Reach::default();
    reach.record_failure();
    probe(&mut reach, 0, 1000, Probe::Failed);
    let (count, _) = probe(&mut reach, 1000, 11_000, Probe::Failed);
    assert!(count <= 30, "{count} probes in 10 s");
}

/// Guards against replicas that count as partitioned because they answer
/// probes late while they answer other requests.
#[test]
fn busy_replicas_that_send_to_others_are_no_partition() {
    let mut reach = Reach::default();
    reach.record_failure();
    let asked = reach.begin_probes(0);
    reach.record_heard(200);
    assert_eq!(reach.end_probes(500, asked, &[Probe::Silent; 3]), None);
    assert!(!reach.is_unreachable());
}
