//! A short randomized soak: instances run as processes against stand-ins while injected faults disturb them.

use arbutusshelf_bench::soak::{self, Args};

/// Seeds of each run, with the number of unused routes, and why each is included. Seeds that once failed are kept here.
const SEEDS: [(u64, usize, &str); 4] = [
    (7, 0, "initial seed"),
    (1200, 0, "requests that end their workers were sent on as long as they came"),
    (9101, 0, "charges that had run were answered with the 429 or 503 of their targets"),
    (5302, 300, "a manifest that grows, changes in storms and is invalid at times, and a loss of all power"),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_through_seeded_disturbances() {
    for (seed, routes, reason) in SEEDS {
        let args = Args {
            seed,
            seeds: 1,
            minutes: 0.1,
            instances: 4,
            workers: 6,
            callers: 8,
            routes,
            logs: std::env::temp_dir().join(format!("arbutusshelf-soak-test-{}", std::process::id())),
            binary: vec![env!("CARGO_BIN_EXE_arbutusshelf").into()],
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
