//! Tests of log lines: text from outside can't forge a line or a key, and floods of lines are limited and
//! counted.

use std::time::Duration;

use arbutusshelf::{
    logging::{
        self, Quoted,
        escape::Redacted,
        limit::{DroppedLines, Limiter},
    },
    observe::request_id::RequestId,
    units::{CallId, MonoTime, RunId},
};
use log::LevelFilter;
use quickcheck::{Arbitrary, Gen};

const FORGERIES: [&str; 8] = [
    "x\nat_ms=1 level=ERROR module=a event=forged",
    "x\r\nat_ms=1 level=ERROR module=a event=forged",
    "x\u{2028}at_ms=1 level=ERROR module=a event=forged",
    "x\u{85}at_ms=1 level=ERROR module=a event=forged",
    "x\u{1b}[2K\u{1b}[1Gat_ms=1 level=ERROR module=a event=forged",
    "x\" event=forged",
    "x\\\" event=forged",
    "x\u{202e}degrof",
];

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Duration::from_millis(ms)
}

/// Returns the keys of a line, parsed with respect to quotes and escapes.
fn keys(line: &str) -> Vec<String> {
    let mut keys = Vec::new();
    let mut word = String::new();
    let (mut quoted, mut escaped) = (false, false);
    for c in line.chars().chain([' ']) {
        match c {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => quoted = !quoted,
            ' ' if !quoted => {
                let done = std::mem::take(&mut word);
                keys.extend(done.split_once('=').map(|(key, _)| key.to_owned()));
            }
            _ if !quoted => word.push(c),
            _ => {}
        }
    }
    keys
}

fn assert_one_plain_line(line: &str) {
    let body = line.strip_suffix('\n').expect("a line ends");
    let ends = |c: char| c.is_control() || ('\u{2028}'..='\u{202e}').contains(&c);
    assert!(!body.contains(ends), "{body:?}");
}

#[test]
fn quoted_text_can_neither_end_a_line_nor_add_a_key() {
    for text in FORGERIES {
        let message = format!("event=call-refused path={} cause=bad-request", Quoted(text));
        let line = logging::format_line(1, LevelFilter::Info, "arbutusshelf::proxy", &message);
        assert_one_plain_line(&line);
        assert_eq!(keys(&line), ["at_ms", "level", "module", "event", "path", "cause"], "{line:?}");
    }
}

#[test]
fn arbitrary_text_stays_one_line_even_where_nobody_quoted_it() {
    for seed in 0..500 {
        let random = &mut Gen::from_size_and_seed(300, seed);
        let text = String::arbitrary(random);
        let line = logging::format_line(1, LevelFilter::Info, "m", &format!("event=x error={text}"));
        assert_one_plain_line(&line);
        let line =
            logging::format_line(1, LevelFilter::Info, "m", &format!("event=x text={} end=1", Quoted(&text)));
        assert_eq!(keys(&line), ["at_ms", "level", "module", "event", "text", "end"], "{line:?}");
    }
    for text in FORGERIES {
        assert_one_plain_line(&logging::format_line(1, LevelFilter::Info, "m", text));
    }
}

#[test]
fn long_text_is_cut_and_keys_are_hidden() {
    let long = "a".repeat(1_000_000);
    assert!(Quoted(&long).to_string().len() <= 202);
    assert!(logging::format_line(1, LevelFilter::Info, "m", &long).len() < 5_000);
    let hidden = Redacted("claim/mietkasse/card-4711").to_string();
    assert!(!hidden.contains("4711") && hidden.starts_with("sha256:"), "{hidden}");
    assert_ne!(hidden, Redacted("claim/mietkasse/card-4712").to_string());
}

#[test]
fn a_flood_is_limited_and_what_it_lost_is_told_when_it_ends() {
    let mut limiter = Limiter::new(10);
    let mut passed = 0;
    for call in 0..100_000_u64 {
        passed += u64::from(limiter.admit(at(call / 10), "proxy", "call-refused"));
    }
    // A burst of 20 lines, then 10 lines a second for 10 s.
    assert!((119..=120).contains(&passed), "{passed} lines passed");
    assert!(limiter.admit(at(9_999), "proxy", "other-event"), "another event has its own limit");
    assert!(limiter.admit(at(9_999), "admin", "call-refused"), "another module has its own limit");
    assert_eq!(limiter.take_due_reports(at(9_999)), [], "the flood is not over");
    let due = limiter.take_due_reports(at(11_000));
    let lines = 100_000 - passed;
    assert_eq!(due, [DroppedLines { module: "proxy".to_owned(), event: "call-refused".to_owned(), lines }]);
    assert_eq!(limiter.take_due_reports(at(12_000)), [], "it is reported once");
    assert_eq!(limiter.take_dropped_total(), lines);
}

#[test]
fn a_flood_that_goes_on_is_told_every_ten_seconds() {
    let mut limiter = Limiter::new(10);
    let mut reported = 0;
    for ms in 0..60_000 {
        limiter.admit(at(ms), "proxy", "call-refused");
        reported += limiter.take_due_reports(at(ms)).len();
    }
    assert_eq!(reported, 5);
}

#[test]
fn memory_stays_bounded_whatever_events_come() {
    let mut limiter = Limiter::new(10);
    for number in 0..100_000_u64 {
        limiter.admit(
            at(number / 10),
            &format!("module-{}", number % 7),
            &"event".repeat(number as usize % 50),
        );
        limiter.admit(at(number / 10), "proxy", &format!("event-{number}"));
    }
    assert!(limiter.tracked_pairs() <= 257, "{} pairs are tracked", limiter.tracked_pairs());
}

#[test]
fn only_well_formed_identifiers_of_callers_are_taken_over() {
    let (run_id, call) = (RunId::from(0xabc), CallId::from(7));
    let id = |given: &[u8]| RequestId::new(Some(given), run_id, call).to_string();
    assert_eq!(id(b"order-2026.12_04"), "order-2026.12_04");
    let made = RequestId::for_call(run_id, call).to_string();
    let long = [b'a'; 65];
    let given: [&[u8]; 7] =
        [b"", b"short", &long, b"a b c d e f g", b"abcdefgh\n", b"abcdefgh\xe2\x80\xa8", b"abcdefgh=1"];
    for given in given {
        assert_eq!(id(given), made, "{given:?}");
    }
    assert_eq!(RequestId::parse_call(run_id, &made), Some(call));
    assert_eq!(RequestId::parse_call(RunId::from(1), &made), None);
    for seed in 0..300 {
        let given = Vec::<u8>::arbitrary(&mut Gen::from_size_and_seed(40, seed));
        let id = id(&given);
        assert!(id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b)), "{id:?}");
        assert_eq!(RequestId::parse_call(run_id, &id).is_some(), id == made);
    }
}
