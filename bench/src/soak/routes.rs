//! What the operator of a soak does with the manifest, and what it asks the instances afterwards.

use std::{sync::PoisonError, time::Duration};

use futures::future::join_all;
use serde_json::{Value, json};

use super::{
    callers::{ROUTE_HOST, ROUTE_TIMEOUT_MS, ask},
    cluster::{Cluster, State, bounds},
    history::RouteLifetime,
    schedule::ManifestFault,
};

/// Time for which callers still send requests to a removed route.
const REMOVED_ROUTE_CALL_TIME: Duration = Duration::from_secs(5);

/// Time after the bound of a change at which the instances are asked for it.
const ASK_DELAY: Duration = Duration::from_millis(100);

/// Versions in one series, and the time between two of them, as on the users' large sites.
const STORM_VERSIONS: usize = 12;
const STORM_PERIOD: Duration = Duration::from_millis(330);

/// Share of the manifest's unused routes by which it grows.
const GROWTH: f64 = 0.2;

impl Cluster {
    /// Adds a route and returns its prefix.
    pub(super) fn add_route(&self) -> String {
        let prefix = {
            let mut state = self.lock();
            state.next_number += 1;
            format!("/route-{}/", state.next_number)
        };
        // The route is recorded first, since the manifest is written from the recorded routes. Callers use
        // the route as soon as the store has it, before instances have applied it.
        let lifetime = RouteLifetime { prefix: prefix.clone(), added_ms: u64::MAX / 2, removed_ms: None };
        let index = {
            let mut state = self.lock();
            state.history.routes.push(lifetime);
            state.history.routes.len() - 1
        };
        self.write_manifest();
        let added_ms = self.now_ms();
        self.lock().history.routes[index].added_ms = added_ms;
        self.callers.route_prefixes.lock().unwrap_or_else(PoisonError::into_inner).push(prefix.clone());
        prefix
    }

    /// Adds a route, and asks all instances for it once it must be in force.
    pub(super) async fn add_route_and_ask(&self) {
        let prefix = self.add_route();
        self.ask_for_added(&[prefix]).await;
    }

    /// Adds several routes in quick succession.
    pub(super) async fn add_routes_in_series(&self) {
        let mut prefixes = Vec::new();
        for _ in 0..STORM_VERSIONS {
            prefixes.push(self.add_route());
            tokio::time::sleep(STORM_PERIOD).await;
        }
        self.ask_for_added(&prefixes).await;
    }

    /// Adds many routes that nobody uses, and one that is asked for.
    pub(super) async fn grow_manifest(&self) {
        let growth = |routes: usize| (routes as f64 * GROWTH) as usize;
        {
            let mut state = self.lock();
            state.padding_routes += growth(state.padding_routes);
        }
        self.add_route_and_ask().await;
    }

    /// Asks all instances for routes that were added, once the last one must be in force.
    pub(super) async fn ask_for_added(&self, prefixes: &[String]) {
        tokio::time::sleep(Duration::from_millis(bounds(1).route_apply_ms) + ASK_DELAY).await;
        for prefix in prefixes {
            self.ask_all(prefix).await;
        }
    }

    async fn ask_all(&self, prefix: &str) {
        let number = {
            let mut state = self.lock();
            state.next_number += 1;
            state.next_number
        };
        let asked = (0..self.callers.instance_addresses.len()).map(|instance| {
            let id = format!("q{number}-{instance}");
            ask(&self.callers, instance, format!("{prefix}{id}"), id)
        });
        join_all(asked).await;
    }

    /// Removes the oldest route, and asks all instances for it once they must know that.
    pub(super) async fn remove_route(&self) {
        let index = self.lock().history.routes.iter().position(|r| r.removed_ms.is_none());
        let Some(index) = index else { return };
        let (before_ms, prefix) = (self.now_ms(), self.lock().history.routes[index].prefix.clone());
        self.lock().history.routes[index].removed_ms = Some(before_ms);
        self.write_manifest();
        let removed_ms = self.now_ms();
        self.lock().history.routes[index].removed_ms = Some(removed_ms);
        tokio::time::sleep(Duration::from_millis(bounds(1).route_apply_ms) + ASK_DELAY).await;
        self.ask_all(&prefix).await;
        tokio::time::sleep(REMOVED_ROUTE_CALL_TIME).await;
        self.callers.route_prefixes.lock().unwrap_or_else(PoisonError::into_inner).retain(|p| *p != prefix);
    }

    /// Writes the manifest, the store's row that lists all current routes.
    pub(super) fn write_manifest(&self) {
        let mut state = self.lock();
        state.manifest_version += 1;
        let manifest = manifest(state.manifest_version, &state);
        // Written under the lock, so that versions reach the store in ascending order.
        self.store.put_json("op", "config", &manifest);
    }

    /// Writes a version that no instance may use, and a valid one after `length`. Meanwhile all routes must be served as
    /// before, and the one that only this version has must not be.
    pub(super) async fn write_invalid_manifest(&self, fault: ManifestFault, length: Duration) {
        let _invalid = self.invalid_manifest.lock().await;
        let prefix = {
            let mut state = self.lock();
            state.manifest_version += 1;
            state.next_number += 1;
            let prefix = format!("/invalid-{}/", state.next_number);
            state.history.invalid_prefixes.push(prefix.clone());
            let text = invalid_manifest(&state, fault, &prefix);
            self.store.put_bytes("op", "config", text.as_bytes());
            prefix
        };
        tokio::time::sleep(length).await;
        self.ask_all(&prefix).await;
        self.write_manifest();
    }
}

/// Returns a manifest with the routes in force.
fn manifest(version: u32, state: &State) -> Value {
    let live = state.history.routes.iter().filter(|r| r.removed_ms.is_none());
    let mut resources = permanent_resources();
    resources.extend(live.map(|r| route(r.prefix.trim_matches('/'), &r.prefix, "idempotent")));
    let padding = 0..state.padding_routes;
    resources.extend(
        padding.map(|n| route(&format!("padding-{n}"), &format!("/padding/{n}/of-the-hall/"), "idempotent")),
    );
    json!({"version": format!("{version:08x}"), "resources": resources})
}

/// Returns the text of a manifest with a fault in a route that is in force, and a route that no other version has.
fn invalid_manifest(state: &State, fault: ManifestFault, prefix: &str) -> String {
    let mut manifest = manifest(state.manifest_version, state);
    if let Some(resources) = manifest["resources"].as_array_mut() {
        resources.push(route("invalid", prefix, "idempotent"));
    }
    let in_force = &mut manifest["resources"][0]["spec"];
    match fault {
        ManifestFault::CutShort => {}
        ManifestFault::BarePrefix => in_force["prefix"] = json!("/read"),
        ManifestFault::UnknownService => in_force["service"] = json!("elsewhere"),
        ManifestFault::NoAttempts => in_force["maxAttempts"] = json!(0),
        ManifestFault::OldVersion => {
            let old = state.manifest_version.saturating_sub(2).max(1);
            manifest["version"] = json!(format!("{old:08x}"));
        }
    }
    let mut text = manifest.to_string();
    if fault == ManifestFault::CutShort {
        text.truncate(text.len() / 2);
    }
    text
}

/// Returns the routes that are always there, and the service and the limits.
fn permanent_resources() -> Vec<Value> {
    vec![
        route("read", "/read/", "idempotent"),
        route("charge", "/charge/", "non_idempotent"),
        json!({"resourceKind": "services", "metadata": {"name": "plan"}, "spec": {
            "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false,
        }}),
        json!({"resourceKind": "limits", "metadata": {}, "spec": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 67_108_864, "headerTimeoutS": 3, "idleTimeoutS": 15,
        }}),
    ]
}

fn route(name: &str, prefix: &str, kind: &str) -> Value {
    json!({"resourceKind": "routes", "metadata": {"name": name}, "spec": {
        "host": ROUTE_HOST, "prefix": prefix, "kind": kind, "service": "plan", "priority": 1,
        "timeoutS": ROUTE_TIMEOUT_MS as f64 / 1_000.0, "objectiveS": 0.3, "maxAttempts": 2,
    }})
}
