//! At-most-once requests: claim, send once, record, answer.

use std::fmt::Write;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header;
use sha2::{Digest, Sha256};

use super::{
    answer::{Answer, refusal, stored},
    call::{CallContext, CallResult, RequestParts, follow},
    headers::IDEMPOTENCY_KEY,
};
use crate::{
    claims::{ClaimResult, Held, StoredAnswer},
    error::{ErrorKind, Outcome},
};

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Runs an at-most-once request; goes on when the caller leaves, so that the answer is recorded.
pub async fn run(context: CallContext, parts: RequestParts) -> Answer {
    let task = tokio::spawn(run_to_end(context, parts));
    task.await.unwrap_or_else(|_panicked| refusal(ErrorKind::ConnectionLost, None))
}

async fn run_to_end(context: CallContext, parts: RequestParts) -> Answer {
    let Some(key) = key(&parts) else {
        return context.refuse(ErrorKind::KeyMissing, None);
    };
    match context.kernel.claims.claim(&context.service, &key, fingerprint(&parts)).await {
        ClaimResult::Won(held) => send_held(context, parts, held).await,
        ClaimResult::Stored(answer) => {
            context.count(Outcome::Ran, None, true);
            stored(answer, true)
        }
        ClaimResult::Refused(kind) => context.refuse(kind, None),
    }
}

fn key(parts: &RequestParts) -> Option<String> {
    let text = parts.head.headers.get(IDEMPOTENCY_KEY)?.to_str().ok()?;
    let usable = (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
    usable.then(|| text.to_owned())
}

fn fingerprint(parts: &RequestParts) -> String {
    let mut digest = Sha256::new();
    digest.update(parts.head.method.as_str());
    digest.update([0]);
    digest.update(parts.head.uri.path_and_query().map_or("", |p| p.as_str()));
    digest.update([0]);
    digest.update(&parts.body);
    hex(&digest.finalize())
}

async fn send_held(context: CallContext, parts: RequestParts, held: Held) -> Answer {
    match follow(&context, &parts).await {
        CallResult::Answer(response) => record(&context, response, held).await,
        CallResult::Refused(kind, retry_after) => {
            if kind.answer().outcome == Outcome::NotRun {
                context.kernel.claims.release(held);
            }
            context.refuse(kind, retry_after)
        }
    }
}

async fn record(context: &CallContext, response: Answer, held: Held) -> Answer {
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return refusal(ErrorKind::BodyCut, None);
    };
    let body: Bytes = body.to_bytes();
    let content_type = parts.headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let answer = StoredAnswer {
        status: parts.status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: body.to_vec(),
    };
    context.kernel.claims.record(held, answer.clone()).await;
    stored(answer, false)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _never_fails = write!(text, "{byte:02x}");
        text
    })
}
