//! Processor time of one call's decisions, by pool size.

use std::time::{Duration, Instant};

use arbutusshelf::{
    decide::{
        Action, AttemptEnd, Call, Event, RouteKey,
        pool::{Pool, PoolSettings},
    },
    plan::{Priority, RequestKind},
    units::{CallId, MonoTime},
};
use argh::FromArgs;

use crate::deployment::Deployment;

/// Calls that are measured for each size.
const CALLS: u64 = 1_000_000;

/// Calls in progress at any moment.
const IN_PROGRESS: u64 = 8;

/// Measure the processor time of one call's decisions with 20 and 500 targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pool-cost")]
pub struct PoolCost {}

/// Prints microseconds for each call: arrival, send, answer, end.
pub fn run() {
    for targets in [20, 100, 500] {
        println!("{targets} targets: {:.3} us a call", cost_us(targets));
    }
}

fn cost_us(targets: u16) -> f64 {
    let plan = Deployment::Magnolia.plan();
    let mut spec = plan.services.iter().find(|s| s.targets.len() == 20).expect("the sheet has one").clone();
    let first = spec.targets[0].clone();
    spec.targets = (0..targets)
        .map(|number| {
            let mut target = first.clone();
            target.id = format!("target-{number:03}").parse().expect("a valid name");
            target.address.set_port(number + 1);
            target
        })
        .collect();
    let instance = plan.instances[0].clone();
    let mut pool = Pool::new(&spec, &PoolSettings::of(&plan, &instance.id, instance.data_centre, 1));
    let mut actions = Vec::new();
    let mut sent = std::collections::VecDeque::new();
    let start = Instant::now();
    let mut now = MonoTime::from(1_000_000);
    for id in 0..CALLS {
        now = now + Duration::from_micros(600);
        let call = Call {
            id: CallId::from(id),
            route: RouteKey(0),
            kind: RequestKind::Idempotent,
            priority: Priority::Normal,
            deadline: now + Duration::from_secs(1),
            prior_attempts: 0,
        };
        pool.handle(now, Event::CallArrived(call), &mut actions);
        for action in actions.drain(..) {
            if let Action::Send { call, attempt, .. } = action {
                sent.push_back((call, attempt));
            }
        }
        if sent.len() as u64 > IN_PROGRESS
            && let Some((call, attempt)) = sent.pop_front()
        {
            let report = arbutusshelf::decide::LoadReport::default();
            pool.handle(now, Event::ResponseStarted { call, attempt, report }, &mut actions);
            pool.handle(now, Event::AttemptEnded { call, attempt, end: AttemptEnd::Answered }, &mut actions);
            pool.handle(now, Event::CallClosed(call), &mut actions);
        }
    }
    start.elapsed().as_secs_f64() * 1e6 / CALLS as f64
}
