//! The numbered result codes. `docs/codes.md` has the same table; a test keeps the two equal.
//!
//! Numbers, statuses and texts are part of the HTTP interface: clients match on them, so the texts keep the words of the
//! first release.

use std::fmt;

/// What a code says about the request: whether it was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It was executed, and the response is complete.
    Executed,
    /// It was not executed and will not be: a retry is safe.
    NotExecuted,
    /// Unknown: a retry is safe only where the request is idempotent.
    Unknown,
}

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $kind:ident, $text:literal;)*) => {
        /// A numbered result code.
        ///
        /// ```
        /// use result_code::{ResultCode, Execution};
        /// assert_eq!(ResultCode::Overloaded.number(), 1201);
        /// assert_eq!(ResultCode::Overloaded.status(), 503);
        /// assert_eq!(ResultCode::Overloaded.kind(), Execution::NotExecuted);
        /// assert_eq!(ResultCode::from_number(1201), Some(ResultCode::Overloaded));
        /// ```
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ResultCode {
            $(#[doc = $text] $name),*
        }

        impl ResultCode {
            /// Every code, in the order of the table.
            ///
            /// ```
            /// assert!(result_code::ResultCode::all().contains(&result_code::ResultCode::Success));
            /// ```
            pub fn all() -> &'static [ResultCode] { &[$(ResultCode::$name),*] }

            /// The number that clients see.
            ///
            /// ```
            /// assert_eq!(result_code::ResultCode::Success.number(), 1000);
            /// ```
            pub fn number(self) -> u32 { match self { $(ResultCode::$name => $number),* } }

            /// The HTTP status that goes with it.
            ///
            /// ```
            /// assert_eq!(result_code::ResultCode::Success.status(), 200);
            /// ```
            pub fn status(self) -> u16 { match self { $(ResultCode::$name => $status),* } }

            /// Whether the request was executed.
            ///
            /// ```
            /// assert_eq!(result_code::ResultCode::Success.kind(), result_code::Execution::Executed);
            /// ```
            pub fn kind(self) -> Execution { match self { $(ResultCode::$name => Execution::$kind),* } }

            /// One sentence for humans.
            ///
            /// ```
            /// assert!(result_code::ResultCode::Success.text().starts_with("Done"));
            /// ```
            pub fn text(self) -> &'static str { match self { $(ResultCode::$name => $text),* } }

            /// The code with this number.
            ///
            /// ```
            /// assert_eq!(result_code::ResultCode::from_number(7), None);
            /// ```
            pub fn from_number(number: u32) -> Option<ResultCode> {
                ResultCode::all().iter().copied().find(|code| code.number() == number)
            }
        }
    };
}

codes! {
    Success = 1000, 200, Executed, "Done; the verdict is whole and sealed.";
    Superseded = 1001, 200, Executed, "A higher number holds; nothing was changed.";
    Malformed = 1101, 400, NotExecuted, "The request cannot be read.";
    MissingAttemptId = 1102, 400, NotExecuted, "The try id is missing or is not an id.";
    MissingDeadline = 1103, 400, NotExecuted, "The remaining time is missing or absurd.";
    MissingKey = 1104, 400, NotExecuted, "The service is keyed and the key is missing.";
    TooLarge = 1105, 413, NotExecuted, "The request is larger than allowed.";
    TooSlow = 1106, 408, NotExecuted, "The request came in too slowly.";
    NoSuchName = 1107, 404, NotExecuted, "No route has this name, path and method.";
    NoSuchEndpoint = 1108, 404, NotExecuted, "There is no such endpoint.";
    Duplicate = 1109, 409, NotExecuted, "A try with this id is already being served here.";
    Overloaded = 1201, 503, NotExecuted, "No upstream has room; come back later.";
    StaleView = 1202, 503, NotExecuted, "This node has not heard from a majority lately; try another.";
    NoOwner = 1203, 503, NotExecuted, "No locality owns the name at present.";
    ShuttingDown = 1204, 503, NotExecuted, "This node is closing; try another.";
    DeadlineExceeded = 1205, 504, NotExecuted, "The time ran out before the request was sent.";
    RetryBudgetExhausted = 1206, 503, NotExecuted, "A first try failed unsent and no resend is allowed now.";
    Misdirected = 1207, 421, NotExecuted, "The name lives elsewhere and the request was forwarded once already.";
    KeyUnassigned = 1208, 503, NotExecuted, "No upstream holds the key at present.";
    Redirected = 1209, 307, NotExecuted, "This node is out of contact with a majority; 'location' names one that is in contact.";
    ResponseLost = 1301, 502, Unknown, "The upstream was sent the request and its verdict was lost.";
    InvalidResponse = 1302, 502, Unknown, "The upstream's verdict was partial, unsealed or foreign.";
    UpstreamTimeout = 1303, 504, Unknown, "The upstream did not answer in time.";
    UpstreamFailed = 1304, 502, Unknown, "The upstream says that it failed.";
    InvalidConfiguration = 1401, 422, NotExecuted, "The setup breaks the rules; every complaint is listed.";
    RevisionConflict = 1402, 409, NotExecuted, "The setup was based on an older edition.";
    ChangeOutcomeUnknown = 1403, 503, Unknown, "The outcome is unknown; ask again with the same submission id.";
    TooManyPendingChanges = 1404, 429, NotExecuted, "Too many submissions wait; come back later.";
    NoConfiguration = 1405, 404, NotExecuted, "No setup has been accepted yet.";
    NoControlNode = 1406, 503, NotExecuted, "No postmaster can be reached from here.";
    IdReused = 1407, 409, NotExecuted, "The submission id was used for something else.";
    VersionConflict = 1408, 409, NotExecuted, "The number is taken by another setup.";
    ChangeForgotten = 1409, 410, Unknown, "It may have been decided too long ago to tell; nothing was done now.";
    VoterSetChanged = 1410, 409, NotExecuted, "The voters changed meanwhile, or would not change; look at them again.";
    VoterChangePending = 1411, 503, NotExecuted, "An earlier change is not decided yet; come back later.";
    UnsuitableVoter = 1412, 409, NotExecuted, "No such voter, or the node that should vote is not there or has not caught up.";
    NoSuchTrace = 1501, 404, NotExecuted, "The try id is unknown here or its trace has expired.";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}
