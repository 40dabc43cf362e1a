//! What callers sent and got, what upstreams ran, what was disturbed when, and the promises that
//! are checked on it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::notices::Arrival;

/// Time after a disturbance from which an instance is held to the limits again
/// (`bounds.stable-window-ms` of the soak's settings).
pub const SETTLING: Duration = Duration::from_secs(3);

/// Time for which a leaving upstream may still get requests (`drain-ms`).
pub(super) const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Time within which work for a caller that left ends, as the operators state it.
const LEAVE_LIMIT: Duration = Duration::from_millis(500);

/// Time after the route's time limit by which a request has an answer, as the operators state it.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Time after a planned stop in which new requests are still to be served.
const STOP_SERVES: Duration = Duration::from_secs(3);

/// Runs of one caller's request on upstreams, at most (`max-attempts` of the routes).
pub const MAX_ATTEMPTS: usize = 2;

/// Kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Runs at most once.
    Once,
    /// May run again.
    Safe,
    /// A stream that may go on at another upstream.
    Resumable,
    /// A stream that may not.
    Stream,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Once, Self::Safe, Self::Resumable, Self::Stream];

    /// Returns the prefix of its route.
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Once => "/once/",
            Self::Safe => "/safe/",
            Self::Resumable => "/resumable/",
            Self::Stream => "/stream/",
        }
    }

    /// Tells whether it may run more than once.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Tells whether it is answered by events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Got {
    /// A whole success.
    Success,
    /// A failure of an upstream, handed on.
    UpstreamFailure(u16),
    /// An answer of the gateway's own.
    OwnStatus(u16),
    /// An answer that broke off, or none.
    Broken(String),
    /// The caller left before.
    Left,
    /// No answer in the time that the route allows, and half a second.
    Overdue,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Its kind.
    pub kind: Kind,
    /// Index of the gateway that took it.
    pub gateway: usize,
    /// When it was sent.
    pub at: Instant,
    /// What came of it, and when.
    pub got: Option<(Got, Instant)>,
    /// Time for which its caller did not read the answer.
    pub read_pauses: Duration,
}

/// One run at an upstream.
#[derive(Debug, Clone)]
pub struct Run {
    /// Index of the upstream.
    pub upstream: usize,
    /// When its request had arrived.
    pub arrived: Instant,
    /// When it began.
    pub at: Instant,
    /// When it ended, by itself or because the connection closed.
    pub ended: Option<Instant>,
    /// Status that it was answered with.
    pub status: u16,
    /// Whether it would have gone on for a second more.
    pub is_long: bool,
    /// Version of the weights that it began on, if it has a prompt.
    pub weights: Option<u64>,
}

/// A version of the weights that operators named.
#[derive(Debug, Clone, Copy)]
pub struct NamedVersion {
    /// The version.
    pub version: u64,
    /// When the store had confirmed it.
    pub confirmed: Option<Instant>,
}

/// An order as an upstream received it.
#[derive(Debug, Clone)]
pub struct Order {
    /// Index of the upstream.
    pub upstream: usize,
    /// When it came.
    pub at: Instant,
    /// Name of the gateway that gave it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
}

/// What is disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The store, for all.
    Store,
    /// The process of a gateway.
    Process(usize),
    /// The link from a gateway to the store.
    StoreLink(usize),
    /// The link to an upstream.
    UpstreamLink(usize),
    /// An upstream itself.
    Upstream(usize),
}

impl Scope {
    /// Tells whether it is a gateway or its link to the store.
    pub const fn is_gateway(self, gateway: usize) -> bool {
        matches!(self, Self::Process(other) | Self::StoreLink(other) if other == gateway)
    }
}

/// An upstream that was announced as leaving, until it returned.
#[derive(Debug, Clone, Copy)]
pub struct Leave {
    /// Its index.
    pub upstream: usize,
    /// When the store had confirmed it.
    pub told: Instant,
    /// When it was about to be announced as ready again.
    pub returned: Option<Instant>,
}

/// A disturbance and its span.
#[derive(Debug, Clone)]
pub(super) struct Disturbance {
    pub(super) scope: Scope,
    pub(super) from: Instant,
    pub(super) until: Option<Instant>,
}

/// Build of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Build {
    /// The build under test.
    This,
    /// The build that a variable names.
    Other,
}

/// Start of a gateway's process.
#[derive(Debug, Clone, Copy)]
struct Life {
    gateway: usize,
    build: Build,
    at: Instant,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Requests by id.
    pub sent: HashMap<String, Sent>,
    /// Runs by id.
    pub runs: HashMap<String, Vec<Run>>,
    /// Arrivals of requests at upstreams.
    pub arrivals: Vec<Arrival>,
    /// Leaves of upstreams.
    pub leaves: Vec<Leave>,
    /// Orders in the order in which they came.
    pub orders: Vec<Order>,
    /// Starts of gateways, oldest first.
    lives: Vec<Life>,
    /// When gateways were told to stop.
    pub stops: Vec<(usize, Instant)>,
    /// Versions of the weights that operators named, oldest first.
    pub named: Vec<NamedVersion>,
    /// Cache domains with the version of the weights under which each was first used.
    pub(super) caches: HashMap<String, u64>,
    pub(super) disturbances: Vec<Disturbance>,
    /// Promises broken, as they were seen.
    pub broken: Vec<String>,
}

/// Shared by all tasks of a soak.
pub type SharedLedger = Arc<Mutex<Ledger>>;

impl Ledger {
    /// Notes that a disturbance begins; returns its number.
    pub fn begin(&mut self, scope: Scope) -> usize {
        self.disturbances.push(Disturbance {
            scope,
            from: Instant::now(),
            until: None,
        });
        self.disturbances.len() - 1
    }

    /// Notes that a disturbance has ended.
    pub fn end(&mut self, number: usize) {
        self.disturbances[number].until = Some(Instant::now());
    }

    /// Notes that an upstream is about to be announced as ready again.
    pub fn note_return(&mut self, upstream: usize) {
        let leaves = self.leaves.iter_mut().rev();
        let mut leaves = leaves.filter(|leave| leave.upstream == upstream);
        leaves.next().expect("it left before").returned = Some(Instant::now());
    }

    /// Notes that a gateway is started.
    pub fn note_life(&mut self, gateway: usize, build: Build) {
        let at = Instant::now();
        self.lives.push(Life { gateway, build, at });
    }

    /// Returns the builds that gateways ran at a time, by gateway.
    fn builds_at(&self, at: Instant) -> Vec<Build> {
        let mut builds = Vec::new();
        for life in self.lives.iter().filter(|life| life.at <= at) {
            if life.gateway >= builds.len() {
                builds.resize(life.gateway + 1, life.build);
            }
            builds[life.gateway] = life.build;
        }
        builds
    }

    /// Notes a broken promise.
    pub fn breach(&mut self, rule: &str, id: &str, what: &str) {
        let sent = self.sent.get(id);
        let at = sent.map_or_else(Instant::now, |sent| sent.at);
        self.breach_at(rule, id, what, at);
    }

    /// Notes a promise that was broken at about a time, with the builds of that time if there were two.
    pub(super) fn breach_at(&mut self, rule: &str, id: &str, what: &str, at: Instant) {
        let sent = self.sent.get(id);
        let runs = self.runs.get(id);
        let mut line = format!("{rule}: {id}: {what}; sent {sent:?}; runs {runs:?}");
        if self.lives.iter().any(|life| life.build == Build::Other) {
            let builds = format!("; builds {:?}", self.builds_at(at));
            line.push_str(&builds);
        }
        self.broken.push(line);
    }

    /// Tells whether anything in scope was disturbed from a settling time before `from`.
    pub(super) fn is_disturbed(
        &self,
        from: Instant,
        until: Instant,
        in_scope: impl Fn(Scope) -> bool,
    ) -> bool {
        let from = from.checked_sub(SETTLING).unwrap_or(from);
        self.disturbances.iter().any(|disturbance| {
            in_scope(disturbance.scope)
                && disturbance.from <= until
                && disturbance.until.is_none_or(|ended| ended >= from)
        })
    }

    fn is_any_disturbed(&self, from: Instant, until: Instant) -> bool {
        self.is_disturbed(from, until, |_| true)
    }

    /// Checks all promises that need the whole record.
    pub fn check(&mut self, weights_limit: Duration) {
        let ids: Vec<String> = self.sent.keys().cloned().collect();
        for id in &ids {
            self.check_runs(id);
            self.check_refusal(id);
            self.check_leaving(id);
            self.check_stop(id);
        }
        let unknown = self.runs.keys().filter(|id| !self.sent.contains_key(*id));
        for id in unknown.cloned().collect::<Vec<_>>() {
            self.breach("asked", &id, "ran and was never sent");
        }
        self.check_left();
        self.check_overdue();
        self.check_versions(weights_limit);
        self.check_overlaps();
        self.check_orders();
        self.check_pauses();
        self.check_said_leaving();
    }

    /// At most one run, or as many as the route allows.
    fn check_runs(&mut self, id: &str) {
        let runs = self.runs.get(id).map_or(0, Vec::len);
        let kind = self.sent[id].kind;
        let limit = if kind.may_repeat() { MAX_ATTEMPTS } else { 1 };
        if runs > limit {
            self.breach("runs", id, &format!("{runs} runs of {limit}"));
        }
    }

    /// A refusal says that the request has not run and never will.
    fn check_refusal(&mut self, id: &str) {
        let sent = &self.sent[id];
        let Some((Got::OwnStatus(status), _)) = sent.got else {
            return;
        };
        let has_run = self.runs.contains_key(id);
        match status {
            408 | 421 | 429 | 503 if has_run && !sent.kind.may_repeat() => {
                self.breach("refusal", id, "refused, but it has run");
            }
            408 | 421 | 429 | 502..=504 => {}
            _ => self.breach("refusal", id, "a proper request was turned away"),
        }
    }

    /// Nothing reaches an upstream that has been leaving for longer than the limit.
    fn check_leaving(&mut self, id: &str) {
        let sent = self.sent[id].clone();
        let runs = self.runs.get(id).cloned().unwrap_or_default();
        for run in runs {
            let is_late = |leave: &&Leave| {
                leave.upstream == run.upstream
                    && run.arrived > leave.told + DRAIN_LIMIT
                    && leave.returned.is_none_or(|returned| run.arrived < returned)
            };
            let Some(told) = self.leaves.iter().find(is_late).map(|leave| leave.told) else {
                continue;
            };
            let in_scope = |scope: Scope| scope == Scope::Store || scope.is_gateway(sent.gateway);
            if !self.is_disturbed(told, run.arrived, in_scope) {
                let late = run.arrived - told;
                self.breach("drain", id, &format!("arrived {late:?} after the leave"));
            }
        }
    }

    /// A planned stop with nothing else amiss cuts no request.
    fn check_stop(&mut self, id: &str) {
        let sent = self.sent[id].clone();
        let Some((Got::Broken(how), at)) = &sent.got else {
            return;
        };
        let stop = self
            .stops
            .iter()
            .find(|(gateway, told)| *gateway == sent.gateway && *told <= *at);
        let Some((_, told)) = stop.copied() else {
            return;
        };
        let is_owed = sent.at <= told + STOP_SERVES && *at >= told;
        if is_owed && self.runs.contains_key(id) && !self.is_any_disturbed(sent.at, *at) {
            let how = how.clone();
            self.breach("stop", id, &format!("cut by a planned stop: {how}"));
        }
    }

    /// Work for callers that left ends soon; one in four may be late.
    fn check_left(&mut self) {
        let (mut late, mut all) = (Vec::new(), 0);
        for (id, sent) in &self.sent {
            let Some((Got::Left, at)) = sent.got else {
                continue;
            };
            if !sent.kind.may_repeat() || self.is_any_disturbed(sent.at, at + LEAVE_LIMIT) {
                continue;
            }
            let runs = self.runs.get(id).into_iter().flatten();
            for run in runs.filter(|run| run.is_long && run.at < at) {
                all += 1;
                if run.ended.is_none_or(|ended| ended > at + LEAVE_LIMIT) {
                    late.push(id.clone());
                }
            }
        }
        if late.len() >= 4 && late.len() * 4 > all {
            let count = late.len();
            self.breach("left", &late[0], &format!("{count} of {all} went on"));
        }
    }

    /// Requests have an answer half a second after the route's time; half may be late. The time for
    /// which a caller does not read does not count.
    fn check_overdue(&mut self) {
        let calm = |sent: &Sent, at: Instant| {
            let in_scope = |scope: Scope| scope.is_gateway(sent.gateway);
            !self.is_disturbed(sent.at, at, in_scope)
        };
        let is_due = |sent: &&Sent| {
            sent.got.as_ref().is_some_and(|(got, at)| {
                let has_used = *at >= sent.at + super::ROUTE_TIME + sent.read_pauses;
                has_used && *got != Got::Left && calm(sent, *at)
            })
        };
        let due = self.sent.iter().filter(|(_, sent)| is_due(sent));
        let due: Vec<(&String, &Sent)> = due.collect();
        let is_late = |sent: &Sent| {
            let (_, at) = sent.got.as_ref().expect("selected");
            *at > sent.at + super::ROUTE_TIME + ANSWER_SLACK + sent.read_pauses
        };
        let late = due.iter().filter(|(_, sent)| is_late(sent));
        let late: Vec<String> = late.map(|(id, _)| (*id).clone()).collect();
        if late.len() >= 4 && late.len() * 2 > due.len() {
            let (count, all) = (late.len(), due.len());
            let what = format!("{count} of {all} had no answer in time: {late:?}");
            self.breach("overdue", &late[0], &what);
        }
    }
}
