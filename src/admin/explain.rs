//! `GET /explain`: why calls were sent to the targets that they were sent to.

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind, Result},
    kernel::Kernel,
    observe::{choices::ChoiceView, request_id::RequestId},
    units::{CallId, ServiceName},
};

/// Reply to `GET /explain`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// Matching choices of targets that are still kept in memory, latest first.
    pub choices: Vec<ChoiceView>,
}

/// Returns the choices for one request (`request=ID`) or the latest for a service (`service=NAME`).
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] when the query has neither parameter, or the request or service is unknown here.
pub fn explain(kernel: &Kernel, query: &str) -> Result<Explanation> {
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    if let Some(id) = parameter("request") {
        let call = find_call(kernel, id)
            .ok_or_else(|| Error::new(ErrorKind::BadRequest, "request: not an identifier known here"))?;
        let all = kernel.pools.all();
        let choices = all.iter().flat_map(|(_, pool)| pool.choices(kernel.run_id, Some(call)));
        return Ok(Explanation { choices: choices.collect() });
    }
    let service = parameter("service").ok_or_else(|| {
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
