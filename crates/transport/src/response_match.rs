//! To which request an answer on a connection belongs.

use hyper::HeaderMap;

/// The lowest status of a refusal.
const FIRST_REFUSAL: u16 = 400;

/// The header by which the answer to a request is known, and its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseId<'a> {
    pub header: &'static str,
    pub value: &'a str,
}

/// How an answer came, beside what it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseContext {
    /// It is the first answer on a connection that carried one request.
    pub is_first_on_connection: bool,
    /// It began before the request was out whole.
    pub before_request_complete: bool,
}

/// To which request an answer belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMatch {
    /// To the request under way.
    CurrentRequest,
    /// To another one, by its id: the one that is due may follow.
    OtherRequest,
    /// Nobody can tell.
    Unknown,
}

/// What an answer says of the request that it is for.
enum Whose {
    This,
    Another,
    /// It names none, or several.
    Unsaid,
}

impl ResponseId<'_> {
    fn whose(&self, headers: &HeaderMap) -> Whose {
        let mut values = headers.get_all(self.header).iter();
        match (values.next(), values.next()) {
            (Some(value), None) if value.is_empty() => Whose::Unsaid,
            (Some(value), None) if value == self.value => Whose::This,
            (Some(_), None) => Whose::Another,
            _ => Whose::Unsaid,
        }
    }
}

/// Judges an answer. Where ids are told, one with another id is another request's, and one without belongs to the
/// request under way only if no other was ever sent on this connection. An answer that began before the request was
/// out and names nobody can at most be a refusal.
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
    came: ResponseContext,
) -> ResponseMatch {
    match id.map_or(Whose::Unsaid, |id| id.whose(headers)) {
        Whose::This => ResponseMatch::CurrentRequest,
        Whose::Another => ResponseMatch::OtherRequest,
        Whose::Unsaid if id.is_some() && !came.is_first_on_connection => ResponseMatch::Unknown,
        Whose::Unsaid if came.before_request_complete && status < FIRST_REFUSAL => {
            ResponseMatch::Unknown
        }
        Whose::Unsaid => ResponseMatch::CurrentRequest,
    }
}
