//! Load-balancing policies that a replay compares.

use arbutusshelf::{
    collections::HashMap,
    decide::{Action, Attempt, Event, TargetIndex, pool::Pool},
    units::{CallId, MonoTime},
};
use derive_more::{Display, FromStr};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// How an instance chooses the target of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Policy {
    /// A random target.
    Random,
    /// The targets in turn, from a random starting point at each instance.
    RoundRobin,
    /// Of two random targets, the one to which this instance has fewer requests in flight.
    LeastOwn,
    /// The decisions of the product, see [`Pool`].
    Product,
    /// One queue for all instances, which knows without delay which targets are free and undisturbed.
    Omniscient,
}

impl Policy {
    /// All policies in the order of the table's rows.
    pub const ALL: [Self; 5] =
        [Self::Random, Self::RoundRobin, Self::LeastOwn, Self::Product, Self::Omniscient];
}

/// A baseline policy, which sends each call once, without waiting.
#[derive(Debug)]
pub struct BaselineBalancer {
    policy: Policy,
    /// Requests of this instance in flight, by target.
    in_flight: Vec<u32>,
    /// Target that [`Policy::RoundRobin`] chose last.
    last_target: usize,
    /// Target of each call in flight.
    targets_by_call: HashMap<CallId, usize>,
    rng: SmallRng,
}

impl BaselineBalancer {
    /// Creates a balancer over a number of targets.
    pub fn new(policy: Policy, targets: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let last_target = rng.random_range(0..targets.max(1));
        Self { policy, in_flight: vec![0; targets], last_target, targets_by_call: HashMap::default(), rng }
    }

    fn choose(&mut self) -> usize {
        let targets = self.in_flight.len();
        let first = self.rng.random_range(0..targets);
        match self.policy {
            Policy::RoundRobin => {
                self.last_target = (self.last_target + 1) % targets;
                self.last_target
            }
            Policy::LeastOwn => {
                let second = self.rng.random_range(0..targets);
                if self.in_flight[second] < self.in_flight[first] { second } else { first }
            }
            Policy::Random | Policy::Product | Policy::Omniscient => first,
        }
    }

    fn handle(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::CallArrived(call) => {
                let target = self.choose();
                self.in_flight[target] += 1;
                self.targets_by_call.insert(call.id, target);
                actions.push(Action::Send {
                    call: call.id,
                    attempt: Attempt(0),
                    target: TargetIndex(target),
                });
            }
            Event::AttemptEnded { call, attempt, end } => {
                let Some(target) = self.targets_by_call.remove(call) else { return };
                self.in_flight[target] -= 1;
                if let Some(action) = Action::final_for(*call, *attempt, *end) {
                    actions.push(action);
                }
            }
            _ => {}
        }
    }
}

/// The balancer of one service at one instance.
#[derive(Debug)]
pub enum Balancer {
    /// A baseline policy.
    Baseline(BaselineBalancer),
    /// The pool of the product.
    Product(Box<Pool>),
}

impl Balancer {
    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match self {
            Self::Baseline(balancer) => balancer.handle(&event, actions),
            Self::Product(pool) => pool.handle(now, event, actions),
        }
    }

    /// Returns the time at which [`Event::Tick`] is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        match self {
            Self::Baseline(_) => None,
            Self::Product(pool) => pool.next_wake(),
        }
    }
}
