//! Fake platform with injected faults, and instances whose claims use it.

use std::{
    collections::VecDeque,
    future::pending,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arbutusshelf::{
    claims::{BufferedAnswer, ClaimRequest, ClaimResult, Claims, SendPermit, SendResult, row_key},
    decide::claim::{ClaimRow, ClaimState, Fingerprint},
    kernel::clock::Clock,
    plan::Priority,
    store::{
        Platform, ReadError, RowWrite, WriteResult,
        embedded::{self, SharedStore},
    },
    units::ServiceName,
};
use bytes::Bytes;
use tokio::time::sleep;

/// Time until the deadline of each request.
pub const DEADLINE: Duration = Duration::from_secs(5);

/// How a write to the table or the object store and its reply are delivered.
#[derive(Debug, Clone, Copy)]
pub enum Delivery {
    /// The write takes effect and its reply arrives.
    Normal,
    /// The write takes effect, but its reply is lost.
    ReplyLost,
    /// The store refuses the write, as with status 429.
    Refused,
    /// The write never reaches the store, and there is no reply.
    RequestLost,
    /// The write takes effect after this time; its reply is lost.
    Delayed(Duration),
    /// The write takes effect at once; its reply arrives after this time.
    SlowReply(Duration),
    /// The write reaches the store twice; the reply to the second arrives.
    Duplicated,
}

/// Faults between one instance and the platform.
#[derive(Debug, Default)]
pub struct Faults {
    /// Deliveries of the next writes; later ones are normal.
    pub writes: Mutex<VecDeque<Delivery>>,
    /// Whether the platform is unreachable: reads fail and writes are refused.
    pub down: AtomicBool,
    /// Whether the instance was killed: none of its operations on the platform ever ends.
    pub killed: AtomicBool,
}

impl Faults {
    pub fn set_writes(&self, deliveries: &[Delivery]) {
        *self.writes.lock().unwrap() = deliveries.iter().copied().collect();
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    pub fn kill(&self) {
        self.killed.store(true, Ordering::SeqCst);
    }

    /// Waits for the latency of the network; never returns if the instance was killed.
    async fn cross_network(&self) {
        if self.killed.load(Ordering::SeqCst) {
            pending::<()>().await;
        }
        sleep(Duration::from_millis(1)).await;
    }

    fn next_delivery(&self) -> Delivery {
        if self.down.load(Ordering::SeqCst) {
            return Delivery::Refused;
        }
        self.writes.lock().unwrap().pop_front().unwrap_or(Delivery::Normal)
    }

    fn check_reachable(&self) -> Result<(), ReadError> {
        if self.down.load(Ordering::SeqCst) { Err(ReadError::Unavailable) } else { Ok(()) }
    }
}

/// One instance with its claims and its faults on the way to the platform.
pub struct Instance {
    pub claims: Arc<Claims>,
    pub faults: Arc<Faults>,
    pub clock: Clock,
}

/// State of a claim's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowState {
    Absent,
    Open,
    Done,
    Released,
    Unsettled,
}

pub fn service() -> ServiceName {
    "mietkasse".parse().expect("the name is valid")
}

pub fn request(clock: Clock, body: &str, repeated: bool) -> ClaimRequest {
    ClaimRequest {
        service: service(),
        key: "rent-17".to_owned(),
        fingerprint: Fingerprint(body.to_owned()),
        priority: Priority::Critical,
        deadline: clock.now() + DEADLINE,
        repeated,
    }
}

impl Instance {
    pub fn new(store: &SharedStore, run: u64) -> Self {
        let (faults, clock) = (Arc::new(Faults::default()), Clock::start());
        let claims = Arc::new(Claims::new(platform(store, &faults), run.into(), clock));
        Self { claims, faults, clock }
    }

    pub async fn claim(&self) -> ClaimResult {
        self.claims.claim(request(self.clock, "a", false), ()).await
    }

    pub async fn claim_repeated(&self) -> ClaimResult {
        self.claims.claim(request(self.clock, "a", true), ()).await
    }

    /// Acquires the claim and begins the send.
    pub async fn acquire(&self) -> SendPermit {
        match self.claim().await {
            ClaimResult::Acquired(mut permit) => {
                assert!(permit.begin());
                permit
            }
            other => panic!("expected the claim to be acquired, found {other:?}"),
        }
    }
}

pub fn answered(body: &'static str) -> SendResult {
    SendResult::Answered(BufferedAnswer {
        status: 200,
        content_type: None,
        body: Bytes::from_static(body.as_bytes()),
    })
}

/// Returns the state of the key's row after the time that background writes need to settle it.
pub async fn settled_row_state(store: &SharedStore) -> RowState {
    sleep(Duration::from_mins(10)).await;
    row_state(store)
}

pub fn row_state(store: &SharedStore) -> RowState {
    let Some(row) = store.lock().unwrap().get(&row_key(&service(), "rent-17")) else {
        return RowState::Absent;
    };
    let row = serde_json::from_slice::<ClaimRow>(&row.value).expect("a claim's row is readable");
    match row.state {
        ClaimState::Open => RowState::Open,
        ClaimState::Done(_) => RowState::Done,
        ClaimState::Released => RowState::Released,
        ClaimState::Unsettled => RowState::Unsettled,
    }
}

fn platform(store: &SharedStore, faults: &Arc<Faults>) -> Platform {
    let inner = embedded::driver(store);
    let (get, scan, get_object) =
        (Arc::clone(&inner.get), Arc::clone(&inner.scan), Arc::clone(&inner.get_object));
    let (get_faults, scan_faults, get_object_faults) =
        (Arc::clone(faults), Arc::clone(faults), Arc::clone(faults));
    let (write, put_object) = (Arc::clone(&inner.write), Arc::clone(&inner.put_object));
    let (write_faults, put_object_faults) = (Arc::clone(faults), Arc::clone(faults));
    Platform {
        get: Arc::new(move |key| {
            let (faults, get) = (Arc::clone(&get_faults), Arc::clone(&get));
            Box::pin(async move {
                faults.cross_network().await;
                faults.check_reachable()?;
                get(key).await
            })
        }),
        scan: Arc::new(move |prefix| {
            let (faults, scan) = (Arc::clone(&scan_faults), Arc::clone(&scan));
            Box::pin(async move {
                faults.cross_network().await;
                faults.check_reachable()?;
                scan(prefix).await
            })
        }),
        get_object: Arc::new(move |name| {
            let (faults, get_object) = (Arc::clone(&get_object_faults), Arc::clone(&get_object));
            Box::pin(async move {
                faults.cross_network().await;
                faults.check_reachable()?;
                get_object(name).await
            })
        }),
        write: Arc::new(move |writes: Vec<RowWrite>| {
            let (faults, write) = (Arc::clone(&write_faults), Arc::clone(&write));
            Box::pin(async move {
                faults.cross_network().await;
                let delivery = faults.next_delivery();
                let result = deliver(delivery, move || write(writes.clone())).await;
                faults.cross_network().await;
                result
            })
        }),
        put_object: Arc::new(move |(name, content, condition)| {
            let (faults, put) = (Arc::clone(&put_object_faults), Arc::clone(&put_object));
            Box::pin(async move {
                faults.cross_network().await;
                let delivery = faults.next_delivery();
                deliver(delivery, move || put((name.clone(), content.clone(), condition.clone()))).await
            })
        }),
        ..inner
    }
}

/// Applies a write as its delivery demands and returns the result that the instance sees.
async fn deliver<R>(delivery: Delivery, apply: impl Fn() -> R + Send + 'static) -> WriteResult
where
    R: Future<Output = WriteResult> + Send + 'static,
{
    match delivery {
        Delivery::Normal => apply().await,
        Delivery::Refused => WriteResult::Refused,
        Delivery::RequestLost => WriteResult::Unknown,
        Delivery::ReplyLost => {
            apply().await;
            WriteResult::Unknown
        }
        Delivery::Delayed(after) => {
            tokio::spawn(async move {
                sleep(after).await;
                apply().await;
            });
            WriteResult::Unknown
        }
        Delivery::SlowReply(after) => {
            let result = apply().await;
            sleep(after).await;
            result
        }
        Delivery::Duplicated => {
            apply().await;
            apply().await
        }
    }
}
