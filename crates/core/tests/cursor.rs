//! Encoding, decoding and authentication of cursors.

use {
    googletest::prelude::*,
    wellplank_core::{cursor::Cursor, digest::Digest},
};

fn cursor() -> Cursor {
    Cursor {
        attempt: 3,
        digest: Digest::of(&[1, 2, 3]),
        generation: 0x0123_4567_89ab_cdef,
        position: 3,
        request: 77,
        reserved: 0,
        upstream: 99,
    }
}

#[gtest]
fn cursor_round_trips() {
    let bytes = cursor().encode(&[1; 32]);
    expect_that!(Cursor::decode(&bytes, &[1; 32]), some(eq(cursor())));
}

#[gtest]
fn cursor_of_another_secret_is_refused() {
    let bytes = cursor().encode(&[1; 32]);
    expect_that!(Cursor::decode(&bytes, &[2; 32]), none());
}

#[gtest]
fn cursor_with_any_byte_changed_is_refused() {
    let bytes = cursor().encode(&[1; 32]);
    for index in 0..bytes.len() {
        let mut forged = bytes;
        forged[index] ^= 1;
        expect_that!(Cursor::decode(&forged, &[1; 32]), none());
    }
}

#[gtest]
fn truncated_cursor_is_refused() {
    let bytes = cursor().encode(&[1; 32]);
    expect_that!(Cursor::decode(&bytes[..10], &[1; 32]), none());
}

#[gtest]
fn digest_depends_on_order_and_count() {
    expect_that!(Digest::of(&[1, 2]), not(eq(Digest::of(&[2, 1]))));
    expect_that!(Digest::of(&[1]), not(eq(Digest::of(&[1, 0]))));
    expect_that!(Digest::of(&[1]).push(2), eq(Digest::of(&[1, 2])));
}
