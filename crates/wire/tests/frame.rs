//! Framing between instances.

use {
    bytes::BytesMut,
    googletest::prelude::*,
    tokio_util::codec::{Decoder, Encoder},
    wellplank_wire::{
        frame::{Codec, MAX_FRAME_BYTES},
        peer::{Frame, Heartbeat, frame::Body},
    },
};

fn heartbeat() -> Frame {
    Frame {
        body: Some(Body::Heartbeat(Heartbeat {
            head: vec![1, 2, 3],
            instance: "entry-1".into(),
            leaving: vec!["runner-2".into()],
            revision: 7,
        })),
    }
}

#[gtest]
fn frame_is_decoded_from_single_bytes() {
    let mut bytes = BytesMut::new();
    Codec::new().encode(heartbeat(), &mut bytes).unwrap();
    let mut codec = Codec::new();
    let mut source = BytesMut::new();
    let last = bytes.len() - 1;
    for (index, byte) in bytes.iter().enumerate() {
        source.extend_from_slice(&[*byte]);
        let frame = codec.decode(&mut source).unwrap();
        expect_that!(frame.is_some(), eq(index == last));
        if let Some(frame) = frame {
            expect_that!(frame, eq(&heartbeat()));
        }
    }
}

#[gtest]
fn undecodable_frame_is_an_error() {
    let mut source = BytesMut::from(&[0, 0, 0, 2, 0xff, 0xff][..]);
    expect_that!(Codec::new().decode(&mut source).is_err(), eq(true));
}

#[gtest]
fn frame_beyond_the_maximum_length_is_an_error() {
    let length = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    let mut source = BytesMut::from(&length[..]);
    expect_that!(Codec::new().decode(&mut source).is_err(), eq(true));
}
