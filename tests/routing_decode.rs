//! Routing tables from the store are decoded as a whole or not at all.

use arbutusshelf::platform::decode_routing;
use serde_json::{Value, json};

/// Fields that a resource may lack.
const OPTIONAL: [&str; 3] = ["metadata", "name", "priority"];

fn table() -> Value {
    let route = |name: &str, backends: Value| {
        let mut spec = json!({
            "host": "hall.example", "prefix": format!("/{name}/"), "kind": "idempotent", "priority": 1,
            "timeoutS": 2.5, "objectiveS": 0.4, "maxAttempts": 2,
        });
        spec.as_object_mut().expect("a route").extend(backends.as_object().expect("an object").clone());
        json!({"resourceKind": "routes", "metadata": {"name": name}, "spec": spec})
    };
    json!({"version": "0000000c", "resources": [
        route("one", json!({"service": "plan"})),
        route("two", json!({"backends": [{"service": "plan", "weight": 3}, {"service": "desk", "weight": 1}]})),
        {"resourceKind": "services", "metadata": {"name": "plan"}, "spec": {"healthPath": "/h", "maxConns": 220}},
        {"resourceKind": "services", "metadata": {"name": "desk"}, "spec": {"healthPath": "/h", "maxConns": 220}},
        {"resourceKind": "limits", "metadata": {}, "spec": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 67_108_864, "headerTimeoutS": 3, "idleTimeoutS": 15,
        }},
    ]})
}

/// Returns the pointers of all values below `value`.
fn pointers(value: &Value, at: &str) -> Vec<String> {
    let children = match value {
        Value::Object(fields) => fields.iter().map(|(k, v)| (format!("{at}/{k}"), v)).collect::<Vec<_>>(),
        Value::Array(items) => items.iter().enumerate().map(|(n, v)| (format!("{at}/{n}"), v)).collect(),
        _ => Vec::new(),
    };
    children.into_iter().flat_map(|(at, v)| [vec![at.clone()], pointers(v, &at)].concat()).collect()
}

/// Decodes a table; a valid one must have all its routes and services.
fn is_valid(table: &Value) -> bool {
    let Ok(decoded) = decode_routing(table.to_string().as_bytes()) else { return false };
    let count = |kind: &str| {
        let resources = table["resources"].as_array().expect("a valid table has resources");
        resources.iter().filter(|r| r["resourceKind"] == kind).count()
    };
    assert_eq!(decoded.spec.routes.len(), count("routes"), "{table}");
    assert_eq!(decoded.spec.services.len(), count("services"), "{table}");
    true
}

// Guards against a table of which only the part is used that arrived.
#[test]
fn a_table_that_is_cut_anywhere_is_invalid() {
    let text = table().to_string();
    assert!(is_valid(&table()));
    for length in 0..text.len() {
        assert!(decode_routing(&text.as_bytes()[..length]).is_err(), "cut at byte {length}");
    }
}

// Guards against a route or a service that is left out because it lacks a field.
#[test]
fn a_table_that_lacks_any_needed_field_is_invalid() {
    for pointer in pointers(&table(), "") {
        let (parent, field) = pointer.rsplit_once('/').expect("pointers begin with a slash");
        let mut table = table();
        let Some(Value::Object(fields)) = table.pointer_mut(parent) else { continue };
        fields.remove(field);
        // Routes and limits need no name.
        let names_service =
            ["/resources/2/metadata", "/resources/3/metadata"].iter().any(|p| pointer.starts_with(p));
        let expected = OPTIONAL.contains(&field) && !names_service;
        assert_eq!(is_valid(&table), expected, "without {pointer}");
    }
}

// Guards against a faulty value anywhere that takes single routes or services out of a table.
#[test]
fn a_table_with_a_value_of_another_type_or_out_of_range_is_used_whole_or_not_at_all() {
    let values = [
        json!(null),
        json!(true),
        json!(0),
        json!(-1),
        json!(1.5),
        json!(u64::MAX),
        json!(1e300),
        json!(""),
        json!("/"),
        json!("unknown"),
        json!([]),
        json!([7]),
        json!({}),
        json!({"name": 7}),
    ];
    let mut invalid = 0;
    let mut tried = 0;
    for pointer in pointers(&table(), "") {
        for value in &values {
            let mut table = table();
            *table.pointer_mut(&pointer).expect("the value is there") = value.clone();
            // Without a list of resources there is nothing to count.
            if table["resources"].is_array() {
                invalid += usize::from(!is_valid(&table));
                tried += 1;
            }
        }
    }
    assert!(tried > 600 && invalid > tried / 2, "{invalid} of {tried}");
}
