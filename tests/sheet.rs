//! Parser of sheets: positions of faults, the variants that spreadsheet programs export, and arbitrary bytes.

use arbutusshelf::plan::{
    IntendedAction, Plan,
    diff::describe,
    sheet::{SheetFault, parse},
    utc::parse_utc_minute,
};
use quickcheck::{Arbitrary, Gen};

/// Minimal valid sheet, to which tests append faulty lines.
const VALID_SHEET: &str = "[services]\nname,deadline_ms\nhallenplan,1000\n";

fn faults(text: &str) -> Vec<SheetFault> {
    parse(text.as_bytes()).expect_err("the sheet has faults")
}

#[test]
fn names_place_and_expectation_of_each_fault() {
    let cases = [
        ("", 1, 1, "expected at least one entry in [services]"),
        ("hallenplan\n", 1, 1, "expected a section such as [services], found \"hallenplan\""),
        ("[servces]\nname\nhallenplan\n", 1, 1, "expected one of [budgets]"),
        ("[services]\nname,deadlin_ms\nhallenplan,5\n", 2, 2, "[services] has no column \"deadlin_ms\""),
        ("[services]\ndeadline_ms\n5\n", 2, 1, "[services] needs a column \"name\""),
        ("[services]\nname\nHallenplan\n", 3, 1, "name: expected a name of a-z"),
        ("[services]\nname\nhallenplan\nhallenplan\n", 4, 1, "hallenplan is listed twice"),
        ("[services]\nname,retry_budget\nhallenplan,1.5\n", 3, 2, "expected a number from 0 to 1, found 1.5"),
        (
            "[services]\nname,retry_budget\nhallenplan,NaN\n",
            3,
            2,
            "retry_budget: expected a number from 0 to 1",
        ),
        ("[budgets]\nname,value\nmax_instance,3\n", 3, 1, "name: expected max_instances"),
        ("[intentions]\nat,action,subject\n2026-02-30T10:00Z,leave,a\n", 3, 1, "at: expected now or a time"),
        (
            "[intentions]\nat,action,subject\nnow,explode,a\n",
            3,
            2,
            "action: expected leave, drain, return or crest",
        ),
        (
            "[routes]\nservice,method,path_prefix,kind\nhallenplan,GET,/other,once\n",
            3,
            3,
            "expected /SERVICE/",
        ),
        (
            "[routes]\nservice,method,path_prefix,kind\nhallenplan,GET,/hallenplan,once\n",
            3,
            4,
            "kind: expected",
        ),
    ];
    for (text, line, column, message) in cases {
        let found = faults(text);
        let is_reported =
            found.iter().any(|f| (f.line, f.column) == (line, column) && f.message.contains(message));
        assert!(is_reported, "{text:?}: {found:?}");
    }
}

#[test]
fn entries_below_a_faulty_section_give_no_further_faults() {
    assert_eq!(faults(&format!("{VALID_SHEET}[tragets]\nservice,id\nhallenplan,a\nhallenplan,b\n")).len(), 1);
}

#[test]
fn a_reference_may_stand_before_its_entry() {
    let text = "[routes]\nservice,method,path_prefix,kind\nhallenplan,GET,/hallenplan,idempotent\n[services]\nname\n\
                hallenplan\n";
    let plan = parse(text.as_bytes()).expect("the sheet has no faults");
    assert_eq!(plan.services[0].routes.len(), 1);
}

#[test]
fn quoted_cells_and_blank_lines_are_accepted() {
    let text = "\n\"[services]\",\n\n\"name\" , deadline_ms\n , \n\"hallenplan\",\" 1000 \"\n\n";
    let plan = parse(text.as_bytes()).expect("the sheet has no faults");
    assert_eq!(plan.services[0].deadline_ms, 1_000);
}

#[test]
fn times_follow_the_calendar() {
    let cases = [
        ("1970-01-01T00:00Z", Some(0)),
        ("2000-02-29T12:30Z", Some(951_827_400)),
        ("2026-12-04T17:30Z", Some(1_796_405_400)),
        ("2100-03-01T00:00Z", Some(4_107_542_400)),
        ("2100-02-29T00:00Z", None),
        ("2026-13-01T00:00Z", None),
        ("2026-00-01T00:00Z", None),
        ("2026-12-04T24:00Z", None),
        ("2026-12-04 17:30Z", None),
        ("2026-12-04T17:30", None),
        ("2026-1é-04T17:3Z", None),
    ];
    for (text, expected) in cases {
        assert_eq!(parse_utc_minute(text), expected, "{text}");
    }
}

#[test]
fn arbitrary_bytes_never_panic() {
    let shipped = include_bytes!("../examples/kremsau.csv");
    for seed in 0..300 {
        let mut g = Gen::from_size_and_seed(400, seed);
        let _faulty_or_not = parse(&Vec::<u8>::arbitrary(&mut g));
        let mut mutated = shipped.to_vec();
        for _ in 0..20 {
            let at = usize::arbitrary(&mut g) % mutated.len();
            mutated[at] = u8::arbitrary(&mut g);
        }
        let _faulty_or_not = parse(&mutated);
    }
}

#[test]
fn differences_name_what_changed() {
    let old = parse(include_bytes!("../examples/kremsau.csv")).expect("the shipped sheet has no faults");
    let mut new = old.clone();
    new.services[0].targets[0].slots = 4;
    new.services[1].deadline_ms += 1;
    let removed = new.instances.remove(0).id;
    new.intentions
        .push(arbutusshelf::plan::Intention { at_unix_s: 0, action: IntendedAction::Leave(removed.clone()) });
    let lines = describe(&old, &new);
    let target = format!("~ target {}/{}", old.services[0].name, old.services[0].targets[0].id);
    let expected = [format!("- instance {removed}"), format!("~ service {}", old.services[1].name), target];
    for line in &expected {
        assert!(lines.contains(line), "{line} is missing in {lines:?}");
    }
    assert_eq!(lines.len(), 4, "{lines:?}");
    assert_eq!(describe(&Plan::default(), &Plan::default()), Vec::<String>::new());
}
