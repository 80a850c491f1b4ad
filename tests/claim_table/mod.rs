//! A fake platform with scripted replies, and instances whose claims use it.

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

pub const DEADLINE: Duration = Duration::from_secs(5);

/// How a write to the table or the object store goes.
#[derive(Debug, Clone, Copy)]
pub enum Fate {
    Good,
    /// Took effect; the reply is lost.
    Lost,
    /// Refused, as by 429.
    Refused,
    /// Never takes effect; the reply is lost.
    Vanished,
    /// Takes effect after a time; the reply is lost at once.
    Late(Duration),
    /// Takes effect at once; the reply comes after a time.
    SlowReply(Duration),
    /// Tried twice; the second try's reply is told.
    Doubled,
}

/// Faults of one instance's way to the platform.
#[derive(Debug, Default)]
pub struct Faults {
    /// Fates of the next writes; later ones are good.
    pub writes: Mutex<VecDeque<Fate>>,
    /// Whether the platform can't be reached.
    pub down: AtomicBool,
    /// Whether the instance was killed: nothing that it awaits ever ends.
    pub killed: AtomicBool,
}

impl Faults {
    pub fn set_writes(&self, fates: &[Fate]) {
        *self.writes.lock().unwrap() = fates.iter().copied().collect();
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    pub fn kill(&self) {
        self.killed.store(true, Ordering::SeqCst);
    }

    async fn pass(&self) {
        if self.killed.load(Ordering::SeqCst) {
            pending::<()>().await;
        }
        sleep(Duration::from_millis(1)).await;
    }

    fn next(&self) -> Fate {
        if self.down.load(Ordering::SeqCst) {
            return Fate::Refused;
        }
        self.writes.lock().unwrap().pop_front().unwrap_or(Fate::Good)
    }

    fn read(&self) -> Result<(), ReadError> {
        if self.down.load(Ordering::SeqCst) { Err(ReadError::Unavailable) } else { Ok(()) }
    }
}

/// One instance: its claims and its way to the platform.
pub struct Instance {
    pub claims: Arc<Claims>,
    pub faults: Arc<Faults>,
    pub clock: Clock,
}

/// What is left of a claim's row.
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

    pub async fn claim_again(&self) -> ClaimResult {
        self.claims.claim(request(self.clock, "a", true), ()).await
    }

    pub async fn win(&self) -> SendPermit {
        match self.claim().await {
            ClaimResult::Acquired(mut held) => {
                assert!(held.begin());
                held
            }
            other => panic!("expected the claim to be won, found {other:?}"),
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

/// Returns the state of the key's row, after the background had time to settle it.
pub async fn settled(store: &SharedStore) -> RowState {
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
    let (on_get, on_scan, on_get_object) = (Arc::clone(faults), Arc::clone(faults), Arc::clone(faults));
    let (write, put_object) = (Arc::clone(&inner.write), Arc::clone(&inner.put_object));
    let (on_write, on_put_object) = (Arc::clone(faults), Arc::clone(faults));
    Platform {
        get: Arc::new(move |key| {
            let (faults, get) = (Arc::clone(&on_get), Arc::clone(&get));
            Box::pin(async move {
                faults.pass().await;
                faults.read()?;
                get(key).await
            })
        }),
        scan: Arc::new(move |prefix| {
            let (faults, scan) = (Arc::clone(&on_scan), Arc::clone(&scan));
            Box::pin(async move {
                faults.pass().await;
                faults.read()?;
                scan(prefix).await
            })
        }),
        get_object: Arc::new(move |name| {
            let (faults, get_object) = (Arc::clone(&on_get_object), Arc::clone(&get_object));
            Box::pin(async move {
                faults.pass().await;
                faults.read()?;
                get_object(name).await
            })
        }),
        write: Arc::new(move |writes: Vec<RowWrite>| {
            let (faults, write) = (Arc::clone(&on_write), Arc::clone(&write));
            Box::pin(async move {
                faults.pass().await;
                let fate = faults.next();
                let result = carry_out(fate, move || write(writes.clone())).await;
                faults.pass().await;
                result
            })
        }),
        put_object: Arc::new(move |(name, content, condition)| {
            let (faults, put) = (Arc::clone(&on_put_object), Arc::clone(&put_object));
            Box::pin(async move {
                faults.pass().await;
                let fate = faults.next();
                carry_out(fate, move || put((name.clone(), content.clone(), condition.clone()))).await
            })
        }),
        ..inner
    }
}

async fn carry_out<R>(fate: Fate, apply: impl Fn() -> R + Send + 'static) -> WriteResult
where
    R: Future<Output = WriteResult> + Send + 'static,
{
    match fate {
        Fate::Good => apply().await,
        Fate::Refused => WriteResult::Refused,
        Fate::Vanished => WriteResult::Unknown,
        Fate::Lost => {
            apply().await;
            WriteResult::Unknown
        }
        Fate::Late(after) => {
            tokio::spawn(async move {
                sleep(after).await;
                apply().await;
            });
            WriteResult::Unknown
        }
        Fate::SlowReply(after) => {
            let result = apply().await;
            sleep(after).await;
            result
        }
        Fate::Doubled => {
            apply().await;
            apply().await
        }
    }
}
