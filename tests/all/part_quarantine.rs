//! Tests which parts of prompts are quarantined, without any I/O.

use azuremount::decide::quarantine::{
    Crash, PartReason, Quarantine, Source, Subject, Success,
};

use crate::fixed_seeds;

/// Time at which the tests begin, in ms.
const START_MS: i64 = 100_000;
/// The part that crashes replicas.
const CAUSE: u64 = 0xdead;
/// Parts that all prompts share.
const COMMON: [u64; 2] = [1, 2];
/// Crashes after which a part may reach few replicas.
const CERTAIN_CRASHES: usize = 5;
/// Requests with a part that may reach replicas after that, at all nodes.
const MAX_TRIALS: usize = 3;
/// Time for which crashes are kept, in ms.
const RETENTION_MS: i64 = 7_200_000;

fn open() -> Quarantine {
    Quarantine::of(Subject::Part)
}

/// Records the crash of a replica under requests with these parts.
fn crash(quarantine: &mut Quarantine, replica: u64, at: i64, parts: &[u64]) {
    for &fingerprint in parts {
        let crash = Crash { fingerprint, replica, at };
        quarantine.record_crash(at, crash, Source::Own);
    }
}

/// Records the success of a request with these parts.
fn succeed(quarantine: &mut Quarantine, at: i64, parts: &[u64]) {
    for &fingerprint in parts {
        let success = Success { fingerprint, at };
        quarantine.record_success(at, success, Source::Own);
    }
}

fn reason(
    quarantine: &Quarantine,
    now: i64,
    parts: &[u64],
) -> Option<PartReason> {
    quarantine.part_reason(now, parts)
}

/// Guards against a part that crashes one replica after the other under
/// requests that have nothing else in common.
#[test]
fn three_crashes_quarantine_a_part_in_any_prompt() {
    let mut quarantine = open();
    for replica in 0..3 {
        let at = START_MS + 500 * replica as i64;
        assert_eq!(reason(&quarantine, at, &[9, CAUSE]), None);
        crash(&mut quarantine, replica, at, &[CAUSE, 20 + replica]);
    }
    let now = START_MS + 1100;
    let found = reason(&quarantine, now, &[77, CAUSE, 78]).unwrap();
    assert_eq!((found.part, found.crashes), (CAUSE, 3));
    assert_eq!(found.age_ms, 100);
    assert!(found.wait_ms > 0);
    assert_eq!(reason(&quarantine, now, &[20, 21, 22]), None);
}

/// Guards against blame on the parts that lead to the one that crashes
/// replicas. They are in flight at all of its crashes, and have not succeeded
/// since the first of them.
#[test]
fn parts_beside_the_cause_are_not_quarantined() {
    let mut quarantine = open();
    succeed(&mut quarantine, START_MS - 200, &COMMON);
    for replica in 0..6 {
        let at = START_MS + 1000 * replica as i64;
        crash(&mut quarantine, replica, at, &[1, 2, CAUSE]);
    }
    let now = START_MS + 6000;
    assert!(reason(&quarantine, now, &[1, 2, CAUSE]).is_some());
    assert_eq!(reason(&quarantine, now, &[1, 2, 5]), None);
}

/// Guards against blame on a part that has only been seen beside the one that
/// crashes replicas: their evidence is the same until a request has one of
/// them only.
#[test]
fn parts_that_are_always_together_are_told_apart_by_one_trial() {
    let mut quarantine = open();
    for replica in 0..5 {
        let at = START_MS + 300 * replica as i64;
        crash(&mut quarantine, replica, at, &[1, CAUSE]);
    }
    let mut now = START_MS + 1500;
    succeed(&mut quarantine, now, &[30]);
    let both = reason(&quarantine, now, &[1, CAUSE]).unwrap();
    assert!(both.is_certain, "{both:?}");
    // The part beside the cause succeeds as soon as it is alone.
    let alone = reason(&quarantine, now, &[1, 5]).unwrap();
    assert_eq!((alone.wait_ms, alone.alternatives), (0, 1));
    assert!(quarantine.grant_part_trial(now, alone, 0));
    assert!(!quarantine.grant_part_trial(now + 100, alone, 0));
    now += 400;
    succeed(&mut quarantine, now, &[1, 5]);
    assert_eq!(reason(&quarantine, now, &[1, 5]), None);
    let cause = reason(&quarantine, now, &[CAUSE, 6]).unwrap();
    assert!(cause.is_certain && cause.wait_ms > 0, "{cause:?}");
}

/// As above, where the cause is alone first: its next crash is evidence that
/// the other part lacks.
#[test]
fn a_crash_of_the_cause_alone_releases_the_part_beside_it() {
    let mut quarantine = open();
    for replica in 0..4 {
        let at = START_MS + 300 * replica as i64;
        crash(&mut quarantine, replica, at, &[1, CAUSE]);
    }
    let now = START_MS + 1500;
    succeed(&mut quarantine, now - 100, &[30]);
    let alone = reason(&quarantine, now, &[CAUSE, 6]).unwrap();
    assert!(quarantine.grant_part_trial(now, alone, 0));
    crash(&mut quarantine, 10, now + 300, &[CAUSE, 6]);
    succeed(&mut quarantine, now + 350, &[30]);
    assert_eq!(reason(&quarantine, now + 400, &[1, 5]), None);
    let cause = reason(&quarantine, now + 400, &[CAUSE, 7]).unwrap();
    assert!(cause.is_certain && cause.wait_ms > 0, "{cause:?}");
}

/// Guards against blame on parts that are in use at all replicas when half of
/// these crash together.
#[test]
fn an_outage_quarantines_no_part_that_is_in_use() {
    let mut quarantine = open();
    succeed(&mut quarantine, START_MS - 100, &[1, 2, 3]);
    for replica in 0..9 {
        let at = START_MS + 60 * replica as i64;
        crash(&mut quarantine, replica, at, &[1, 2, 3]);
    }
    assert_eq!(reason(&quarantine, START_MS + 700, &[1, 2, 3]), None);
}

/// Guards against callers who are refused for minutes as their new part has
/// not succeeded yet when replicas crash together.
#[test]
fn a_new_part_is_tried_soon_after_an_outage() {
    let mut quarantine = open();
    for replica in 0..8 {
        let at = START_MS + 30 * replica as i64;
        crash(&mut quarantine, replica, at, &[7]);
    }
    let now = START_MS + 400;
    succeed(&mut quarantine, now, &[1]);
    let found = reason(&quarantine, now, &[7]).unwrap();
    assert!(!found.is_certain && found.wait_ms <= 1000, "{found:?}");
}

/// Guards against callers who are refused for minutes after an outage of all
/// replicas: nothing succeeds meanwhile, and a part in use is in flight
/// wherever a replica crashes.
#[test]
fn a_part_in_use_is_tried_soon_after_an_outage_of_all_replicas() {
    let mut quarantine = open();
    succeed(&mut quarantine, START_MS - 100, &[1, 2]);
    let mut now = START_MS;
    for replica in 0..12 {
        now = START_MS + 700 * replica as i64;
        crash(&mut quarantine, replica, now, &[1, 2]);
    }
    let found = reason(&quarantine, now, &[1, 2]).unwrap();
    assert!(!found.is_certain && found.wait_ms <= 4000, "{found:?}");
    now += found.wait_ms as i64;
    let due = reason(&quarantine, now, &[1, 2]).unwrap();
    assert!(quarantine.grant_part_trial(now, due, 0));
    succeed(&mut quarantine, now + 400, &[1, 2]);
    assert_eq!(reason(&quarantine, now + 500, &[1, 2]), None);
}

/// Guards against a part that was sound and now crashes replicas, and that is
/// never quarantined as it succeeded shortly before.
#[test]
fn a_part_that_has_succeeded_before_is_quarantined_as_well() {
    let mut quarantine = open();
    succeed(&mut quarantine, START_MS - 100, &[1, 2, CAUSE]);
    for replica in 0..25 {
        let at = START_MS + 120 * replica as i64;
        succeed(&mut quarantine, at - 50, &COMMON);
        crash(&mut quarantine, replica, at, &[1, 2, CAUSE]);
    }
    let now = START_MS + 3000;
    assert!(reason(&quarantine, now, &[1, 2, CAUSE]).is_some());
    assert_eq!(reason(&quarantine, now, &[1, 2, 5]), None);
}

/// Guards against several parts that crash replicas at the same time and hide
/// each other, as requests with them are in flight at the same replicas.
#[test]
fn several_parts_that_crash_replicas_are_all_quarantined() {
    let mut quarantine = open();
    succeed(&mut quarantine, START_MS - 100, &COMMON);
    for number in 0..15 {
        let at = START_MS + 170 * number as i64;
        let cause = CAUSE + number % 3;
        // Every fourth replica also has a request with the next such part.
        let next = CAUSE + (number + 1) % 3;
        let beside = if number % 4 == 0 { next } else { cause };
        crash(&mut quarantine, number, at, &[1, 2, cause, beside]);
    }
    let now = START_MS + 2600;
    for cause in CAUSE..CAUSE + 3 {
        assert!(reason(&quarantine, now, &[1, 2, cause]).is_some());
    }
    assert_eq!(reason(&quarantine, now, &[1, 2, 5]), None);
}

/// Guards against a part that crashes a replica with each trial of each node:
/// all nodes together may send few requests with it after the fifth crash.
#[test]
fn all_nodes_together_grant_few_trials_after_the_fifth_crash() {
    let mut nodes = [(); 12].map(|()| open());
    let mut crashes = 0;
    let mut late_arrivals = 0;
    for now in (START_MS..START_MS + RETENTION_MS).step_by(250) {
        let at = (now / 250 % 12) as usize;
        succeed(&mut nodes[at], now, &[1, 5]);
        let found = reason(&nodes[at], now, &[1, CAUSE]);
        let is_sent = found
            .is_none_or(|found| nodes[at].grant_part_trial(now, found, at));
        if !is_sent {
            continue;
        }
        crashes += 1;
        if crashes > CERTAIN_CRASHES {
            late_arrivals += 1;
        }
        for quarantine in &mut nodes {
            crash(quarantine, crashes as u64, now + 100, &[1, CAUSE]);
        }
    }
    assert!(crashes >= CERTAIN_CRASHES, "{crashes}");
    assert!(late_arrivals <= MAX_TRIALS, "{late_arrivals}");
}

/// Guards against a part that is never tried again, as the node that comes
/// first receives no request with it.
#[test]
fn the_next_node_grants_a_trial_if_the_first_one_does_not() {
    let mut quarantine = open();
    for replica in 0..3 {
        let at = START_MS + 500 * replica as i64;
        crash(&mut quarantine, replica, at, &[CAUSE]);
    }
    let due = reason(&quarantine, START_MS + 1000, &[CAUSE]).unwrap().trial_at;
    let mut grants = |now, rank| {
        let found = reason(&quarantine, now, &[CAUSE]).unwrap();
        quarantine.grant_part_trial(now, found, rank)
    };
    assert!(!grants(due - 1, 0));
    assert!(!grants(due, 2));
    assert!(!grants(due + 9000, 2));
    assert!(grants(due + 10_000, 2));
}

/// Guards against several requests with a part that crashes replicas, from one
/// node after the other, while the first of them waits at a busy replica.
#[test]
fn a_trial_that_has_no_outcome_yet_is_the_only_one() {
    let mut quarantine = open();
    for replica in 0..5 {
        let at = START_MS + 500 * replica as i64;
        crash(&mut quarantine, replica, at, &[CAUSE]);
    }
    succeed(&mut quarantine, START_MS + 2500, &[1]);
    let found = reason(&quarantine, START_MS + 2500, &[CAUSE]).unwrap();
    assert!(found.is_certain, "{found:?}");
    let due = found.trial_at;
    let trials = (0..20_000).step_by(250).filter(|wait| {
        let now = due + wait;
        let found = reason(&quarantine, now, &[CAUSE]).unwrap();
        let rank = (wait / 250 % 12) as usize;
        quarantine.grant_part_trial(now, found, rank)
    });
    assert_eq!(trials.count(), 1);
}

/// Guards against suspected crashes of replicas that live on: they are
/// withdrawn, and otherwise count for as long as a confirmation takes.
#[test]
fn suspected_crashes_quarantine_a_part_until_they_are_withdrawn() {
    let mut quarantine = open();
    for replica in 0..3 {
        let at = START_MS + 150 * replica as i64;
        let crash = Crash { fingerprint: CAUSE, replica, at };
        quarantine.record_suspected_crash(at, crash, Source::Own);
    }
    let now = START_MS + 500;
    assert!(reason(&quarantine, now, &[CAUSE]).is_some());
    assert_eq!(reason(&quarantine, now + 4000, &[CAUSE]), None);
    quarantine.withdraw_all(|replica, _| replica == 1);
    assert_eq!(reason(&quarantine, now, &[CAUSE]), None);
}

/// Guards against blame on parts that a node has never sent itself: the nodes
/// where they succeeded shortly before a crash tell the others so.
#[test]
fn a_success_before_a_crash_is_reported_with_it() {
    let (mut one, mut other) = (open(), open());
    succeed(&mut one, START_MS - 1000, &[1]);
    crash(&mut one, 3, START_MS, &[1]);
    let report = one.take_reports(START_MS + 10);
    assert_eq!(report.successes.len(), 1);
    for success in report.successes {
        other.record_success(START_MS + 20, success, Source::Other);
    }
    crash(&mut other, 4, START_MS + 50, &[1]);
    assert!(other.has_succeeded(1));
    // What another node has reported is not reported again.
    assert_eq!(other.take_reports(START_MS + 60).successes.len(), 0);
}

/// Guards against a starting node that lets a part crash replicas as it knows
/// nothing of it.
#[test]
fn a_starting_node_learns_which_parts_crash_replicas() {
    let mut quarantine = open();
    for replica in 0..40 {
        let at = START_MS + 100 * replica as i64;
        crash(&mut quarantine, replica, at, &[CAUSE, 100 + replica]);
    }
    let snapshot = quarantine.snapshot();
    let mut starting = open();
    for crash in snapshot.crashes {
        starting.record_crash(START_MS + 5000, crash, Source::Other);
    }
    let now = START_MS + 5000;
    assert!(reason(&starting, now, &[7, CAUSE]).is_some());
}

/// Guards against a crash of the cause that no other node is told of, as
/// hundreds of parts in use were in flight at the same replica.
#[test]
fn parts_that_have_not_succeeded_are_reported_first() {
    let mut quarantine = open();
    let in_use: Vec<u64> = (1000..1300).collect();
    succeed(&mut quarantine, START_MS - 100, &in_use);
    crash(&mut quarantine, 1, START_MS, &[CAUSE]);
    crash(&mut quarantine, 1, START_MS, &in_use);
    let report = quarantine.take_reports(START_MS + 10);
    let is_reported =
        report.crashes.iter().any(|crash| crash.fingerprint == CAUSE);
    assert!(is_reported);
}

/// Guards against memory and datagrams that grow with the number of parts at
/// crashes.
#[test]
fn records_and_reports_of_parts_are_bounded() {
    let mut quarantine = open();
    for replica in 0..300 {
        let at = START_MS + 10 * replica as i64;
        let parts: Vec<u64> = (0..64).map(|at| at * replica).collect();
        crash(&mut quarantine, replica, at, &parts);
    }
    assert!(quarantine.len() <= 2048, "{}", quarantine.len());
    let report = quarantine.take_reports(START_MS + 3000);
    assert!(report.crashes.len() <= 64 + 4 * 8, "{}", report.crashes.len());
    let stored = quarantine.snapshot().crashes.len();
    assert!(stored <= 64 * 8, "{stored}");
}

/// Parts that sound requests of the random plays share, besides the common
/// ones.
const SOUND_PARTS: u64 = 30;
/// Steps of a random play, and their length in ms.
const STEPS: i64 = 600;
const STEP_MS: i64 = 50;
/// Ratio of sound requests that may be refused in a random play.
const MAX_REFUSED_RATIO: f64 = 0.05;

/// Guards against a cause that stays unknown, and against refused sound
/// requests, in random plays: one request in eight has the cause, and crashes
/// a replica at which up to four sound requests are in flight.
#[test]
fn random_bystanders_are_served_and_the_cause_is_refused() {
    fixed_seeds(60, |random| {
        let mut quarantine = open();
        let (mut sent, mut refused) = (0, 0);
        let (mut crashes, mut late) = (0, 0);
        let place = random.int_in_range(0..=2)?;
        for step in 0..STEPS {
            let now = START_MS + STEP_MS * step;
            let sound = COMMON.to_vec();
            let mut prompt = sound.clone();
            if random.ratio(1, 8)? {
                prompt.insert(place, CAUSE);
                let found = reason(&quarantine, now, &prompt);
                let is_sent = found.is_none_or(|found| {
                    quarantine.grant_part_trial(now, found, 0)
                });
                if !is_sent {
                    continue;
                }
                crashes += 1;
                late += usize::from(crashes > CERTAIN_CRASHES);
                crash(&mut quarantine, step as u64, now, &prompt);
                for _ in 0..random.int_in_range(0..=4)? {
                    let part = 10 + random.int_in_range(0..=SOUND_PARTS)?;
                    let beside = [sound.as_slice(), &[part]].concat();
                    crash(&mut quarantine, step as u64, now, &beside);
                }
                continue;
            }
            prompt.insert(place, 10 + random.int_in_range(0..=SOUND_PARTS)?);
            sent += 1;
            match reason(&quarantine, now, &prompt) {
                None => succeed(&mut quarantine, now, &prompt),
                Some(found) => {
                    refused += 1;
                    if quarantine.grant_part_trial(now, found, 0) {
                        succeed(&mut quarantine, now, &prompt);
                    }
                }
            }
        }
        assert!(late <= MAX_TRIALS, "{late} of {crashes}");
        let ratio = f64::from(refused) / f64::from(sent.max(1));
        assert!(ratio <= MAX_REFUSED_RATIO, "{refused} of {sent} refused");
        Ok(())
    });
}
