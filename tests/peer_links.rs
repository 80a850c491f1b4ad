//! Tests of the links between running instances: malformed bytes, slow peers, drain notices, shutdown, and
//! plans that spread while the store is down.

mod testenv;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use arbutusshelf::{
    admin::{
        PlanStatus, client,
        submit::{self, AcceptedChange},
    },
    error::ErrorKind,
    peer::frame::{Frame, Heartbeat, Hello, PROTOCOL_VERSION, encode, encode_raw},
    store::ListedInstance,
    units::{RunId, TargetId},
};
use arbutusshelf_bench::{
    client::Caller,
    deployment::{ANY_PORT, Deployment, InProcessInstance, TargetStandIns},
    platform::{Faults, PlatformStandIn},
};
use bytes::Bytes;
use futures::future::join_all;
use hyper::Method;
use testenv::{Instance, TestEnv, WAIT_TIMEOUT};
use tokio::net::{TcpListener, TcpStream};

/// Waits until `holds` returns true; fails with `name` after [`WAIT_TIMEOUT`].
async fn wait_until(name: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{name}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Instances of the Kremsau deployment with a simulated platform and targets, all in this process.
struct Cluster {
    platform: PlatformStandIn,
    targets: TargetStandIns,
    instances: Vec<InProcessInstance>,
}

impl Cluster {
    async fn start(count: usize) -> Self {
        let platform = PlatformStandIn::start(ANY_PORT, 1).await.expect("loopback has a free port");
        let targets = TargetStandIns::start(Deployment::Kremsau).await.expect("loopback has free ports");
        let names = (1..=count).map(|n| format!("kremsau-{n:02}")).collect::<Vec<_>>();
        let starts =
            names.iter().map(|name| InProcessInstance::start(name, "ost-a", platform.server.address));
        let instances = join_all(starts).await.into_iter().map(|i| i.expect("it starts")).collect();
        let cluster = Self { platform, targets, instances };
        cluster.wait_mesh().await;
        cluster
    }

    /// Waits until every instance sees all others as live.
    async fn wait_mesh(&self) {
        let live = |i: &InProcessInstance| {
            let views = i.kernel.members.view(i.kernel.clock.now());
            views.iter().filter(|m| m.live).count()
        };
        let others = self.instances.len() - 1;
        wait_until("all instances see each other as live", || {
            self.instances.iter().all(|i| live(i) == others)
        })
        .await;
    }

    async fn submit(&self, change_id: &str, sheet: &str) -> AcceptedChange {
        let change_id = change_id.parse().expect("a name");
        let accepted = submit::submit(&self.instances[0].kernel, sheet.as_bytes(), change_id, None).await;
        accepted.expect("the change is accepted")
    }

    fn sheet_with(&self, line: &str) -> String {
        format!("{}{line}\n", self.targets.sheet)
    }
}

fn hello(instance: &str, run: u64, peer_address: SocketAddr) -> Frame {
    Frame::Hello(Hello {
        protocol_version: PROTOCOL_VERSION,
        instance: instance.parse().expect("a name"),
        run_id: RunId::from(run),
        data_centre: "ost-a".parse().expect("a name"),
        peer_address,
    })
}

/// Sends bytes on a new link; returns whether the instance closed the link before `until` completed.
async fn send_raw(to: SocketAddr, bytes: Vec<u8>, until: impl Future<Output = ()>) -> bool {
    let stream = TcpStream::connect(to).await.expect("the instance accepts links");
    let (sender, connection) = h2::client::handshake(stream).await.expect("it speaks h2");
    let connection = tokio::spawn(connection);
    let mut sender = sender.ready().await.expect("it accepts streams");
    let request = hyper::Request::post("http://peer/link").body(()).expect("a request");
    let (_response, mut stream) = sender.send_request(request, false).expect("a stream");
    stream.send_data(Bytes::from(bytes), false).expect("the window is open");
    tokio::select! {
        _ = connection => true,
        () = until => false,
    }
}

/// Completes after [`WAIT_TIMEOUT`], the longest wait of these tests.
async fn wait_timeout() {
    tokio::time::sleep(WAIT_TIMEOUT).await;
}

#[tokio::test]
async fn a_malformed_frame_closes_its_link_and_nothing_else() {
    let cluster = Cluster::start(2).await;
    let to = cluster.instances[0].kernel.config.peers_address;
    let listening = TcpListener::bind(ANY_PORT).await.expect("loopback has a free port");
    let own = listening.local_addr().expect("it is bound");
    let hello_bytes = encode(&hello("fake", 99, own)).to_vec();
    let table = [
        ("malformed heartbeat", [hello_bytes.clone(), encode_raw(2, &[251]).to_vec()].concat()),
        ("oversized frame", [hello_bytes.clone(), vec![0xff; 8]].concat()),
        ("no hello first", encode(&Frame::Heartbeat(Heartbeat::default())).to_vec()),
        (
            "plan that is none",
            [hello_bytes.clone(), encode(&Frame::Plan(Bytes::from_static(b"{"))).to_vec()].concat(),
        ),
        ("second hello", [hello_bytes.clone(), hello_bytes.clone()].concat()),
    ];
    for (name, bytes) in table {
        assert!(send_raw(to, bytes, wait_timeout()).await, "{name} closes the link");
    }
    let unknown = [hello_bytes, encode_raw(250, b"later").to_vec()].concat();
    let heartbeat = Frame::Heartbeat(Heartbeat {
        number: 1,
        plan_version: 0.into(),
        leaving: true,
        ..Heartbeat::default()
    });
    let skipped = [unknown, encode(&heartbeat).to_vec()].concat();
    let is_handled = || {
        let table = cluster.instances[0].kernel.members.lock();
        table.find(RunId::from(99)).is_some_and(|m| m.leaving)
    };
    let closed =
        send_raw(to, skipped, wait_until("the heartbeat after the unknown frame is handled", is_handled))
            .await;
    assert!(!closed, "an unknown frame is skipped");
    cluster.wait_mesh_of(2).await;
}

impl Cluster {
    /// Waits until the first `count` instances see each other as live.
    async fn wait_mesh_of(&self, count: usize) {
        let live_peers = |i: &InProcessInstance| {
            let views = i.kernel.members.view(i.kernel.clock.now());
            views.iter().filter(|m| m.live && m.instance.as_str().starts_with("kremsau")).count()
        };
        wait_until("they see each other as live", || {
            self.instances[..count].iter().all(|i| live_peers(i) == count - 1)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_frame_is_named_in_the_log() {
    let env = TestEnv::new();
    let mut instance = env.serve("kremsau-01", &serde_json::json!({}));
    let own = "127.0.0.1:1".parse().expect("an address");
    let bytes = [encode(&hello("fake", 99, own)).to_vec(), encode_raw(2, &[251]).to_vec()].concat();
    assert!(send_raw(instance.peers, bytes, wait_timeout()).await);
    let waited = tokio::task::spawn_blocking(move || instance.wait_log("event=peer-link-closed"));
    let line = waited.await.expect("the log has the line");
    assert!(line.contains("peer=fake") && line.contains("malformed frame of type 2"), "{line}");
}

/// Accepts links and never reads from them.
async fn accept_and_ignore(listener: TcpListener, accepted: std::sync::Arc<std::sync::atomic::AtomicUsize>) {
    let mut kept = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        accepted.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        kept.push(tokio::spawn(async move {
            let mut connection = h2::server::handshake(stream).await.expect("a handshake");
            let mut streams = Vec::new();
            while let Some(Ok(stream)) = connection.accept().await {
                streams.push(stream);
            }
        }));
    }
}

#[tokio::test]
async fn a_peer_that_takes_nothing_is_dropped_and_holds_up_nobody() {
    let cluster = Cluster::start(2).await;
    let listener = TcpListener::bind(ANY_PORT).await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    let links = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let ignoring = tokio::spawn(accept_and_ignore(listener, std::sync::Arc::clone(&links)));
    let entry = ListedInstance {
        id: "mute".parse().expect("a name"),
        run_id: RunId::from(99),
        data_centre: "ost-a".parse().expect("a name"),
        peer_address: address,
        caller_address: address,
        leaving: false,
    };
    (cluster.instances[0].kernel.platform.register)(entry).await.expect("the platform accepts the entry");
    // Large enough to fill the stream's flow-control window: 4,000 drains, each at a full minute.
    let drains =
        (0..4_000).map(|n| format!("2030-01-01T{:02}:{:02}Z,drain,hallenplan-01,", n / 60 % 24, n % 60));
    let large = cluster.sheet_with(&drains.collect::<Vec<_>>().join("\n"));
    wait_until("the mute peer is linked", || links.load(std::sync::atomic::Ordering::SeqCst) >= 2).await;
    let accepted = cluster.submit("large", &large).await;
    assert_eq!(
        accepted.not_in_force_on,
        ["mute".parse().expect("a name")],
        "only the mute peer is reported, not the live one"
    );
    let before = links.load(std::sync::atomic::Ordering::SeqCst);
    wait_until("its links are dropped and opened anew", || {
        links.load(std::sync::atomic::Ordering::SeqCst) > before
    })
    .await;
    ignoring.abort();
}

/// Returns whether an instance has a drain notice of a target.
fn has_drain_notice(instance: &InProcessInstance, target: &TargetId) -> bool {
    instance.kernel.control.drain_notices_after(0).0.iter().any(|s| s.target == *target)
}

#[tokio::test]
async fn a_drain_seen_by_one_is_known_to_all_until_the_operator_returns_it() {
    let cluster = Cluster::start(3).await;
    cluster.submit("first", &cluster.targets.sheet).await;
    let target = "tonarchiv-01".parse::<TargetId>().expect("a name");
    let stand_in = cluster.targets.find(target.as_str()).expect("it is in the sheet");
    stand_in.set_behaviour(|b| b.draining = true);
    let caller = Caller::default();
    let observer = &cluster.instances[0];
    let seen_at =
        call_until(&caller, observer, "/tonarchiv/list", || has_drain_notice(observer, &target)).await;
    wait_until("all instances have the notice", || {
        cluster.instances.iter().all(|i| has_drain_notice(i, &target))
    })
    .await;
    assert!(seen_at.elapsed() < Duration::from_secs(3), "{:?}", seen_at.elapsed());
    let ran = stand_in.executed_count();
    for instance in &cluster.instances[1..] {
        call_at_once(&caller, instance, "/tonarchiv/list").await;
    }
    assert_eq!(stand_in.executed_count(), ran, "the other instances send it no new requests");
    stand_in.set_behaviour(|b| b.draining = false);
    cluster.submit("return", &cluster.sheet_with("now,return,tonarchiv-01,")).await;
    wait_until("the notice is removed", || cluster.instances.iter().all(|i| !has_drain_notice(i, &target)))
        .await;
    for instance in &cluster.instances {
        let ran = stand_in.executed_count();
        call_until(&caller, instance, "/tonarchiv/list", || stand_in.executed_count() > ran).await;
    }
}

/// Sends calls until `holds` returns true; returns the time at which it did.
async fn call_until(
    caller: &Caller,
    instance: &InProcessInstance,
    path: &str,
    holds: impl Fn() -> bool,
) -> Instant {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{path}");
        call_at_once(caller, instance, path).await;
    }
    Instant::now()
}

/// Sends as many calls at once as all targets of the service have slots, so that every target is used.
async fn call_at_once(caller: &Caller, instance: &InProcessInstance, path: &str) {
    let slots = 6 * 3;
    let calls = (0..slots).map(|_| caller.get(instance.callers(), path));
    for answer in futures::future::join_all(calls).await {
        answer.expect("an answer");
    }
}

#[tokio::test]
async fn a_removed_service_ends_its_calls_in_progress() {
    let cluster = Cluster::start(1).await;
    cluster.submit("first", &cluster.targets.sheet).await;
    let callers = cluster.instances[0].callers();
    let caller = Caller::default();
    let running = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.get(callers, "/hallenplan/long?work_us=700000").await })
    };
    wait_until("the call is in progress", || cluster.instances[0].kernel.request_count() > 0).await;
    let without = cluster.targets.sheet.lines().filter(|l| !l.starts_with("hallenplan"));
    cluster.submit("removal", &without.collect::<Vec<_>>().join("\n")).await;
    let refused = caller.get(callers, "/hallenplan/new").await.expect("an answer");
    assert_eq!((refused.status, refused.outcome()), (404, "not-run"));
    let ended = running.await.expect("the call does not panic").expect("an answer");
    assert_eq!((ended.status, ended.outcome()), (200, "ran"));
}

#[tokio::test]
async fn peers_hear_of_leaving_at_once_and_new_requests_end_within_the_limit() {
    let cluster = Cluster::start(3).await;
    cluster.submit("first", &cluster.targets.sheet).await;
    let leaving = &cluster.instances[2].kernel;
    let run = leaving.run_id;
    let leave_started = Instant::now();
    leaving.leave();
    let knows = |i: &InProcessInstance| i.kernel.members.lock().find(run).is_some_and(|m| m.leaving);
    wait_until("both peers know that it is leaving", || cluster.instances[..2].iter().all(knows)).await;
    assert_eq!(leaving.check_readiness(), Err(ErrorKind::Leaving));
    wait_until("it refuses new requests", || leaving.check_admission() == Err(ErrorKind::Leaving)).await;
    assert!(leave_started.elapsed() < Duration::from_secs(3), "{:?}", leave_started.elapsed());
}

#[tokio::test]
async fn the_list_and_the_plan_tell_an_instance_to_leave() {
    let cluster = Cluster::start(3).await;
    cluster.submit("first", &cluster.sheet_with("now,leave,kremsau-02,")).await;
    assert!(
        cluster.instances[1].kernel.is_leaving(),
        "the plan made it leave before the submission returned"
    );
    let kernel = &cluster.instances[2].kernel;
    let entry = |leaving| ListedInstance {
        id: kernel.config.instance.clone(),
        run_id: kernel.run_id,
        data_centre: kernel.config.data_centre.clone(),
        peer_address: kernel.config.peers_address,
        caller_address: kernel.config.callers_address,
        leaving,
    };
    (cluster.instances[0].kernel.platform.register)(entry(true))
        .await
        .expect("the platform accepts the entry");
    wait_until("the list makes it leave", || kernel.is_leaving()).await;
    assert!(!cluster.instances[0].kernel.is_leaving());
}

#[tokio::test]
async fn two_operators_race_and_the_loser_learns_what_won() {
    let cluster = Cluster::start(2).await;
    cluster.submit("first", &cluster.targets.sheet).await;
    let submit = |n: usize, change_id: &str, line: &str| {
        let sheet = cluster.sheet_with(line);
        let (change_id, kernel) = (change_id.parse().expect("a name"), &cluster.instances[n].kernel);
        async move { submit::submit(kernel, sheet.as_bytes(), change_id, Some(1.into())).await }
    };
    let (a, b) = tokio::join!(
        submit(0, "drain-one", "now,drain,hallenplan-01,"),
        submit(1, "less-paarbuch", "now,drain,paarbuch-01,")
    );
    let (won, lost) = match (a, b) {
        (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
        both => panic!("one wins: {both:?}"),
    };
    assert_eq!((won.version, lost.kind), (2.into(), ErrorKind::PlanConflict));
    assert!(lost.message.contains("version 2 by change"), "{}", lost.message);
    assert!(lost.message.contains("intentions"), "{}", lost.message);
}

#[tokio::test]
async fn the_same_change_id_races_itself_and_is_one_change() {
    let cluster = Cluster::start(3).await;
    let submits = cluster.instances.iter().map(|i| {
        let change_id = "same".parse().expect("a name");
        submit::submit(&i.kernel, cluster.targets.sheet.as_bytes(), change_id, None)
    });
    let accepted =
        join_all(submits).await.into_iter().map(|a| a.expect("it is accepted")).collect::<Vec<_>>();
    assert!(accepted.iter().all(|a| a.version == 1.into()), "{accepted:?}");
    assert_eq!(accepted.iter().filter(|a| !a.repeated).count(), 1, "{accepted:?}");
}

#[tokio::test]
async fn lost_replies_are_settled_by_reading_back() {
    let cluster = Cluster::start(2).await;
    cluster.platform.set_faults(Faults { lose_write_replies: 1.0, ..Faults::default() });
    let accepted = cluster.submit("lost", &cluster.targets.sheet).await;
    assert_eq!((accepted.version, accepted.repeated), (1.into(), false));
    assert_eq!(accepted.not_in_force_on, []);
}

/// Submits a sheet through the client that the command line uses.
async fn submit_to(admin: SocketAddr, change_id: &str, sheet: &str) -> AcceptedChange {
    let path = format!("/plan/submit?change-id={change_id}");
    let sheet = Bytes::from(sheet.to_owned());
    client::send_request(Method::POST, admin, &path, None, sheet).await.expect("the change is accepted")
}

async fn status(admin: SocketAddr) -> PlanStatus {
    client::send_request(Method::GET, admin, "/plan/status", None, Bytes::new()).await.expect("a status")
}

async fn wait_status(name: &str, admin: SocketAddr, holds: impl Fn(&PlanStatus) -> bool) {
    let started = Instant::now();
    while !holds(&status(admin).await) {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{name}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_plan_outlives_the_store_and_the_instance_that_accepted_it() {
    let env = TestEnv::new();
    let platform = PlatformStandIn::start(ANY_PORT, 1).await.expect("loopback has a free port");
    let targets = TargetStandIns::start(Deployment::Kremsau).await.expect("loopback has free ports");
    let extra = |seeds: &[SocketAddr]| {
        serde_json::json!({
            "platform_driver": "http",
            "platform_address": platform.server.address,
            "peer_seeds": seeds,
        })
    };
    let start = |name: &str, seeds: &[SocketAddr]| -> Instance { env.serve(name, &extra(seeds)) };
    let mut instances = (1..=4).map(|n| start(&format!("kremsau-0{n}"), &[])).collect::<Vec<_>>();
    for instance in &instances {
        wait_status("all instances see each other as live", instance.admin, |s| {
            s.members.iter().filter(|m| m.live).count() == 3
        })
        .await;
    }
    let accepted = submit_to(instances[0].admin, "first", &targets.sheet).await;
    assert_eq!((accepted.version, accepted.not_in_force_on.len()), (1.into(), 0));
    platform.set_faults(Faults { down: true, ..Faults::default() });
    drop(instances.remove(0));
    for instance in &instances {
        assert_eq!(status(instance.admin).await.version, 1.into());
    }
    let seeds = instances.iter().map(|i| i.peers).collect::<Vec<_>>();
    let late = start("kremsau-05", &seeds);
    wait_status("an instance started late gets the plan from its peers", late.admin, |s| {
        s.version == 1.into()
    })
    .await;
    let started = Instant::now();
    loop {
        let answer = Caller::default().get(late.callers, "/hallenplan/today").await.expect("an answer");
        if answer.status == 200 {
            break;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "its peers confirm the plan as current, so it serves");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
