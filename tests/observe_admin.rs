//! Admin address of running instances, and log lines of hostile requests.

mod testenv;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

use arbutusshelf::{
    admin::{
        client::send_request, connections::ConnectionsView, explain::Explanation, submit::AcceptedChange,
    },
    error::ErrorKind,
    observe::{coverage::RunState, report::Report, window::Window},
};
use arbutusshelf_bench::{
    client::Caller,
    deployment::{ANY_PORT, Deployment, InProcessInstance, TargetStandIns},
    platform::PlatformStandIn,
};
use bytes::Bytes;
use hyper::Method;
use testenv::TestEnv;

/// Instances that share one platform, with the plan of a deployment in force.
struct Cluster {
    instances: Vec<InProcessInstance>,
    _platform: PlatformStandIn,
    _targets: TargetStandIns,
}

impl Cluster {
    async fn start(instances: usize) -> Self {
        let platform = PlatformStandIn::start(ANY_PORT, 1).await.expect("loopback has a free port");
        let targets = TargetStandIns::start(Deployment::Kremsau).await.expect("loopback has free ports");
        let mut started = Vec::new();
        for number in 1..=instances {
            let name = format!("kremsau-0{number}");
            let instance = InProcessInstance::start(&name, "ost-a", platform.server.address);
            started.push(instance.await.expect("the instance starts"));
        }
        let sheet = Bytes::from(targets.sheet.clone());
        let admin = started[0].admin();
        send_request::<AcceptedChange>(Method::POST, admin, "/plan/submit?change-id=first", None, sheet)
            .await
            .expect("the sheet is accepted");
        for instance in &started {
            let mut plans = instance.kernel.plan.watch();
            plans.wait_for(|plan| plan.version > 0.into()).await.expect("the kernel is not dropped");
            while instance.kernel.check_readiness().is_err() {
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
        Self { instances: started, _platform: platform, _targets: targets }
    }

    async fn send_calls(&self, instance: usize, path: &str, calls: usize) {
        for _ in 0..calls {
            let received = Caller::default().get(self.instances[instance].callers(), path).await;
            assert_eq!(received.expect("the call is answered").status, 200);
        }
    }
}

async fn get<T: serde::de::DeserializeOwned>(admin: SocketAddr, path: &str) -> T {
    send_request(Method::GET, admin, path, None, Bytes::new()).await.expect("the admin address answers")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_an_instance_counted_before_it_left_is_in_the_report_of_another() {
    let mut cluster = Cluster::start(2).await;
    cluster.send_calls(0, "/hallenplan/today", 5).await;
    cluster.send_calls(1, "/hallenplan/today", 7).await;
    let leaving = cluster.instances.pop().expect("the cluster has two instances");
    leaving.kernel.leave();
    leaving.task.await.expect("the instance ends");
    let report = get::<Report>(cluster.instances[0].admin(), "/report").await;
    let timetable = report
        .services
        .iter()
        .find(|s| s.service.as_str() == "hallenplan")
        .expect("the service is in the report");
    assert_eq!(timetable.window(Window::FiveMinutes).map(|w| w.calls), Some(12));
    assert_eq!(timetable.window(Window::Day).map(|w| w.calls), Some(12));
    let left_run = report
        .coverage
        .iter()
        .find(|c| c.instance.as_str() == "kremsau-02")
        .expect("the instance is in the report");
    assert_eq!((left_run.state, left_run.run_id), (RunState::Left, leaving.kernel.run_id));
    assert_eq!(report.store_fault, None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_choice_is_explained_by_service_and_by_request() {
    let cluster = Cluster::start(1).await;
    cluster.send_calls(0, "/hallenplan/today", 3).await;
    let admin = cluster.instances[0].admin();
    let latest = get::<Explanation>(admin, "/explain?service=hallenplan").await;
    assert_eq!(latest.choices.len(), 3);
    for choice in &latest.choices {
        assert_eq!(choice.candidates.iter().filter(|c| c.chosen).count(), 1);
        let chosen = choice.candidates.iter().find(|c| c.chosen).expect("one was chosen");
        assert!(choice.reason.contains(chosen.target.as_str()), "{}", choice.reason);
        assert_eq!(chosen.in_flight, 1);
    }
    let id = latest.choices[0].request_id.clone();
    let explained = get::<Explanation>(admin, &format!("/explain?request={id}")).await;
    assert_eq!(explained.choices.iter().map(|c| c.request_id.clone()).collect::<Vec<_>>(), [id]);
    for query in ["", "service=none", "request=unknown", "service=../../etc"] {
        let path = format!("/explain?{query}");
        let refused = send_request::<Explanation>(Method::GET, admin, &path, None, Bytes::new()).await;
        assert_eq!(refused.expect_err("the query is refused").kind, ErrorKind::BadRequest, "{query}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_in_progress_and_its_connections_are_listed() {
    let cluster = Cluster::start(1).await;
    let (callers, admin) = (cluster.instances[0].callers(), cluster.instances[0].admin());
    let call = tokio::spawn(async move {
        Caller::default().get(callers, "/tonarchiv/recording?work_us=800000").await.expect("an answer")
    });
    let view = loop {
        let view = get::<ConnectionsView>(admin, "/connections").await;
        if view.targets.iter().any(|t| t.open > 0) || call.is_finished() {
            break view;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    };
    assert_eq!((view.callers, view.requests >= 1), (1, true));
    let listed = view.oldest_requests.iter().map(|r| (r.service.as_str(), r.kind.as_str()));
    assert_eq!(listed.collect::<Vec<_>>(), [("tonarchiv", "idempotent")]);
    assert_eq!(view.targets.iter().map(|t| t.open).sum::<usize>(), 1);
    assert_eq!(call.await.expect("the call does not panic").status, 200);
}

#[test]
fn pages_need_the_token_where_one_is_set() {
    let env = TestEnv::new();
    let instance = env.serve("kremsau-01", &serde_json::json!({"admin_token": "correct horse"}));
    let status = |path: &str, token: &str| {
        let answer = exchange(
            instance.admin,
            format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{token}\r\n").as_bytes(),
        );
        answer.get(9..12).map(str::to_owned)
    };
    for path in [
        "/health",
        "/ready",
        "/plan",
        "/targets",
        "/members",
        "/connections",
        "/metrics",
        "/report",
        "/explain",
    ] {
        for token in ["", "authorization: Bearer wrong\r\n", "authorization: correct horse\r\n"] {
            assert_eq!(status(path, token).as_deref(), Some("401"), "{path} {token}");
        }
    }
    assert_eq!(status("/metrics", "authorization: Bearer correct horse\r\n").as_deref(), Some("200"));
}

fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the instance listens");
    stream.write_all(request).expect("the instance reads the request");
    let mut answer = Vec::new();
    // The instance may reset the connection after its response to a malformed request.
    let _ended = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Requests that try to inject a log line or a log key, or whose idempotency key and body must not be logged.
const HOSTILE: [&str; 6] = [
    "GET /no-such/%0aat_ms=1%20level=ERROR%20event=forged HTTP/1.1\r\nhost: a\r\n\r\n",
    "GET /hallenplan/x HTTP/1.1\r\nhost: a\r\narbutusshelf-request-id: x event=forged y\r\n\r\n",
    "GET /hallenplan/x HTTP/1.1\r\nhost: a\r\narbutusshelf-request-id: abcdefgh\u{2028}event=forged\r\n\r\n",
    "GET /hallenplan/x HTTP/1.1\r\nhost: a\r\narbutusshelf-deadline-ms: 1 event=forged\r\n\r\n",
    "POST /mietkasse/charges HTTP/1.1\r\nhost: a\r\nidempotency-key: card-4711\r\ncontent-length: 11\r\n\r\nsecret-body",
    "GET /hallenplan/\u{2028}event=forged HTTP/1.1\r\nhost: a\r\n\r\n",
];

#[test]
fn hostile_requests_leave_one_plain_line_each_and_no_key_or_body() {
    let env = TestEnv::new();
    let mut instance =
        env.serve("kremsau-01", &serde_json::json!({"log_levels": {"arbutusshelf::proxy": "debug"}}));
    // No target of the example plan listens, so every well-formed call ends as not run.
    let sheet = env.write("sheet.csv", include_str!("../examples/kremsau.csv"));
    let admin = instance.admin.to_string();
    let output = env.run(&["plan", "submit", &sheet, "--to", &admin, "--change-id", "first"]);
    assert_eq!(output.status.code(), Some(0), "{}", testenv::stderr(&output));
    for request in HOSTILE {
        let request = request.replacen("host: a\r\n", "host: a\r\nconnection: close\r\n", 1);
        exchange(instance.callers, request.as_bytes());
    }
    let with_id = "GET /hallenplan/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\narbutusshelf-request-id: order-4711-a\r\n\r\n";
    let answer = exchange(instance.callers, with_id.as_bytes());
    assert!(answer.contains("arbutusshelf-request-id: order-4711-a"), "{answer}");
    exchange(instance.admin, b"POST /leave HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    let lines = instance.log_until("event=left");
    for line in &lines {
        let content = line.strip_suffix('\n').expect("a line ends with a line feed");
        assert!(content.starts_with("at_ms="), "{line:?}");
        assert!(
            !content.contains(|c: char| c.is_control() || ('\u{2028}'..='\u{202e}').contains(&c)),
            "{line:?}"
        );
        let unquoted = content.split('"').step_by(2).collect::<String>();
        let events = unquoted.split(' ').filter(|pair| pair.starts_with("event=")).collect::<Vec<_>>();
        assert_eq!(events.len(), 1, "{line:?}");
        assert_ne!(events[0], "event=forged", "{line:?}");
        assert!(!line.contains("card-4711") && !line.contains("secret-body"), "{line:?}");
    }
    let refused = lines.iter().filter(|l| l.contains("event=request-refused")).count();
    assert!(
        refused >= 2,
        "requests with an unknown service or a bad deadline are refused before they become calls: {lines:?}"
    );
    let is_logged =
        lines.iter().any(|l| l.contains("event=call-refused") && l.contains("request=order-4711-a"));
    assert!(is_logged, "the log line has the request identifier that the caller sent: {lines:?}");
}
