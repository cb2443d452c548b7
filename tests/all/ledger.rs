//! The ledger against a naive version: a map that a child could read.

use std::collections::BTreeMap;

use azuremount::{
    control::ledger::Ledger,
    wire::{
        Announce, Answer, ApplyConfig, Change, Claim, Depart, Endpoint,
        LogEntry, Settle, SourceFile, apply_outcome, change, claim_outcome,
        endpoint_outcome, outcome,
    },
};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const BASE: &str = r#"
[system]
name = "test"
[data_centres.east]
region = "r"
[teams.red]
[services.model]
kind = "model"
[services.alerts]
kind = "plain"
"#;

pub fn file(name: &str, text: &str) -> SourceFile {
    SourceFile { name: name.to_owned(), text: text.to_owned() }
}

fn apply_change(id: &str, from: u64, drain: u64) -> ApplyConfig {
    let base = BASE.replace(
        "name = \"test\"",
        &format!("name = \"test\"\ndrain_ms = {drain}"),
    );
    ApplyConfig {
        change_id: id.to_owned(),
        from_revision: from,
        base: Some(file("base.toml", &base)),
        overlays: vec![file("sites/east.toml", "site = \"east\"")],
    }
}

struct Log {
    ledger: Ledger,
    index: u64,
}

impl Log {
    fn apply(&mut self, at_ms: u64, kind: change::Kind) -> outcome::Kind {
        self.index += 1;
        let change = Change { at_ms, kind: Some(kind) };
        let payload = change.encode_to_vec();
        let entry = LogEntry { index: self.index, term: 1, payload };
        self.ledger.apply(&entry).kind.expect("an outcome")
    }

    /// What a restart from a snapshot does.
    fn restart(&mut self) {
        let bytes = self.ledger.encode();
        self.ledger = Ledger::decode(&bytes).expect("own snapshot");
    }
}

/// Claims as a map from key to owner, digest and answer.
#[derive(Default)]
struct Naive {
    claims: BTreeMap<String, (String, Vec<u8>, Option<u32>)>,
    revision: u64,
    ids: BTreeMap<String, (u64, u64)>,
    left: BTreeMap<(String, u64), bool>,
}

impl Naive {
    fn claim(&mut self, claim: &Claim) -> claim_outcome::State {
        use claim_outcome::State;
        match self.claims.get(&claim.key) {
            None => {
                let kept = (claim.owner.clone(), claim.digest.clone(), None);
                self.claims.insert(claim.key.clone(), kept);
                State::Granted
            }
            Some((_, digest, _)) if *digest != claim.digest => State::Mismatch,
            Some((_, _, None)) => State::Held,
            Some((_, _, Some(_))) => State::Settled,
        }
    }

    fn settle(&mut self, settle: &Settle) {
        let Some(kept) = self.claims.get_mut(&settle.key) else { return };
        if kept.0 != settle.owner {
            return;
        }
        match (&settle.answer, kept.2) {
            (None, None) if settle.released => {
                self.claims.remove(&settle.key);
            }
            (Some(answer), None) => kept.2 = Some(answer.verdict),
            (Some(answer), Some(old)) => {
                kept.2 = Some(old.max(answer.verdict))
            }
            _ => {}
        }
    }

    fn apply(&mut self, id: &str, from: u64, content: u64) -> (i32, u64) {
        use apply_outcome::Result;
        if let Some((known, revision)) = self.ids.get(id) {
            let result = match *known == content {
                true => Result::Accepted,
                false => Result::IdReused,
            };
            return (result as i32, *revision);
        }
        if from != self.revision {
            return (Result::Stale as i32, self.revision);
        }
        self.revision += 1;
        self.ids.insert(id.to_owned(), (content, self.revision));
        (Result::Accepted as i32, self.revision)
    }
}

#[test]
fn ledger_equals_the_naive_version_over_400_histories() {
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut log = Log { ledger: Ledger::default(), index: 0 };
        let mut naive = Naive::default();
        for step in 0..200 {
            let key = format!("k{}", rng.random_range(0..6));
            let owner = format!("o{}", rng.random_range(0..3));
            match rng.random_range(0..10) {
                0..4 => {
                    let digest = vec![u8::from(rng.random_range(0..8) == 0)];
                    let team = "red".to_owned();
                    let claim = Claim { key, digest, owner, team };
                    let wanted = naive.claim(&claim);
                    let got = log.apply(step, change::Kind::Claim(claim));
                    let outcome::Kind::Claim(got) = got else { panic!() };
                    assert_eq!(got.state, wanted as i32, "seed {seed}");
                }
                4..7 => {
                    let released = rng.random_range(0..3) == 0;
                    let verdict = rng.random_range(1..3);
                    let answer = (!released)
                        .then(|| Answer { verdict, ..Answer::default() });
                    let settle = Settle { key, owner, released, answer };
                    naive.settle(&settle);
                    log.apply(step, change::Kind::Settle(settle));
                }
                7..9 => {
                    let id = format!("c{}", rng.random_range(0..40));
                    let content = rng.random_range(0..3);
                    let from = naive.revision
                        - u64::from(rng.random_range(0..3) == 0)
                            .min(naive.revision);
                    let wanted = naive.apply(&id, from, content);
                    let change = apply_change(&id, from, content);
                    let got = log.apply(step, change::Kind::Apply(change));
                    let outcome::Kind::Apply(got) = got else { panic!() };
                    let got = (got.result, got.revision);
                    assert_eq!(got, wanted, "seed {seed} step {step}");
                }
                _ => log.restart(),
            }
            for (key, (owner, _, answer)) in &naive.claims {
                let got = log.ledger.claim(key);
                assert_eq!(got.owner, *owner, "seed {seed}");
                let verdict = got.answer.map(|answer| answer.verdict);
                assert_eq!(verdict, *answer, "seed {seed}");
            }
            assert_eq!(log.ledger.revision(), naive.revision);
        }
    }
}

/// Symptom: an operator resends a change whose answer was lost, and is told
/// that it is stale; or worse, it is applied a second time on top of others.
/// Sequence: accepted, answer lost, a leader change from a snapshot, hundreds
/// of changes by others, resent. Cause: the id was kept only in memory, or
/// the revision was looked at before the id.
#[test]
fn a_change_resent_hundreds_of_changes_later_gets_its_first_answer() {
    let mut log = Log { ledger: Ledger::default(), index: 0 };
    let first = apply_change("mine", 0, 1);
    log.apply(0, change::Kind::Apply(first.clone()));
    for number in 1..400 {
        let other = apply_change(&format!("other-{number}"), number, 2);
        log.apply(0, change::Kind::Apply(other));
        if number % 100 == 0 {
            log.restart();
        }
    }
    let got = log.apply(0, change::Kind::Apply(first));
    let outcome::Kind::Apply(got) = got else { panic!("not an apply") };
    assert_eq!(got.result, apply_outcome::Result::Accepted as i32);
    assert_eq!(got.revision, 1);
    assert_eq!(log.ledger.revision(), 400);
}

/// Symptom: an endpoint that said goodbye is given work, and drops it.
/// Sequence: leave is committed; a heartbeat that was on its way announces
/// the same incarnation again. Cause: announcing did not look at the mark.
#[test]
fn a_late_announcement_does_not_revive_an_endpoint_that_left() {
    let mut log = Log { ledger: Ledger::default(), index: 0 };
    let endpoint = |incarnation| Endpoint {
        id: "gpu".to_owned(),
        incarnation,
        ..Endpoint::default()
    };
    let announce = |incarnation| {
        let endpoint = Some(endpoint(incarnation));
        change::Kind::Announce(Announce { endpoint })
    };
    log.apply(0, announce(5));
    log.apply(
        0,
        change::Kind::Depart(Depart {
            id: "gpu".to_owned(),
            incarnation: 5,
            leaving: true,
            within_ms: 1000,
        }),
    );
    log.restart();
    let got = log.apply(0, announce(5));
    let outcome::Kind::Endpoint(got) = got else { panic!("not one") };
    assert_eq!(got.result, endpoint_outcome::Result::Departed as i32);
    assert_eq!(log.ledger.live_endpoints().count(), 0);
    // A new incarnation is a new endpoint.
    log.apply(0, announce(6));
    assert_eq!(log.ledger.live_endpoints().count(), 1);
    let _ = Naive::default().left;
}
