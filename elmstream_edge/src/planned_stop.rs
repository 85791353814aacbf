//! The times of a host's planned stop.

use std::time::Duration;

use elmstream::time::{MILLI, Time};

use crate::settings::Stop;

/// A host ends this long before its grace time is over.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the host in which requests in flight get a final response from the
/// host itself; a host that gets a tenth of a core lags some 200 ms.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(200);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    /// From when on only requests are sent that end before `last_responses_at`.
    last_send_at: Time,
    /// When requests in flight get a final response from the host itself.
    pub last_responses_at: Time,
    /// When the host ends.
    pub end_at: Time,
}

impl PlannedStop {
    /// The times of a stop that was requested at `requested_at`.
    pub(crate) fn new(requested_at: Time, settings: &Stop) -> PlannedStop {
        let grace = Duration::from_millis(settings.grace_ms).saturating_sub(END_MARGIN);
        let last_responses = grace.saturating_sub(LAST_RESPONSES_TIME);
        PlannedStop {
            last_send_at: requested_at + settings.last_send_ms * MILLI,
            last_responses_at: requested_at + last_responses.as_micros() as u64,
            end_at: requested_at + grace.as_micros() as u64,
        }
    }

    /// Whether a request with a deadline may still be sent. Others would be aborted while a server
    /// runs them, and their callers could not know whether they had run.
    pub(crate) fn allows_send(&self, now: Time, deadline: Time) -> bool {
        now < self.last_send_at || deadline <= self.last_responses_at
    }
}
