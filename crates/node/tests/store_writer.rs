//! The table of reported streams, which is written to the store.

use {
    googletest::prelude::*,
    wellplank_node::store_writer::Streams,
    wellplank_wire::peer::{Sighting, Stage},
};

/// An instance's report of the stream of a prompt.
fn sighting(prompt: u64, stage: Stage) -> Sighting {
    Sighting {
        pool: String::new(),
        prompt,
        stage: stage.into(),
        ..Sighting::default()
    }
}

#[gtest]
fn stream_is_removed_when_it_ends() {
    let mut streams = Streams::default();
    streams.apply(&sighting(1, Stage::Started));
    streams.apply(&sighting(2, Stage::Started));
    streams.apply(&sighting(1, Stage::Ended));
    streams.apply(&sighting(2, Stage::Left));
    expect_that!(streams.is_empty(), eq(true));
}

#[gtest]
fn streams_without_a_reported_end_do_not_accumulate() {
    let mut streams = Streams::default();
    for prompt in 1..=20_000 {
        streams.apply(&sighting(prompt, Stage::Started));
    }
    expect_that!(streams.len(), le(4_000));
}
