//! Schema files of wellplank, their generated code, and framing between its processes.
//!
//! The code under `generated` is made from `proto/*.proto` by `cargo run -p wellplank-schema` and
//! committed, so that a build needs no generator.

pub mod frame;
pub mod name;

/// Calls of operators, from `proto/operator.proto`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod operator {
    include!("generated/wellplank.operator.v1.rs");
}

/// Frames between instances, from `proto/peer.proto`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod peer {
    include!("generated/wellplank.peer.v1.rs");
}

use {
    bytes::{Bytes, BytesMut},
    peer::Frame,
    prost::Message,
    serde::{Deserialize, Deserializer, Serializer, de::Error as _},
    std::{
        fmt::{self, Display, Formatter},
        io,
    },
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};
