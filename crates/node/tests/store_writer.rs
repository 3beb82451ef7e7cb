//! The table of reported streams, which is written to the store.

use {
    googletest::prelude::*,
    wellplank_core::origin::RunId,
    wellplank_node::store_writer::Streams,
    wellplank_wire::peer::{Sighting, Stage},
};

/// An instance's report of the stream of a prompt, which a run of its own began.
fn sighting(prompt: u64, stage: Stage) -> Sighting {
    Sighting {
        origin: prompt,
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

#[gtest]
fn stream_that_its_caller_may_take_up_is_kept() {
    let mut streams = Streams::default();
    streams.apply(&sighting(1, Stage::Started));
    streams.apply(&Sighting {
        has_begun: true,
        ..sighting(1, Stage::Left)
    });
    expect_that!(
        streams.get(RunId(1)).map(Sighting::stage),
        some(eq(Stage::Left))
    );
}

#[gtest]
fn streams_with_one_prompt_are_both_kept() {
    let mut streams = Streams::default();
    for origin in [1, 2] {
        streams.apply(&Sighting {
            origin,
            ..sighting(7, Stage::Started)
        });
    }
    streams.apply(&Sighting {
        origin: 1,
        ..sighting(7, Stage::Ended)
    });
    expect_that!(streams.get(RunId(1)), none());
    let known = streams.of_prompt(7);
    let known: Vec<_> = known
        .iter()
        .map(|record| (record.origin, record.stage()))
        .collect();
    expect_that!(known, eq(&vec![(2, Stage::Started), (1, Stage::Ended)]));
}
