//! Random interleavings of claims on one key: the strict rules violate no invariant, and each relaxed rule
//! violates one that the checks detect.

mod claim_model;

use std::{thread, time::Duration};

use arbutusshelf::decide::claim::Rules;
use claim_model::{Step, Violation, run, step};
use quickcheck::{Arbitrary, Gen};

/// Number of random scripts.
const SEQUENCES: u64 = 100_000;
const THREADS: u64 = 4;
/// Maximum number of steps of a script.
const MAX_STEPS: usize = 64;

/// Encoded script; each pair is one step.
type Bytes = Vec<(u8, u8)>;

fn script(bytes: &[(u8, u8)]) -> Vec<Step> {
    bytes.iter().copied().map(step).collect()
}

fn random_bytes(seed: u64) -> Bytes {
    Bytes::arbitrary(&mut Gen::from_size_and_seed(MAX_STEPS, seed))
}

fn check(rules: Rules, bytes: &[(u8, u8)]) -> Result<(), Violation> {
    run(rules, &script(bytes))
}

/// Reduces a failing script as long as a smaller one still fails.
fn shrink(rules: Rules, mut bytes: Bytes) -> Bytes {
    while let Some(smaller) = bytes.shrink().find(|b| check(rules, b).is_err()) {
        bytes = smaller;
    }
    bytes
}

/// Returns the first failing script, reduced.
fn find_failure(rules: Rules, seeds: impl Iterator<Item = u64>) -> Option<Bytes> {
    let failing = seeds.map(random_bytes).find(|b| check(rules, b).is_err())?;
    Some(shrink(rules, failing))
}

#[test]
fn every_interleaving_keeps_the_promises() {
    let failing = thread::scope(|scope| {
        let part =
            |n| scope.spawn(move || find_failure(Rules::default(), (n..SEQUENCES).step_by(THREADS as usize)));
        let parts = (0..THREADS).map(part).collect::<Vec<_>>();
        parts.into_iter().find_map(|p| p.join().expect("a check does not panic"))
    });
    if let Some(bytes) = failing {
        panic!("{:?}: {:?}", check(Rules::default(), &bytes), script(&bytes));
    }
}

/// Finds a reduced script that fails with relaxed rules, and checks that it passes with the strict rules.
fn counterexample(name: &str, rules: Rules) -> (Violation, Vec<Step>) {
    let bytes = find_failure(rules, 0..SEQUENCES).expect("the relaxed rules are detected");
    let violation = check(rules, &bytes).expect_err("the reduced script still fails");
    let script = script(&bytes);
    println!("{name}: {violation}: {script:?}");
    assert_eq!(run(Rules::default(), &script), Ok(()), "the strict rules pass the same script");
    (violation, script)
}

#[test]
fn taking_a_claim_over_on_a_timeout_is_caught() {
    let rules = Rules { takeover_after: Some(Duration::from_millis(500)), ..Rules::default() };
    let (violation, script) = counterexample("takeover on timeout", rules);
    assert_eq!(violation, "the key ran twice");
    assert!(script.len() <= 12, "{script:?}");
}

#[test]
fn not_run_after_a_send_is_caught() {
    let rules = Rules { not_run_after_send: true, ..Rules::default() };
    let (violation, script) = counterexample("not-run after send", rules);
    assert!(violation.contains("not-run"), "{violation}");
    assert!(script.len() <= 12, "{script:?}");
}

#[test]
fn sending_after_a_release_is_caught() {
    let rules = Rules { send_after_release: true, ..Rules::default() };
    let (violation, script) = counterexample("release then send", rules);
    assert_eq!(violation, "sent after it was given up");
    assert!(script.len() <= 12, "{script:?}");
}
