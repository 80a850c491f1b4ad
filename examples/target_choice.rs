//! Chooses targets without running the daemon: two load balancers share their in-flight counts.
//!
//! ```text
//! cargo run --example target_choice
//! ```

use std::time::Duration;

use arbutusshelf::{
    decide::{
        Action, Call, Event, PeerLoad, RouteKey, TargetIndex,
        pool::{Pool, PoolSettings},
    },
    plan::{Plan, Priority, RequestKind, sheet},
    units::{CallId, InstanceId, MonoTime},
};

const SHEET: &str = "\
[instances]
id,data_centre
left,here
right,here
[services]
name
search
[targets]
service,id,address,data_centre,slots,max_connections
search,a,127.0.0.1:1,here,2,10
search,b,127.0.0.1:2,here,2,10
";

/// One of the two load balancers.
struct Balancer {
    name: InstanceId,
    pool: Pool,
    actions: Vec<Action>,
}

impl Balancer {
    fn new(plan: &Plan, name: &str) -> Self {
        let name = name.parse::<InstanceId>().expect("a valid name");
        let settings = PoolSettings::of(plan, &name, "here".parse().expect("a valid name"), 1);
        Self { name, pool: Pool::new(&plan.services[0], &settings), actions: Vec::new() }
    }

    /// Processes an arriving call; returns the target it is sent to, or `None` if it has to wait.
    fn send(&mut self, now: MonoTime, id: u64) -> Option<TargetIndex> {
        let call = Call {
            id: CallId::from(id),
            route: RouteKey::UNLISTED,
            kind: RequestKind::Idempotent,
            priority: Priority::Normal,
            deadline: now + Duration::from_secs(1),
            prior_attempts: 0,
        };
        self.pool.handle(now, Event::CallArrived(call), &mut self.actions);
        self.actions.drain(..).find_map(|action| match action {
            Action::Send { target, .. } => Some(target),
            _ => None,
        })
    }

    /// Reports this load balancer's in-flight counts to the other one.
    fn share_with(&mut self, other: &mut Self, now: MonoTime) {
        let age = Duration::from_millis(1);
        let targets = self.pool.spec().targets.iter().zip(self.pool.own_in_flight());
        let loads = targets.map(|(spec, in_flight)| PeerLoad { target: spec.id.clone(), in_flight, age });
        let event = Event::PeerLoads { peer: self.name.clone(), loads: loads.collect() };
        other.pool.handle(now, event, &mut other.actions);
    }
}

fn main() {
    let plan = sheet::parse(SHEET.as_bytes()).expect("the sheet is valid");
    let (mut left, mut right) = (Balancer::new(&plan, "left"), Balancer::new(&plan, "right"));
    let mut held = [0; 2];
    for id in 0..4 {
        let now = MonoTime::from(id * 1_000);
        let (balancer, other) = if id % 2 == 0 { (&mut left, &mut right) } else { (&mut right, &mut left) };
        let target = balancer.send(now, id).expect("a slot is free");
        held[target.0] += 1;
        println!("{} sends call {id} to {}", balancer.name, balancer.pool.target(target).id);
        balancer.share_with(other, now);
    }
    assert_eq!(held, [2, 2], "four calls fill four slots, two at each target");
}
