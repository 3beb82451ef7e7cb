//! The settings section `core`: its defaults, and how it is read.

use super::*;
use reader::Reader;
use settings::MILLIS_MAX;
use wellplank_core::settings::{
    AnswerLimits, CallAdmission, CallLimits, CallPlacement, CapacityLimits, LimitHolders,
    LivenessMethod, PlacementWeights, QuarantineRule, ResumeMode, RetryBound, Routing, Settings,
    SharedSettings, ShutdownPolicy, UnreadLimits, UrgencyMode, UrgencySettings, VersionPolicy,
    Yielding,
};

/// The section with all settings at their defaults.
pub(crate) fn defaults() -> Value {
    let core = Settings::default();
    json!({
        "answers": default_answers(&core),
        "attempts_max": core.attempts_max,
        "calls": default_calls(&core),
        "claim_retry_ms": core.claim_retry_ms,
        "continuation": core.continuation,
        "continue_non_repeatable": core.continue_non_repeatable,
        "hedge_earn": core.hedge_earn,
        "held_bytes_max": core.held_bytes_max,
        "key_age_max_ms": core.key_age_max_ms,
        "key_lead_max_ms": core.key_lead_max_ms,
        "leaving_hint_ms": core.leaving_hint_ms,
        "limits": "few",
        "linger_ms": core.linger_ms,
        "liveness": "evidence",
        "load_ms": core.load_ms,
        "pause_ms": core.pause_ms,
        "probe_ms": core.probe_ms,
        "probe_timeout_ms": core.probe_timeout_ms,
        "place": default_place(&core),
        "probes": core.probes,
        "quarantine": "lives",
        "queue_max": core.queue_max,
        "relay_call_ms": core.relay_call_ms,
        "relay_copy_ms": core.relay_copy_ms,
        "relay_first": core.relay_first,
        "relay_resume": "copy",
        "relay_stall_ms": core.relay_stall_ms,
        "report_lag_ms": core.report_lag_ms,
        "resume_reserve": core.resume_reserve,
        "retry": default_retry(&core),
        "retry_earn": core.retry_earn,
        "room": default_room(&core),
        "routing": "prefix",
        "shared": default_shared(&core),
        "stall_loss_ms": core.stall_loss_ms,
        "stall_max_ms": core.stall_max_ms,
        "stall_min_ms": core.stall_min_ms,
        "subset": core.subset,
        "tokens_max": core.tokens_max,
        "unread": default_unread(&core),
        "urgency": default_urgency(&core),
        "versions": "side_by_side",
    })
}

/// Limits on what is read of answers, at their defaults.
fn default_answers(core: &Settings) -> Value {
    json!({
        "body_bytes": core.answers.body_bytes,
        "event_bytes": core.answers.event_bytes,
        "instance_bytes": core.answers.instance_bytes,
    })
}

/// Limits of calls at their defaults.
fn default_calls(core: &Settings) -> Value {
    json!({
        "admission": "in_flight",
        "demand": core.calls.demand,
        "place": "busy",
        "second": core.calls.second,
        "wait": core.calls.wait,
        "window": core.calls.window,
    })
}

/// Weights of placement at their defaults.
fn default_place(core: &Settings) -> Value {
    json!({
        "far": core.place.far,
        "memory": core.place.memory,
        "outage": core.place.outage,
        "reading": core.place.reading,
        "running": core.place.running,
        "sample": core.place.sample,
        "slow": core.place.slow,
        "spread": core.place.spread,
        "suspect": core.place.suspect,
        "trouble": core.place.trouble,
        "unheard": core.place.unheard,
    })
}

/// The bound on retries at its default.
fn default_retry(core: &Settings) -> Value {
    json!({
        "extra": core.retry.extra,
        "ratio": core.retry.ratio,
        "window_ms": core.retry.window_ms,
    })
}

/// Limits on capacity at their defaults.
fn default_room(core: &Settings) -> Value {
    json!({
        "copy_fill": core.room.copy_fill,
        "early": core.room.early,
        "fill": core.room.fill,
        "hopeless": core.room.hopeless,
        "late_fill": core.room.late_fill,
        "reading": core.room.reading,
        "refuse": core.room.refuse,
        "shutdown": "unfinishable",
        "sizes": core.room.sizes,
        "turns": core.room.turns,
    })
}

/// What instances share, at its defaults.
fn default_shared(core: &Settings) -> Value {
    json!({
        "least": core.shared.least,
        "losses": core.shared.losses,
        "paces": core.shared.paces,
        "unsent": core.shared.unsent,
    })
}

/// Limits on unread bytes at their defaults.
fn default_unread(core: &Settings) -> Value {
    json!({
        "customer_bytes": core.unread.customer_bytes,
        "instance_bytes": core.unread.instance_bytes,
        "request_bytes": core.unread.request_bytes,
    })
}

/// How streams of different urgency compete, by default.
fn default_urgency(core: &Settings) -> Value {
    json!({
        "floor": core.urgency.floor,
        "mode": "ranks",
        "yielding": "due",
    })
}

/// Reads the section; missing settings have their defaults.
pub(crate) fn read(mut reader: Reader) -> Settings {
    let default = Settings::default();
    let mut millis = |name: &str, default: u64| reader.number(name, default, 1..=MILLIS_MAX);
    let claim_retry_ms = millis("claim_retry_ms", default.claim_retry_ms);
    let key_age_max_ms = millis("key_age_max_ms", default.key_age_max_ms);
    let key_lead_max_ms = millis("key_lead_max_ms", default.key_lead_max_ms);
    let leaving_hint_ms = millis("leaving_hint_ms", default.leaving_hint_ms);
    let linger_ms = millis("linger_ms", default.linger_ms);
    let load_ms = millis("load_ms", default.load_ms);
    let pause_ms = millis("pause_ms", default.pause_ms);
    let probe_ms = millis("probe_ms", default.probe_ms);
    let probe_timeout_ms = millis("probe_timeout_ms", default.probe_timeout_ms);
    let relay_call_ms = millis("relay_call_ms", default.relay_call_ms);
    let relay_copy_ms = millis("relay_copy_ms", default.relay_copy_ms);
    let relay_stall_ms = millis("relay_stall_ms", default.relay_stall_ms);
    let report_lag_ms = millis("report_lag_ms", default.report_lag_ms);
    let stall_loss_ms = millis("stall_loss_ms", default.stall_loss_ms);
    let stall_max_ms = millis("stall_max_ms", default.stall_max_ms);
    let stall_min_ms = millis("stall_min_ms", default.stall_min_ms);
    if stall_min_ms > stall_max_ms {
        reader.add_fault(
            "stall_min_ms",
            format!("{stall_min_ms} must not exceed stall_max_ms, {stall_max_ms}"),
        );
    }
    let attempts_max = u64::from(default.attempts_max);
    let tokens_max = u64::from(default.tokens_max);
    let settings = Settings {
        answers: read_answers(reader.section("answers")),
        attempts_max: reader.number("attempts_max", attempts_max, 1..=100) as u32,
        calls: read_calls(reader.section("calls")),
        claim_retry_ms,
        continuation: reader.flag("continuation", default.continuation),
        continue_non_repeatable: reader
            .flag("continue_non_repeatable", default.continue_non_repeatable),
        hedge_earn: reader.fraction("hedge_earn", default.hedge_earn),
        held_bytes_max: reader.number("held_bytes_max", default.held_bytes_max, 1 << 16..=1 << 40),
        key_age_max_ms,
        key_lead_max_ms,
        leaving_hint_ms,
        limits: reader.choice("limits", &LimitHolders::ALL, default.limits),
        linger_ms,
        liveness: reader.choice("liveness", &LivenessMethod::ALL, default.liveness),
        load_ms,
        pause_ms,
        probe_ms,
        probe_timeout_ms,
        quarantine: reader.choice("quarantine", &QuarantineRule::ALL, default.quarantine),
        queue_max: reader.number("queue_max", default.queue_max as u64, 1..=1_000_000) as usize,
        place: read_placement(reader.section("place")),
        probes: reader.flag("probes", default.probes),
        relay_call_ms,
        relay_copy_ms,
        relay_first: reader.float("relay_first", default.relay_first, 0.1..=100.0),
        relay_resume: reader.choice("relay_resume", &ResumeMode::ALL, default.relay_resume),
        relay_stall_ms,
        report_lag_ms,
        resume_reserve: reader.fraction("resume_reserve", default.resume_reserve),
        room: read_capacity(reader.section("room")),
        retry: read_retry(reader.section("retry")),
        retry_earn: reader.fraction("retry_earn", default.retry_earn),
        routing: reader.choice("routing", &Routing::ALL, default.routing),
        shared: read_shared(reader.section("shared")),
        stall_loss_ms,
        stall_max_ms,
        stall_min_ms: stall_min_ms.min(stall_max_ms),
        subset: reader.number("subset", default.subset as u64, 0..=10_000) as usize,
        tokens_max: reader.number("tokens_max", tokens_max, 1..=1 << 24) as u32,
        unread: read_unread(reader.section("unread")),
        urgency: read_urgency(reader.section("urgency")),
        versions: reader.choice("versions", &VersionPolicy::ALL, default.versions),
    };
    reader.finish();
    settings
}

fn read_answers(mut reader: Reader) -> AnswerLimits {
    let default = AnswerLimits::default();
    let mut bytes = |name: &str, default: u64| reader.number(name, default, 1 << 16..=1 << 40);
    let answers = AnswerLimits {
        body_bytes: bytes("body_bytes", default.body_bytes),
        event_bytes: bytes("event_bytes", default.event_bytes),
        instance_bytes: bytes("instance_bytes", default.instance_bytes),
    };
    reader.finish();
    answers
}

fn read_calls(mut reader: Reader) -> CallLimits {
    let default = CallLimits::default();
    let calls = CallLimits {
        admission: reader.choice("admission", &CallAdmission::ALL, default.admission),
        demand: reader.flag("demand", default.demand),
        place: reader.choice("place", &CallPlacement::ALL, default.place),
        second: reader.flag("second", default.second),
        wait: reader.float("wait", default.wait, 0.0..=1.0),
        window: reader.flag("window", default.window),
    };
    reader.finish();
    calls
}

fn read_placement(mut reader: Reader) -> PlacementWeights {
    let default = PlacementWeights::default();
    let mut weight = |name: &str, default: f64| reader.float(name, default, 0.0..=1_000.0);
    let place = PlacementWeights {
        far: weight("far", default.far),
        memory: weight("memory", default.memory),
        outage: weight("outage", default.outage),
        reading: weight("reading", default.reading),
        running: weight("running", default.running),
        sample: weight("sample", default.sample),
        slow: weight("slow", default.slow),
        spread: weight("spread", default.spread),
        suspect: weight("suspect", default.suspect),
        trouble: weight("trouble", default.trouble),
        unheard: weight("unheard", default.unheard),
    };
    reader.finish();
    place
}

fn read_capacity(mut reader: Reader) -> CapacityLimits {
    let default = CapacityLimits::default();
    let mut ratio = |name: &str, default: f64| reader.float(name, default, 0.0..=10.0);
    let room = CapacityLimits {
        copy_fill: ratio("copy_fill", default.copy_fill),
        early: ratio("early", default.early),
        fill: ratio("fill", default.fill),
        hopeless: ratio("hopeless", default.hopeless),
        late_fill: ratio("late_fill", default.late_fill),
        reading: reader.number("reading", u64::from(default.reading), 0..=1_000) as u32,
        refuse: reader.flag("refuse", default.refuse),
        shutdown: reader.choice("shutdown", &ShutdownPolicy::ALL, default.shutdown),
        sizes: reader.flag("sizes", default.sizes),
        turns: reader.flag("turns", default.turns),
    };
    reader.finish();
    room
}

fn read_retry(mut reader: Reader) -> RetryBound {
    let default = RetryBound::default();
    let retry = RetryBound {
        extra: reader.float("extra", default.extra, 0.0..=1_000_000.0),
        ratio: reader.float("ratio", default.ratio, 0.0..=100.0),
        window_ms: reader.millis("window_ms", default.window_ms, 0..=MILLIS_MAX),
    };
    reader.finish();
    retry
}

fn read_unread(mut reader: Reader) -> UnreadLimits {
    let default = UnreadLimits::default();
    let mut bytes = |name: &str, default: u64| reader.number(name, default, 0..=1 << 40);
    let unread = UnreadLimits {
        customer_bytes: bytes("customer_bytes", default.customer_bytes),
        instance_bytes: bytes("instance_bytes", default.instance_bytes),
        request_bytes: bytes("request_bytes", default.request_bytes),
    };
    reader.finish();
    unread
}

fn read_shared(mut reader: Reader) -> SharedSettings {
    let default = SharedSettings::default();
    let shared = SharedSettings {
        least: reader.float("least", default.least, 0.0..=10.0),
        losses: reader.flag("losses", default.losses),
        paces: reader.flag("paces", default.paces),
        unsent: reader.flag("unsent", default.unsent),
    };
    reader.finish();
    shared
}

fn read_urgency(mut reader: Reader) -> UrgencySettings {
    let default = UrgencySettings::default();
    let urgency = UrgencySettings {
        floor: reader.fraction("floor", default.floor),
        mode: reader.choice("mode", &UrgencyMode::ALL, default.mode),
        yielding: reader.choice("yielding", &Yielding::ALL, default.yielding),
    };
    reader.finish();
    urgency
}
