//! Which requests are kept from replicas, without any I/O.

use azuremount::decide::quarantine::{
    Crash, Quarantine, Reason, Source, Success, Word,
};

use crate::fixed_seeds;

/// Replicas of the service.
const REPLICAS: usize = 18;
/// When the tests begin, in ms.
const START: i64 = 10_000;
/// More than the longest time that a request is kept away, in ms.
const LONG: i64 = 3_700_000;

fn crash(fingerprint: u64, replica: u64, at: i64) -> Crash {
    Crash { fingerprint, replica, at }
}

/// A replica ended under these requests.
fn end(known: &mut Quarantine, replica: u64, at: i64, requests: &[u64]) {
    for &fingerprint in requests {
        known.crash(at, crash(fingerprint, replica, at), Source::Own);
    }
}

fn keeps(known: &Quarantine, now: i64, fingerprint: u64) -> Option<Reason> {
    known.keeps(now, fingerprint, || REPLICAS)
}

/// Symptom: a request ends one replica after the other. Cause: nobody counts.
/// Here three ends are enough, and the refusal says until when.
#[test]
fn three_ends_keep_a_request_away() {
    let mut known = Quarantine::default();
    for replica in 0..2 {
        end(&mut known, replica, START + 700 * replica as i64, &[7]);
        assert_eq!(keeps(&known, START + 1000, 7), None);
    }
    end(&mut known, 2, START + 1400, &[7]);
    let reason = keeps(&known, START + 1500, 7).unwrap();
    assert_eq!((reason.crashes, reason.age_ms), (3, 100));
    assert!(reason.wait_ms > 0);
}

/// Symptom: what a team asks all the time is refused for an hour after its
/// service is sound again. Sequence: all replicas end one after the other for
/// another reason, and this request is at three of the ends. Cause: whoever is
/// kept away can't succeed. So it is tried again, by one node after the other.
#[test]
fn a_request_that_is_kept_away_is_tried_again_at_one_node_first() {
    let mut nodes = [(); 3].map(|()| Quarantine::default());
    for known in &mut nodes {
        for replica in 0..3 {
            end(known, replica, START, &[7]);
        }
    }
    let reason = keeps(&nodes[0], START, 7).unwrap();
    let due = START + reason.wait_ms as i64;
    assert!(!nodes[0].try_again(due - 1, 7, reason, 0));
    let reason = keeps(&nodes[0], due, 7).unwrap();
    let tries = |known: &mut Quarantine, at, rank| {
        known.try_again(at, 7, reason, rank)
    };
    assert!(tries(&mut nodes[0], due, 0));
    assert!(!tries(&mut nodes[0], due + 1000, 0), "twice at once");
    assert!(!tries(&mut nodes[1], due + 1000, 1), "two nodes at once");
    // The first node has no such request: the next one tries it then.
    assert!(tries(&mut nodes[1], due + 6000, 1));
    // It is no better: kept away for longer, everywhere.
    end(&mut nodes[1], 9, due + 6500, &[7]);
    let longer = keeps(&nodes[1], due + 6500, 7).unwrap();
    assert!(longer.wait_ms > (due - START) as u64);
    // It has ended well: free.
    let at = due + 6500;
    let success = Success { fingerprint: 7, at };
    assert_eq!(nodes[2].succeed(at, success, Source::Other), Some(3));
    assert_eq!(keeps(&nodes[2], at, 7), None);
}

/// Symptom: callers whose streams broke off are refused when they come again.
/// Sequence: replicas end under one request, each with twenty others.
#[test]
fn bystanders_of_one_end_are_not_kept_away() {
    let mut known = Quarantine::default();
    for replica in 0..30 {
        let mut there: Vec<u64> =
            (0..20).map(|at| 1000 + replica * 100 + at).collect();
        there.push(7);
        end(&mut known, replica, START + 600 * replica as i64, &there);
    }
    let now = START + 20_000;
    assert!(keeps(&known, now, 7).is_some());
    for replica in 0..30 {
        for at in 0..20 {
            assert_eq!(keeps(&known, now, 1000 + replica * 100 + at), None);
        }
    }
}

/// Symptom: after a data centre's replicas lost their power in three waves,
/// callers are refused for ten minutes. Cause: a request that was sent on from
/// one wave to the next counts as if it had ended all three.
#[test]
fn bystanders_of_many_ends_at_once_are_not_kept_away() {
    let mut known = Quarantine::default();
    for wave in 0..3 {
        for replica in 0..6 {
            let at = START + 1500 * wave + 20 * replica;
            let name = (wave * 6 + replica) as u64;
            let there =
                [1000 + name, if replica == 0 { 9 } else { 2000 + name }];
            end(&mut known, name, at, &there);
        }
    }
    assert_eq!(keeps(&known, START + 5000, 9), None);
}

/// Symptom: a request that ends replicas goes on to do so, as others do the
/// same at the same time. Two of them, each ending a replica each 0.6 s, are
/// no wave.
#[test]
fn two_requests_that_end_replicas_do_not_hide_each_other() {
    let mut known = Quarantine::default();
    for step in 0..3 {
        let at = START + 600 * step;
        end(&mut known, 2 * step as u64, at, &[7]);
        end(&mut known, 2 * step as u64 + 1, at + 100, &[8]);
    }
    assert!(keeps(&known, START + 2000, 7).is_some());
    assert!(keeps(&known, START + 2000, 8).is_some());
}

/// Symptom: what a team asks all the time is refused, as replicas that ended
/// were always running it. Cause: nobody sees that it ends well as often.
#[test]
fn a_success_clears_what_was_noted_before_it() {
    let mut known = Quarantine::default();
    for replica in 0..6 {
        let at = START + 1000 * replica as i64;
        end(&mut known, replica, at, &[7]);
        let success = Success { fingerprint: 7, at: at + 200 };
        assert_eq!(known.succeed(at + 200, success, Source::Own), Some(1));
        assert_eq!(keeps(&known, at + 300, 7), None);
    }
    // Late word of an end before it changes nothing, and its teller is told.
    let (now, late) = (START + 6000, crash(7, 50, START + 5100));
    assert_eq!(known.crash(now, late, Source::Other), None);
    assert_eq!(known.tell(now + 2000).successes, []);
    assert_eq!(known.crash(now + 2000, late, Source::Other), None);
    assert_eq!(known.tell(now + 2000).successes.len(), 1);
    // And one that has never been at an end leaves no trace.
    let success = Success { fingerprint: 8, at: now };
    assert_eq!(known.succeed(now, success, Source::Own), None);
    assert_eq!(known.len(), 1);
}

/// Symptom: one end counts three times. Cause: three nodes tell of it.
#[test]
fn an_end_counts_once_whoever_tells_of_it() {
    let mut known = Quarantine::default();
    let now = START + 900;
    assert_eq!(known.crash(START, crash(7, 1, START), Source::Own), Some(1));
    assert_eq!(known.crash(now, crash(7, 1, START + 4), Source::Other), None);
    assert_eq!(known.crash(now, crash(7, 1, START - 3), Source::Other), None);
    assert_eq!(keeps(&known, now, 7), None);
}

/// Symptom: one node keeps a request away and the next one does not. Sequence:
/// each of three nodes sees one end, and the word of one is lost at first.
#[test]
fn what_each_node_saw_adds_up_at_all_of_them() {
    let mut nodes = [(); 3].map(|()| Quarantine::default());
    for (at, known) in nodes.iter_mut().enumerate() {
        end(known, at as u64, START + at as i64, &[7]);
    }
    for round in 0..4 {
        let now = START + 300 * (round + 1);
        let words = nodes.each_mut().map(|known| known.tell(now));
        for (from, word) in words.iter().enumerate() {
            for (to, known) in nodes.iter_mut().enumerate() {
                let is_lost = from == 1 && round < 2;
                if from == to || is_lost {
                    continue;
                }
                for one in &word.crashes {
                    known.crash(now, *one, Source::Other);
                }
            }
        }
    }
    for known in &nodes {
        assert!(keeps(known, START + 1500, 7).is_some());
    }
    // One that starts later is told as well, by whomever it hears.
    let mut late = Quarantine::default();
    for one in nodes[0].tell(START + 10_000).crashes {
        late.crash(START + 10_000, one, Source::Other);
    }
    assert!(keeps(&late, START + 10_000, 7).is_some());
}

/// Symptom: a node's memory and its datagrams grow for as long as replicas
/// end. Sequence: ten thousand requests are at ends, of which one is at three.
#[test]
fn what_is_known_is_bounded_and_forgotten() {
    let mut known = Quarantine::default();
    for replica in 0..3 {
        end(&mut known, replica, START + 500 * replica as i64, &[7]);
    }
    for other in 0..10_000 {
        end(&mut known, 100 + other / 30, START + 2000, &[1000 + other]);
    }
    assert!(known.len() <= 2048, "{}", known.len());
    let word = known.tell(START + 2500);
    assert!(word.crashes.len() <= 64 + 4 * 8, "{}", word.crashes.len());
    assert!(keeps(&known, START + 3000, 7).is_some());
    known.expire(START + 3 * LONG);
    assert!(known.is_empty());
}

/// Symptom: a node that starts lets a request end three replicas although all
/// others keep it away. Sequence: a hundred bystanders are at two ends each;
/// four requests are told at a time, and sixty-four to a node that starts.
/// Cause: those with the lowest numbers were told, again and again.
#[test]
fn requests_at_several_ends_are_told_in_turn() {
    let mut known = Quarantine::default();
    for replica in 0..3 {
        end(&mut known, replica, START, &[u64::MAX]);
    }
    for bystander in 0..100 {
        end(&mut known, 10, START, &[bystander]);
        end(&mut known, 11, START, &[bystander]);
    }
    let is_told = |word: &Word| {
        word.crashes.iter().any(|one| one.fingerprint == u64::MAX)
    };
    assert!(is_told(&known.several()));
    let after = START + 2000;
    let told = (0..30).any(|round| is_told(&known.tell(after + 300 * round)));
    assert!(told, "not within nine seconds");
}

/// Whatever is told in whatever order, and however often, nodes that were told
/// the same keep the same requests away.
#[test]
fn the_order_of_words_does_not_matter() {
    fixed_seeds(60, |input| {
        let mut words = Vec::new();
        for _ in 0..input.int_in_range(1..=24)? {
            let fingerprint = input.int_in_range(1..=3)?;
            let replica = input.int_in_range(1..=6)?;
            let at = START + 50 * replica as i64;
            words.push(crash(fingerprint, replica, at));
        }
        let mut one = Quarantine::default();
        let mut other = Quarantine::default();
        let now = START + 1000;
        for word in &words {
            one.crash(now, *word, Source::Other);
        }
        for word in words.iter().rev().chain(&words) {
            other.crash(now, *word, Source::Other);
        }
        for fingerprint in 1..=3 {
            let told = keeps(&one, now, fingerprint);
            assert_eq!(told, keeps(&other, now, fingerprint));
        }
        Ok(())
    });
}

/// Guards against sound requests that are kept away as many replicas end at
/// once under what all callers ask, and nodes notice it one after the other.
#[test]
fn an_end_has_one_moment_whoever_notices_it_when() {
    let mut known = Quarantine::default();
    for replica in 0..6 {
        let late = 400 * replica as i64;
        // Sent to the replica while it was away already, at another node, of
        // which this one hears first.
        known.crash(
            START + 3000,
            crash(7, replica, START + late),
            Source::Other,
        );
        known.crash(START + 3000, crash(7, replica, START), Source::Other);
    }
    let replicas = || 12;
    assert_eq!(known.keeps(START + 3000, 7, replicas), None);
}

/// Guards against a request that counts for ends before which it can't have
/// been sent: others were under way there, and their connections broke before.
#[test]
fn a_request_that_met_replicas_after_their_end_has_not_ended_them() {
    let mut known = Quarantine::default();
    for replica in 0..4 {
        let at = START + 1500 * replica as i64;
        let other = 100 + replica;
        end(&mut known, replica, at, &[other]);
        end(&mut known, replica, at + 1200, &[7]);
    }
    assert_eq!(keeps(&known, START + 8000, 7), None);
}

/// Guards against a request that is found out no more, as its ends were dated
/// by what else was there.
#[test]
fn a_request_that_was_there_counts_beside_others() {
    let mut known = Quarantine::default();
    for replica in 0..3 {
        let at = START + 1500 * replica as i64;
        end(&mut known, replica, at, &[100 + replica]);
        end(&mut known, replica, at + 30, &[7]);
    }
    assert_eq!(keeps(&known, START + 8000, 7).unwrap().crashes, 3);
}

/// Guards against what all callers ask being kept away after an outage that
/// becomes known seconds later, although it has ended well since.
#[test]
fn a_success_counts_against_ends_that_become_known_after_it() {
    let mut known = Quarantine::default();
    for at in (START..START + 2500).step_by(100) {
        let success = Success { fingerprint: 7, at };
        known.succeed(at, success, Source::Own);
    }
    for replica in 0..6 {
        let at = START + 400 * replica as i64;
        let crash = crash(7, replica, at);
        assert_eq!(known.crash(START + 3000, crash, Source::Own), None);
        // Nodes that have seen no success are told.
        known.crash(START + 3000, crash, Source::Other);
    }
    assert_eq!(keeps(&known, START + 3000, 7), None);
    assert_eq!(known.tell(START + 3000).successes.len(), 1);
}

/// Guards against a memory of requests that ended well which grows with them.
#[test]
fn successes_are_remembered_in_bounded_memory() {
    let mut known = Quarantine::default();
    for request in 0..100_000 {
        let at = START + request as i64 / 10;
        let success = Success { fingerprint: request, at };
        known.succeed(at, success, Source::Own);
    }
    assert!(known.remembered() <= 8192, "{}", known.remembered());
    known.expire(START + LONG);
    assert_eq!(known.remembered(), 0);
    // Far in the past it says nothing of what ends replicas now.
    let now = START + LONG;
    for replica in 0..3 {
        end(&mut known, replica, now + 700 * replica as i64, &[99_999]);
    }
    assert!(keeps(&known, now + 3000, 99_999).is_some());
}

/// Guards against requests that end replicas and hide each other: four of them,
/// each ending one of twelve every 0.6 s, looked like an outage.
#[test]
fn many_requests_that_end_replicas_do_not_hide_each_other() {
    let mut known = Quarantine::default();
    for step in 0..4u64 {
        for request in 0..4 {
            let at = START + 600 * step as i64 + 150 * request as i64;
            let replica = (4 * step + request) % 12;
            end(&mut known, replica, at, &[request]);
        }
    }
    let replicas = || 12;
    for request in 0..4 {
        let kept = known.keeps(START + 3000, request, replicas);
        assert!(kept.is_some(), "request {request}");
    }
}

/// Guards against a request that is taken for a bystander as it goes on from
/// replica to replica at two nodes at once.
#[test]
fn a_request_that_goes_on_elsewhere_is_no_outage() {
    let mut known = Quarantine::default();
    for step in 0..2 {
        for node in 0..2 {
            let at = START + 60 * step + 15 * node;
            end(&mut known, (2 * step + node) as u64, at, &[7]);
        }
    }
    let replicas = || 8;
    assert!(known.keeps(START + 3000, 7, replicas).is_some());
}

/// Guards against requests that end replicas in step and so look like outages:
/// four of them each time at once, of twelve replicas.
#[test]
fn requests_that_end_replicas_in_step_are_found_out() {
    let mut known = Quarantine::default();
    for step in 0..3u64 {
        for request in 0..4 {
            let at = START + 600 * step as i64 + 15 * request as i64;
            end(&mut known, 4 * step + request, at, &[request]);
        }
    }
    let replicas = || 12;
    for request in 0..4 {
        let kept = known.keeps(START + 3000, request, replicas);
        assert!(kept.is_some(), "request {request}");
    }
}

/// Guards against ends that are certain only seconds later, while the request
/// goes on from replica to replica.
#[test]
fn suspected_ends_hold_a_request_back_until_it_is_certain() {
    let mut known = Quarantine::default();
    for replica in 0..3 {
        let at = START + 300 * replica as i64;
        let crash = crash(7, replica, at);
        assert!(known.suspect(at + 20, crash, Source::Own).is_some());
    }
    let now = START + 700;
    let reason = keeps(&known, now, 7).unwrap();
    assert!(!reason.is_certain);
    assert!(reason.wait_ms > 0 && reason.retry_after_ms() == reason.wait_ms);
    assert!(!known.try_again(now + 60_000, 7, reason, 0));
    assert_eq!(known.tell(now).suspected.len(), 3);
    assert_eq!(known.several(), Word::default());
    // One of the replicas is heard: it lives.
    let mut heard = Quarantine::default();
    for replica in 0..3 {
        heard.suspect(now, crash(7, replica, START), Source::Other);
    }
    heard.withdraw(7, |replica, _| replica == 2);
    assert_eq!(keeps(&heard, now, 7), None);
    // It is free without a word after the time that certainty takes.
    assert_eq!(keeps(&known, START + 10_000, 7), None);
    // Certain ends stay, and none counts twice.
    for replica in 0..3 {
        let at = START + 300 * replica as i64;
        known.crash(START + 3000, crash(7, replica, at), Source::Own);
    }
    let reason = keeps(&known, START + 3100, 7).unwrap();
    assert_eq!((reason.crashes, reason.is_certain), (3, true));
}
