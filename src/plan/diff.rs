//! Differences between two plans, as text lines for operators.

use super::Plan;
use crate::collections::HashMap;

/// Maps the names of a list's entries to their positions.
type Positions = HashMap<String, usize>;

/// Lists the differences from `old` to `new`, one line for each entry; empty if the plans are equal.
///
/// A line starts with `+` for an added, `-` for a removed and `~` for a changed entry.
pub fn describe(old: &Plan, new: &Plan) -> Vec<String> {
    let mut lines = Vec::new();
    if old.budgets != new.budgets {
        lines.push(format!("~ budgets {:?} -> {:?}", old.budgets, new.budgets));
    }
    compare(&mut lines, "instance", &old.instances, &new.instances, |i| i.id.to_string());
    let without_targets = |plan: &Plan| {
        let mut services = plan.services.clone();
        for service in &mut services {
            service.targets.clear();
        }
        services
    };
    compare(&mut lines, "service", &without_targets(old), &without_targets(new), |s| s.name.to_string());
    let targets = |plan: &Plan| {
        let of_service =
            |s: &super::ServiceSpec| s.targets.iter().map(|t| (s.name.clone(), t.clone())).collect();
        plan.services.iter().flat_map(|s| -> Vec<_> { of_service(s) }).collect::<Vec<_>>()
    };
    compare(&mut lines, "target", &targets(old), &targets(new), |(service, t)| format!("{service}/{}", t.id));
    if old.intentions != new.intentions {
        lines.push(format!("~ intentions {} -> {}", old.intentions.len(), new.intentions.len()));
    }
    lines
}

/// Appends a line for each entry that was removed, added or changed; `name` returns an entry's unique name.
fn compare<T: PartialEq>(
    lines: &mut Vec<String>,
    entry_type: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> String,
) {
    let by_name = |items: &'_ [T]| items.iter().enumerate().map(|(i, item)| (name(item), i)).collect();
    let (old_by_name, new_by_name): (Positions, Positions) = (by_name(old), by_name(new));
    for item in old {
        let name = name(item);
        if !new_by_name.contains_key(&name) {
            lines.push(format!("- {entry_type} {name}"));
        }
    }
    for item in new {
        let name = name(item);
        match old_by_name.get(&name).map(|i| &old[*i]) {
            None => lines.push(format!("+ {entry_type} {name}")),
            Some(before) if before != item => lines.push(format!("~ {entry_type} {name}")),
            Some(_) => {}
        }
    }
}
