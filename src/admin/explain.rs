//! Answers why calls went where they went.

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind, Result},
    kernel::Kernel,
    observe::{choices::ChoiceView, request_id::RequestId},
    units::{CallId, ServiceName},
};

/// Answer of `GET /explain`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// Choices that are still kept, latest first.
    pub choices: Vec<ChoiceView>,
}

/// Explains the choices for `request=ID` or the latest of `service=NAME`.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] when the query names neither, or something that is not known here.
pub fn explain(kernel: &Kernel, query: &str) -> Result<Explanation> {
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    if let Some(id) = value("request") {
        let call = find_call(kernel, id)
            .ok_or_else(|| Error::new(ErrorKind::BadRequest, "request: not an identifier known here"))?;
        let all = kernel.pools.all();
        let choices = all.iter().flat_map(|(_, pool)| pool.choices(kernel.run_id, Some(call)));
        return Ok(Explanation { choices: choices.collect() });
    }
    let service = value("service").ok_or_else(|| {
        Error::new(ErrorKind::BadRequest, "request or service: one is required in the query")
    })?;
    let service = service.parse::<ServiceName>();
    let pool = service.ok().and_then(|name| kernel.pools.find(&name));
    let pool =
        pool.ok_or_else(|| Error::new(ErrorKind::BadRequest, "service: not a service of the plan in force"))?;
    Ok(Explanation { choices: pool.choices(kernel.run_id, None) })
}

fn find_call(kernel: &Kernel, id: &str) -> Option<CallId> {
    RequestId::parse_call(kernel.run_id, id).or_else(|| kernel.observer.caller_request_ids.find(id))
}
