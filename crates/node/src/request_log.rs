//! Log lines about the life cycle of requests, one for each decision that affects a request, and about the status of
//! upstreams.

use super::*;
use wellplank_core::{
    bound, counter, demand,
    fingerprint::RequestFingerprint,
    limit::Limit,
    notice::{Backoff, Notice},
    open_request::OpenRequest,
    origin::{Basis, Origin},
    quarantine::CrashHistory,
    retry_window::RetryClass,
    shutdown::Late,
};

/// Logs a change of an upstream's status.
pub(crate) fn log_upstream(change: StatusChange, born: u64, silent_ms: u64, upstream: &str) {
    let change = change.name();
    info!(upstream, born, belief = change, silent_ms; "upstream");
}

/// Logs that this instance reaches no upstream, or reaches upstreams again.
pub(crate) fn log_connectivity(cut_off: bool, unreached: usize) {
    if cut_off {
        warn!(unreached; "cut off from upstreams");
    } else {
        info!(unreached; "upstreams reached again");
    }
}

/// Logs a change of the statuses of many upstreams.
pub(crate) fn log_upstreams(change: StatusChange, count: usize) {
    let change = change.name();
    info!(belief = change, count; "upstreams");
}

/// Logs the state that an upstream announced in the headers of a response.
pub(crate) fn log_notice(request: &str, upstream: &str, status: StatusCode, notice: &Notice) {
    let status = status.as_u16();
    let leaving = notice.leaving;
    let (backoff_ms, is_malformed) = match notice.backoff {
        Backoff::For(millis) => (millis, false),
        Backoff::None => (0, false),
        Backoff::Malformed => (0, true),
    };
    let (limit, is_malformed) = match notice.limit {
        Limit::None | Limit::Unknown => (None, is_malformed),
        Limit::Malformed => (None, true),
        Limit::Rate(rate) => (Some(rate.per_second()), is_malformed),
    };
    let brittle = match notice.tolerated {
        Limit::Rate(rate) => Some(rate.per_second()),
        Limit::Malformed | Limit::None | Limit::Unknown => None,
    };
    let is_malformed = is_malformed || notice.tolerated == Limit::Malformed;
    info!(request, upstream, status, leaving, limit, brittle, rest_ms = backoff_ms, odd = is_malformed; "upstream said");
}

/// Logs that a request is refused from now on, with the upstreams that crashed while they ran it, by the hashes of their
/// names, and whether this instance observed one of the crashes.
pub(crate) fn log_quarantine(
    fingerprint: RequestFingerprint,
    crashes: &CrashHistory,
    witnessed: bool,
) {
    let fingerprint = fingerprint.to_string();
    let crashes = crashes.crashes();
    let upstreams: Vec<String> = crashes
        .map(|(incarnation, _)| incarnation.to_string())
        .collect();
    let upstreams = upstreams.join(",");
    warn!(fingerprint, upstreams, own = witnessed; "quarantined");
}

/// Logs that a request is no longer refused.
pub(crate) fn log_release(fingerprint: RequestFingerprint) {
    let fingerprint = fingerprint.to_string();
    info!(fingerprint; "no longer quarantined");
}

/// What is known of the version that began a stream, by name.
fn origin_name(origin: Origin) -> &'static str {
    match origin {
        Origin::Begun(_) => "begun",
        Origin::Unbegun => "unbegun",
        Origin::Unknown => "unknown",
    }
}

/// The configuration in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigurationInForce {
    /// Time since it took effect, in milliseconds.
    pub age_ms: u64,
    /// Its revision.
    pub revision: u64,
}

/// Logs that a stream that the core had finished ended before its caller's connection had taken all of it.
pub(crate) fn log_unread_cut(request: &str, configuration: Option<ConfigurationInForce>) {
    let cause = counter::Cut::CallerGone.to_string();
    let configuration_age_ms = configuration.map(|configuration| configuration.age_ms);
    let revision = configuration.map(|configuration| configuration.revision);
    warn!(request, cause, configuration_age_ms, revision; "stream cut");
}

/// How the exchange with an upstream broke off.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Break<'a> {
    /// The connection ended or failed before the head of the response.
    Head(&'a hyper::Error),
    /// The answer exceeded a bound, after so many bytes.
    Bound(counter::AnswerBound, u64),
    /// The connection ended or failed within the body.
    Body(&'a hyper::Error),
    /// The response ended within an event.
    Partial,
    /// An event has no position.
    Event,
    /// The status is none of a final response.
    Status(StatusCode),
}

/// Logs that an exchange with an upstream broke off.
pub(crate) fn log_break(request: &str, upstream: &str, broken: Break<'_>) {
    if let Break::Bound(bound, bytes) = broken {
        let bound = bound.to_string();
        warn!(request, upstream, stage = "bound", bound, bytes; "exchange broke off");
        return;
    }
    let (stage, error) = match broken {
        Break::Head(error) => ("head", Some(error)),
        Break::Body(error) => ("body", Some(error)),
        Break::Bound(..) => ("bound", None),
        Break::Partial => ("partial_event", None),
        Break::Event => ("malformed_event", None),
        Break::Status(status) => {
            let status = status.as_u16();
            info!(request, upstream, stage = "status", status; "exchange broke off");
            return;
        }
    };
    let error = error.map_or_else(String::new, |error| {
        let cause = std::error::Error::source(error);
        cause.map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
    });
    info!(request, upstream, stage, error; "exchange broke off");
}

/// Logs a request that is open when a graceful stop ends.
pub(crate) fn log_open(request: &str, open: &OpenRequest) {
    let stage = open.stage.to_string();
    let (age_ms, position) = (open.age_ms, open.position);
    warn!(request, stage, age_ms, position; "open at the end of the stop");
}

/// Logs that a request was taken behind the signal to stop, and when it is expected to end at the latest.
fn log_taken_at_stop(entry: &RequestLog, request: &str, late: Late) {
    let service = entry.service.name.as_str();
    let fit = late.fit.to_string();
    let Late {
        expected_ms,
        left_ms,
        ..
    } = late;
    info!(request, service, fit, expected_ms, left_ms; "taken at the stop");
}

/// Logs that the bound on attempts permits no other attempt of a request.
fn log_retry_refused(entry: &RequestLog, request: &str, class: RetryClass) {
    let customer = entry.customer.name.as_str();
    let service = entry.service.name.as_str();
    let (fingerprint, position) = (entry.fingerprint.to_string(), entry.position);
    let class = class.to_string();
    warn!(request, fingerprint, customer, service, position, class; "no retry permit");
}

/// Logs what the decision on a stream that its caller takes up is based on.
fn log_taken_up(entry: &RequestLog, request: &str, basis: Basis) {
    let customer = entry.customer.name.as_str();
    let service = entry.service.name.as_str();
    let (fingerprint, position) = (entry.fingerprint.to_string(), entry.position);
    let basis = basis.to_string();
    info!(request, fingerprint, customer, service, position, basis; "taken up");
}

/// Logs a step of a request. Relayed requests are identified by the ID that their caller assigned.
pub(crate) fn log_step(entry: &RequestLog, configuration: Option<ConfigurationInForce>) {
    let generation = || Uuid::from_u128(entry.generation).to_string();
    let request = entry.run.as_deref().map_or_else(generation, str::to_owned);
    let customer = entry.customer.name.as_str();
    let model = match &entry.service.target {
        config::Target::Call { .. } | config::Target::Relay(_) => "",
        config::Target::Generate { model, .. } => model.name.as_str(),
    };
    let service = entry.service.name.as_str();
    let upstream = entry.upstream.as_deref().unwrap_or_default();
    let position = entry.position;
    let fingerprint = entry.fingerprint.to_string();
    match &entry.step {
        Step::Answered => {
            info!(request, fingerprint, customer, service, model, upstream, position; "answered");
        }
        Step::Attached => {
            info!(request, customer, service, model, upstream, position; "attached");
        }
        Step::Cut(cut) => {
            let cause = cut.to_string();
            let configuration_age_ms = configuration.map(|configuration| configuration.age_ms);
            let revision = configuration.map(|configuration| configuration.revision);
            warn!(request, fingerprint, customer, service, model, position, cause, configuration_age_ms, revision; "stream cut");
        }
        Step::Failed {
            account,
            has_head,
            kind,
        } => {
            let (has_head, kind) = (*has_head, kind.answer().name);
            let bound::Account {
                bound,
                departures,
                left_ms,
                not_run,
                upstreams,
            } = *account;
            let bound = bound.map_or_else(String::new, |bound| bound.to_string());
            warn!(request, fingerprint, customer, service, model, upstream, position, kind, has_head, bound, left_ms, upstreams, not_run, departures; "failed");
        }
        Step::Left => info!(request, customer, service, position; "caller left"),
        Step::LeftSilent(departure) => {
            let evidence = departure.evidence.to_string();
            let (silent_ms, expected_ms) = (departure.silent_ms, departure.expected_ms);
            let (dead_percent, has_copy) = (departure.dead_percent, departure.has_copy);
            let (late_ms, unheard_ms) = (departure.late_ms, departure.unheard_ms);
            warn!(request, fingerprint, customer, service, upstream, position, evidence, silent_ms, unheard_ms, expected_ms, dead_percent, has_copy, late_ms; "left a silent upstream");
        }
        Step::Lost(reason) => {
            let reason = reason.to_string();
            warn!(request, fingerprint, customer, service, upstream, position, reason; "attempt lost");
        }
        Step::Paused { unread_bytes } => {
            let unread_bytes = *unread_bytes;
            info!(request, customer, service, upstream, position, unread_bytes; "reading paused");
        }
        Step::Refused(outlook) => {
            let (rank, ahead, wait_ms) = (outlook.rank.number(), outlook.ahead, outlook.wait_ms);
            info!(request, fingerprint, customer, service, rank, ahead, wait_ms; "refused for others ahead");
        }
        Step::RefusedByDemand(figures) => {
            let demand::Figures {
                arrivals,
                correction_percent,
                running,
                service_ms,
                share_percent,
                slots,
            } = *figures;
            info!(request, fingerprint, customer, service, share_percent, arrivals, service_ms, slots, running, correction_percent; "refused by demand");
        }
        Step::RefusedByLimits { available_ms } => {
            let available_ms = *available_ms;
            info!(request, fingerprint, customer, service, available_ms; "refused by limits");
        }
        Step::Sent {
            backup,
            copy,
            left_ms,
            list_age_ms,
            origin,
            path,
            version,
        } => {
            let tunnelled = matches!(path, connectivity::Path::Tunnel(_));
            let backup = backup.as_deref().unwrap_or_default();
            let copy = copy.as_deref().unwrap_or_default();
            let (left_ms, list_age_ms) = (*left_ms, *list_age_ms);
            let (origin, version) = (origin_name(*origin), version.as_ref());
            info!(request, fingerprint, customer, service, model, upstream, position, backup, copy, left_ms, list_age_ms, tunnelled, version, origin; "sent");
        }
        Step::RetryRefused(class) => log_retry_refused(entry, &request, *class),
        Step::TakenAtStop(late) => log_taken_at_stop(entry, &request, *late),
        Step::TakenUp(basis) => log_taken_up(entry, &request, *basis),
        Step::Waits(outlook) => {
            let (rank, ahead, wait_ms) = (outlook.rank.number(), outlook.ahead, outlook.wait_ms);
            info!(request, fingerprint, customer, service, rank, ahead, wait_ms; "waits");
        }
    }
}
