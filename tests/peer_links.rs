//! Links between running instances: bad bytes, slow peers, signs, leaving, and plans without the store.

mod testenv;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use arbutusshelf::{
    admin::{
        PlanStatus, client,
        submit::{self, Accepted},
    },
    error::ErrorKind,
    peer::frame::{Frame, Heartbeat, Hello, PROTOCOL_VERSION, encode, encode_raw},
    store::ListedInstance,
    units::{RunId, TargetId},
};
use arbutusshelf_bench::{
    client::Caller,
    deployment::{ANY_PORT, Deployment, LocalInstance, Targets},
    platform::{Faults, PlatformStandIn},
};
use bytes::Bytes;
use futures::future::join_all;
use hyper::Method;
use testenv::{Instance, TestEnv, WAIT_TIMEOUT};
use tokio::net::{TcpListener, TcpStream};

/// Waits until `holds`; the name is for the failure.
async fn wait_until(name: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{name}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Instances of the Kremsau deployment in this process.
struct Stage {
    platform: PlatformStandIn,
    targets: Targets,
    instances: Vec<LocalInstance>,
}

impl Stage {
    async fn start(count: usize) -> Self {
        let platform = PlatformStandIn::start(ANY_PORT, 1).await.expect("loopback has a free port");
        let targets = Targets::start(Deployment::Kremsau).await.expect("loopback has free ports");
        let names = (1..=count).map(|n| format!("kremsau-{n:02}")).collect::<Vec<_>>();
        let starts = names.iter().map(|name| LocalInstance::start(name, "ost-a", platform.server.address));
        let instances = join_all(starts).await.into_iter().map(|i| i.expect("it starts")).collect();
        let stage = Self { platform, targets, instances };
        stage.wait_mesh().await;
        stage
    }

    async fn wait_mesh(&self) {
        let live = |i: &LocalInstance| {
            let views = i.kernel.members.view(i.kernel.clock.now());
            views.iter().filter(|m| m.live).count()
        };
        let others = self.instances.len() - 1;
        wait_until("all hear all", || self.instances.iter().all(|i| live(i) == others)).await;
    }

    async fn submit(&self, change_id: &str, sheet: &str) -> Accepted {
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

/// Sends bytes on a link of its own; returns whether the instance closed it before `held` ended.
async fn send_raw(to: SocketAddr, bytes: Vec<u8>, held: impl Future<Output = ()>) -> bool {
    let stream = TcpStream::connect(to).await.expect("the instance takes links");
    let (sender, connection) = h2::client::handshake(stream).await.expect("it speaks h2");
    let connection = tokio::spawn(connection);
    let mut sender = sender.ready().await.expect("it takes streams");
    let request = hyper::Request::post("http://peer/link").body(()).expect("a request");
    let (_response, mut stream) = sender.send_request(request, false).expect("a stream");
    stream.send_data(Bytes::from(bytes), false).expect("the window is open");
    tokio::select! {
        _ = connection => true,
        () = held => false,
    }
}

async fn patience() {
    tokio::time::sleep(WAIT_TIMEOUT).await;
}

#[tokio::test]
async fn a_malformed_frame_closes_its_link_and_nothing_else() {
    let stage = Stage::start(2).await;
    let to = stage.instances[0].kernel.config.peers_address;
    let listening = TcpListener::bind(ANY_PORT).await.expect("loopback has a free port");
    let own = listening.local_addr().expect("it is bound");
    let greeted = encode(&hello("fake", 99, own)).to_vec();
    let table = [
        ("malformed heartbeat", [greeted.clone(), encode_raw(2, &[251]).to_vec()].concat()),
        ("oversized frame", [greeted.clone(), vec![0xff; 8]].concat()),
        ("no hello first", encode(&Frame::Heartbeat(Heartbeat::default())).to_vec()),
        (
            "plan that is none",
            [greeted.clone(), encode(&Frame::Plan(Bytes::from_static(b"{"))).to_vec()].concat(),
        ),
        ("second hello", [greeted.clone(), greeted.clone()].concat()),
    ];
    for (name, bytes) in table {
        assert!(send_raw(to, bytes, patience()).await, "{name} closes the link");
    }
    let unknown = [greeted, encode_raw(250, b"later").to_vec()].concat();
    let beat = Frame::Heartbeat(Heartbeat {
        number: 1,
        plan_version: 0.into(),
        leaving: true,
        ..Heartbeat::default()
    });
    let skipped = [unknown, encode(&beat).to_vec()].concat();
    let taken = || {
        let table = stage.instances[0].kernel.members.lock();
        table.find(RunId::from(99)).is_some_and(|m| m.leaving)
    };
    let closed = send_raw(to, skipped, wait_until("the heartbeat after it is taken", taken)).await;
    assert!(!closed, "an unknown frame is skipped");
    stage.wait_mesh_of(2).await;
}

impl Stage {
    /// Waits until the first `count` instances hear each other.
    async fn wait_mesh_of(&self, count: usize) {
        let hears = |i: &LocalInstance| {
            let views = i.kernel.members.view(i.kernel.clock.now());
            views.iter().filter(|m| m.live && m.instance.as_str().starts_with("kremsau")).count()
        };
        wait_until("they hear each other", || self.instances[..count].iter().all(|i| hears(i) == count - 1))
            .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_frame_is_named_in_the_log() {
    let env = TestEnv::new();
    let mut instance = env.serve("kremsau-01", &serde_json::json!({}));
    let own = "127.0.0.1:1".parse().expect("an address");
    let bytes = [encode(&hello("fake", 99, own)).to_vec(), encode_raw(2, &[251]).to_vec()].concat();
    assert!(send_raw(instance.peers, bytes, patience()).await);
    let waited = tokio::task::spawn_blocking(move || instance.wait_log("event=peer-link-closed"));
    let line = waited.await.expect("the log has the line");
    assert!(line.contains("peer=fake") && line.contains("malformed frame of type 2"), "{line}");
}

/// Takes links and never reads from them.
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
    let stage = Stage::start(2).await;
    let listener = TcpListener::bind(ANY_PORT).await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    let links = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let ignoring = tokio::spawn(accept_and_ignore(listener, std::sync::Arc::clone(&links)));
    let line = ListedInstance {
        id: "mute".parse().expect("a name"),
        run_id: RunId::from(99),
        data_centre: "ost-a".parse().expect("a name"),
        peer_address: address,
        caller_address: address,
        leaving: false,
    };
    (stage.instances[0].kernel.platform.register)(line).await.expect("the platform takes it");
    // Long enough to fill the stream's window: one drain for each second of some hours.
    let drains =
        (0..4_000).map(|n| format!("2030-01-01T{:02}:{:02}Z,drain,hallenplan-01,", n / 60 % 24, n % 60));
    let large = stage.sheet_with(&drains.collect::<Vec<_>>().join("\n"));
    wait_until("the mute peer is linked", || links.load(std::sync::atomic::Ordering::SeqCst) >= 2).await;
    let accepted = stage.submit("large", &large).await;
    assert_eq!(accepted.without, ["mute".parse().expect("a name")], "it is named, and the live one is not");
    let before = links.load(std::sync::atomic::Ordering::SeqCst);
    wait_until("its links are dropped and opened anew", || {
        links.load(std::sync::atomic::Ordering::SeqCst) > before
    })
    .await;
    ignoring.abort();
}

/// Returns whether an instance holds a target as draining by a sign.
fn signed(instance: &LocalInstance, target: &TargetId) -> bool {
    instance.kernel.control.drain_notices_after(0).0.iter().any(|s| s.target == *target)
}

#[tokio::test]
async fn a_drain_seen_by_one_is_known_to_all_until_the_operator_returns_it() {
    let stage = Stage::start(3).await;
    stage.submit("first", &stage.targets.sheet).await;
    let target = "tonarchiv-01".parse::<TargetId>().expect("a name");
    let stand_in = stage.targets.find(target.as_str()).expect("it is in the sheet");
    stand_in.set_behaviour(|b| b.draining = true);
    let caller = Caller::default();
    let seeing = &stage.instances[0];
    let seen_at = call_until(&caller, seeing, "/tonarchiv/list", || signed(seeing, &target)).await;
    wait_until("all know", || stage.instances.iter().all(|i| signed(i, &target))).await;
    assert!(seen_at.elapsed() < Duration::from_secs(3), "{:?}", seen_at.elapsed());
    let ran = stand_in.ran();
    for instance in &stage.instances[1..] {
        call_at_once(&caller, instance, "/tonarchiv/list").await;
    }
    assert_eq!(stand_in.ran(), ran, "the others send it nothing new");
    stand_in.set_behaviour(|b| b.draining = false);
    stage.submit("return", &stage.sheet_with("now,return,tonarchiv-01,")).await;
    wait_until("the sign is gone", || stage.instances.iter().all(|i| !signed(i, &target))).await;
    for instance in &stage.instances {
        let ran = stand_in.ran();
        call_until(&caller, instance, "/tonarchiv/list", || stand_in.ran() > ran).await;
    }
}

/// Calls until `holds`; returns when it did.
async fn call_until(
    caller: &Caller,
    instance: &LocalInstance,
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

/// Sends as many calls at once as all targets of the service have slots, so that each target is needed.
async fn call_at_once(caller: &Caller, instance: &LocalInstance, path: &str) {
    let slots = 6 * 3;
    let calls = (0..slots).map(|_| caller.get(instance.callers(), path));
    for answer in futures::future::join_all(calls).await {
        answer.expect("an answer");
    }
}

#[tokio::test]
async fn a_removed_service_ends_its_calls_in_progress() {
    let stage = Stage::start(1).await;
    stage.submit("first", &stage.targets.sheet).await;
    let callers = stage.instances[0].callers();
    let caller = Caller::default();
    let running = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.get(callers, "/hallenplan/long?work_us=700000").await })
    };
    wait_until("the call is in progress", || stage.instances[0].kernel.request_count() > 0).await;
    let without = stage.targets.sheet.lines().filter(|l| !l.starts_with("hallenplan"));
    stage.submit("removal", &without.collect::<Vec<_>>().join("\n")).await;
    let refused = caller.get(callers, "/hallenplan/new").await.expect("an answer");
    assert_eq!((refused.status, refused.outcome()), (404, "not-run"));
    let ended = running.await.expect("the call does not panic").expect("an answer");
    assert_eq!((ended.status, ended.outcome()), (200, "ran"));
}

#[tokio::test]
async fn peers_hear_of_leaving_at_once_and_new_requests_end_within_the_limit() {
    let stage = Stage::start(3).await;
    stage.submit("first", &stage.targets.sheet).await;
    let leaving = &stage.instances[2].kernel;
    let run = leaving.run_id;
    let first_sign = Instant::now();
    leaving.leave();
    let told = |i: &LocalInstance| i.kernel.members.lock().find(run).is_some_and(|m| m.leaving);
    wait_until("both peers know", || stage.instances[..2].iter().all(told)).await;
    assert_eq!(leaving.check_readiness(), Err(ErrorKind::Leaving));
    wait_until("it refuses new requests", || leaving.check_admission() == Err(ErrorKind::Leaving)).await;
    assert!(first_sign.elapsed() < Duration::from_secs(3), "{:?}", first_sign.elapsed());
}

#[tokio::test]
async fn the_list_and_the_plan_tell_an_instance_to_leave() {
    let stage = Stage::start(3).await;
    stage.submit("first", &stage.sheet_with("now,leave,kremsau-02,")).await;
    assert!(stage.instances[1].kernel.is_leaving(), "by plan, before the operator is told");
    let kernel = &stage.instances[2].kernel;
    let line = |leaving| ListedInstance {
        id: kernel.config.instance.clone(),
        run_id: kernel.run_id,
        data_centre: kernel.config.data_centre.clone(),
        peer_address: kernel.config.peers_address,
        caller_address: kernel.config.callers_address,
        leaving,
    };
    (stage.instances[0].kernel.platform.register)(line(true)).await.expect("the platform takes it");
    wait_until("by list", || kernel.is_leaving()).await;
    assert!(!stage.instances[0].kernel.is_leaving());
}

#[tokio::test]
async fn two_operators_race_and_the_loser_learns_what_won() {
    let stage = Stage::start(2).await;
    stage.submit("first", &stage.targets.sheet).await;
    let submit = |n: usize, change_id: &str, line: &str| {
        let sheet = stage.sheet_with(line);
        let (change_id, kernel) = (change_id.parse().expect("a name"), &stage.instances[n].kernel);
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
    let stage = Stage::start(3).await;
    let submits = stage.instances.iter().map(|i| {
        let change_id = "same".parse().expect("a name");
        submit::submit(&i.kernel, stage.targets.sheet.as_bytes(), change_id, None)
    });
    let accepted =
        join_all(submits).await.into_iter().map(|a| a.expect("it is accepted")).collect::<Vec<_>>();
    assert!(accepted.iter().all(|a| a.version == 1.into()), "{accepted:?}");
    assert_eq!(accepted.iter().filter(|a| !a.repeated).count(), 1, "{accepted:?}");
}

#[tokio::test]
async fn lost_replies_are_settled_by_reading_back() {
    let stage = Stage::start(2).await;
    stage.platform.set_faults(Faults { lose_write_replies: 1.0, ..Faults::default() });
    let accepted = stage.submit("lost", &stage.targets.sheet).await;
    assert_eq!((accepted.version, accepted.repeated), (1.into(), false));
    assert_eq!(accepted.without, []);
}

/// Submits through the command's client, as operators do.
async fn submit_to(admin: SocketAddr, change_id: &str, sheet: &str) -> Accepted {
    let path = format!("/plan/submit?change-id={change_id}");
    let sheet = Bytes::from(sheet.to_owned());
    client::call(Method::POST, admin, &path, None, sheet).await.expect("the change is accepted")
}

async fn status(admin: SocketAddr) -> PlanStatus {
    client::call(Method::GET, admin, "/plan/status", None, Bytes::new()).await.expect("a status")
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
    let targets = Targets::start(Deployment::Kremsau).await.expect("loopback has free ports");
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
        wait_status("all hear all", instance.admin, |s| s.members.iter().filter(|m| m.live).count() == 3)
            .await;
    }
    let accepted = submit_to(instances[0].admin, "first", &targets.sheet).await;
    assert_eq!((accepted.version, accepted.without.len()), (1.into(), 0));
    platform.set_faults(Faults { down: true, ..Faults::default() });
    drop(instances.remove(0));
    for instance in &instances {
        assert_eq!(status(instance.admin).await.version, 1.into());
    }
    let seeds = instances.iter().map(|i| i.peers).collect::<Vec<_>>();
    let late = start("kremsau-05", &seeds);
    wait_status("a late start learns it from peers", late.admin, |s| s.version == 1.into()).await;
    let started = Instant::now();
    loop {
        let answer = Caller::default().get(late.callers, "/hallenplan/today").await.expect("an answer");
        if answer.status == 200 {
            break;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "it serves, known to be current by its peers");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
