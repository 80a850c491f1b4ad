//! Parser of sheets: the CSV format in which operators write plans, usually exported from a spreadsheet.
//!
//! A line whose first cell is a section name in brackets starts a section. The next line names the section's
//! columns in any order, and every further line is one entry. Byte order marks, semicolons as separators,
//! quoted cells, blank lines and empty trailing columns are accepted. The parser reports all faults (syntax
//! errors and invalid values) of a sheet at once.

use std::{fmt, net::SocketAddr, str::FromStr};

use derive_more::Display;
use serde::Serialize;

use super::{
    Budgets, InstanceSpec, IntendedAction, Intention, Objective, Plan, Priority, RequestKind, RouteSpec,
    ServiceSpec, TargetSpec, utc::parse_utc_minute,
};
use crate::{
    collections::{HashMap, HashSet},
    units::{DataCentre, InstanceId, ServiceName, TargetId},
};

/// One fault of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SheetFault {
    /// Line number in the sheet, from 1.
    pub line: u64,
    /// Column number in the sheet, from 1.
    pub column: usize,
    /// Description of what was expected and what was found.
    pub message: String,
}

impl fmt::Display for SheetFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}: {}", self.line, self.column, self.message)
    }
}

/// Section of a sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "lowercase")]
enum Section {
    Budgets,
    Instances,
    Services,
    Targets,
    Routes,
    Intentions,
}

impl Section {
    const ALL: [Self; 6] =
        [Self::Budgets, Self::Instances, Self::Services, Self::Targets, Self::Routes, Self::Intentions];

    /// Parses a section name in brackets.
    fn from_cell(cell: &str) -> Option<Self> {
        let name = cell.strip_prefix('[')?.strip_suffix(']')?;
        Self::ALL.into_iter().find(|s| s.to_string() == name.trim())
    }

    /// Returns the names of the section's columns, and whether each must be present and filled in.
    fn columns(self) -> &'static [(&'static str, bool)] {
        match self {
            Self::Budgets => &[("name", true), ("value", true)],
            Self::Instances => &[("id", true), ("data_centre", true)],
            Self::Services => &[
                ("name", true),
                ("deadline_ms", false),
                ("retry_budget", false),
                ("queue_limit", false),
                ("retention_h", false),
                ("refusal_means_not_run", false),
                ("useful_share", false),
                ("latency_ms", false),
                ("window_days", false),
            ],
            Self::Targets => &[
                ("service", true),
                ("id", true),
                ("address", true),
                ("data_centre", true),
                ("slots", true),
                ("max_connections", true),
            ],
            Self::Routes => &[
                ("service", true),
                ("method", true),
                ("path_prefix", true),
                ("kind", true),
                ("priority", false),
            ],
            Self::Intentions => &[("at", true), ("action", true), ("subject", true), ("factor", false)],
        }
    }
}

/// One line of the sheet that is not blank.
struct Line {
    /// Line number in the sheet, from 1.
    number: u64,
    /// Cells without empty trailing ones; at least one.
    cells: Vec<String>,
}

/// Maps the names of a section's columns to their indexes in a line.
type Columns = HashMap<&'static str, usize>;

/// Description of a column that the parser accepts. In the section of budgets, each budget counts as a
/// column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetColumn {
    /// Name of the section, without brackets.
    pub section: String,
    /// Name of the column or budget.
    pub column: String,
    /// Whether the column must be present and its cells filled in.
    pub required: bool,
    /// Smallest and largest value; absent for columns that are not numbers.
    pub range: Option<(String, String)>,
    /// Value of an empty cell; absent for required columns and columns that are not numbers.
    pub default: Option<String>,
}

/// Returns every column of every section.
///
/// Ranges and defaults come from the parser itself: it reads an empty entry of each section and records the
/// numbers that it requests.
pub fn columns() -> Vec<SheetColumn> {
    let mut reader = SheetReader { number_columns: Some(Vec::new()), ..SheetReader::default() };
    for section in Section::ALL {
        let names = section.columns().iter().map(|(name, _)| *name);
        reader.columns = names.clone().zip(0..).collect();
        // The parser requests every number of an empty entry. Of the actions, only `crest`, an expected peak
        // of demand, has a number.
        let cells = names.map(|name| if name == "action" { "crest".to_owned() } else { String::new() });
        let line = Line { number: 0, cells: cells.collect() };
        match section {
            Section::Budgets => BUDGETS.iter().for_each(|name| {
                reader.read_entry(section, &Line { number: 0, cells: vec![(*name).to_owned()] });
            }),
            _ => reader.read_entry(section, &line),
        }
    }
    let number_columns = reader.number_columns.unwrap_or_default();
    Section::ALL.into_iter().flat_map(|section| section_columns(section, &number_columns)).collect()
}

fn section_columns(section: Section, number_columns: &[NumberColumn]) -> Vec<SheetColumn> {
    let names = match section {
        Section::Budgets => BUDGETS.iter().map(|name| (*name, false)).collect(),
        _ => section.columns().to_vec(),
    };
    let describe = |(column, required): (&str, bool)| {
        let number = number_columns.iter().find(|n| n.section == section && n.column == column);
        SheetColumn {
            section: section.to_string(),
            column: column.to_owned(),
            required,
            range: number.map(|n| (n.min.clone(), n.max.clone())),
            default: number.and_then(|n| n.default.clone()),
        }
    };
    names.into_iter().map(describe).collect()
}

/// Names of the budgets, which are the values of the column `name` in the section of budgets.
const BUDGETS: [&str; 5] = [
    "max_instances",
    "probes_per_target_per_s",
    "store_writes_per_s",
    "store_reads_per_s",
    "control_bytes_per_s",
];

fn budget_names() -> String {
    let (last, others) = BUDGETS.split_last().expect("there are budgets");
    format!("{} or {last}", others.join(", "))
}

/// Range and default of a numeric column or budget.
struct NumberColumn {
    section: Section,
    column: String,
    min: String,
    max: String,
    default: Option<String>,
}

/// One entry of a section, whose cells are parsed one by one.
struct Entry<'a> {
    section: Section,
    line: &'a Line,
    columns: &'a Columns,
    faults: &'a mut Vec<SheetFault>,
    /// Numeric columns that were requested; only set by [`columns`].
    number_columns: Option<&'a mut Vec<NumberColumn>>,
}

impl Entry<'_> {
    /// Returns the text of a cell; empty if the entry has no such cell.
    fn cell(&self, column: &str) -> &str {
        let index = self.columns.get(column);
        index.and_then(|i| self.line.cells.get(*i)).map_or("", String::as_str)
    }

    /// Adds a fault at a cell of this entry.
    fn fault(&mut self, column: &str, message: String) {
        let index = self.columns.get(column).copied().unwrap_or(0);
        self.faults.push(SheetFault { line: self.line.number, column: index + 1, message });
    }

    /// Parses a cell; adds a fault that states what was `expected` if that fails.
    fn parse<T: FromStr>(&mut self, column: &str, expected: &str) -> Option<T> {
        let cell = self.cell(column).to_owned();
        let parsed = cell.parse().ok();
        if parsed.is_none() {
            self.fault(column, format!("{column}: expected {expected}, found {cell:?}"));
        }
        parsed
    }

    /// Parses a number between `min` and `max`; an empty cell has the value `default` if there is one.
    fn ranged<T>(&mut self, column: &str, default: Option<T>, min: T, max: T) -> Option<T>
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
    {
        self.record_number_column(column, default, min, max);
        if self.cell(column).is_empty() && default.is_some() {
            return default;
        }
        let expected = format!("a number from {min} to {max}");
        let value = self.parse::<T>(column, &expected)?;
        // This form of the comparison also rejects NaN.
        if !(min..=max).contains(&value) {
            self.fault(column, format!("{column}: expected {expected}, found {value}"));
            return None;
        }
        Some(value)
    }

    /// Records the range and default of a numeric column for [`columns`].
    fn record_number_column<T: fmt::Display>(&mut self, column: &str, default: Option<T>, min: T, max: T) {
        // The value of a budget is recorded under the budget's name.
        let name = if self.section == Section::Budgets { self.cell("name") } else { column }.to_owned();
        let section = self.section;
        let default = default.map(|d| d.to_string());
        if let Some(number_columns) = &mut self.number_columns {
            number_columns.push(NumberColumn {
                section,
                column: name,
                min: min.to_string(),
                max: max.to_string(),
                default,
            });
        }
    }
}

/// Parses a sheet into a plan without version and change id.
///
/// # Errors
///
/// All faults of the sheet, sorted by line and column.
pub fn parse(text: &[u8]) -> Result<Plan, Vec<SheetFault>> {
    let mut reader = SheetReader::default();
    let lines = read_lines(text, &mut reader.faults);
    for line in &lines {
        reader.read_line(line);
    }
    reader.check_references();
    reader.finish()
}

/// Splits a sheet into its lines and cells; adds a fault for each line that is not valid CSV in UTF-8.
fn read_lines(text: &[u8], faults: &mut Vec<SheetFault>) -> Vec<Line> {
    let text = text.strip_prefix(b"\xef\xbb\xbf").unwrap_or(text);
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .delimiter(delimiter(text))
        .from_reader(text);
    let mut lines = Vec::new();
    for record in reader.records() {
        match record {
            Ok(record) => {
                let number = record.position().map_or(0, csv::Position::line);
                let mut cells = record.iter().map(str::to_owned).collect::<Vec<_>>();
                let filled = cells.iter().rposition(|c| !c.is_empty()).map_or(0, |last| last + 1);
                cells.truncate(filled);
                if !cells.is_empty() {
                    lines.push(Line { number, cells });
                }
            }
            Err(e) => {
                let number = e.position().map_or(0, csv::Position::line);
                faults.push(SheetFault {
                    line: number,
                    column: 1,
                    message: "expected UTF-8 text".to_owned(),
                });
            }
        }
    }
    lines
}

/// Returns the separator of cells: the more frequent of comma and semicolon, since spreadsheet programs
/// export semicolons in some locales.
fn delimiter(text: &[u8]) -> u8 {
    let count = |delimiter| text.split(|b| *b == delimiter).count();
    if count(b';') > count(b',') { b';' } else { b',' }
}

/// Cell that refers to an entry of another section by name, with its position for a fault.
struct Reference {
    line: u64,
    column: usize,
    /// Section that must contain the name.
    target_section: Section,
    name: String,
}

/// State of the parser: the current section and the entries and faults so far.
#[derive(Default)]
struct SheetReader {
    section: Option<Section>,
    /// Whether the latest line in brackets named an unknown section.
    section_unknown: bool,
    /// Columns of the current section; empty until the line that names them has been read.
    columns: Columns,
    columns_read: bool,
    budgets: Budgets,
    instances: Vec<InstanceSpec>,
    services: Vec<ServiceSpec>,
    targets: Vec<(ServiceName, TargetSpec)>,
    routes: Vec<(ServiceName, RouteSpec)>,
    intentions: Vec<Intention>,
    /// Names of the entries so far, with their sections.
    names: HashSet<(Section, String)>,
    references: Vec<Reference>,
    faults: Vec<SheetFault>,
    /// Numeric columns that were requested; only set by [`columns`].
    number_columns: Option<Vec<NumberColumn>>,
}

impl SheetReader {
    fn read_line(&mut self, line: &Line) {
        let first = line.cells[0].as_str();
        if first.starts_with('[') {
            self.start_section(line, first);
            return;
        }
        let Some(section) = self.section else {
            // Entries of an unknown section are skipped, since the line that names the section has a fault
            // already.
            if !self.section_unknown {
                let message = format!("expected a section such as [services], found {first:?}");
                self.faults.push(SheetFault { line: line.number, column: 1, message });
            }
            return;
        };
        if self.columns_read {
            self.read_entry(section, line);
        } else {
            self.read_columns(section, line);
        }
    }

    fn start_section(&mut self, line: &Line, cell: &str) {
        self.section = Section::from_cell(cell);
        self.columns.clear();
        self.columns_read = false;
        self.section_unknown = self.section.is_none();
        if self.section_unknown {
            let known = Section::ALL.map(|s| format!("[{s}]")).join(", ");
            let message = format!("expected one of {known}, found {cell:?}");
            self.faults.push(SheetFault { line: line.number, column: 1, message });
        }
    }

    fn read_columns(&mut self, section: Section, line: &Line) {
        self.columns_read = true;
        for (index, cell) in line.cells.iter().enumerate() {
            match section.columns().iter().find(|(name, _)| name == cell) {
                Some((name, _)) => {
                    self.columns.insert(name, index);
                }
                None if cell.is_empty() => {}
                None => self.faults.push(SheetFault {
                    line: line.number,
                    column: index + 1,
                    message: format!("[{section}] has no column {cell:?}"),
                }),
            }
        }
        for (name, required) in section.columns() {
            if *required && !self.columns.contains_key(name) {
                let message = format!("[{section}] needs a column {name:?}");
                self.faults.push(SheetFault { line: line.number, column: 1, message });
            }
        }
    }

    fn read_entry(&mut self, section: Section, line: &Line) {
        let columns = std::mem::take(&mut self.columns);
        let mut faults = std::mem::take(&mut self.faults);
        let mut number_columns = self.number_columns.take();
        let entry = &mut Entry {
            section,
            line,
            columns: &columns,
            faults: &mut faults,
            number_columns: number_columns.as_mut(),
        };
        match section {
            Section::Budgets => self.read_budget(entry),
            Section::Instances => self.read_instance(entry),
            Section::Services => self.read_service(entry),
            Section::Targets => self.read_target(entry),
            Section::Routes => self.read_route(entry),
            Section::Intentions => self.read_intention(entry),
        }
        self.columns = columns;
        self.faults = faults;
        self.number_columns = number_columns;
    }

    /// Parses and records the name of an entry; adds a fault if the section has the name already.
    fn parse_unique_name<T: FromStr + fmt::Display>(
        &mut self,
        entry: &mut Entry<'_>,
        section: Section,
        column: &str,
    ) -> Option<T> {
        let name = entry.parse::<T>(column, "a name of a-z, 0-9, '-', '_' and '.'")?;
        if !self.names.insert((section, name.to_string())) {
            entry.fault(column, format!("{column}: {name} is listed twice in [{section}]"));
        }
        Some(name)
    }

    /// Parses the name of an entry in another section, which [`SheetReader::check_references`] checks later.
    fn parse_reference<T: FromStr + fmt::Display>(
        &mut self,
        entry: &mut Entry<'_>,
        target_section: Section,
        column: &str,
    ) -> Option<T> {
        let name = entry.parse::<T>(column, "a name of a-z, 0-9, '-', '_' and '.'")?;
        let index = entry.columns.get(column).copied().unwrap_or(0);
        let line = entry.line.number;
        self.references.push(Reference { line, column: index + 1, target_section, name: name.to_string() });
        Some(name)
    }

    fn read_budget(&mut self, entry: &mut Entry<'_>) {
        let name = entry.cell("name").to_owned();
        let budgets = &mut self.budgets;
        match name.as_str() {
            "max_instances" => set_if_some(&mut budgets.max_instances, entry.ranged("value", None, 1, 1_000)),
            "probes_per_target_per_s" => {
                set_if_some(&mut budgets.probes_per_target_per_s, entry.ranged("value", None, 0.0, 1_000.0));
            }
            "store_writes_per_s" => {
                set_if_some(&mut budgets.store_writes_per_s, entry.ranged("value", None, 1, 1_000_000));
            }
            "store_reads_per_s" => {
                set_if_some(&mut budgets.store_reads_per_s, entry.ranged("value", None, 1, 1_000_000));
            }
            "control_bytes_per_s" => {
                set_if_some(
                    &mut budgets.control_bytes_per_s,
                    entry.ranged("value", None, 1_000, 1_000_000_000),
                );
            }
            _ => entry.fault("name", format!("name: expected {}, found {name:?}", budget_names())),
        }
    }

    fn read_instance(&mut self, entry: &mut Entry<'_>) {
        let id = self.parse_unique_name::<InstanceId>(entry, Section::Instances, "id");
        let data_centre = entry.parse::<DataCentre>("data_centre", "a name");
        if let (Some(id), Some(data_centre)) = (id, data_centre) {
            self.instances.push(InstanceSpec { id, data_centre });
        }
    }

    fn read_service(&mut self, entry: &mut Entry<'_>) {
        let name = self.parse_unique_name::<ServiceName>(entry, Section::Services, "name");
        let deadline_ms = entry.ranged("deadline_ms", Some(2_000), 1, 3_600_000);
        let retry_budget = entry.ranged("retry_budget", Some(0.1), 0.0, 1.0);
        let queue_limit = entry.ranged("queue_limit", Some(200), 0, 1_000_000);
        let retention_h = entry.ranged("retention_h", Some(72), 1, 8_760);
        let refusal_means_not_run = entry.ranged("refusal_means_not_run", Some(0_u8), 0, 1).map(|v| v == 1);
        let useful_share = entry.ranged("useful_share", Some(0.999), 0.0, 1.0);
        let latency_ms = entry.ranged("latency_ms", Some(100), 1, 3_600_000);
        let window_days = entry.ranged("window_days", Some(28), 1, 366);
        let spec = || {
            Some(ServiceSpec {
                name: name?,
                deadline_ms: deadline_ms?,
                retry_budget: retry_budget?,
                queue_limit: queue_limit?,
                retention_h: retention_h?,
                refusal_means_not_run: refusal_means_not_run?,
                objective: Objective {
                    useful_share: useful_share?,
                    latency_ms: latency_ms?,
                    window_days: window_days?,
                },
                targets: Vec::new(),
                routes: Vec::new(),
            })
        };
        self.services.extend(spec());
    }

    fn read_target(&mut self, entry: &mut Entry<'_>) {
        let service = self.parse_reference::<ServiceName>(entry, Section::Services, "service");
        let id = self.parse_unique_name::<TargetId>(entry, Section::Targets, "id");
        let address = entry.parse::<SocketAddr>("address", "an IP address and port such as 10.0.0.7:8080");
        let data_centre = entry.parse::<DataCentre>("data_centre", "a name");
        let slots = entry.ranged("slots", None, 1, 10_000);
        let max_connections = entry.ranged("max_connections", None, 1, 1_000_000);
        let spec = || {
            let target = TargetSpec {
                id: id?,
                address: address?,
                data_centre: data_centre?,
                slots: slots?,
                max_connections: max_connections?,
            };
            Some((service?, target))
        };
        self.targets.extend(spec());
    }

    fn read_route(&mut self, entry: &mut Entry<'_>) {
        let service = self.parse_reference::<ServiceName>(entry, Section::Services, "service");
        let method = entry.cell("method").to_owned();
        if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
            entry.fault("method", format!("method: expected an HTTP method in upper case, found {method:?}"));
        }
        let path_prefix = entry.cell("path_prefix").to_owned();
        let own_prefix = service.as_ref().map(|s| format!("/{s}"));
        if own_prefix.is_some_and(|own| !path_prefix.starts_with(&own)) {
            entry.fault("path_prefix", format!("path_prefix: expected /SERVICE/..., found {path_prefix:?}"));
        }
        let kind = entry.parse::<RequestKind>("kind", "idempotent, at-most-once or unstated");
        let priority = if entry.cell("priority").is_empty() {
            Some(Priority::Normal)
        } else {
            entry.parse::<Priority>("priority", "critical, high, normal or low")
        };
        let spec = || Some((service?, RouteSpec { method, path_prefix, kind: kind?, priority: priority? }));
        self.routes.extend(spec());
    }

    fn read_intention(&mut self, entry: &mut Entry<'_>) {
        let at = entry.cell("at").to_owned();
        let at_unix_s = if at == "now" { Some(0) } else { parse_utc_minute(&at) };
        if at_unix_s.is_none() {
            entry.fault("at", format!("at: expected now or a time such as 2026-12-04T17:30Z, found {at:?}"));
        }
        let action = entry.cell("action").to_owned();
        let action = match action.as_str() {
            "leave" => self.parse_reference(entry, Section::Instances, "subject").map(IntendedAction::Leave),
            "drain" => self.parse_reference(entry, Section::Targets, "subject").map(IntendedAction::Drain),
            "return" => self.parse_reference(entry, Section::Targets, "subject").map(IntendedAction::Return),
            "crest" => {
                let service = self.parse_reference(entry, Section::Services, "subject");
                let factor = entry.ranged("factor", None, 1.0, 100.0);
                service.zip(factor).map(|(service, factor)| IntendedAction::Crest(service, factor))
            }
            _ => {
                entry.fault(
                    "action",
                    format!("action: expected leave, drain, return or crest, found {action:?}"),
                );
                None
            }
        };
        if let (Some(at_unix_s), Some(action)) = (at_unix_s, action) {
            self.intentions.push(Intention { at_unix_s, action });
        }
    }

    /// Adds a fault for each reference to a name that its section does not contain.
    fn check_references(&mut self) {
        for reference in std::mem::take(&mut self.references) {
            let Reference { line, column, target_section, name } = reference;
            if !self.names.contains(&(target_section, name.clone())) {
                let message = format!("{name} is not listed in [{target_section}]");
                self.faults.push(SheetFault { line, column, message });
            }
        }
    }

    /// Returns the plan with its lists sorted, or all faults.
    fn finish(mut self) -> Result<Plan, Vec<SheetFault>> {
        if self.services.is_empty() && self.faults.is_empty() {
            let message = "expected at least one entry in [services]".to_owned();
            self.faults.push(SheetFault { line: 1, column: 1, message });
        }
        if !self.faults.is_empty() {
            self.faults.sort_by_key(|f| (f.line, f.column));
            return Err(self.faults);
        }
        for service in &mut self.services {
            let targets = self.targets.iter().filter(|(name, _)| *name == service.name);
            service.targets = targets.map(|(_, target)| target.clone()).collect();
            service.targets.sort_by(|a, b| a.id.cmp(&b.id));
            let routes = self.routes.iter().filter(|(name, _)| *name == service.name);
            service.routes = routes.map(|(_, route)| route.clone()).collect();
        }
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.instances.sort_by(|a, b| a.id.cmp(&b.id));
        self.intentions.sort_by_key(|i| i.at_unix_s);
        Ok(Plan {
            budgets: self.budgets,
            instances: self.instances,
            services: self.services,
            intentions: self.intentions,
            ..Plan::default()
        })
    }
}

/// Sets a field unless its cell was faulty.
fn set_if_some<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
