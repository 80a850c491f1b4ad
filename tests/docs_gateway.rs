//! Compares the documentation of the gateway's settings, metrics and log events with the code.

use std::{collections::BTreeSet, fs, path::Path};

use arbutusshelf::gateway::config::Config;

const PAGE: &str = include_str!("../docs/GATEWAY.md");

fn section(name: &str) -> &str {
    let start = PAGE.find(&format!("## {name}")).expect("the section exists");
    let rest = &PAGE[start + 3..];
    &rest[..rest.find("\n## ").unwrap_or(rest.len())]
}

/// Returns the names in back-ticks from the first cell of each table row.
fn first_cells(section: &str) -> BTreeSet<String> {
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.filter_map(|row| row.split('|').nth(1));
    cells.flat_map(|cell| cell.split('`').skip(1).step_by(2).map(str::to_owned).collect::<Vec<_>>()).collect()
}

fn sources(folder: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let files = fs::read_dir(path).expect("the folder exists");
    files.map(|file| fs::read_to_string(file.expect("a file").path()).expect("it is text")).collect()
}

#[test]
fn the_page_lists_every_setting() {
    let error = Config::parse(b"{\"no_such_field\": 1}").expect_err("it is unknown").message;
    let expected = error.split_once("expected one of").expect("the error lists all fields").1;
    let fields = expected.split('`').skip(1).step_by(2).map(str::to_owned).collect::<BTreeSet<_>>();
    assert_eq!(first_cells(section("Settings")), fields);
}

#[test]
fn the_pages_name_only_events_that_are_logged() {
    let code = sources("src/gateway") + &sources("src/logging");
    for event in first_cells(section("Log events")) {
        assert!(code.contains(&format!("event={event}")), "{event}");
    }
    let operations = include_str!("../docs/OPERATIONS.md");
    let quoted = operations.split("event=").skip(1).filter_map(|text| text.split([' ', '`', '\n']).next());
    for event in quoted.filter(|event| event.starts_with("request") || event.starts_with("send")) {
        assert!(code.contains(&format!("event={event}")), "{event}");
    }
    for field in ["after_ms=", "reading_age_ms=", "pace=", "rounds=", "took_ms=", "in_objective=", "outcome="]
    {
        assert!(code.contains(field) && operations.contains(field), "{field}");
    }
}

#[test]
fn the_page_lists_every_metric() {
    let code = sources("src/gateway");
    let registered = code.split("r.register").skip(1).filter_map(|text| text.split('"').nth(1));
    let registered = registered.map(str::to_owned).collect::<BTreeSet<_>>();
    let listed = first_cells(section("Metrics"));
    let without_unit =
        |name: &String| name.trim_end_matches("_seconds").trim_end_matches("_bytes").to_owned();
    let listed = listed.iter().map(without_unit).collect::<BTreeSet<_>>();
    assert_eq!(listed, registered);
}
