//! When a denied origin is told to come back: from what is known of the cause, and spread, so that a herd that
//! was denied together does not return together.

use result_code::ResultCode;
use std::time::Duration;

const LEAST: Duration = Duration::from_millis(100);
const MOST: Duration = Duration::from_secs(5);

/// When to come back after a denial, if that helps. `pressure` is how much work was denied for each that was taken
/// lately; `salt` (the try id) spreads the answers over half to one and a half of the span.
///
/// ```
/// use result_code::ResultCode;
/// let span = |pressure, salt| request_routing::retry_after_for(ResultCode::Overloaded, pressure, salt).unwrap().as_millis();
/// assert!((200..600).contains(&span(0.0, "try-1")), "a full moment passes soon");
/// assert!(span(4.0, "try-1") >= 1000, "four were denied for each one taken");
/// assert_ne!(span(1.0, "try-1"), span(1.0, "try-2"));
/// assert_eq!(request_routing::retry_after_for(ResultCode::MissingKey, 0.0, ""), None, "coming back changes nothing");
/// ```
pub fn retry_after_for(code: ResultCode, pressure: f64, salt: &str) -> Option<Duration> {
    let base = match code {
        // What was denied must fit in beside what comes anew.
        ResultCode::Overloaded => {
            Duration::from_millis(400).mul_f64(1.0 + pressure.clamp(0.0, 10.0))
        }
        ResultCode::RetryBudgetExhausted => Duration::from_millis(500),
        // Confirmations come twice a second, and four were missed: it may last, but another node may have one.
        // Placement decides anew once the silent are given up, and shares once the old ones have run out.
        ResultCode::StaleView | ResultCode::NoOwner | ResultCode::KeyUnassigned => {
            Duration::from_millis(1000)
        }
        // Elsewhere, at once: ask the directory again.
        ResultCode::ShuttingDown | ResultCode::Misdirected => Duration::from_millis(200),
        _ => return None,
    };
    let share = (random::stable_hash(salt) % 1000) as f64 / 1000.0;
    Some(base.mul_f64(0.5 + share).clamp(LEAST, MOST))
}
