//! A short randomized soak: instances run as processes against stand-ins while injected faults disturb them.

use arbutusshelf_bench::soak::{self, Args};

/// Seeds of each run, and why each is included. Seeds that once failed are kept here.
const SEEDS: [(u64, &str); 2] =
    [(7, "initial seed"), (1200, "requests that end their workers were sent on as long as they came")];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_through_seeded_disturbances() {
    for (seed, reason) in SEEDS {
        let args = Args {
            seed,
            seeds: 1,
            minutes: 0.1,
            instances: 4,
            workers: 6,
            callers: 8,
            logs: std::env::temp_dir().join(format!("arbutusshelf-soak-test-{}", std::process::id())),
            binary: Some(env!("CARGO_BIN_EXE_arbutusshelf").into()),
        };
        let findings = soak::run(&args).await.expect("the deployment starts");
        let findings = findings.iter().map(ToString::to_string).collect::<Vec<_>>();
        assert!(
            findings.is_empty(),
            "seed {seed}, {reason}: {}; logs in {}",
            findings.join("; "),
            args.logs.display()
        );
    }
}
