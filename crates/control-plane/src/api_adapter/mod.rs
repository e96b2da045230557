//! How a control node speaks HTTP with operators and upstreams: the product's own interface is [`ApiAdapter::own`], and an
//! adapter to another site's interface brings its own functions.

mod read_request;
mod write_response;

pub use write_response::heartbeat_json;

use crate::interface::{ControlRequest, ControlResponse};
use bytes::Bytes;
use config::ValidationError;
use http_body_util::Full;
use hyper::Response;
use name_directory::ConfigurationParser;
use result_code::ResultCode;
use transport::HttpRequest;

/// Why an HTTP request is none that the control node understands.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestError {
    /// What kind of error it is.
    pub code: ResultCode,
    /// One entry for each error found in the request.
    pub validation_errors: Vec<ValidationError>,
}

impl From<ResultCode> for RequestError {
    /// An error that the code says all about.
    fn from(code: ResultCode) -> Self {
        RequestError {
            code,
            validation_errors: Vec::new(),
        }
    }
}

/// Reads an HTTP request as a control request.
pub type RequestReader = dyn Fn(&HttpRequest) -> Result<ControlRequest, RequestError> + Send + Sync;

/// Writes a control response as an HTTP response.
pub type ResponseWriter = dyn Fn(ControlResponse) -> Response<Full<Bytes>> + Send + Sync;

/// How requests are read and responses written.
pub struct ApiAdapter {
    /// Reads a request.
    pub read_request: Box<RequestReader>,
    /// Writes a response.
    pub write_response: Box<ResponseWriter>,
    /// How configurations are parsed.
    pub reader: ConfigurationParser,
}

impl ApiAdapter {
    /// The product's own interface, as docs/interface.md has it.
    ///
    /// ```
    /// let response = control_plane::ControlResponse::Outcome { code: result_code::ResultCode::Success, revision: 3 };
    /// assert_eq!((control_plane::ApiAdapter::own().write_response)(response).status(), 200);
    /// ```
    pub fn own() -> ApiAdapter {
        ApiAdapter {
            read_request: Box::new(read_request::read_request),
            write_response: Box::new(write_response::write_response),
            reader: ConfigurationParser::default(),
        }
    }
}
