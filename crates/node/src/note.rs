//! Log lines of the steps in a request's life: one for each decision that touches it.

use super::*;
use wellplank_core::{
    fingerprint::RequestFingerprint,
    limit::Limit,
    notice::{Backoff, Notice},
    quarantine::CrashHistory,
};

/// Writes the line of a change in what is believed of an upstream.
pub(crate) fn believe(belief: StatusChange, born: u64, silent_ms: u64, upstream: &str) {
    let belief = belief.name();
    info!(upstream, born, belief, silent_ms; "upstream");
}

/// Writes the line of what an upstream said of itself beside an answer.
pub(crate) fn notice(request: &str, upstream: &str, status: StatusCode, notice: &Notice) {
    let status = status.as_u16();
    let leaving = notice.leaving;
    let (rest_ms, odd) = match notice.backoff {
        Backoff::For(millis) => (millis, false),
        Backoff::None => (0, false),
        Backoff::Malformed => (0, true),
    };
    let (limit, odd) = match notice.limit {
        Limit::None | Limit::Unknown => (None, odd),
        Limit::Malformed => (None, true),
        Limit::Rate(rate) => (Some(rate.per_second()), odd),
    };
    info!(request, upstream, status, leaving, limit, rest_ms, odd; "upstream said");
}

/// Writes the line of a request that is refused from now on, with the upstreams that ended under it, by the hashes of their
/// names, and whether this instance saw one of them end.
pub(crate) fn quarantine(print: RequestFingerprint, ends: &CrashHistory, own: bool) {
    let fingerprint = print.to_string();
    let lives = ends.crashes();
    let upstreams: Vec<String> = lives.map(|(life, _)| life.to_string()).collect();
    let upstreams = upstreams.join(",");
    warn!(fingerprint, upstreams, own; "quarantined");
}

/// Writes the line of a request that is no longer refused.
pub(crate) fn free(print: RequestFingerprint) {
    let fingerprint = print.to_string();
    info!(fingerprint; "no longer quarantined");
}

/// Writes the line of a step. Relayed requests have the name that their caller gave them.
pub(crate) fn write(note: &RequestLog) {
    let own = || Uuid::from_u128(note.generation).to_string();
    let request = note.run.as_deref().map_or_else(own, str::to_owned);
    let customer = note.customer.name.as_str();
    let model = match &note.service.target {
        config::Target::Call { .. } | config::Target::Relay(_) => "",
        config::Target::Generate { model, .. } => model.name.as_str(),
    };
    let service = note.service.name.as_str();
    let upstream = note.upstream.as_deref().unwrap_or_default();
    let position = note.position;
    let fingerprint = note.fingerprint.to_string();
    match &note.step {
        Step::Answered => {
            info!(request, fingerprint, customer, service, model, upstream, position; "answered");
        }
        Step::Attached => {
            info!(request, customer, service, model, upstream, position; "attached");
        }
        Step::Failed(kind) => {
            let kind = kind.answer().name;
            warn!(request, fingerprint, customer, service, model, upstream, position, kind; "failed");
        }
        Step::Left => info!(request, customer, service, position; "caller left"),
        Step::Lost(reason) => {
            let reason = reason.to_string();
            warn!(request, fingerprint, customer, service, upstream, position, reason; "attempt lost");
        }
        Step::Sent {
            backup,
            copy,
            left_ms,
            list_age_ms,
        } => {
            let backup = backup.as_deref().unwrap_or_default();
            let copy = copy.as_deref().unwrap_or_default();
            let (left_ms, list_age_ms) = (*left_ms, *list_age_ms);
            info!(request, fingerprint, customer, service, model, upstream, position, backup, copy, left_ms, list_age_ms; "sent");
        }
    }
}
