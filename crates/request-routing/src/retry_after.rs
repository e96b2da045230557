//! When a rejected client should come back: from what is known of the cause, with jitter, so that clients that were
//! rejected together do not return together.

use result_code::ResultCode;
use std::time::Duration;

const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// When to come back after a rejection, if that helps. `rejection_ratio` is how many requests were rejected for each one
/// sent lately; `salt` (the attempt id) spreads the answers over half to one and a half of the span.
///
/// ```
/// use result_code::ResultCode;
/// let span = |rejection_ratio, salt| request_routing::retry_after_for(ResultCode::Overloaded, rejection_ratio, salt).unwrap().as_millis();
/// assert!((200..600).contains(&span(0.0, "try-1")), "a short overload passes soon");
/// assert!(span(4.0, "try-1") >= 1000, "four were rejected for each one sent");
/// assert_ne!(span(1.0, "try-1"), span(1.0, "try-2"));
/// assert_eq!(request_routing::retry_after_for(ResultCode::MissingKey, 0.0, ""), None, "coming back changes nothing");
/// ```
pub fn retry_after_for(code: ResultCode, rejection_ratio: f64, salt: &str) -> Option<Duration> {
    let base = match code {
        // What was rejected must fit in beside what comes anew.
        ResultCode::Overloaded => {
            Duration::from_millis(400).mul_f64(1.0 + rejection_ratio.clamp(0.0, 10.0))
        }
        ResultCode::RetryBudgetExhausted => Duration::from_millis(500),
        // Confirmations come twice a second, and four were missed: it may last, but another node may have one.
        // Placement decides anew once silent nodes are given up, and key ranges once the old ones have expired.
        ResultCode::StaleView | ResultCode::NoOwner | ResultCode::KeyUnassigned => {
            Duration::from_millis(1000)
        }
        // Elsewhere, at once: look the name up again.
        ResultCode::ShuttingDown | ResultCode::Misdirected => Duration::from_millis(200),
        _ => return None,
    };
    let jitter = (random::stable_hash(salt) % 1000) as f64 / 1000.0;
    Some(
        base.mul_f64(0.5 + jitter)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    )
}
