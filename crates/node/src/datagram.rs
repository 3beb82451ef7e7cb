//! Encoding and decoding of what instances tell each other.

use super::*;
use wellplank_core::{
    brittle::Brittleness,
    call_place::BusyUpstream,
    demand::{Demand, FinishedCall},
    dissemination::{Route, Tree},
    estimates::EngineSpeed,
    informer_io::{Confirmed, Topic},
    limit,
    origin::RunId,
    rank::Rank,
    roster::{self, Entry, RosterUpdate},
    version::Version,
};

/// Period in seconds over which datagrams state call rates, so that low rates are whole numbers.
const RATE_PERIOD_S: f64 = 10.0;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Decodes a confirmation.
pub(crate) fn decode_confirmed(confirmed: peers::Confirmed) -> Confirmed {
    let topic = match confirmed.topic() {
        peers::Topic::Configuration => Topic::Configuration,
        peers::Topic::Upstreams => Topic::Upstreams,
    };
    Confirmed {
        to: Position::new(confirmed.era, confirmed.to),
        topic,
    }
}

/// Encodes a confirmation.
pub(crate) fn encode_confirmed(confirmed: Confirmed) -> peers::Confirmed {
    let topic = match confirmed.topic {
        Topic::Configuration => peers::Topic::Configuration,
        Topic::Upstreams => peers::Topic::Upstreams,
    };
    peers::Confirmed {
        era: confirmed.to.era,
        to: confirmed.to.revision,
        topic: topic.into(),
    }
}

/// Decodes changes of the list.
pub(crate) fn decode_roster_update(roster: peers::Roster) -> RosterUpdate {
    RosterUpdate {
        outage_ms: roster.away_ms.into(),
        changes: roster
            .entries
            .into_iter()
            .map(|entry| decode_change(entry, roster.era))
            .collect(),
        from: Position::new(roster.era, roster.from),
        grace_ms: roster.returning_ms.into(),
        is_grace_extended: roster.held,
        uptime_ms: roster.steady_ms.into(),
        to: Position::new(roster.era, roster.to),
    }
}

/// Decodes a change of the list in an era of the store.
pub(crate) fn decode_change(entry: peers::Entry, era: u64) -> roster::Change {
    let name = entry.name;
    let position = Position::new(era, entry.revision);
    let entry = match entry.address.parse() {
        _ if entry.gone => Entry::Deleted,
        _ if entry.odd => Entry::Invalid,
        Ok(address) => Entry::Listed(event::ListEntry {
            address,
            born: entry.born,
            data_centre: entry.data_centre,
            leaving: entry.leaving,
            name: name.clone(),
            pool: entry.pool,
            registered_at: Position::new(era, entry.since),
            slots: entry.slots,
            version: entry.version,
        }),
        Err(error) => {
            warn!(
                "upstream {name}: invalid address `{}`: {error}",
                entry.address
            );
            Entry::Invalid
        }
    };
    roster::Change {
        entry,
        name,
        position,
    }
}

/// The way of a copy of an update; `None` if its sender sends it to each instance itself and numbers nothing.
pub(crate) fn decode_route(roster: &peers::Roster) -> Option<Route> {
    let tree = match roster.tree() {
        peers::Tree::Direct => return None,
        peers::Tree::Forward => Tree::Forward,
        peers::Tree::Reverse => Tree::Reverse,
    };
    Some(Route {
        root: roster.root,
        sequence: roster.sequence,
        tree,
    })
}

/// Encodes a tree.
pub(crate) fn encode_tree(tree: Tree) -> peers::Tree {
    match tree {
        Tree::Direct => peers::Tree::Direct,
        Tree::Forward => peers::Tree::Forward,
        Tree::Reverse => peers::Tree::Reverse,
    }
}

/// Encodes changes of the list, without a way.
pub(crate) fn encode_roster_update(update: RosterUpdate) -> peers::Roster {
    peers::Roster {
        away_ms: update.outage_ms as u32,
        entries: update.changes.into_iter().map(encode_change).collect(),
        era: update.to.era,
        from: update.from.revision,
        returning_ms: update.grace_ms as u32,
        held: update.is_grace_extended,
        root: 0,
        sequence: 0,
        steady_ms: update.uptime_ms as u32,
        to: update.to.revision,
        tree: peers::Tree::Direct.into(),
    }
}

/// Encodes a change of the list.
pub(crate) fn encode_change(change: roster::Change) -> peers::Entry {
    let (name, revision) = (change.name, change.position.revision);
    match change.entry {
        Entry::Deleted => peers::Entry {
            gone: true,
            name,
            revision,
            ..peers::Entry::default()
        },
        Entry::Listed(listed) => peers::Entry {
            address: listed.address.to_string(),
            born: listed.born,
            data_centre: listed.data_centre,
            gone: false,
            leaving: listed.leaving,
            name,
            odd: false,
            pool: listed.pool,
            revision,
            since: listed.registered_at.revision,
            slots: listed.slots,
            version: listed.version,
        },
        Entry::Invalid => peers::Entry {
            name,
            odd: true,
            revision,
            ..peers::Entry::default()
        },
    }
}

/// Decodes an incarnation of an upstream.
pub(crate) fn decode_incarnation(incarnation: peers::Life) -> Incarnation {
    let peers::Life { born, id } = incarnation;
    Incarnation { id, born }
}

/// Encodes an incarnation of an upstream.
pub(crate) fn encode_incarnation(incarnation: Incarnation) -> peers::Life {
    let Incarnation { id, born } = incarnation;
    peers::Life { born, id }
}

/// Decodes the demand at an instance.
pub(crate) fn decode_demand(demand: peers::Demand) -> Demand {
    let brittleness = Brittleness {
        left_ms: demand.tolerated_ms.into(),
        tolerated: limit::Rate(demand.tolerated),
    };
    Demand {
        arrival_rate: f64::from(demand.asked) / RATE_PERIOD_S,
        brittleness: Some(brittleness).filter(|brittleness| brittleness.left_ms > 0),
        busy: demand.busy.into_iter().map(BusyUpstream).collect(),
        last_call: demand.last.map(|last| FinishedCall {
            duration_ms: last.millis,
            upstream: last.upstream,
        }),
        pool: demand.pool.into(),
        retry_rate: f64::from(demand.returned) / RATE_PERIOD_S,
        running: demand.running,
        service_time_ms: f64::from(demand.takes_ms),
    }
}

/// Encodes the demand at this instance.
pub(crate) fn encode_demand(demand: &Demand) -> peers::Demand {
    let brittleness = demand.brittleness;
    peers::Demand {
        asked: (demand.arrival_rate * RATE_PERIOD_S).round() as u32,
        busy: demand.busy.iter().map(|busy| busy.0).collect(),
        last: demand.last_call.map(|last| peers::Ended {
            millis: last.duration_ms,
            upstream: last.upstream,
        }),
        pool: demand.pool.to_string(),
        returned: (demand.retry_rate * RATE_PERIOD_S).round() as u32,
        running: demand.running,
        takes_ms: demand.service_time_ms.ceil() as u32,
        tolerated: brittleness.map_or(0, |brittleness| brittleness.tolerated.0),
        tolerated_ms: brittleness.map_or(0, |brittleness| brittleness.left_ms as u32),
    }
}

/// Decodes the speed of engines.
pub(crate) fn decode_engine_speed(speed: peers::Pace) -> EngineSpeed {
    EngineSpeed {
        event_interval_ms: f64::from(speed.event_us) / MICROS_PER_MS,
        pool: speed.pool.into(),
        prefill_ms_per_token: f64::from(speed.reading_us) / MICROS_PER_MS,
    }
}

/// Encodes the speed of engines.
pub(crate) fn encode_engine_speed(speed: &EngineSpeed) -> peers::Pace {
    peers::Pace {
        event_us: (speed.event_interval_ms * MICROS_PER_MS) as u32,
        pool: speed.pool.to_string(),
        reading_us: (speed.prefill_ms_per_token * MICROS_PER_MS) as u32,
    }
}

/// Decodes a record of a stream.
pub(crate) fn decode_stream_record(record: peers::Sighting) -> StreamRecord {
    let stage = match record.stage() {
        peers::Stage::Ended => Stage::Ended,
        peers::Stage::Left => Stage::Left,
        peers::Stage::Started => Stage::Started,
        peers::Stage::Streaming => Stage::Streaming,
        peers::Stage::Waiting => Stage::Waiting,
    };
    StreamRecord {
        backup: record.backup.map(decode_incarnation),
        has_begun: record.has_begun,
        origin: origin(&record),
        pool: record.pool,
        prompt: record.prompt,
        rank: record.rank.map(Rank::new),
        run: record.run,
        stage,
        start_within_ms: record.start_within_ms.map(u64::from),
        tokens: record.tokens,
        upstream: record.upstream.map(decode_incarnation),
        version: Version(record.version),
    }
}

/// The run that identifies a stream over all attempts of its caller.
pub(crate) fn origin(record: &peers::Sighting) -> RunId {
    match record.origin {
        0 => RunId::new(&record.run),
        origin => RunId(origin),
    }
}

/// Encodes a record of a stream; of a completed one, other instances need only what identifies it.
pub(crate) fn encode_stream_record(record: StreamRecord) -> peers::Sighting {
    if record.stage == Stage::Ended {
        return peers::Sighting {
            origin: record.origin.0,
            prompt: record.prompt,
            ..peers::Sighting::default()
        };
    }
    let is_own_run = record.origin == RunId::new(&record.run);
    let stage = match record.stage {
        Stage::Ended => peers::Stage::Ended,
        Stage::Left => peers::Stage::Left,
        Stage::Started => peers::Stage::Started,
        Stage::Streaming => peers::Stage::Streaming,
        Stage::Waiting => peers::Stage::Waiting,
    };
    peers::Sighting {
        backup: record.backup.map(encode_incarnation),
        has_begun: record.has_begun,
        origin: if is_own_run { 0 } else { record.origin.0 },
        pool: record.pool,
        prompt: record.prompt,
        rank: record.rank.map(|rank| u32::from(rank.number())),
        run: record.run,
        stage: stage.into(),
        start_within_ms: record.start_within_ms.map(|millis| millis as u32),
        tokens: record.tokens,
        upstream: record.upstream.map(encode_incarnation),
        version: record.version.0,
    }
}
