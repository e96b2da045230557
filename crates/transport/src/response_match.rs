//! Which request a response on a connection belongs to.

use hyper::HeaderMap;

/// The lowest status of an error response.
const FIRST_ERROR_STATUS: u16 = 400;

/// The header by which the response to a request is recognised, and its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseId<'a> {
    /// Name of the header.
    pub header: &'static str,
    /// Its value in the response to this request.
    pub value: &'a str,
}

/// How a response arrived, beside what it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseContext {
    /// It is the first response on a connection that carried one request.
    pub is_first_on_connection: bool,
    /// It began before the request was sent completely.
    pub before_request_complete: bool,
}

/// Which request a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMatch {
    /// The request in flight.
    CurrentRequest,
    /// Another one, by its id; the response that is due may follow.
    OtherRequest,
    /// It can't be told.
    Unknown,
}

/// What a response says about the request that it answers.
enum StatedRequest {
    Current,
    Other,
    /// It names none, or several.
    Unstated,
}

impl ResponseId<'_> {
    fn stated_request(&self, headers: &HeaderMap) -> StatedRequest {
        let mut values = headers.get_all(self.header).iter();
        match (values.next(), values.next()) {
            (Some(value), None) if value.is_empty() => StatedRequest::Unstated,
            (Some(value), None) if value == self.value => StatedRequest::Current,
            (Some(_), None) => StatedRequest::Other,
            _ => StatedRequest::Unstated,
        }
    }
}

/// Matches a response with the request in flight. Where the other side returns ids, a response with another id is
/// another request's, and one without belongs to the request in flight only if no other was ever sent on this
/// connection. A response that began before the request was sent and names no request can only be an error.
///
/// ```
/// use transport::{ResponseId, ResponseMatch, ResponseContext, match_response, header_map};
/// let id = Some(ResponseId { header: "x-try-id", value: "t-2" });
/// let (used, new) = (ResponseContext { is_first_on_connection: false, before_request_complete: false }, ResponseContext { is_first_on_connection: true, before_request_complete: false });
/// assert_eq!(match_response(&header_map(&[("x-try-id", "t-2")]), 200, id, used), ResponseMatch::CurrentRequest);
/// assert_eq!(match_response(&header_map(&[("x-try-id", "t-1")]), 200, id, used), ResponseMatch::OtherRequest);
/// assert_eq!(match_response(&header_map(&[]), 503, id, used), ResponseMatch::Unknown);
/// assert_eq!(match_response(&header_map(&[]), 503, id, new), ResponseMatch::CurrentRequest);
/// ```
pub fn match_response(
    headers: &HeaderMap,
    status: u16,
    id: Option<ResponseId<'_>>,
    context: ResponseContext,
) -> ResponseMatch {
    match id.map_or(StatedRequest::Unstated, |id| id.stated_request(headers)) {
        StatedRequest::Current => ResponseMatch::CurrentRequest,
        StatedRequest::Other => ResponseMatch::OtherRequest,
        StatedRequest::Unstated if id.is_some() && !context.is_first_on_connection => {
            ResponseMatch::Unknown
        }
        StatedRequest::Unstated
            if context.before_request_complete && status < FIRST_ERROR_STATUS =>
        {
            ResponseMatch::Unknown
        }
        StatedRequest::Unstated => ResponseMatch::CurrentRequest,
    }
}
