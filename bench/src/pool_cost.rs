//! Measures the time that the decisions about one call take, by the number of targets in the pool.

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

/// Number of calls measured for each pool size.
const CALLS: u64 = 1_000_000;

/// Number of calls in progress at any time.
const CONCURRENT_CALLS: u64 = 8;

/// Measure the time that the decisions about one call take with 20, 100 and 500 targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pool-cost")]
pub struct PoolCost {}

/// Prints the mean time of the decisions about one call: arrival, send, response and end.
pub fn run() {
    for targets in [20, 100, 500] {
        println!("{targets} targets: {:.3} us per call", cost_us(targets));
    }
}

fn cost_us(targets: u16) -> f64 {
    let plan = Deployment::Magnolia.plan();
    let mut spec = plan
        .services
        .iter()
        .find(|s| s.targets.len() == 20)
        .expect("the sheet has a service with 20 targets")
        .clone();
    let template = spec.targets[0].clone();
    spec.targets = (0..targets)
        .map(|number| {
            let mut target = template.clone();
            target.id = format!("target-{number:03}").parse().expect("the name is valid");
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
        if sent.len() as u64 > CONCURRENT_CALLS
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
