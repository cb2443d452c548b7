//! Tests which requests are quarantined, without any I/O.

use azuremount::decide::quarantine::{
    Crash, Quarantine, Reason, Report, Source, Success,
};

use crate::fixed_seeds;

/// Number of replicas of the service.
const REPLICAS: usize = 18;
/// Time at which the tests begin, in ms.
const START_MS: i64 = 10_000;
/// Longer than the longest quarantine, in ms.
const BEYOND_QUARANTINE_MS: i64 = 3_700_000;

fn crash(fingerprint: u64, replica: u64, at: i64) -> Crash {
    Crash { fingerprint, replica, at }
}

/// Records the crash of a replica with these requests in flight.
fn crash_replica(
    quarantine: &mut Quarantine,
    replica: u64,
    at: i64,
    requests: &[u64],
) {
    for &fingerprint in requests {
        quarantine.record_crash(
            at,
            crash(fingerprint, replica, at),
            Source::Own,
        );
    }
}

fn quarantine_reason(
    quarantine: &Quarantine,
    now: i64,
    fingerprint: u64,
) -> Option<Reason> {
    quarantine.quarantine_reason(now, fingerprint, || REPLICAS)
}

/// Guards against a request that crashes one replica after the other. Three
/// crashes quarantine it, and the reason names the wait.
#[test]
fn three_crashes_quarantine_a_request() {
    let mut quarantine = Quarantine::default();
    for replica in 0..2 {
        crash_replica(
            &mut quarantine,
            replica,
            START_MS + 700 * replica as i64,
            &[7],
        );
        assert_eq!(quarantine_reason(&quarantine, START_MS + 1000, 7), None);
    }
    crash_replica(&mut quarantine, 2, START_MS + 1400, &[7]);
    let reason = quarantine_reason(&quarantine, START_MS + 1500, 7).unwrap();
    assert_eq!((reason.crashes, reason.age_ms), (3, 100));
    assert!(reason.wait_ms > 0);
}

/// Guards against refusing a frequent request of a team for an hour after its
/// service has recovered. All replicas crash one after the other for another
/// reason, and the request is in flight at three of the crashes. A quarantined
/// request can't succeed, so it is granted trials, by one node after the
/// other.
#[test]
fn a_quarantined_request_is_granted_a_trial_at_one_node_first() {
    let mut nodes = [(); 3].map(|()| Quarantine::default());
    for quarantine in &mut nodes {
        for replica in 0..3 {
            crash_replica(quarantine, replica, START_MS, &[7]);
        }
    }
    let reason = quarantine_reason(&nodes[0], START_MS, 7).unwrap();
    let due = START_MS + reason.wait_ms as i64;
    assert!(!nodes[0].grant_trial(due - 1, 7, reason, 0));
    let reason = quarantine_reason(&nodes[0], due, 7).unwrap();
    let grants_trial = |quarantine: &mut Quarantine, at, rank| {
        quarantine.grant_trial(at, 7, reason, rank)
    };
    assert!(grants_trial(&mut nodes[0], due, 0));
    assert!(!grants_trial(&mut nodes[0], due + 1000, 0), "two trials at once");
    assert!(
        !grants_trial(&mut nodes[1], due + 1000, 1),
        "trials at two nodes at once"
    );
    // The first node receives no such request, so the next one grants the
    // trial.
    assert!(grants_trial(&mut nodes[1], due + 6000, 1));
    // The trial fails: the quarantine becomes longer at every node.
    crash_replica(&mut nodes[1], 9, due + 6500, &[7]);
    let longer = quarantine_reason(&nodes[1], due + 6500, 7).unwrap();
    assert!(longer.wait_ms > (due - START_MS) as u64);
    // The request succeeds, which ends its quarantine.
    let at = due + 6500;
    let success = Success { fingerprint: 7, at };
    assert_eq!(nodes[2].record_success(at, success, Source::Other), Some(3));
    assert_eq!(quarantine_reason(&nodes[2], at, 7), None);
}

/// Guards against quarantining the bystanders of a crash. Replicas crash under
/// one request, each with twenty other requests in flight.
#[test]
fn bystanders_of_one_crash_are_not_quarantined() {
    let mut quarantine = Quarantine::default();
    for replica in 0..30 {
        let mut in_flight: Vec<u64> =
            (0..20).map(|at| 1000 + replica * 100 + at).collect();
        in_flight.push(7);
        crash_replica(
            &mut quarantine,
            replica,
            START_MS + 600 * replica as i64,
            &in_flight,
        );
    }
    let now = START_MS + 20_000;
    assert!(quarantine_reason(&quarantine, now, 7).is_some());
    for replica in 0..30 {
        for at in 0..20 {
            assert_eq!(
                quarantine_reason(&quarantine, now, 1000 + replica * 100 + at),
                None
            );
        }
    }
}

/// Guards against refusing the bystanders of an outage for ten minutes. The
/// replicas of a data centre lose power in three waves. A request that moves
/// on from one wave to the next must not count as the cause of all three.
#[test]
fn bystanders_of_an_outage_are_not_quarantined() {
    let mut quarantine = Quarantine::default();
    for wave in 0..3 {
        for replica in 0..6 {
            let at = START_MS + 1500 * wave + 20 * replica;
            let name = (wave * 6 + replica) as u64;
            let in_flight =
                [1000 + name, if replica == 0 { 9 } else { 2000 + name }];
            crash_replica(&mut quarantine, name, at, &in_flight);
        }
    }
    assert_eq!(quarantine_reason(&quarantine, START_MS + 5000, 9), None);
}

/// Guards against two requests that crash replicas at the same time and hide
/// each other. Two requests that each crash a replica every 0.6 s are not an
/// outage.
#[test]
fn two_requests_that_crash_replicas_do_not_hide_each_other() {
    let mut quarantine = Quarantine::default();
    for step in 0..3 {
        let at = START_MS + 600 * step;
        crash_replica(&mut quarantine, 2 * step as u64, at, &[7]);
        crash_replica(&mut quarantine, 2 * step as u64 + 1, at + 100, &[8]);
    }
    assert!(quarantine_reason(&quarantine, START_MS + 2000, 7).is_some());
    assert!(quarantine_reason(&quarantine, START_MS + 2000, 8).is_some());
}

/// Guards against refusing a frequent request of a team because it is in
/// flight at every crash, although it succeeds as often.
#[test]
fn a_success_clears_earlier_crashes() {
    let mut quarantine = Quarantine::default();
    for replica in 0..6 {
        let at = START_MS + 1000 * replica as i64;
        crash_replica(&mut quarantine, replica, at, &[7]);
        let success = Success { fingerprint: 7, at: at + 200 };
        assert_eq!(
            quarantine.record_success(at + 200, success, Source::Own),
            Some(1)
        );
        assert_eq!(quarantine_reason(&quarantine, at + 300, 7), None);
    }
    // A late report of an earlier crash changes nothing. The node that sent it
    // receives a report of the success.
    let (now, late) = (START_MS + 6000, crash(7, 50, START_MS + 5100));
    assert_eq!(quarantine.record_crash(now, late, Source::Other), None);
    assert_eq!(quarantine.take_reports(now + 2000).successes, []);
    assert_eq!(quarantine.record_crash(now + 2000, late, Source::Other), None);
    assert_eq!(quarantine.take_reports(now + 2000).successes.len(), 1);
    // A request that was never in flight at a crash leaves no record.
    let success = Success { fingerprint: 8, at: now };
    assert_eq!(quarantine.record_success(now, success, Source::Own), None);
    assert_eq!(quarantine.len(), 1);
}

/// Guards against counting a crash three times because three nodes report it.
#[test]
fn a_crash_counts_once_however_many_nodes_report_it() {
    let mut quarantine = Quarantine::default();
    let now = START_MS + 900;
    assert_eq!(
        quarantine.record_crash(START_MS, crash(7, 1, START_MS), Source::Own),
        Some(1)
    );
    assert_eq!(
        quarantine.record_crash(now, crash(7, 1, START_MS + 4), Source::Other),
        None
    );
    assert_eq!(
        quarantine.record_crash(now, crash(7, 1, START_MS - 3), Source::Other),
        None
    );
    assert_eq!(quarantine_reason(&quarantine, now, 7), None);
}

/// Guards against nodes that disagree on a quarantine. Each of three nodes
/// notices one crash, and the first reports of one node are lost.
#[test]
fn crashes_seen_by_each_node_add_up_at_every_node() {
    let mut nodes = [(); 3].map(|()| Quarantine::default());
    for (at, quarantine) in nodes.iter_mut().enumerate() {
        crash_replica(quarantine, at as u64, START_MS + at as i64, &[7]);
    }
    for round in 0..4 {
        let now = START_MS + 300 * (round + 1);
        let reports =
            nodes.each_mut().map(|quarantine| quarantine.take_reports(now));
        for (from, report) in reports.iter().enumerate() {
            for (to, quarantine) in nodes.iter_mut().enumerate() {
                let is_lost = from == 1 && round < 2;
                if from == to || is_lost {
                    continue;
                }
                for crash in &report.crashes {
                    quarantine.record_crash(now, *crash, Source::Other);
                }
            }
        }
    }
    for quarantine in &nodes {
        assert!(quarantine_reason(quarantine, START_MS + 1500, 7).is_some());
    }
    // A node that starts later learns of the crashes from any node.
    let mut late = Quarantine::default();
    for crash in nodes[0].take_reports(START_MS + 10_000).crashes {
        late.record_crash(START_MS + 10_000, crash, Source::Other);
    }
    assert!(quarantine_reason(&late, START_MS + 10_000, 7).is_some());
}

/// Guards against memory and datagrams that grow for as long as replicas
/// crash. Ten thousand requests are in flight at crashes, one of them at
/// three.
#[test]
fn records_are_bounded_and_expire() {
    let mut quarantine = Quarantine::default();
    for replica in 0..3 {
        crash_replica(
            &mut quarantine,
            replica,
            START_MS + 500 * replica as i64,
            &[7],
        );
    }
    for other in 0..10_000 {
        crash_replica(
            &mut quarantine,
            100 + other / 30,
            START_MS + 2000,
            &[1000 + other],
        );
    }
    assert!(quarantine.len() <= 2048, "{}", quarantine.len());
    let report = quarantine.take_reports(START_MS + 2500);
    assert!(report.crashes.len() <= 64 + 4 * 8, "{}", report.crashes.len());
    assert!(quarantine_reason(&quarantine, START_MS + 3000, 7).is_some());
    quarantine.expire(START_MS + 3 * BEYOND_QUARANTINE_MS);
    assert!(quarantine.is_empty());
}

/// Guards against a node that starts and lets a request crash three replicas
/// although all other nodes quarantine it. A hundred bystanders are in flight
/// at two crashes each. Four requests are reported at a time, and sixty-four
/// to a node that starts; without turns, these were always the ones with the
/// lowest fingerprints.
#[test]
fn requests_with_several_crashes_are_reported_in_turn() {
    let mut quarantine = Quarantine::default();
    for replica in 0..3 {
        crash_replica(&mut quarantine, replica, START_MS, &[u64::MAX]);
    }
    for bystander in 0..100 {
        crash_replica(&mut quarantine, 10, START_MS, &[bystander]);
        crash_replica(&mut quarantine, 11, START_MS, &[bystander]);
    }
    let is_reported = |report: &Report| {
        report.crashes.iter().any(|crash| crash.fingerprint == u64::MAX)
    };
    assert!(is_reported(&quarantine.snapshot()));
    let after = START_MS + 2000;
    let reported = (0..30).any(|round| {
        is_reported(&quarantine.take_reports(after + 300 * round))
    });
    assert!(reported, "not reported within nine seconds");
}

/// Nodes that receive the same reports quarantine the same requests, in
/// whatever order and however often the reports arrive.
#[test]
fn the_order_of_reports_does_not_matter() {
    fixed_seeds(60, |input| {
        let mut crashes = Vec::new();
        for _ in 0..input.int_in_range(1..=24)? {
            let fingerprint = input.int_in_range(1..=3)?;
            let replica = input.int_in_range(1..=6)?;
            let at = START_MS + 50 * replica as i64;
            crashes.push(crash(fingerprint, replica, at));
        }
        let mut once = Quarantine::default();
        let mut repeated = Quarantine::default();
        let now = START_MS + 1000;
        for crash in &crashes {
            once.record_crash(now, *crash, Source::Other);
        }
        for crash in crashes.iter().rev().chain(&crashes) {
            repeated.record_crash(now, *crash, Source::Other);
        }
        for fingerprint in 1..=3 {
            let reason = quarantine_reason(&once, now, fingerprint);
            assert_eq!(reason, quarantine_reason(&repeated, now, fingerprint));
        }
        Ok(())
    });
}

/// Guards against quarantining a harmless request that all callers send when
/// many replicas crash under it at once and nodes notice the crashes one after
/// the other.
#[test]
fn a_crash_has_one_time_whenever_nodes_notice_it() {
    let mut quarantine = Quarantine::default();
    for replica in 0..6 {
        let late = 400 * replica as i64;
        // Another node sent the request to the replica when it was already
        // down, and its report arrives first.
        quarantine.record_crash(
            START_MS + 3000,
            crash(7, replica, START_MS + late),
            Source::Other,
        );
        quarantine.record_crash(
            START_MS + 3000,
            crash(7, replica, START_MS),
            Source::Other,
        );
    }
    let replicas = || 12;
    assert_eq!(
        quarantine.quarantine_reason(START_MS + 3000, 7, replicas),
        None
    );
}

/// Guards against counting crashes against a request that was sent only after
/// them: the connections of other requests in flight there broke earlier.
#[test]
fn a_crash_before_a_request_does_not_count_against_it() {
    let mut quarantine = Quarantine::default();
    for replica in 0..4 {
        let at = START_MS + 1500 * replica as i64;
        let other = 100 + replica;
        crash_replica(&mut quarantine, replica, at, &[other]);
        crash_replica(&mut quarantine, replica, at + 1200, &[7]);
    }
    assert_eq!(quarantine_reason(&quarantine, START_MS + 8000, 7), None);
}

/// Guards against failing to identify a request because the times of its
/// crashes come from other requests in flight there.
#[test]
fn a_crash_counts_against_each_request_in_flight() {
    let mut quarantine = Quarantine::default();
    for replica in 0..3 {
        let at = START_MS + 1500 * replica as i64;
        crash_replica(&mut quarantine, replica, at, &[100 + replica]);
        crash_replica(&mut quarantine, replica, at + 30, &[7]);
    }
    assert_eq!(
        quarantine_reason(&quarantine, START_MS + 8000, 7).unwrap().crashes,
        3
    );
}

/// Guards against quarantining a request that all callers send after an outage
/// that becomes known seconds later, although the request has succeeded since.
#[test]
fn a_success_clears_crashes_that_are_reported_after_it() {
    let mut quarantine = Quarantine::default();
    for at in (START_MS..START_MS + 2500).step_by(100) {
        let success = Success { fingerprint: 7, at };
        quarantine.record_success(at, success, Source::Own);
    }
    for replica in 0..6 {
        let at = START_MS + 400 * replica as i64;
        let crash = crash(7, replica, at);
        assert_eq!(
            quarantine.record_crash(START_MS + 3000, crash, Source::Own),
            None
        );
        // Nodes that have not seen a success receive a report of it.
        quarantine.record_crash(START_MS + 3000, crash, Source::Other);
    }
    assert_eq!(quarantine_reason(&quarantine, START_MS + 3000, 7), None);
    assert_eq!(quarantine.take_reports(START_MS + 3000).successes.len(), 1);
}

/// Guards against memory that grows with the number of successful requests.
#[test]
fn successes_are_kept_in_bounded_memory() {
    let mut quarantine = Quarantine::default();
    for request in 0..100_000 {
        let at = START_MS + request as i64 / 10;
        let success = Success { fingerprint: request, at };
        quarantine.record_success(at, success, Source::Own);
    }
    assert!(
        quarantine.count_successes() <= 8192,
        "{}",
        quarantine.count_successes()
    );
    quarantine.expire(START_MS + BEYOND_QUARANTINE_MS);
    assert_eq!(quarantine.count_successes(), 0);
    // A success in the distant past does not clear current crashes.
    let now = START_MS + BEYOND_QUARANTINE_MS;
    for replica in 0..3 {
        crash_replica(
            &mut quarantine,
            replica,
            now + 700 * replica as i64,
            &[99_999],
        );
    }
    assert!(quarantine_reason(&quarantine, now + 3000, 99_999).is_some());
}

/// Guards against requests that crash replicas and hide each other. Four of
/// them, each crashing one of twelve replicas every 0.6 s, looked like an
/// outage.
#[test]
fn many_requests_that_crash_replicas_do_not_hide_each_other() {
    let mut quarantine = Quarantine::default();
    for step in 0..4u64 {
        for request in 0..4 {
            let at = START_MS + 600 * step as i64 + 150 * request as i64;
            let replica = (4 * step + request) % 12;
            crash_replica(&mut quarantine, replica, at, &[request]);
        }
    }
    let replicas = || 12;
    for request in 0..4 {
        let reason =
            quarantine.quarantine_reason(START_MS + 3000, request, replicas);
        assert!(reason.is_some(), "request {request}");
    }
}

/// Guards against taking a request for a bystander because it moves from
/// replica to replica at two nodes at once.
#[test]
fn a_request_that_moves_between_replicas_is_not_an_outage() {
    let mut quarantine = Quarantine::default();
    for step in 0..2 {
        for node in 0..2 {
            let at = START_MS + 60 * step + 15 * node;
            crash_replica(&mut quarantine, (2 * step + node) as u64, at, &[7]);
        }
    }
    let replicas = || 8;
    assert!(
        quarantine.quarantine_reason(START_MS + 3000, 7, replicas).is_some()
    );
}

/// Guards against requests that crash replicas in step and so look like an
/// outage: four of them at a time, of twelve replicas.
#[test]
fn requests_that_crash_replicas_in_step_are_quarantined() {
    let mut quarantine = Quarantine::default();
    for step in 0..3u64 {
        for request in 0..4 {
            let at = START_MS + 600 * step as i64 + 15 * request as i64;
            crash_replica(&mut quarantine, 4 * step + request, at, &[request]);
        }
    }
    let replicas = || 12;
    for request in 0..4 {
        let reason =
            quarantine.quarantine_reason(START_MS + 3000, request, replicas);
        assert!(reason.is_some(), "request {request}");
    }
}

/// Guards against a request that moves from replica to replica and crashes
/// them while the crashes are not yet confirmed.
#[test]
fn suspected_crashes_quarantine_a_request_until_confirmed() {
    let mut quarantine = Quarantine::default();
    for replica in 0..3 {
        let at = START_MS + 300 * replica as i64;
        let crash = crash(7, replica, at);
        assert!(
            quarantine
                .record_suspected_crash(at + 20, crash, Source::Own)
                .is_some()
        );
    }
    let now = START_MS + 700;
    let reason = quarantine_reason(&quarantine, now, 7).unwrap();
    assert!(!reason.is_confirmed);
    assert!(reason.wait_ms > 0 && reason.retry_after_ms() == reason.wait_ms);
    assert!(!quarantine.grant_trial(now + 60_000, 7, reason, 0));
    assert_eq!(quarantine.take_reports(now).suspected.len(), 3);
    assert_eq!(quarantine.snapshot(), Report::default());
    // One of the replicas is heard, so it has not crashed.
    let mut heard = Quarantine::default();
    for replica in 0..3 {
        heard.record_suspected_crash(
            now,
            crash(7, replica, START_MS),
            Source::Other,
        );
    }
    heard.withdraw(7, |replica, _| replica == 2);
    assert_eq!(quarantine_reason(&heard, now, 7), None);
    // Without reports, the request is released after the time that a
    // confirmation takes.
    assert_eq!(quarantine_reason(&quarantine, START_MS + 10_000, 7), None);
    // Confirmed crashes remain, and none counts twice.
    for replica in 0..3 {
        let at = START_MS + 300 * replica as i64;
        quarantine.record_crash(
            START_MS + 3000,
            crash(7, replica, at),
            Source::Own,
        );
    }
    let reason = quarantine_reason(&quarantine, START_MS + 3100, 7).unwrap();
    assert_eq!((reason.crashes, reason.is_confirmed), (3, true));
}
