//! Case 3: a worker in trouble sends a body without end under a stated length; the request has no end at its route's
//! time-out.

#[path = "../standins/kit.rs"]
#[allow(dead_code)]
mod kit;

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use kit::{
    Gateway, Ids, Record, Route, Seen, Store, finish, put_entry, put_manifest, read_request, serve, set_up,
    sleep_ms,
};

const WORKERS: usize = 6;
const SLOTS: u32 = 3;
const WORK: Duration = Duration::from_millis(80);
/// `timeoutS` of the route.
const TIMEOUT_S: f64 = 2.0;
/// Time after it by which a request must have its final answer.
const SLACK_S: f64 = 0.5;
/// Requests without one that break the rule: that many, and over a quarter of those that last longer than the time-out.
const MIN_OVERDUE: usize = 8;
/// Time that consumers wait.
const BUDGET_MS: u64 = 6_000;
/// Body of a usual answer.
const BODY_BYTES: usize = 90_000;
/// Of their answers, workers in trouble send one in this many without end (0.05 of them).
const ONE_IN: u32 = 20;
/// Workers in trouble (0.5 of them).
const IN_TROUBLE: usize = WORKERS / 2;
const TROUBLE_S: f64 = 5.0;
const TROUBLES: usize = 4;
const TROUBLE_PERIOD_S: f64 = 11.5;
const CONSUMERS: usize = 36;
const PAUSE_MS: u64 = 400;
const RUN_S: f64 = 2.0 + TROUBLES as f64 * TROUBLE_PERIOD_S;

struct Worker {
    id: String,
    running: AtomicU32,
    answers: AtomicU32,
    endless: AtomicU32,
    is_in_trouble: AtomicBool,
    record: Record,
}

impl Worker {
    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            let load = format!("X-Worker-Load: {},0,{SLOTS},100\r\n", self.running.load(Ordering::Relaxed));
            if request.target == "/healthz" {
                let id = &self.id;
                let answer =
                    format!("HTTP/1.1 200 OK\r\nX-Worker-Id: {id}\r\n{load}Content-Length: 0\r\n\r\n");
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            let id = request.header("x-attempt-id").unwrap_or("").to_owned();
            let is_meant = request.header("x-expect-worker") == Some(&self.id);
            if !is_meant || self.running.load(Ordering::Relaxed) >= SLOTS {
                let status = if is_meant { "503 Service Unavailable" } else { "421 Misdirected Request" };
                let answer = format!(
                    "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n{load}Content-Length: 0\r\n\r\n"
                );
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!("worker {} runs {id}", self.id));
            thread::sleep(WORK);
            let is_endless = self.is_in_trouble.load(Ordering::Relaxed)
                && self.answers.fetch_add(1, Ordering::Relaxed) % ONE_IN == ONE_IN - 1;
            let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: 3e1b.07\r\n{load}");
            let sent = if is_endless {
                self.send_without_end(&mut writer, &head, &id)
            } else {
                write_answer(&mut writer, &head)
            };
            self.running.fetch_sub(1, Ordering::Relaxed);
            sent?;
        }
        Ok(())
    }

    /// Sends bytes until the other end closes the connection.
    fn send_without_end(&self, writer: &mut TcpStream, head: &str, id: &str) -> std::io::Result<()> {
        self.endless.fetch_add(1, Ordering::Relaxed);
        self.record.line(&format!("worker {} answers {id} without end", self.id));
        let head = format!("{head}Content-Length: 99999999999999\r\n\r\n");
        writer.write_all(head.as_bytes())?;
        let bytes = [b'x'; 16 << 10];
        loop {
            if let Err(e) = writer.write_all(&bytes) {
                self.record.line(&format!("the connection of {id} was closed"));
                return Err(e);
            }
            sleep_ms(10);
        }
    }
}

fn write_answer(writer: &mut TcpStream, head: &str) -> std::io::Result<()> {
    let mut answer = format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n").into_bytes();
    answer.resize(answer.len() + BODY_BYTES, b'x');
    writer.write_all(&answer)
}

/// One request: when its last byte was sent, when it ended, and how.
struct Ended {
    id: String,
    sent: f64,
    ended: f64,
    seen: Seen,
}

fn main() {
    let store = Store::start();
    let (deployment, is_troubled) = set_up(store.address, 6.0);
    let record = deployment.record.clone();
    let mut workers = Vec::new();
    for i in 0..WORKERS {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let id = format!("i-{i:08x}");
        put_entry(&store, &id, listener.local_addr().unwrap(), "tonarchiv", SLOTS, "ready", 1);
        let worker = Arc::new(Worker {
            id,
            running: AtomicU32::new(0),
            answers: AtomicU32::new(0),
            endless: AtomicU32::new(0),
            is_in_trouble: AtomicBool::new(false),
            record: record.clone(),
        });
        workers.push(Arc::clone(&worker));
        serve(listener, move |stream| {
            let _ended = worker.serve(stream);
        });
    }
    put_manifest(
        &store,
        3,
        &[Route {
            prefix: "/recording/",
            kind: "download",
            service: "tonarchiv",
            timeout_s: TIMEOUT_S,
            objective_s: 0.8,
            max_attempts: 3,
        }],
    );
    let gateway = Gateway::new("front-ost-c-1");
    gateway.start(&deployment, &[gateway.peers], true);
    gateway.wait_ready(&deployment);
    sleep_ms(4_000);

    let ids = Arc::new(Ids::default());
    let requests = Arc::new(Mutex::new(Vec::new()));
    let started = record.now();
    let consumers = (0..CONSUMERS).map(|n| {
        let (ids, requests) = (Arc::clone(&ids), Arc::clone(&requests));
        let (record, gateway) = (record.clone(), gateway.clone());
        thread::spawn(move || {
            sleep_ms(n as u64 * PAUSE_MS / CONSUMERS as u64);
            while record.now() - started < RUN_S {
                let id = ids.next();
                let request = format!(
                    "GET /recording/{n}/{id} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Request-Deadline-Ms: {BUDGET_MS}\r\n\r\n",
                    kit::HOST
                );
                let mut sent = record.now();
                record.line(&format!("consumer sends {id}"));
                let patience = Duration::from_millis(BUDGET_MS);
                let seen = kit::send(gateway.callers, request.as_bytes(), patience, || sent = record.now());
                let ended = record.now();
                let text = match &seen {
                    Seen::Answer { status, .. } => format!("{status}, complete"),
                    other => format!("{other:?}"),
                };
                record.line(&format!("consumer has {text} for {id} after {:.3} s", ended - sent));
                requests.lock().unwrap().push(Ended { id, sent, ended, seen });
                sleep_ms(PAUSE_MS);
            }
        })
    });
    let consumers = consumers.collect::<Vec<_>>();
    sleep_ms(2_000);
    for _ in 0..if is_troubled { TROUBLES } else { 0 } {
        record.line("trouble begins");
        workers.iter().take(IN_TROUBLE).for_each(|w| w.is_in_trouble.store(true, Ordering::Relaxed));
        sleep_ms((TROUBLE_S * 1_000.0) as u64);
        workers.iter().for_each(|w| w.is_in_trouble.store(false, Ordering::Relaxed));
        record.line("trouble ends");
        sleep_ms(((TROUBLE_PERIOD_S - TROUBLE_S) * 1_000.0) as u64);
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    let requests = requests.lock().unwrap();
    let complete = requests.iter().filter(|r| r.seen.status() == Some(200)).count();
    let endless = workers.iter().map(|w| w.endless.load(Ordering::Relaxed)).sum::<u32>();
    record
        .say(&format!("requests: {}, complete: {complete}, answered without end: {endless}", requests.len()));
    let long = requests.iter().filter(|r| r.ended - r.sent > TIMEOUT_S).collect::<Vec<_>>();
    // A final answer is a complete one, or the end of the connection.
    let overdue = long.iter().filter(|r| r.ended - r.sent > TIMEOUT_S + SLACK_S).collect::<Vec<_>>();
    let mut kinds = BTreeMap::<String, usize>::new();
    for Ended { id, sent, ended, seen } in overdue.iter().copied() {
        record.line(&format!(
            "CONFIG: {id} had no final answer {:.2} s after it was sent: {seen:?}",
            ended - sent
        ));
        let kind = if matches!(seen, Seen::GaveUp { .. }) { "until the consumer gave up" } else { "later" };
        *kinds.entry(kind.to_owned()).or_default() += 1;
    }
    record.say(&format!(
        "longer than the time-out: {}; without a final answer {SLACK_S} s after it: {} {kinds:?}",
        long.len(),
        overdue.len()
    ));
    if complete < 500 {
        eprintln!("too few requests were served");
        deployment.processes.end_all();
        std::process::exit(2);
    }
    finish(&deployment, overdue.len() >= MIN_OVERDUE && overdue.len() * 4 > long.len())
}
