//! At-most-once requests: claim, send once, record, answer.

use http_body_util::BodyExt;
use hyper::header;
use sha2::{Digest, Sha256};

use super::{
    answer::{Answer, refusal, stored},
    call::{CallContext, CallResult, RequestParts, follow},
    headers::IDEMPOTENCY_KEY,
};
use crate::{
    claims::{BufferedAnswer, ClaimRequest, ClaimResult, SendPermit, SendResult, answer::hex},
    decide::claim::{Fingerprint, StoredAnswer},
    error::{ErrorKind, Outcome},
};

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Runs an at-most-once request.
///
/// A caller that leaves before the send ends its request there; after it, the answer is still recorded.
pub async fn run(context: CallContext, parts: RequestParts) -> Answer {
    let Some(key) = key(&parts) else {
        return context.refuse(ErrorKind::KeyMissing, None);
    };
    let request = ClaimRequest {
        service: context.service.clone(),
        key,
        fingerprint: fingerprint(&parts),
        priority: context.priority(),
        deadline: context.deadline,
        repeated: context.prior_attempts() > 0,
    };
    let in_progress = context.kernel.track_request();
    match context.kernel.claims.claim(request, in_progress).await {
        ClaimResult::Acquired(held) => {
            let task = tokio::spawn(send_held(context, parts, held));
            task.await.unwrap_or_else(|_panicked| refusal(ErrorKind::ConnectionLost, None))
        }
        ClaimResult::Stored(answer) => repeat(&context, answer).await,
        ClaimResult::Refused(kind) => context.refuse(kind, None),
    }
}

async fn repeat(context: &CallContext, answer: StoredAnswer) -> Answer {
    match context.kernel.claims.fetch(answer, context.deadline).await {
        Ok(answer) => {
            context.count(Outcome::Ran, None, answer.status < 500);
            stored(answer, true)
        }
        Err(kind) => context.refuse(kind, None),
    }
}

fn key(parts: &RequestParts) -> Option<String> {
    let mut values = parts.head.headers.get_all(IDEMPOTENCY_KEY).iter();
    let text = values.next()?.to_str().ok()?;
    let usable = (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
    (usable && values.next().is_none()).then(|| text.to_owned())
}

fn fingerprint(parts: &RequestParts) -> Fingerprint {
    let mut digest = Sha256::new();
    digest.update(parts.head.method.as_str());
    digest.update([0]);
    digest.update(parts.head.uri.path_and_query().map_or("", |p| p.as_str()));
    digest.update([0]);
    digest.update(&parts.body);
    Fingerprint(hex(&digest.finalize()))
}

async fn send_held(context: CallContext, parts: RequestParts, mut held: SendPermit) -> Answer {
    if !held.begin() {
        held.end(SendResult::Unsent(ErrorKind::DeadlineUnreachable));
        return context.refuse(ErrorKind::DeadlineUnreachable, None);
    }
    match follow(&context, &parts).await {
        CallResult::Answer(response) => record(response, held).await,
        CallResult::Refused(kind, retry_after) => {
            held.end(match kind.answer().outcome {
                Outcome::NotRun => SendResult::Unsent(kind),
                Outcome::Ran | Outcome::Unknown => SendResult::MaybeSent(kind),
            });
            context.refuse(kind, retry_after)
        }
    }
}

async fn record(response: Answer, held: SendPermit) -> Answer {
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        held.end(SendResult::MaybeSent(ErrorKind::BodyCut));
        return refusal(ErrorKind::BodyCut, None);
    };
    let content_type = parts.headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let answer = BufferedAnswer {
        status: parts.status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: body.to_bytes(),
    };
    held.end(SendResult::Answered(answer.clone()));
    stored(answer, false)
}
