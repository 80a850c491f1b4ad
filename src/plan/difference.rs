//! What changes between two plans, in words for operators.

use std::fmt::Debug;

use super::Plan;

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

fn compare<T: PartialEq + Debug>(
    lines: &mut Vec<String>,
    what: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> String,
) {
    for item in old {
        if !new.iter().any(|n| name(n) == name(item)) {
            lines.push(format!("- {what} {}", name(item)));
        }
    }
    for item in new {
        match old.iter().find(|o| name(o) == name(item)) {
            None => lines.push(format!("+ {what} {}", name(item))),
            Some(before) if before != item => lines.push(format!("~ {what} {}", name(item))),
            Some(_) => {}
        }
    }
}
