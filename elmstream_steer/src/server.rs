//! A backend server, with what this host and the others see of it.

use elmstream::time::{MILLI, SECOND, Time};

use crate::{hash, model::Server, rollout::RolloutRole, server_limit::ServerLimit};

/// Weight of one more answer in the mean of answer times.
const MEAN_WEIGHT: f64 = 0.05;
/// Weight of one more answer in a server's part of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Answer time that is assumed before the first answer, in milliseconds.
const FIRST_GUESS_MS: f64 = 150.0;
/// Answer time of a server that does not know the key, as a multiple, till learned.
const UNKNOWING: f64 = 3.0;
/// A server is silent after this many mean answer times without an answer.
const SILENT_MEANS: f64 = 3.0;
/// Bounds of the time after which a server is silent.
const SILENT_MIN: u64 = 600 * MILLI;
const SILENT_MAX: u64 = 1_500 * MILLI;
/// How long a request that was not answered speaks against a server once nothing is
/// in flight there; doubled by each further one, as long as no answer comes.
const SUSPECT_FIRST: u64 = SECOND;
const SUSPECT_MAX: u64 = 4 * SECOND;
/// Unanswered requests in a row that outweigh other hosts' answers: the way from this
/// host to the server may be cut.
const CUT_OFF: u32 = 3;
/// Hosts that must wait in vain for a server before the others leave it as well, and
/// the part of a small fleet's hosts that is enough.
const WITNESSES: u32 = 3;
const WITNESS_PART: u32 = 4;
/// Time in which what was learned of a server's failures and slowness fades to a third
/// if nothing more is learned, in microseconds.
const JUDGED: f64 = 5e6;
/// How long an answer is taken to show that a server is well.
const WELL: u64 = 300 * MILLI;
/// Pause after a failed connection; doubled by each further one.
const DOWN_FIRST: u64 = 200 * MILLI;
const DOWN_MAX: u64 = 2 * SECOND;
/// How long a server that said it is full counts as full.
const FULL: u64 = 60 * MILLI;
/// Longest rest that a server gets in one go; it is asked again then.
const REST_MAX: u64 = 600 * SECOND;
/// How long a load that a server told counts.
const TOLD: u64 = 150 * MILLI;
/// An answer counts as this many times as long as usual at most.
const SLOWEST: f64 = 8.0;
/// Added to the time that a server is cold, for what its news took.
const COLD_MARGIN: u64 = 300 * MILLI;

/// A backend server.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// Its id, anew at each start.
    pub id: String,
    /// Hash of the id.
    pub hash: u64,
    /// As the store has it.
    pub server: Server,
    /// Its region.
    pub region: String,
    /// This host's requests in flight.
    pub own_in_flight: u32,
    /// The other hosts' requests in flight.
    pub others_in_flight: u32,
    /// Other hosts that wait for its answers in vain.
    pub silent_elsewhere: u32,
    /// Other hosts that it answers, told while some host waits in vain.
    pub answers_elsewhere: u32,
    /// It counts as cold until then.
    pub cold_until: Time,
    /// Whether this host is among those that may send to it while it is cold.
    pub cold_sender: bool,
    /// Last request that was sent while it was cold.
    pub last_cold_send: Option<Time>,
    /// Requests in flight wait for an answer since then, with none in between.
    waiting_since: Option<Time>,
    /// Requests that were given up without an answer since the last one.
    unanswered: u32,
    /// When the last one of them was given up.
    unanswered_at: Time,
    /// Last answer of any kind.
    pub last_answered: Option<Time>,
    /// Last trial of a silent server.
    tried: Time,
    /// Whether it was silent, or took no connections, when this was last asked.
    was_silent: bool,
    /// Failed connections in a row, and when the next one may be tried.
    failures: u32,
    down_until: Time,
    /// It said that it is full, or elsewhere, until then.
    refused_until: Time,
    /// Requests that it last said to have, and when.
    told: Option<(u32, Time)>,
    /// The limit that it names, and this host's part in it.
    pub server_limit: ServerLimit,
    /// Whether it said that it is about to leave.
    pub leaving: bool,
    /// It wants nothing from this host until then.
    pub backoff_until: Time,
    /// Part of lately answered requests that failed, 0 to 1.
    failure_rate: f64,
    /// Mean answer time against the service's, 1 for alike.
    slowness: f64,
    /// When the two were last learned.
    judged: Time,
    /// The store no longer lists it; it leaves the table then.
    pub lapses_at: Option<Time>,
    /// Since when it is known.
    pub known_since: Time,
    /// Whether it may get requests while its service is rolled out.
    pub rollout_role: RolloutRole,
}

/// What became of a request at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer came.
    Answered {
        /// After this many microseconds.
        micros: u64,
        /// Whether the server was taken to know the key.
        was_warm: bool,
    },
    /// A whole answer that is a failure of the server.
    Failed,
    /// It was full and did not run the request.
    Full,
    /// Another server has the address now.
    WrongServer,
    /// No connection came up; nothing was sent.
    NoConnection,
    /// Its time was over before a connection was there; nothing was sent.
    NotSent,
    /// It was sent, and what became of it is not known.
    Unknown,
    /// The server ended after it was sent.
    ServerCrashed,
    /// No answer in time.
    Silent,
    /// The caller left.
    CallerGone,
}

impl Outcome {
    /// Whether the server was taken to know the key; none if it did not answer.
    pub fn was_warm(self) -> Option<bool> {
        match self {
            Outcome::Answered { was_warm: knew, .. } => Some(knew),
            _ => None,
        }
    }

    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Answered { .. } => "answered",
            Outcome::Failed => "failed",
            Outcome::Full => "full",
            Outcome::WrongServer => "elsewhere",
            Outcome::NoConnection => "no_connection",
            Outcome::NotSent => "not_sent",
            Outcome::Unknown => "broken",
            Outcome::ServerCrashed => "server_ended",
            Outcome::Silent => "silent",
            Outcome::CallerGone => "left",
        }
    }
}

/// Answer times of one service.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimes {
    /// Mean answer time, in milliseconds.
    pub mean_ms: f64,
    /// The same of servers that were taken to know the key.
    pub warm_ms: f64,
    /// The same of the others.
    pub not_warm_ms: f64,
}

impl Default for AnswerTimes {
    fn default() -> AnswerTimes {
        AnswerTimes {
            mean_ms: FIRST_GUESS_MS,
            warm_ms: FIRST_GUESS_MS,
            not_warm_ms: FIRST_GUESS_MS * UNKNOWING,
        }
    }
}

impl AnswerTimes {
    /// Takes an answer time in; how long it was against the service's mean of its kind.
    fn learn(&mut self, millis: f64, knew: bool) -> f64 {
        self.mean_ms += (millis - self.mean_ms) * MEAN_WEIGHT;
        let kind = if knew { &mut self.warm_ms } else { &mut self.not_warm_ms };
        let ratio = (millis / *kind).min(SLOWEST);
        *kind += (millis - *kind) * MEAN_WEIGHT;
        ratio
    }
}

impl ServerEntry {
    /// A server that has just come up in the store.
    pub fn new(now: Time, id: &str, server: &Server, region: &str) -> ServerEntry {
        let mut entry = ServerEntry {
            id: id.to_owned(),
            hash: hash::of(id),
            server: server.clone(),
            region: region.to_owned(),
            own_in_flight: 0,
            others_in_flight: 0,
            silent_elsewhere: 0,
            answers_elsewhere: 0,
            cold_until: Time(0),
            cold_sender: false,
            last_cold_send: None,
            waiting_since: None,
            unanswered: 0,
            unanswered_at: Time(0),
            last_answered: None,
            tried: Time(0),
            was_silent: false,
            failures: 0,
            down_until: Time(0),
            refused_until: Time(0),
            told: None,
            server_limit: ServerLimit::default(),
            leaving: false,
            backoff_until: Time(0),
            failure_rate: 0.0,
            slowness: 1.0,
            judged: now,
            lapses_at: None,
            known_since: now,
            rollout_role: RolloutRole::Unaffected,
        };
        entry.extend_cold(now, server.cold_ms);
        entry
    }

    /// Requests in flight from all hosts, as far as is known.
    pub fn in_flight(&self, now: Time) -> u32 {
        let counted = self.own_in_flight + self.others_in_flight;
        match self.told {
            Some((told, at)) if now.since(at) < TOLD => counted.max(told),
            _ => counted,
        }
    }

    /// Whether it is about to leave, by the store or by its own word.
    pub fn is_leaving(&self) -> bool {
        self.server.draining || self.leaving
    }

    /// Whether it has asked this host for rest that is not over.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    /// It wants nothing from this host for so many microseconds; whether that is news.
    ///
    /// What an earlier answer asked for stands, so the end only moves later.
    pub fn back_off(&mut self, now: Time, micros: u64) -> bool {
        let rested = !self.is_backing_off(now);
        self.backoff_until = self.backoff_until.max(now + micros.min(REST_MAX));
        rested
    }

    /// Whether it counts as cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Whether this host waits for answers of it in vain, or lately did.
    pub fn is_silent(&self, now: Time, pace: AnswerTimes) -> bool {
        let patience = (pace.mean_ms * SILENT_MEANS) as u64 * MILLI;
        let patience = patience.clamp(SILENT_MIN, SILENT_MAX);
        self.waiting_since.is_some_and(|since| now.since(since) > patience) || self.suspect(now)
    }

    /// Whether requests that were given up still speak against it.
    fn suspect(&self, now: Time) -> bool {
        let doublings = self.unanswered.saturating_sub(1).min(4);
        let span = (SUSPECT_FIRST << doublings).min(SUSPECT_MAX);
        self.unanswered > 0 && now.since(self.unanswered_at) < span
    }

    /// Part of lately answered requests that failed, 0 to 1. It fades, as a server that
    /// is left for it is not judged anew.
    pub fn failure_rate(&self, now: Time) -> f64 {
        self.failure_rate * self.judgement(now)
    }

    /// Mean answer time against the service's, 1 for alike. It fades likewise.
    pub fn slowness(&self, now: Time) -> f64 {
        1.0 + (self.slowness - 1.0) * self.judgement(now)
    }

    /// How far what was learned still counts, 0 to 1.
    fn judgement(&self, now: Time) -> f64 {
        (-(now.since(self.judged) as f64) / JUDGED).exp()
    }

    /// Whether it answered this host just now.
    pub fn answered_recently(&self, now: Time) -> bool {
        self.last_answered.is_some_and(|at| now.since(at) < WELL)
    }

    /// Whether it is left alone for its silence, by what this host sees and what the
    /// others of `hosts` live ones say.
    ///
    /// An answer to any host shows that the server runs, so one lost answer does not
    /// take it from anybody. One host's word alone does not count either: the way from
    /// that host may be cut.
    pub fn is_ejected(&self, now: Time, pace: AnswerTimes, hosts: usize) -> bool {
        if self.is_silent(now, pace) {
            return self.answers_elsewhere == 0 || self.unanswered >= CUT_OFF;
        }
        let witnesses = (hosts as u32).div_ceil(WITNESS_PART).min(WITNESSES);
        self.silent_elsewhere >= witnesses
            && self.answers_elsewhere == 0
            && !self.answered_recently(now)
    }

    /// Whether it gets one request of this host at a time, as it has not answered since
    /// it was given up.
    pub fn is_probing(&self) -> bool {
        self.unanswered > 0
    }

    /// Whether a connection may be tried and it has not just refused.
    pub fn is_reachable(&self, now: Time) -> bool {
        now >= self.down_until && now >= self.refused_until
    }

    /// Whether a silent server is due for a trial; `apart` is the time between.
    pub fn probe_due(&self, now: Time, apart: u64) -> bool {
        now.since(self.tried) > apart
    }

    /// The server stays cold for at least this long from now.
    pub fn extend_cold(&mut self, now: Time, millis: u64) {
        if millis > 0 {
            self.cold_until = self.cold_until.max(now + millis * MILLI + COLD_MARGIN);
        }
    }

    /// A request is sent.
    pub fn record_sent(&mut self, now: Time) {
        self.own_in_flight += 1;
        self.tried = now;
        self.waiting_since.get_or_insert(now);
        if self.is_cold(now) {
            self.last_cold_send = Some(now);
        }
        self.server_limit.record_sent(now);
    }

    /// What the server said of its load.
    pub fn record_load(&mut self, now: Time, requests: u32) {
        self.told = Some((requests, now));
    }

    /// Its process has ended, as this host saw or another one told.
    ///
    /// That says nothing of how it works: it is gone, or another start takes its place.
    pub fn record_crash(&mut self, now: Time) {
        self.down_until = now + DOWN_MAX;
    }

    /// What tells this start of it from others, alike on all hosts.
    pub fn start_hash(&self) -> u64 {
        match self.server.born {
            0 => self.hash,
            born => hash::combine(self.hash, born),
        }
    }

    /// Takes in what became of a request that was sent.
    pub fn record_outcome(&mut self, now: Time, outcome: Outcome, pace: &mut AnswerTimes) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered { micros, was_warm: knew } => {
                self.heard(now);
                self.fail(now, false);
                let ratio = pace.learn(micros as f64 / MILLI as f64, knew);
                self.slowness += (ratio - self.slowness) * MEAN_WEIGHT;
            }
            Outcome::Failed | Outcome::Unknown => {
                self.heard(now);
                self.fail(now, true);
            }
            Outcome::Full => {
                self.heard(now);
                self.refused_until = now + FULL;
            }
            Outcome::WrongServer => {
                self.heard(now);
                self.refused_until = now + DOWN_MAX;
            }
            Outcome::NoConnection => {
                let pause = DOWN_FIRST << self.failures.min(4);
                self.failures += 1;
                self.down_until = now + pause.min(DOWN_MAX);
            }
            Outcome::ServerCrashed => self.record_crash(now),
            Outcome::NotSent => {}
            // Others were answered meanwhile, so this one was lost.
            Outcome::Silent if !self.unheard(now) => self.fail(now, true),
            Outcome::Silent => {}
            Outcome::CallerGone => {
                self.unheard(now);
            }
        }
        if self.own_in_flight == 0 {
            self.waiting_since = None;
        }
    }

    /// A request was given up. It speaks for silence if nothing was answered while it
    /// waited long enough; whether it does.
    fn unheard(&mut self, now: Time) -> bool {
        let unheard = self.waiting_since.is_some_and(|since| now.since(since) >= SILENT_MIN);
        if unheard {
            self.unanswered += 1;
            self.unanswered_at = now;
        }
        unheard
    }

    /// Whether it has fallen silent, or takes no connections; some if that has turned
    /// since this was last asked.
    pub fn silence_change(&mut self, now: Time, pace: AnswerTimes) -> Option<bool> {
        let silent = self.is_silent(now, pace) || self.failures > 1;
        let turned = silent != self.was_silent;
        self.was_silent = silent;
        turned.then_some(silent)
    }

    fn heard(&mut self, now: Time) {
        self.last_answered = Some(now);
        self.failures = 0;
        // It runs after all, so the answers that did not come were lost.
        for _ in 0..self.unanswered.min(CUT_OFF) {
            self.fail(now, true);
        }
        self.unanswered = 0;
        self.waiting_since = (self.own_in_flight > 0).then_some(now);
    }

    fn fail(&mut self, now: Time, failed: bool) {
        (self.failure_rate, self.slowness) = (self.failure_rate(now), self.slowness(now));
        self.judged = now;
        let value = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (value - self.failure_rate) * FAILURE_WEIGHT;
    }
}
