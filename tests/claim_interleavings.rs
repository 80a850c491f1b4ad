//! Random interleavings of claims on one key: strict rules hold, relaxed ones are caught.

mod claim_model;

use std::{thread, time::Duration};

use arbutusshelf::decide::claim::Rules;
use claim_model::{Broken, Step, run, step};
use quickcheck::{Arbitrary, Gen};

const SEQUENCES: u64 = 100_000;
const THREADS: u64 = 4;
const MAX_STEPS: usize = 64;

type Bytes = Vec<(u8, u8)>;

fn script(bytes: &[(u8, u8)]) -> Vec<Step> {
    bytes.iter().copied().map(step).collect()
}

fn random_bytes(seed: u64) -> Bytes {
    Bytes::arbitrary(&mut Gen::from_size_and_seed(MAX_STEPS, seed))
}

fn check(rules: Rules, bytes: &[(u8, u8)]) -> Result<(), Broken> {
    run(rules, &script(bytes))
}

/// Takes smaller scripts as long as one of them is still caught.
fn shrink(rules: Rules, mut bytes: Bytes) -> Bytes {
    while let Some(smaller) = bytes.shrink().find(|b| check(rules, b).is_err()) {
        bytes = smaller;
    }
    bytes
}

fn first_caught(rules: Rules, seeds: impl Iterator<Item = u64>) -> Option<Bytes> {
    let caught = seeds.map(random_bytes).find(|b| check(rules, b).is_err())?;
    Some(shrink(rules, caught))
}

#[test]
fn every_interleaving_keeps_the_promises() {
    let caught = thread::scope(|scope| {
        let part =
            |n| scope.spawn(move || first_caught(Rules::default(), (n..SEQUENCES).step_by(THREADS as usize)));
        let parts = (0..THREADS).map(part).collect::<Vec<_>>();
        parts.into_iter().find_map(|p| p.join().expect("a check does not panic"))
    });
    if let Some(bytes) = caught {
        panic!("{:?}: {:?}", check(Rules::default(), &bytes), script(&bytes));
    }
}

/// Finds the shrunk script that a relaxed rule fails and the strict rules pass.
fn counterexample(name: &str, rules: Rules) -> (Broken, Vec<Step>) {
    let bytes = first_caught(rules, 0..SEQUENCES).expect("a broken rule is caught");
    let broken = check(rules, &bytes).expect_err("the shrunk script is still caught");
    let script = script(&bytes);
    println!("{name}: {broken}: {script:?}");
    assert_eq!(run(Rules::default(), &script), Ok(()), "the strict rules pass the same script");
    (broken, script)
}

#[test]
fn taking_a_claim_over_on_a_timeout_is_caught() {
    let rules = Rules { takeover_after: Some(Duration::from_millis(500)), ..Rules::default() };
    let (broken, script) = counterexample("takeover on timeout", rules);
    assert_eq!(broken, "the key ran twice");
    assert!(script.len() <= 12, "{script:?}");
}

#[test]
fn not_run_after_a_send_is_caught() {
    let rules = Rules { not_run_after_send: true, ..Rules::default() };
    let (broken, script) = counterexample("not-run after send", rules);
    assert!(broken.contains("not-run"), "{broken}");
    assert!(script.len() <= 12, "{script:?}");
}

#[test]
fn sending_after_a_release_is_caught() {
    let rules = Rules { send_after_release: true, ..Rules::default() };
    let (broken, script) = counterexample("release then send", rules);
    assert_eq!(broken, "sent after it was given up");
    assert!(script.len() <= 12, "{script:?}");
}
