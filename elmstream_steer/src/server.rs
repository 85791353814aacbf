//! A backend server, as this host observes it and as other hosts report it.

use elmstream::time::{MILLI, SECOND, Time};

use crate::{
    hash,
    model::Server,
    refusal_rate::RefusalCounts,
    rollout::RolloutRole,
    server_limit::ServerLimit,
    server_speed::{self, ServerSpeed, SpeedSource},
    silence::{SILENCE_TIMEOUT_MIN, SilenceTimes},
};

/// Weight of a new answer in the moving averages of answer times.
const ANSWER_TIME_WEIGHT: f64 = 0.05;
/// Weight of a new answer in a server's failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Answer time that is assumed before the first answer, in milliseconds.
const INITIAL_ANSWER_MS: f64 = 150.0;
/// Factor on the assumed answer time of a server that is not warm for the key.
const INITIAL_NOT_WARM_FACTOR: f64 = 3.0;
/// Time for which an unanswered request ejects a server after nothing is in flight there any more.
/// It doubles with each further unanswered request, until an answer arrives.
const UNANSWERED_PENALTY_FIRST: u64 = SECOND;
const UNANSWERED_PENALTY_MAX: u64 = 4 * SECOND;
/// Number of successive unanswered requests that outweigh answers to other hosts: the network path
/// from this host to the server may be cut.
const CUT_PATH_UNANSWERED: u32 = 3;
/// Number of hosts that must find a server silent before the other hosts eject it too. In a small
/// fleet one host in `SILENT_HOSTS_DIVISOR` is enough.
const SILENT_HOSTS_MAX: u32 = 3;
const SILENT_HOSTS_DIVISOR: u32 = 4;
/// Time in which a server's observed failure rate and slowness decay to 1/e without new answers, in
/// microseconds.
const OBSERVATION_DECAY_US: f64 = 5e6;
/// Time after an answer in which the server counts as healthy.
const HEALTHY_AFTER_ANSWER: u64 = 300 * MILLI;
/// Pause after a failed connection; it doubles with each further failure.
const RECONNECT_PAUSE_FIRST: u64 = 200 * MILLI;
const RECONNECT_PAUSE_MAX: u64 = 2 * SECOND;
/// Time for which a server counts as full after it answered that it is.
const FULL_PAUSE: u64 = 60 * MILLI;
/// Longest back-off that is taken from one answer. After that the server is tried again.
const BACKOFF_MAX: u64 = 600 * SECOND;
/// Time for which a load reported by the server is used.
const REPORTED_LOAD_TIMEOUT: u64 = 150 * MILLI;
/// Maximum ratio of an answer time to the mean. It bounds the effect of a single answer.
const ANSWER_RATIO_MAX: f64 = 8.0;
/// Bounds of the factor by which an answer time is divided. They bound the effect of a figure that a
/// server reports wrongly.
const ANSWER_FACTOR_MIN: f64 = 0.25;
const ANSWER_FACTOR_MAX: f64 = 4.0;
/// Added to the time that a server is cold, for the propagation delay of its entry.
const COLD_MARGIN: u64 = 300 * MILLI;

/// State of a backend server, as this host sees it.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// Id of the server; normally new for each start. [`Server::born`] distinguishes starts that
    /// share an id.
    pub id: String,
    /// Hash of the id.
    pub hash: u64,
    /// The server's entry in the store.
    pub server: Server,
    /// Region of the server.
    pub region: String,
    /// Index of the server's failure domain in the server table.
    pub domain_index: u16,
    /// This host's requests in flight at the server.
    pub own_in_flight: u32,
    /// Bytes of the bodies of those requests, and their bound; 0 for none.
    body_bytes: u64,
    body_bytes_max: u64,
    /// The other hosts' requests in flight at the server.
    pub others_in_flight: u32,
    /// Number of other hosts that find the server silent.
    pub silent_elsewhere: u32,
    /// Number of other hosts that the server answers; reported only while some host finds it
    /// silent.
    pub answers_elsewhere: u32,
    /// The server counts as cold until then, whatever its entry says.
    cold_until: Time,
    /// The server is cold until then by its entry in the store.
    entry_cold_until: Time,
    /// Whether this host is one of the senders while the server is cold.
    pub cold_sender: bool,
    /// When this host last sent a request while the server was cold.
    pub last_cold_send: Option<Time>,
    /// Since when the requests in flight have been waiting without any answer.
    waiting_since: Option<Time>,
    /// Number of this host's requests in flight for keys that the server is not warm for, at most.
    not_warm_in_flight: u32,
    /// Requests that were given up without an answer, since the last answer.
    unanswered: u32,
    /// When the last of them was given up.
    last_unanswered_at: Time,
    /// When the last answer of any kind arrived.
    pub last_answered: Option<Time>,
    /// When the last request was sent; limits the rate of probes.
    last_sent_at: Time,
    /// Since when the server is silent or unreachable, as of the last call of `silence_change`.
    silent_since: Option<Time>,
    /// Number of successive failed connections, and when the next one may be tried.
    connection_failures: u32,
    reconnect_at: Time,
    /// The server gets no requests until then, because it was full or another server had its
    /// address.
    refused_until: Time,
    /// Number of requests that the server last reported, and when.
    reported_load: Option<(u32, Time)>,
    /// The limit that the server sets, and this host's share of it.
    pub server_limit: ServerLimit,
    /// Whether the server announced that it is leaving.
    pub leaving: bool,
    /// The server asked this host not to send until then.
    pub backoff_until: Time,
    /// Requests that the server refused with free slots, and all requests.
    pub refusals: RefusalCounts,
    /// Moving average of failed answers, 0 to 1.
    failure_rate: f64,
    /// Moving average of the ratio of answer times to the service's mean; 1 is average.
    slowness: f64,
    /// What the server reports about how fast it works.
    pub speed: ServerSpeed,
    /// Time in which the weight of such a report decays to 1/e, in microseconds; 0 if reports are
    /// not used.
    pub report_decay: u64,
    /// Factor that the server reported with the response whose outcome is recorded next; `None` for
    /// any other response.
    answer_factor: Option<f64>,
    /// When the failure rate and the slowness were last updated.
    observed_at: Time,
    /// When the server leaves the table because the store no longer lists it.
    pub lapses_at: Option<Time>,
    /// Since when this host knows the server.
    pub known_since: Time,
    /// Role in the rollout of the service; decides which requests the server may get.
    pub rollout_role: RolloutRole,
}

/// What happened to a request that was sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete answer arrived.
    Answered {
        /// Answer time in microseconds.
        micros: u64,
        /// Whether the server was considered warm for the key.
        was_warm: bool,
    },
    /// A complete answer arrived that reports a failure of the server.
    Failed,
    /// The server was full and did not run the request.
    Full,
    /// The server did not run the request, although it had free slots.
    RefusedWithFreeSlots,
    /// Another server now has the address.
    WrongServer,
    /// No connection could be established; nothing was sent.
    NoConnection,
    /// The request was not to be sent any more when there was a connection; nothing was sent.
    NotSent,
    /// The request was sent and its result is unknown, as the response is not usable.
    Unknown,
    /// The request was sent, and the connection failed before any response.
    NoResponse,
    /// The server crashed after the request was sent.
    ServerCrashed,
    /// No answer arrived in time.
    Silent,
    /// The caller closed its connection.
    CallerGone,
}

impl Outcome {
    /// Whether the server was considered warm for the key; `None` if it did not answer.
    pub fn was_warm(self) -> Option<bool> {
        match self {
            Outcome::Answered { was_warm, .. } => Some(was_warm),
            _ => None,
        }
    }

    /// Name of the outcome in logs.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Answered { .. } => "answered",
            Outcome::Failed => "failed",
            Outcome::Full => "full",
            Outcome::RefusedWithFreeSlots => "refused",
            Outcome::WrongServer => "elsewhere",
            Outcome::NoConnection => "no_connection",
            Outcome::NotSent => "not_sent",
            Outcome::Unknown => "broken",
            Outcome::NoResponse => "no_response",
            Outcome::ServerCrashed => "server_ended",
            Outcome::Silent => "silent",
            Outcome::CallerGone => "left",
        }
    }
}

/// Moving averages of the answer times of one service.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimes {
    /// Mean answer time, in milliseconds.
    pub mean_ms: f64,
    /// Mean answer time of servers that were warm for the key, in milliseconds.
    pub warm_ms: f64,
    /// Mean answer time of servers that were not, in milliseconds.
    pub not_warm_ms: f64,
    /// Answer times that decide when a server is silent.
    pub silence: SilenceTimes,
}

impl Default for AnswerTimes {
    fn default() -> AnswerTimes {
        AnswerTimes {
            mean_ms: INITIAL_ANSWER_MS,
            warm_ms: INITIAL_ANSWER_MS,
            not_warm_ms: INITIAL_ANSWER_MS * INITIAL_NOT_WARM_FACTOR,
            silence: SilenceTimes::default(),
        }
    }
}

impl AnswerTimes {
    /// Adds an answer time. Returns its ratio to the mean of its kind, warm or not warm.
    fn record(&mut self, millis: f64, was_warm: bool) -> f64 {
        self.mean_ms += (millis - self.mean_ms) * ANSWER_TIME_WEIGHT;
        self.silence.record(millis, was_warm);
        let kind = if was_warm { &mut self.warm_ms } else { &mut self.not_warm_ms };
        let ratio = (millis / *kind).min(ANSWER_RATIO_MAX);
        *kind += (millis - *kind) * ANSWER_TIME_WEIGHT;
        ratio
    }
}

impl ServerEntry {
    /// Creates the state of a server that has just appeared in the store.
    pub fn new(now: Time, id: &str, server: &Server, region: &str) -> ServerEntry {
        let mut entry = ServerEntry {
            id: id.to_owned(),
            hash: hash::of(id),
            server: server.clone(),
            region: region.to_owned(),
            domain_index: 0,
            own_in_flight: 0,
            body_bytes: 0,
            body_bytes_max: 0,
            others_in_flight: 0,
            silent_elsewhere: 0,
            answers_elsewhere: 0,
            cold_until: Time(0),
            entry_cold_until: Time(0),
            cold_sender: false,
            last_cold_send: None,
            waiting_since: None,
            not_warm_in_flight: 0,
            unanswered: 0,
            last_unanswered_at: Time(0),
            last_answered: None,
            last_sent_at: Time(0),
            silent_since: None,
            connection_failures: 0,
            reconnect_at: Time(0),
            refused_until: Time(0),
            reported_load: None,
            server_limit: ServerLimit::default(),
            leaving: false,
            backoff_until: Time(0),
            refusals: RefusalCounts::default(),
            failure_rate: 0.0,
            slowness: 1.0,
            speed: ServerSpeed::default(),
            report_decay: 0,
            answer_factor: None,
            observed_at: now,
            lapses_at: None,
            known_since: now,
            rollout_role: RolloutRole::Unaffected,
        };
        entry.set_entry_cold(now, server.cold_ms);
        entry
    }

    /// Requests in flight from all hosts, as far as this host knows.
    pub fn in_flight(&self, now: Time) -> u32 {
        (self.own_in_flight + self.others_in_flight).max(self.fresh_reported_load(now))
    }

    /// Number of requests that the server reported very recently; 0 if it reported none.
    fn fresh_reported_load(&self, now: Time) -> u32 {
        match self.reported_load {
            Some((requests, at)) if now.since(at) < REPORTED_LOAD_TIMEOUT => requests,
            _ => 0,
        }
    }

    /// Whether the server has a free slot if one request of this host does not count.
    pub fn has_slot_beside_one(&self, now: Time) -> bool {
        let counted = (self.own_in_flight + self.others_in_flight).saturating_sub(1);
        counted.max(self.fresh_reported_load(now)) < self.server.slots
    }

    /// Counts `bytes` of a body as in flight, under the given bound.
    pub fn add_body_in_flight(&mut self, bytes: u64, bytes_max: u64) {
        self.body_bytes += bytes;
        self.body_bytes_max = bytes_max;
    }

    /// Counts `bytes` of a body as no longer in flight.
    pub fn remove_body_in_flight(&mut self, bytes: u64) {
        self.body_bytes = self.body_bytes.saturating_sub(bytes);
    }

    /// Whether the bodies in flight are below their bound.
    pub fn bears_more_bytes(&self) -> bool {
        self.body_bytes_max == 0 || self.body_bytes < self.body_bytes_max
    }

    /// Whether the server is leaving, by the store or by its own announcement.
    pub fn is_leaving(&self) -> bool {
        self.server.draining || self.leaving
    }

    /// Whether a back-off that the server asked of this host is in force.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    /// Takes in a back-off of `micros` microseconds. Returns whether none was in force.
    ///
    /// A back-off from an earlier answer stays in force, so the end only moves later.
    pub fn back_off(&mut self, now: Time, micros: u64) -> bool {
        let is_new = !self.is_backing_off(now);
        self.backoff_until = self.backoff_until.max(now + micros.min(BACKOFF_MAX));
        is_new
    }

    /// Whether the server counts as cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until.max(self.entry_cold_until)
    }

    /// Whether this host is waiting for an answer for too long, or recently gave up on one.
    pub fn is_silent(&self, now: Time, times: AnswerTimes) -> bool {
        let timeout = times.silence.timeout(times.mean_ms, self.not_warm_in_flight > 0);
        self.waiting_since.is_some_and(|since| now.since(since) > timeout)
            || self.has_recent_unanswered(now)
    }

    /// Since when the server is silent or unreachable; `None` if it is not.
    pub fn silent_since(&self) -> Option<Time> {
        self.silent_since
    }

    /// Whether requests that were given up still count against the server.
    fn has_recent_unanswered(&self, now: Time) -> bool {
        let doublings = self.unanswered.saturating_sub(1).min(4);
        let penalty = (UNANSWERED_PENALTY_FIRST << doublings).min(UNANSWERED_PENALTY_MAX);
        self.unanswered > 0 && now.since(self.last_unanswered_at) < penalty
    }

    /// Recent fraction of answers that failed, 0 to 1. It decays, because a server that gets no
    /// requests would never recover otherwise.
    pub fn failure_rate(&self, now: Time) -> f64 {
        self.failure_rate * self.observation_weight(now)
    }

    /// Expected answer time relative to the service's mean; 1 is average. It is the product of what
    /// the server reports about itself and of what this host observes beyond that.
    pub fn slowness(&self, now: Time) -> f64 {
        self.observed_slowness(now) * self.speed.factor(now, self.report_decay)
    }

    /// Recent answer time relative to what the service's mean and the server's reports let expect.
    /// It decays like the failure rate.
    fn observed_slowness(&self, now: Time) -> f64 {
        1.0 + (self.slowness - 1.0) * self.observation_weight(now)
    }

    /// Weight of past observations, 0 to 1.
    fn observation_weight(&self, now: Time) -> f64 {
        (-(now.since(self.observed_at) as f64) / OBSERVATION_DECAY_US).exp()
    }

    /// Whether the server answered this host very recently.
    pub fn answered_recently(&self, now: Time) -> bool {
        self.last_answered.is_some_and(|at| now.since(at) < HEALTHY_AFTER_ANSWER)
    }

    /// Whether the server is ejected for silence, by what this host observes and what the others of
    /// the `live_hosts` live hosts report.
    ///
    /// An answer to any host shows that the server runs, so a single lost answer does not eject it
    /// anywhere. A report from a single host does not eject it either: the network path from that
    /// host may be cut.
    pub fn is_ejected(&self, now: Time, times: AnswerTimes, live_hosts: usize) -> bool {
        if self.is_silent(now, times) {
            return self.answers_elsewhere == 0 || self.unanswered >= CUT_PATH_UNANSWERED;
        }
        self.is_reported_silent(now, live_hosts)
    }

    /// Whether enough other hosts report the server as silent for it to be ejected here.
    pub fn is_reported_silent(&self, now: Time, live_hosts: usize) -> bool {
        let needed = (live_hosts as u32).div_ceil(SILENT_HOSTS_DIVISOR).min(SILENT_HOSTS_MAX);
        self.silent_elsewhere >= needed
            && self.answers_elsewhere == 0
            && !self.answered_recently(now)
    }

    /// Whether the server gets only one request of this host at a time, because it has not answered
    /// since a request was given up.
    pub fn is_probing(&self) -> bool {
        self.unanswered > 0
    }

    /// Whether a connection may be tried and the server has not recently refused a request.
    pub fn is_reachable(&self, now: Time) -> bool {
        now >= self.reconnect_at && now >= self.refused_until
    }

    /// Whether a silent server is due for a probe, at least `interval` microseconds after the last
    /// request.
    pub fn probe_due(&self, now: Time, interval: u64) -> bool {
        now.since(self.last_sent_at) > interval
    }

    /// Makes the server count as cold for at least `millis` milliseconds from now.
    pub fn extend_cold(&mut self, now: Time, millis: u64) {
        if millis > 0 {
            self.cold_until = self.cold_until.max(cold_end(now, millis));
        }
    }

    /// Makes the server cold for as long as its entry in the store says. A newer entry replaces what
    /// an earlier one said, as that may have been wrong.
    pub fn set_entry_cold(&mut self, now: Time, millis: u64) {
        self.entry_cold_until = if millis > 0 { cold_end(now, millis) } else { Time(0) };
    }

    /// Records that this host sent a request to the server, which is warm for its key or not.
    pub fn record_sent(&mut self, now: Time, is_warm: bool) {
        self.own_in_flight += 1;
        self.not_warm_in_flight += u32::from(!is_warm);
        self.last_sent_at = now;
        self.waiting_since.get_or_insert(now);
        if self.is_cold(now) {
            self.last_cold_send = Some(now);
        }
        self.server_limit.record_sent(now);
    }

    /// Takes in the number of requests that the server reported in an answer.
    pub fn record_load(&mut self, now: Time, requests: u32) {
        self.reported_load = Some((requests, now));
    }

    /// Takes in a report of how fast the server works, in percent of the usual time, that was read
    /// from it `age` microseconds ago. Returns whether it is used: it is plausible and the newest.
    pub fn record_speed(&mut self, now: Time, percent: u16, age: u64, source: SpeedSource) -> bool {
        if self.report_decay == 0 || !server_speed::is_plausible(percent) {
            return false;
        }
        if source == SpeedSource::Answer {
            self.answer_factor = Some(server_speed::factor_of(percent));
        }
        match source {
            SpeedSource::Answer | SpeedSource::BrokenAnswer => {
                self.speed.on_own_report(now, percent)
            }
            SpeedSource::Host => self.speed.on_report(now, percent, age),
        }
    }

    /// Records that the server's process ended, observed by this host or reported by another.
    ///
    /// The failure rate and the slowness stay as they are: a crash says nothing about how the
    /// server answers requests, as it is gone or about to be replaced by another start.
    pub fn record_crash(&mut self, now: Time) {
        self.reconnect_at = now + RECONNECT_PAUSE_MAX;
    }

    /// Hash that identifies this start of the server, equal on all hosts.
    pub fn start_hash(&self) -> u64 {
        match self.server.born {
            0 => self.hash,
            born => hash::combine(self.hash, born),
        }
    }

    /// Records the outcome of a request that was sent.
    pub fn record_outcome(&mut self, now: Time, outcome: Outcome, times: &mut AnswerTimes) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        let ended_not_warm = u32::from(outcome.was_warm() == Some(false));
        self.not_warm_in_flight =
            self.not_warm_in_flight.saturating_sub(ended_not_warm).min(self.own_in_flight);
        let reported = self.answer_factor.take().unwrap_or(1.0);
        match outcome {
            Outcome::Answered { micros, was_warm } => {
                self.record_answer(now);
                self.update_failure_rate(now, false);
                // What the server reported with the answer is not counted here again.
                let factor = reported.clamp(ANSWER_FACTOR_MIN, ANSWER_FACTOR_MAX);
                let usual_ms = micros as f64 / MILLI as f64 / factor;
                let ratio = times.record(usual_ms, was_warm);
                self.slowness += (ratio - self.slowness) * ANSWER_TIME_WEIGHT;
            }
            Outcome::Failed | Outcome::Unknown => {
                self.record_answer(now);
                self.update_failure_rate(now, true);
            }
            // The path may be cut, so this does not show that the server runs.
            Outcome::NoResponse => self.update_failure_rate(now, true),
            Outcome::Full => {
                self.record_answer(now);
                self.refused_until = now + FULL_PAUSE;
            }
            Outcome::RefusedWithFreeSlots => self.record_answer(now),
            Outcome::WrongServer => {
                self.record_answer(now);
                self.refused_until = now + RECONNECT_PAUSE_MAX;
            }
            Outcome::NoConnection => {
                let pause = RECONNECT_PAUSE_FIRST << self.connection_failures.min(4);
                self.connection_failures += 1;
                self.reconnect_at = now + pause.min(RECONNECT_PAUSE_MAX);
            }
            Outcome::ServerCrashed => self.record_crash(now),
            Outcome::NotSent => {}
            // Other requests were answered meanwhile, so only this one was lost.
            Outcome::Silent if !self.record_unanswered(now) => self.update_failure_rate(now, true),
            Outcome::Silent => {}
            Outcome::CallerGone => {
                self.record_unanswered(now);
            }
        }
        if self.own_in_flight == 0 {
            self.waiting_since = None;
        }
    }

    /// Forgets failures that were due to this host's network path. Requests in flight wait from now
    /// on.
    pub fn forget_failures(&mut self, now: Time) {
        self.unanswered = 0;
        self.connection_failures = 0;
        self.reconnect_at = now;
        self.failure_rate = 0.0;
        self.observed_at = now;
        self.waiting_since = (self.own_in_flight > 0).then_some(now);
    }

    /// Records a request that was given up. Returns whether it counts as unanswered: nothing was
    /// answered while it waited long enough.
    fn record_unanswered(&mut self, now: Time) -> bool {
        let unanswered =
            self.waiting_since.is_some_and(|since| now.since(since) >= SILENCE_TIMEOUT_MIN);
        if unanswered {
            self.unanswered += 1;
            self.last_unanswered_at = now;
        }
        unanswered
    }

    /// Whether the server is silent or unreachable; `None` if that has not changed since the last
    /// call.
    pub fn silence_change(&mut self, now: Time, times: AnswerTimes) -> Option<bool> {
        let silent = self.is_silent(now, times) || self.connection_failures > 1;
        let changed = silent != self.silent_since.is_some();
        if changed {
            self.silent_since = silent.then_some(now);
        }
        changed.then_some(silent)
    }

    fn record_answer(&mut self, now: Time) {
        self.last_answered = Some(now);
        self.connection_failures = 0;
        // The server runs after all, so the missing answers were failures.
        for _ in 0..self.unanswered.min(CUT_PATH_UNANSWERED) {
            self.update_failure_rate(now, true);
        }
        self.unanswered = 0;
        self.waiting_since = (self.own_in_flight > 0).then_some(now);
    }

    fn update_failure_rate(&mut self, now: Time, failed: bool) {
        (self.failure_rate, self.slowness) = (self.failure_rate(now), self.observed_slowness(now));
        self.observed_at = now;
        let value = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (value - self.failure_rate) * FAILURE_WEIGHT;
    }
}

/// When a server that is cold for `millis` milliseconds from now on is warm.
fn cold_end(now: Time, millis: u64) -> Time {
    now + millis.saturating_mul(MILLI).saturating_add(COLD_MARGIN)
}
