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
pub struct ResponseArrival {
    /// It is the first answer on a connection that carried one request.
    pub sole: bool,
    /// It began before the request was out whole.
    pub early: bool,
}

/// To which request an answer belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMatch {
    /// To the request under way.
    Here,
    /// To another one, by its id: the one that is due may follow.
    ToAnother,
    /// Nobody can tell.
    ToNobody,
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
/// use transport::{ResponseId, ResponseMatch, ResponseArrival, match_response, headers};
/// let id = Some(ResponseId { header: "x-try-id", value: "t-2" });
/// let (used, new) = (ResponseArrival { sole: false, early: false }, ResponseArrival { sole: true, early: false });
/// assert_eq!(match_response(&headers(&[("x-try-id", "t-2")]), 200, id, used), ResponseMatch::Here);
/// assert_eq!(match_response(&headers(&[("x-try-id", "t-1")]), 200, id, used), ResponseMatch::ToAnother);
/// assert_eq!(match_response(&headers(&[]), 503, id, used), ResponseMatch::ToNobody);
/// assert_eq!(match_response(&headers(&[]), 503, id, new), ResponseMatch::Here);
/// ```
pub fn match_response(
    headers: &HeaderMap,
    status: u16,
    id: Option<ResponseId<'_>>,
    came: ResponseArrival,
) -> ResponseMatch {
    match id.map_or(Whose::Unsaid, |id| id.whose(headers)) {
        Whose::This => ResponseMatch::Here,
        Whose::Another => ResponseMatch::ToAnother,
        Whose::Unsaid if id.is_some() && !came.sole => ResponseMatch::ToNobody,
        Whose::Unsaid if came.early && status < FIRST_REFUSAL => ResponseMatch::ToNobody,
        Whose::Unsaid => ResponseMatch::Here,
    }
}
