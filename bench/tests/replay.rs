//! Replays the traces of `bench/traces` and checks limits on their statistics.

use std::{path::Path, time::Duration};

use arbutusshelf_bench::{
    deployment::Deployment,
    generate,
    replay::{self, ReplaySettings, policy::Policy, stats::ReplayStats},
    trace::{Disturbance, Trace},
};

fn shipped(name: &str) -> Trace {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("traces/{name}.jsonl"));
    Trace::load(&path).expect("shipped traces are well-formed")
}

fn run(trace: &Trace, policy: Policy, deployment: Deployment, load: f64, seed: u64) -> ReplayStats {
    let settings = ReplaySettings {
        deployment,
        instances: 13,
        policy,
        seed,
        load: Some(load),
        count_age: Duration::from_millis(5),
    };
    replay::run(trace, &settings)
}

fn check_properties(stats: &ReplayStats, name: &str) {
    assert_eq!(stats.double_runs, 0, "{name}");
    assert!(stats.target_probes_per_s <= 10.0, "{name}: {}", stats.target_probes_per_s);
    assert!(stats.probes_per_s <= stats.probe_budget_per_s, "{name}");
    assert_eq!(stats.ran + stats.not_run + stats.unknown, stats.calls, "{name}");
    assert!(stats.runs_per_call <= 1.2, "{name}: {} runs per call", stats.runs_per_call);
}

#[test]
fn every_shipped_trace_keeps_the_stated_properties() {
    for name in generate::TRACE_NAMES {
        let stats = run(&shipped(name), Policy::Product, Deployment::Kremsau, 0.3, 1);
        check_properties(&stats, name);
        assert!(stats.at_most_once_success >= 0.99, "{name}: {}", stats.at_most_once_success);
    }
}

#[test]
fn the_product_is_not_below_two_choices_on_own_counts() {
    let trace = shipped("noisy");
    for load in [0.7, 0.95] {
        let p99_ms = |policy| {
            let mut all = [1, 2, 3].map(|seed| run(&trace, policy, Deployment::Kremsau, load, seed).p99_ms);
            all.sort_by(f64::total_cmp);
            all[1]
        };
        let (product, least_own) = (p99_ms(Policy::Product), p99_ms(Policy::LeastOwn));
        assert!(product <= least_own, "at {load}: {product} ms against {least_own} ms");
    }
}

#[test]
fn bookings_go_through_at_twice_the_capacity() {
    let stats = run(&shipped("recital"), Policy::Product, Deployment::Kremsau, 2.0, 1);
    check_properties(&stats, "recital");
    assert!(stats.at_most_once_success >= 0.99, "{}", stats.at_most_once_success);
}

#[test]
fn a_replay_is_the_same_each_time() {
    let trace = shipped("fast-failure");
    let once = run(&trace, Policy::Product, Deployment::Magnolia, 0.2, 4);
    assert_eq!(once, run(&trace, Policy::Product, Deployment::Magnolia, 0.2, 4));
}

#[test]
fn shipped_traces_are_what_the_generator_makes() {
    for name in generate::TRACE_NAMES {
        let generated = generate::generate(name, 1, 500.0, 4.0).expect("the name is known");
        assert_eq!(shipped(name), generated, "{name}");
        assert_eq!(Trace::parse(&generated.to_text()).expect("the trace is well-formed"), generated);
    }
}

#[test]
fn faults_of_a_trace_are_named_by_line() {
    let table = [
        ("{}", "trace line 1"),
        ("\n{\"time_us\":1}", "trace line 2"),
        (
            "{\"time_us\":1,\"service\":\"a\",\"target\":0,\"for_us\":1,\"disturbance\":\"asleep\"}",
            "trace line 1",
        ),
        ("not JSON", "trace line 1"),
    ];
    for (text, expected) in table {
        let error = Trace::parse(text).expect_err("the line is malformed");
        assert!(error.message.contains(expected), "{}", error.message);
    }
    let line = "{\"time_us\":1,\"service\":\"a\",\"target\":0,\"for_us\":1,\"disturbance\":{\"slow\":10.0}}";
    let trace = Trace::parse(line).expect("the trace is well-formed");
    assert_eq!(trace.disturbances[0].disturbance, Disturbance::Slow(10.0));
}
