//! Storage of the answers (HTTP responses) that are returned when a caller repeats an idempotency key.
//!
//! A small body is stored in the claim's table row, a large one in the object store under a name that the row
//! refers to.

use std::{fmt::Write, time::Duration};

use bytes::Bytes;

use crate::{
    decide::claim::{ClaimToken, StoredAnswer, StoredBody},
    store::{ObjectCondition, Platform, WriteResult},
};

/// Largest encoded body that is stored in a row, in bytes. Several rows of this size still fit into one group
/// commit.
const MAX_ROW_BODY_BYTES: usize = 16 << 10;

/// Delay before the first retry of an object store operation; doubles with each retry up to
/// [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);

const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Answer of a target whose complete body is in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header; absent if the target sent none.
    pub content_type: Option<String>,
    /// Complete response body.
    pub body: Bytes,
}

/// Answer in the form in which it is stored, with the large body that must be stored first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorableAnswer {
    /// Answer as written into the row.
    pub stored: StoredAnswer,
    /// Body to put into the object store before the row is written; absent if the row contains the body.
    pub object: Option<Bytes>,
}

/// Returns the name of the object that contains a large body; unique to the claim.
pub fn object_name(token: ClaimToken) -> String {
    format!("claims/{token}")
}

/// Decides whether an answer's body is stored in the row or in the object store.
pub fn prepare_for_storage(answer: BufferedAnswer, token: ClaimToken) -> StorableAnswer {
    let BufferedAnswer { status, content_type, body } = answer;
    let (stored_body, object) = match row_body(&body) {
        Some(in_row) => (in_row, None),
        None => (StoredBody::Object(object_name(token)), Some(body)),
    };
    StorableAnswer { stored: StoredAnswer { status, content_type, body: stored_body }, object }
}

/// Encodes a body for a row, as text if it is UTF-8 and as hexadecimal digits otherwise; `None` if the
/// encoded body is too large.
fn row_body(body: &Bytes) -> Option<StoredBody> {
    if body.len() > MAX_ROW_BODY_BYTES {
        return None;
    }
    if let Ok(text) = std::str::from_utf8(body) {
        return Some(StoredBody::Text(text.to_owned()));
    }
    (body.len() * 2 <= MAX_ROW_BODY_BYTES).then(|| StoredBody::Hex(hex(body)))
}

/// Encodes bytes as lower-case hexadecimal digits, two for each byte.
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

/// Puts a body into the object store and retries until it succeeds.
pub async fn put_object(platform: Platform, name: String, body: Bytes) {
    let mut retry_delay = INITIAL_RETRY_DELAY;
    loop {
        let result = (platform.put_object)((name.clone(), body.clone(), ObjectCondition::Any)).await;
        if matches!(result, WriteResult::TookEffect(_)) {
            return;
        }
        tokio::time::sleep(retry_delay).await;
        retry_delay = MAX_RETRY_DELAY.min(retry_delay * 2);
    }
}

/// Loads the complete body of a stored answer.
///
/// Retries until the object store answers, so the caller of this function must set a time limit. Returns
/// `None` if the body is missing or malformed.
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
    let mut retry_delay = INITIAL_RETRY_DELAY;
    loop {
        if let Ok(found) = (platform.get_object)(name.clone()).await {
            return found.map(|o| o.content);
        }
        tokio::time::sleep(retry_delay).await;
        retry_delay = MAX_RETRY_DELAY.min(retry_delay * 2);
    }
}
