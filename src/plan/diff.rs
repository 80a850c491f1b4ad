//! What changes between two plans, in words for operators.

use super::Plan;
use crate::collections::HashMap;

/// Positions of entries by name.
type Positions = HashMap<String, usize>;

/// Lists what differs from `old` to `new`, one line an entry; empty when nothing does.
pub fn describe(old: &Plan, new: &Plan) -> Vec<String> {
    let mut lines = Vec::new();
    if old.budgets != new.budgets {
        lines.push(format!("~ budgets {:?} -> {:?}", old.budgets, new.budgets));
    }
    compare(&mut lines, "instance", &old.instances, &new.instances, |i| i.id.to_string());
    let head = |plan: &Plan| {
        let mut services = plan.services.clone();
        for service in &mut services {
            service.targets.clear();
        }
        services
    };
    compare(&mut lines, "service", &head(old), &head(new), |s| s.name.to_string());
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

fn compare<T: PartialEq>(
    lines: &mut Vec<String>,
    what: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> String,
) {
    let by_name = |items: &'_ [T]| items.iter().enumerate().map(|(i, item)| (name(item), i)).collect();
    let (old_by_name, new_by_name): (Positions, Positions) = (by_name(old), by_name(new));
    for item in old {
        let name = name(item);
        if !new_by_name.contains_key(&name) {
            lines.push(format!("- {what} {name}"));
        }
    }
    for item in new {
        let name = name(item);
        match old_by_name.get(&name).map(|i| &old[*i]) {
            None => lines.push(format!("+ {what} {name}")),
            Some(before) if before != item => lines.push(format!("~ {what} {name}")),
            Some(_) => {}
        }
    }
}
