//! A server in trouble runs charges and then fails them with 503, without the statement that it has not run them. The
//! client must not be told that they have not run.

#[path = "../standins-2/kit.rs"]
mod kit;

use std::{
    collections::BTreeMap,
    io::Write,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use kit::{BROKEN, Client, Gateway, GatewaySettings, HELD, NOT_RUN, Route, Server, Store};

const HOST: &str = "kasse.example";
/// One of seven servers fails two in five of its requests.
const SERVERS: usize = 7;
const SERVERS_IN_TROUBLE: usize = 1;
const TROUBLE_TIME: Duration = Duration::from_millis(6_500);
const CHARGES: usize = 2_400;
const CLIENTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(10);
/// Work of a server for a charge: all servers are needed.
const WORK: Duration = Duration::from_millis(30);
/// Attempts that a client makes for one charge.
const MAX_ATTEMPTS: usize = 3;
const TIME_BUDGET: Duration = Duration::from_secs(3);

fn main() {
    let record = kit::start_case();
    let store = Store::start(&record, "127.0.0.1");
    let route = Route {
        host: HOST,
        prefix: "/miete/",
        kind: "non_idempotent",
        timeout_s: 1.5,
        objective_s: 0.4,
        service: "mietkasse",
        max_attempts: 2,
    };
    store.write("op", "config", Some(&kit::manifest(1, &[route], &["mietkasse"])));
    let trouble_ends = Arc::new(OnceLock::new());
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let is_in_trouble = kit::has_trouble() && number < SERVERS_IN_TROUBLE;
        let requests = AtomicUsize::new(0);
        let (trouble_ends, clock) = (Arc::clone(&trouble_ends), record.clone());
        let id = format!("i-{number}");
        let server = Server::start(&record, &id, "mietkasse", "127.0.0.1", move |server, request, stream| {
            let is_time = clock.now() < *trouble_ends.get_or_init(|| clock.now() + TROUBLE_TIME);
            thread::sleep(WORK);
            if !is_in_trouble || !is_time || requests.fetch_add(1, Ordering::Relaxed) % 5 > 1 {
                return server.answer(request, stream, "200 OK", "", b"charged");
            }
            // The charge is made; what comes after it fails.
            let id = request.header("x-attempt-id").unwrap_or("");
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nContent-Length: 12\r\n\r\nout of order"
            );
            stream.stream.write_all(text.as_bytes())?;
            Ok(true)
        });
        server.register(&store, "ready");
        servers.push(server);
    }
    let gateway = Gateway::start(&record, GatewaySettings::new("front-1", "127.0.0.1", store.address));
    gateway.wait_ready(Duration::from_secs(10));
    thread::sleep(Duration::from_secs(4));

    let callers = gateway.settings.callers;
    let clients = (0..CLIENTS).map(|first| {
        let record = record.clone();
        thread::spawn(move || {
            let mut statuses = Vec::new();
            for number in (first..CHARGES).step_by(CLIENTS) {
                let path = format!("/miete/{number}");
                for _attempt in 0..MAX_ATTEMPTS {
                    let id = kit::new_id();
                    let mut client = Client::connect(callers).expect("the gateway takes connections");
                    record.line(format!("POST {path} id {id} sent by a client"));
                    let deadline_ms = TIME_BUDGET.as_millis() as u64;
                    let head =
                        kit::request_head("POST", HOST, &path, &id, deadline_ms, "Content-Length: 0\r\n");
                    client.send(head.as_bytes()).expect("the request is sent");
                    let answer = client.read_answer(TIME_BUDGET + Duration::from_secs(1));
                    let status = answer.map_or(0, |answer| answer.status);
                    record.line(format!("id {id} answered {status}"));
                    statuses.push((id, status));
                    // A client sends a charge again only if it was told that the charge has not run.
                    if ![408, 421, 429, 503].contains(&status) {
                        break;
                    }
                    thread::sleep(PAUSE);
                }
                thread::sleep(PAUSE);
            }
            statuses
        })
    });
    let clients = clients.collect::<Vec<_>>();
    let statuses =
        clients.into_iter().flat_map(|client| client.join().expect("a client ends")).collect::<Vec<_>>();
    // No request is under way any more that could run later.
    thread::sleep(TIME_BUDGET);
    let (mut run_ids, mut runs_of_charge) = (BTreeMap::new(), BTreeMap::new());
    for server in &servers {
        for run in server.runs.lock().unwrap().iter() {
            *run_ids.entry(run.id.clone()).or_insert(0) += 1;
            *runs_of_charge.entry(run.path.clone()).or_insert(0) += 1;
        }
    }
    let charged = statuses.iter().filter(|(_, status)| *status == 200).count();
    let is_called_not_run = |status: &u16| [408, 421, 429, 503].contains(status);
    let wrong = statuses.iter().filter(|(id, status)| is_called_not_run(status) && run_ids.contains_key(id));
    let wrong =
        wrong.map(|(id, status)| record.line(format!("id {id} has run and was answered {status}"))).count();
    let twice = runs_of_charge.values().filter(|runs| **runs > 1).count();
    record.line(format!("charges that ran more than once, by their clients' repeats: {twice} of {CHARGES}"));
    if wrong > 0 {
        let text = format!(
            "REFUSED: {wrong} requests were answered as not run and had run; {twice} of {CHARGES} charges ran again"
        );
        kit::finish(&record, BROKEN, &text);
    }
    if !kit::has_trouble() && charged < CHARGES {
        kit::finish(&record, NOT_RUN, &format!("only {charged} of {CHARGES} charges were answered"));
    }
    kit::finish(
        &record,
        HELD,
        &format!("{charged} charges answered; none was called not run though it had run"),
    );
}
