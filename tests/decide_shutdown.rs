//! Which requests an instance takes while it shuts down, and until when it sends them.

use std::time::Duration;

use arbutusshelf::{decide::shutdown::ShutdownTimes, units::MonoTime};

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Duration::from_millis(ms)
}

/// Guards against requests that are taken during a shutdown until the process ends, and cut off with it.
#[test]
fn requests_are_refused_once_the_ingress_knows_of_the_shutdown() {
    let times = ShutdownTimes::new(at(10_000), Duration::from_secs(6));
    assert!(times.takes_requests(at(12_299)));
    assert!(!times.takes_requests(at(12_300)));
    assert_eq!((times.refuse_at, times.calls_end_at), (at(12_300), at(15_400)));
    assert!(times.process_ends_at > times.calls_end_at && times.process_ends_at < at(16_000));
    // A short grace period is halved.
    assert_eq!(ShutdownTimes::new(at(0), Duration::from_secs(1)).refuse_at, at(500));
}

/// Guards against sends that start shortly before the process ends.
#[test]
fn a_call_is_sent_only_while_its_answer_can_be_expected_in_time() {
    let times = ShutdownTimes::new(at(10_000), Duration::from_secs(6));
    let usual_time = Duration::from_millis(500);
    assert_eq!(times.send_until(at(14_000), usual_time), at(14_000), "it ends by its deadline");
    assert_eq!(times.send_until(at(30_000), usual_time), at(13_900));
    assert_eq!(times.send_until(at(30_000), Duration::from_mins(1)), MonoTime::default());
}
