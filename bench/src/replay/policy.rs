//! Policies that a replay compares.

use arbutusshelf::{
    collections::HashMap,
    decide::{Action, Attempt, Event, TargetIndex, pool::Pool},
    units::{CallId, MonoTime},
};
use derive_more::{Display, FromStr};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Policy {
    /// Any target.
    Random,
    /// Targets in turn, each instance from a position of its own.
    RoundRobin,
    /// The one of two with fewer own requests in flight.
    LeastOwn,
    /// The decisions of the product.
    Product,
    /// One queue with perfect knowledge of who is free and slow now.
    Omniscient,
}

impl Policy {
    /// All policies in the order of the tables.
    pub const ALL: [Self; 5] =
        [Self::Random, Self::RoundRobin, Self::LeastOwn, Self::Product, Self::Omniscient];
}

/// A policy that sends at once and once.
#[derive(Debug)]
pub struct BaselineBalancer {
    policy: Policy,
    in_flight: Vec<u32>,
    next: usize,
    sent: HashMap<CallId, usize>,
    rng: SmallRng,
}

impl BaselineBalancer {
    /// Creates a chooser over a number of targets.
    pub fn new(policy: Policy, targets: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let next = rng.random_range(0..targets.max(1));
        Self { policy, in_flight: vec![0; targets], next, sent: HashMap::default(), rng }
    }

    fn choose(&mut self) -> usize {
        let targets = self.in_flight.len();
        let first = self.rng.random_range(0..targets);
        match self.policy {
            Policy::RoundRobin => {
                self.next = (self.next + 1) % targets;
                self.next
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
                self.sent.insert(call.id, target);
                actions.push(Action::Send {
                    call: call.id,
                    attempt: Attempt(0),
                    target: TargetIndex(target),
                });
            }
            Event::AttemptEnded { call, attempt, end } => {
                let Some(target) = self.sent.remove(call) else { return };
                self.in_flight[target] -= 1;
                if let Some(action) = Action::final_for(*call, *attempt, *end) {
                    actions.push(action);
                }
            }
            _ => {}
        }
    }
}

/// What decides for one service at one instance.
#[derive(Debug)]
pub enum Balancer {
    /// A comparison policy.
    Plain(BaselineBalancer),
    /// The product's pool.
    Product(Box<Pool>),
}

impl Balancer {
    /// Takes an event and adds the actions that follow.
    pub fn handle(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match self {
            Self::Plain(balancer) => balancer.handle(&event, actions),
            Self::Product(pool) => pool.handle(now, event, actions),
        }
    }

    /// Returns when a tick is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        match self {
            Self::Plain(_) => None,
            Self::Product(pool) => pool.next_wake(),
        }
    }
}
