//! Requests that take longer than usual at the target that has them, while another target would answer in time.

mod pool_env;

use std::time::Duration;

use arbutusshelf::decide::{
    hedge::{HedgeDecision, InFlightRequest, decide},
    probed_pool::ChoiceRequest,
};
use pool_env::{FIRST_CHOICE, at, pool, reading, sent_to};

/// Returns a request that arrived and was sent at time 0.
fn request() -> InFlightRequest {
    InFlightRequest {
        arrived: at(0),
        sent: at(0),
        objective: Duration::from_millis(400),
        usual_time: Duration::from_millis(100),
        overdue_after: Some(Duration::from_millis(200)),
    }
}

#[test]
fn a_hedge_goes_out_when_the_first_machine_has_turned_slow() {
    assert_eq!(decide(at(60), &request(), Some(reading(1, 5.0))), HedgeDecision::SendNow);
    assert!(matches!(decide(at(150), &request(), Some(reading(1, 1.0))), HedgeDecision::CheckAgainAt(_)));
    assert!(matches!(decide(at(60), &request(), None), HedgeDecision::CheckAgainAt(_)));
}

/// Some requests take several times as long as usual on a calm machine, and another target answers them in the
/// usual time.
#[test]
fn an_overdue_request_is_hedged_while_the_second_answer_can_be_in_time() {
    for calm_or_unknown in [Some(reading(1, 1.0)), None] {
        assert_eq!(decide(at(199), &request(), calm_or_unknown), HedgeDecision::CheckAgainAt(at(200)));
        assert_eq!(decide(at(200), &request(), calm_or_unknown), HedgeDecision::SendNow);
        assert_eq!(decide(at(300), &request(), calm_or_unknown), HedgeDecision::SendNow);
        // Too late for the objective: the hedge waits until it is missed.
        assert!(matches!(decide(at(301), &request(), calm_or_unknown), HedgeDecision::CheckAgainAt(_)));
        assert_eq!(decide(at(400), &request(), calm_or_unknown), HedgeDecision::SendNow);
    }
}

/// After a restart the usual time is not known, and hedges by an assumed one would use up the budget.
#[test]
fn nothing_is_overdue_until_usual_times_are_known() {
    let unknown = InFlightRequest { overdue_after: None, ..request() };
    assert!(matches!(decide(at(300), &unknown, Some(reading(1, 1.0))), HedgeDecision::CheckAgainAt(_)));
    let mut pool = pool(&[("a", None)], at(0));
    assert_eq!(pool.overdue_time(at(0)), None);
    for _ in 0..32 {
        pool.record_duration(Duration::from_millis(50));
    }
    let overdue = pool.overdue_time(at(0)).expect("enough durations are known");
    assert!((90..=125).contains(&overdue.as_millis()), "{overdue:?}");
}

/// A second send takes a slot from a call that waits for one.
#[test]
fn nothing_is_overdue_while_calls_wait_for_slots() {
    let mut pool = pool(&[("a", Some(reading(3, 1.0)))], at(1_000));
    for _ in 0..32 {
        pool.record_duration(Duration::from_millis(50));
    }
    assert!(pool.overdue_time(at(1_000)).is_some());
    let after_three_rounds = ChoiceRequest { probe_rounds: 3, ..FIRST_CHOICE };
    assert_eq!(sent_to(&pool.choose_target(at(1_000), &after_three_rounds)), None);
    assert_eq!(pool.overdue_time(at(1_500)), None);
    assert!(pool.overdue_time(at(2_000)).is_some());
}
