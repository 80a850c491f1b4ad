//! Answers as kept for repeated calls: in the row, or in the object store when too large for one.

use std::{fmt::Write, time::Duration};

use bytes::Bytes;

use crate::{
    decide::claim::{ClaimToken, StoredAnswer, StoredBody},
    store::{ObjectCondition, Platform, WriteResult},
};

/// Largest body kept in a row, in bytes as written; rows of this size still fit groups.
const MAX_ROW_BODY_BYTES: usize = 16 << 10;

/// First pause before an object is tried again; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);

const MAX_PAUSE: Duration = Duration::from_secs(5);

/// An answer with its whole body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedAnswer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`, if there was one.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// An answer ready to be recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorableAnswer {
    /// What the row holds.
    pub stored: StoredAnswer,
    /// Body to put in the object store before the row refers to it.
    pub object: Option<Bytes>,
}

/// Returns the name of the object that holds a large body; unique to the claim.
pub fn object_name(token: ClaimToken) -> String {
    format!("claims/{token}")
}

/// Decides where a body is kept.
pub fn prepare_for_storage(answer: BufferedAnswer, token: ClaimToken) -> StorableAnswer {
    let BufferedAnswer { status, content_type, body } = answer;
    let (kept, object) = match row_body(&body) {
        Some(kept) => (kept, None),
        None => (StoredBody::Object(object_name(token)), Some(body)),
    };
    StorableAnswer { stored: StoredAnswer { status, content_type, body: kept }, object }
}

fn row_body(body: &Bytes) -> Option<StoredBody> {
    if body.len() > MAX_ROW_BODY_BYTES {
        return None;
    }
    if let Ok(text) = std::str::from_utf8(body) {
        return Some(StoredBody::Text(text.to_owned()));
    }
    (body.len() * 2 <= MAX_ROW_BODY_BYTES).then(|| StoredBody::Hex(hex(body)))
}

/// Writes bytes as two hexadecimal digits each.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _never_fails = write!(text, "{byte:02x}");
        text
    })
}

fn from_hex(text: &str) -> Option<Bytes> {
    let pairs = (0..text.len()).step_by(2).map(|i| u8::from_str_radix(text.get(i..i + 2)?, 16).ok());
    pairs.collect::<Option<Vec<_>>>().map(Bytes::from)
}

/// Puts a large body into the object store, however long it takes.
pub async fn put_object(platform: Platform, name: String, body: Bytes) {
    let mut pause = FIRST_PAUSE;
    loop {
        let result = (platform.put_object)((name.clone(), body.clone(), ObjectCondition::Any)).await;
        if matches!(result, WriteResult::TookEffect(_)) {
            return;
        }
        tokio::time::sleep(pause).await;
        pause = MAX_PAUSE.min(pause * 2);
    }
}

/// Reads a stored answer whole; waits for the object store as long as it is polled.
pub async fn fetch(platform: &Platform, stored: StoredAnswer) -> Option<BufferedAnswer> {
    let StoredAnswer { status, content_type, body } = stored;
    let body = match body {
        StoredBody::Text(text) => Bytes::from(text),
        StoredBody::Hex(text) => from_hex(&text)?,
        StoredBody::Object(name) => get_object(platform, name).await?,
    };
    Some(BufferedAnswer { status, content_type, body })
}

async fn get_object(platform: &Platform, name: String) -> Option<Bytes> {
    let mut pause = FIRST_PAUSE;
    loop {
        if let Ok(found) = (platform.get_object)(name.clone()).await {
            return found.map(|o| o.content);
        }
        tokio::time::sleep(pause).await;
        pause = MAX_PAUSE.min(pause * 2);
    }
}
