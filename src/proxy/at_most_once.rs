//! At-most-once requests: claim the idempotency key, send once, store the response.

use http_body_util::BodyExt;
use hyper::header;
use sha2::{Digest, Sha256};

use super::{
    call::{CallContext, CallResult, RequestParts, run_unbuffered},
    headers::IDEMPOTENCY_KEY,
    response::{CallerResponse, error_response, stored_response},
};
use crate::{
    claims::{BufferedAnswer, ClaimRequest, ClaimResult, SendPermit, SendResult, answer::hex},
    decide::claim::{Fingerprint, StoredAnswer},
    error::{ErrorKind, Outcome},
};

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Handles an at-most-once request.
///
/// If the caller disconnects before the request is sent, the request is dropped. Once it has been sent, the
/// response is stored even if the caller is gone.
pub async fn run(context: CallContext, parts: RequestParts) -> CallerResponse {
    let Some(key) = idempotency_key(&parts) else {
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
        ClaimResult::Acquired(permit) => {
            let task = tokio::spawn(execute_claimed(context, parts, permit));
            task.await.unwrap_or_else(|_panicked| error_response(ErrorKind::ConnectionLost, None))
        }
        ClaimResult::Stored(answer) => replay_stored(&context, answer).await,
        ClaimResult::Refused(kind) => context.refuse(kind, None),
    }
}

async fn replay_stored(context: &CallContext, answer: StoredAnswer) -> CallerResponse {
    match context.kernel.claims.fetch(answer, context.deadline).await {
        Ok(answer) => {
            context.record_end(Outcome::Ran, None, answer.status < 500);
            stored_response(answer, true)
        }
        Err(kind) => context.refuse(kind, None),
    }
}

fn idempotency_key(parts: &RequestParts) -> Option<String> {
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

async fn execute_claimed(
    context: CallContext,
    parts: RequestParts,
    mut permit: SendPermit,
) -> CallerResponse {
    if !permit.begin() {
        permit.end(SendResult::Unsent(ErrorKind::DeadlineUnreachable));
        return context.refuse(ErrorKind::DeadlineUnreachable, None);
    }
    match run_unbuffered(&context, &parts).await {
        CallResult::Response(response) => store_response(response, permit).await,
        CallResult::Refused(kind, retry_after) => {
            permit.end(match kind.answer().outcome {
                Outcome::NotRun => SendResult::Unsent(kind),
                Outcome::Ran | Outcome::Unknown => SendResult::MaybeSent(kind),
            });
            context.refuse(kind, retry_after)
        }
    }
}

async fn store_response(response: CallerResponse, permit: SendPermit) -> CallerResponse {
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        permit.end(SendResult::MaybeSent(ErrorKind::BodyCut));
        return error_response(ErrorKind::BodyCut, None);
    };
    let content_type = parts.headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let answer = BufferedAnswer {
        status: parts.status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: body.to_bytes(),
    };
    permit.end(SendResult::Answered(answer.clone()));
    stored_response(answer, false)
}
