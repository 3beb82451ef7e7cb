//! Streams that instances told each other of, as they are kept.

use {
    googletest::prelude::*,
    wellplank_node::store_writer::Streams,
    wellplank_wire::peer::{Sighting, Stage},
};

/// What an instance tells of the stream of a prompt.
fn told(prompt: u64, stage: Stage) -> Sighting {
    Sighting {
        pool: String::new(),
        prompt,
        stage: stage.into(),
        ..Sighting::default()
    }
}

#[gtest]
fn stream_is_known_until_it_ends() {
    let mut streams = Streams::default();
    streams.apply(&told(1, Stage::Started));
    streams.apply(&told(2, Stage::Started));
    streams.apply(&told(1, Stage::Ended));
    streams.apply(&told(2, Stage::Left));
    expect_that!(streams.is_empty(), eq(true));
}

#[gtest]
fn streams_whose_end_was_never_told_do_not_gather() {
    let mut streams = Streams::default();
    for prompt in 1..=20_000 {
        streams.apply(&told(prompt, Stage::Started));
    }
    expect_that!(streams.len(), le(4_000));
}
