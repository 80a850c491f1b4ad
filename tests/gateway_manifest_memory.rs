//! Memory of instances while large routing tables follow one another.

mod gateway_env;

use std::time::Duration;

use gateway_env::{GatewayProcess, TestDeployment, route};
use serde_json::{Value, json};

/// Routes of the tables, as many as the users' large sites have.
const ROUTES: usize = 1_480;

/// Versions after which the memory in use is compared with that after the last one.
const FIRST_VERSIONS: usize = 30;

/// Versions in all. A replica that kept each would hold a hundred times 0.3 MB more at the end.
const VERSIONS: usize = 130;

/// Time between two versions, in which instances apply each of them.
const PERIOD: Duration = Duration::from_millis(150);

/// Share by which the memory may grow from the first versions to the last.
const MAX_GROWTH: f64 = 0.1;

fn table(version: usize) -> Vec<Value> {
    let prefixes = (0..ROUTES).map(|number| format!("/padding-{number}/"));
    let mut routes = prefixes.map(|p| route("padding", &p, "idempotent", "plan", 2_000)).collect::<Vec<_>>();
    routes.push(route("added", &format!("/added-{version}/"), "idempotent", "plan", 2_000));
    routes
}

async fn put_versions(deployment: &TestDeployment, instances: &[GatewayProcess], versions: usize) {
    let mut last = 0;
    for version in 0..versions {
        last = deployment.put_routes(&table(version));
        tokio::time::sleep(PERIOD).await;
    }
    let words = ["event=routing-in-force", &format!("version={last:08x}")];
    for instance in instances {
        deployment.wait_until("the last version is in force", || async { instance.logged(&words) }).await;
    }
}

// Guards against instances that run out of memory because they keep routing tables which later ones have replaced.
#[tokio::test]
async fn the_memory_does_not_grow_with_the_number_of_versions() {
    let deployment = TestDeployment::start().await;
    let _worker = deployment.worker("i-1").await;
    let seed = deployment.gateway("seed", &json!({})).await;
    let follower = deployment.gateway("follower", &json!({"peer_seeds": [seed.peers]})).await;
    let instances = [seed, follower];
    put_versions(&deployment, &instances, FIRST_VERSIONS).await;
    let mut before = Vec::new();
    for instance in &instances {
        before.push(deployment.resident_bytes(instance).await);
    }
    put_versions(&deployment, &instances, VERSIONS - FIRST_VERSIONS).await;
    for (instance, before) in instances.iter().zip(before) {
        let after = deployment.resident_bytes(instance).await;
        let allowed = before as f64 * (1.0 + MAX_GROWTH);
        assert!((after as f64) < allowed, "from {before} to {after} bytes");
    }
}
