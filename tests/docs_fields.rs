//! Checks that the documentation lists exactly the fields, ranges and defaults that the code reads.

use arbutusshelf::{plan::sheet, settings};

/// Row of a table in a Markdown page: its cells without back-ticks.
type Row = Vec<String>;

fn rows(page: &str) -> Vec<Row> {
    let table = page.lines().filter(|line| line.starts_with("| `"));
    table.map(|line| line.trim_matches('|').split('|').map(|c| c.trim().replace('`', "")).collect()).collect()
}

/// Returns the unit that the suffix of a field's name implies, if any.
fn unit(name: &str) -> Option<&'static str> {
    let suffixes = [
        ("probes_per_target_per_s", "probes a second"),
        ("writes_per_s", "writes a second"),
        ("reads_per_s", "reads a second"),
        ("lines_per_s", "lines a second"),
        ("bytes_per_s", "bytes a second"),
        ("_ms", "ms"),
        ("_bytes", "bytes"),
        ("_h", "h"),
        ("_days", "days"),
    ];
    suffixes.iter().find(|(suffix, _)| name.ends_with(suffix)).map(|(_, unit)| *unit)
}

#[test]
fn the_settings_page_lists_every_field() {
    let rows = rows(include_str!("../docs/SETTINGS.md"));
    let fields = settings::fields();
    let listed = rows.iter().map(|r| r[0].as_str()).collect::<Vec<_>>();
    assert_eq!(listed, fields.iter().map(|f| f.name.as_str()).collect::<Vec<_>>());
    for (row, field) in rows.iter().zip(&fields) {
        assert_eq!(row.len(), 5, "{row:?}");
        assert_eq!(row[3] == "required", field.required, "{row:?}");
        assert!(unit(&field.name).is_none_or(|unit| unit == row[1]), "{row:?}");
        assert!(!row[4].is_empty(), "{row:?}");
        if let Some(number) = field.number {
            assert_eq!(row[2], format!("{} to {}", number.min, number.max), "{row:?}");
            assert_eq!(row[3], number.default.to_string(), "{row:?}");
        }
    }
}

#[test]
fn the_sheet_page_lists_every_column() {
    let page = include_str!("../docs/SHEET.md");
    let sections = page.split("\n## [").skip(1).map(|part| part.split_once(']').expect("a section's name"));
    let mut listed = Vec::new();
    for (section, text) in sections {
        listed.extend(rows(text).into_iter().map(|row| (section.to_owned(), row)));
    }
    let columns = sheet::columns();
    let names = listed.iter().map(|(section, row)| (section.as_str(), row[0].as_str())).collect::<Vec<_>>();
    let expected = columns.iter().map(|c| (c.section.as_str(), c.column.as_str())).collect::<Vec<_>>();
    assert_eq!(names, expected);
    for ((_, row), column) in listed.iter().zip(&columns) {
        assert_eq!(row.len(), 5, "{row:?}");
        assert_eq!(row[3] == "required", column.required, "{row:?}");
        assert!(unit(&column.column).is_none_or(|unit| unit == row[1]), "{row:?}");
        assert!(!row[4].is_empty(), "{row:?}");
        if let Some((min, max)) = &column.range {
            assert_eq!(row[2], format!("{min} to {max}"), "{row:?}");
        }
        if let Some(default) = &column.default {
            assert_eq!(row[3], *default, "{row:?}");
        }
    }
}

#[test]
fn the_defaults_of_budgets_are_those_of_the_page() {
    let sheet = "[services]\nname\nhallenplan\n";
    let budgets = sheet::parse(sheet.as_bytes()).expect("the sheet is valid").budgets;
    let page = include_str!("../docs/SHEET.md");
    let defaults = rows(page).into_iter().take(5).map(|row| row[3].clone()).collect::<Vec<_>>();
    let expected = [
        budgets.max_instances.to_string(),
        budgets.probes_per_target_per_s.to_string(),
        budgets.store_writes_per_s.to_string(),
        budgets.store_reads_per_s.to_string(),
        budgets.control_bytes_per_s.to_string(),
    ];
    assert_eq!(defaults, expected);
}
