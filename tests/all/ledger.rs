//! Tests of the ledger, one of them against a simple reference model.

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

    /// Restores the ledger from its own snapshot, as a restart does.
    fn restart(&mut self) {
        let bytes = self.ledger.encode();
        self.ledger = Ledger::decode(&bytes).expect("own snapshot");
    }
}

/// Reference model: claims as a map from key to owner, digest and verdict.
#[derive(Default)]
struct Model {
    claims: BTreeMap<String, (String, Vec<u8>, Option<u32>)>,
    revision: u64,
    ids: BTreeMap<String, (u64, u64)>,
    left: BTreeMap<(String, u64), bool>,
}

impl Model {
    fn claim(&mut self, claim: &Claim) -> claim_outcome::State {
        use claim_outcome::State;
        match self.claims.get(&claim.key) {
            None => {
                let record = (claim.owner.clone(), claim.digest.clone(), None);
                self.claims.insert(claim.key.clone(), record);
                State::Granted
            }
            Some((_, digest, _)) if *digest != claim.digest => State::Mismatch,
            Some((_, _, None)) => State::Held,
            Some((_, _, Some(_))) => State::Settled,
        }
    }

    fn settle(&mut self, settle: &Settle) {
        let Some(record) = self.claims.get_mut(&settle.key) else { return };
        if record.0 != settle.owner {
            return;
        }
        match (&settle.answer, record.2) {
            (None, None) if settle.released => {
                self.claims.remove(&settle.key);
            }
            (Some(answer), None) => record.2 = Some(answer.verdict),
            (Some(answer), Some(old)) => {
                record.2 = Some(old.max(answer.verdict))
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
fn ledger_matches_the_reference_model_over_400_random_histories() {
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut log = Log { ledger: Ledger::default(), index: 0 };
        let mut model = Model::default();
        for step in 0..200 {
            let key = format!("k{}", rng.random_range(0..6));
            let owner = format!("o{}", rng.random_range(0..3));
            match rng.random_range(0..10) {
                0..4 => {
                    let digest = vec![u8::from(rng.random_range(0..8) == 0)];
                    let team = "red".to_owned();
                    let claim = Claim { key, digest, owner, team };
                    let expected = model.claim(&claim);
                    let actual = log.apply(step, change::Kind::Claim(claim));
                    let outcome::Kind::Claim(actual) = actual else {
                        panic!()
                    };
                    assert_eq!(actual.state, expected as i32, "seed {seed}");
                }
                4..7 => {
                    let released = rng.random_range(0..3) == 0;
                    let verdict = rng.random_range(1..3);
                    let answer = (!released)
                        .then(|| Answer { verdict, ..Answer::default() });
                    let settle = Settle { key, owner, released, answer };
                    model.settle(&settle);
                    log.apply(step, change::Kind::Settle(settle));
                }
                7..9 => {
                    let id = format!("c{}", rng.random_range(0..40));
                    let content = rng.random_range(0..3);
                    let from = model.revision
                        - u64::from(rng.random_range(0..3) == 0)
                            .min(model.revision);
                    let expected = model.apply(&id, from, content);
                    let change = apply_change(&id, from, content);
                    let actual = log.apply(step, change::Kind::Apply(change));
                    let outcome::Kind::Apply(actual) = actual else {
                        panic!()
                    };
                    let actual = (actual.result, actual.revision);
                    assert_eq!(actual, expected, "seed {seed} step {step}");
                }
                _ => log.restart(),
            }
            for (key, (owner, _, answer)) in &model.claims {
                let actual = log.ledger.claim(key);
                assert_eq!(actual.owner, *owner, "seed {seed}");
                let verdict = actual.answer.map(|answer| answer.verdict);
                assert_eq!(verdict, *answer, "seed {seed}");
            }
            assert_eq!(log.ledger.revision(), model.revision);
        }
    }
}

/// Guards against a resent change that is answered as stale or applied a
/// second time. The change is accepted and its answer lost; hundreds of other
/// changes and restarts from a snapshot follow; then the operator resends the
/// change. It fails when change ids are record only in memory, or when the
/// revision is checked before the id.
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
    let actual = log.apply(0, change::Kind::Apply(first));
    let outcome::Kind::Apply(actual) = actual else { panic!("not an apply") };
    assert_eq!(actual.result, apply_outcome::Result::Accepted as i32);
    assert_eq!(actual.revision, 1);
    assert_eq!(log.ledger.revision(), 400);
}

/// Guards against requests sent to a departed endpoint, which drops them. The
/// departure is committed; then a delayed heartbeat announces the same
/// incarnation again. It fails when an announcement ignores the record of the
/// departure.
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
    let actual = log.apply(0, announce(5));
    let outcome::Kind::Endpoint(actual) = actual else { panic!("not one") };
    assert_eq!(actual.result, endpoint_outcome::Result::Departed as i32);
    assert_eq!(log.ledger.live_endpoints().count(), 0);
    // A new incarnation is a new endpoint.
    log.apply(0, announce(6));
    assert_eq!(log.ledger.live_endpoints().count(), 1);
    let _ = Model::default().left;
}
