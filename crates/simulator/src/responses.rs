//! Responses to requests, as the wire would carry them.

use request_routing::CallOutcome;
use result_code::ResultCode;
use std::time::Duration;
use transport::CallError;

/// An answer on its way, as the wire would carry it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub code: Option<ResultCode>,
    pub attempt_id: String,
    pub instance: String,
    pub seal: String,
    pub body: String,
    pub retry_after: Option<Duration>,
    /// Set where no answer came.
    pub failed: Option<CallError>,
}

impl Response {
    pub fn sealed(attempt_id: &str, instance: &str, status: u16, body: &str) -> Response {
        let seal = protocol::seal(attempt_id, instance, status, body.as_bytes());
        let (attempt_id, instance, body) =
            (attempt_id.to_owned(), instance.to_owned(), body.to_owned());
        Response {
            status,
            code: Some(ResultCode::Success),
            attempt_id,
            instance,
            seal,
            body,
            retry_after: None,
            failed: None,
        }
    }

    pub(crate) fn coded(
        attempt_id: &str,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) -> Response {
        let (attempt_id, instance) = (attempt_id.to_owned(), String::new());
        let (seal, body) = (String::new(), String::new());
        Response {
            status: code.status(),
            code: Some(code),
            attempt_id,
            instance,
            seal,
            body,
            retry_after,
            failed: None,
        }
    }

    pub(crate) fn failed(called: CallError) -> Response {
        Response {
            failed: Some(called),
            status: 0,
            code: None,
            ..Response::coded("", ResultCode::ResponseLost, None)
        }
    }

    /// Its headers, as the wire would carry them.
    pub(crate) fn headers(&self) -> hyper::HeaderMap {
        let mut headers = hyper::HeaderMap::new();
        [
            ("x-try-id", &self.attempt_id),
            ("x-instance", &self.instance),
            ("x-seal", &self.seal),
        ]
        .into_iter()
        .for_each(|(name, value)| {
            value
                .parse()
                .into_iter()
                .for_each(|value: hyper::header::HeaderValue| {
                    headers.insert(name, value);
                });
        });
        headers
    }

    /// The daemons' own judgement of it.
    pub(crate) fn classify(&self, attempt_id: &str, instance: Option<&str>) -> CallOutcome {
        let reply = transport::Reply {
            status: self.status,
            headers: self.headers(),
            body: self.body.clone().into(),
        };
        let called = self.failed.map(Err).unwrap_or(Ok(reply));
        data_plane::judge_response(&called, attempt_id, instance)
    }
}
