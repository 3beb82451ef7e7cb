//! Protobuf schemas of wellplank, the code generated from them, and the framing between instances.
//!
//! `cargo run -p wellplank-schema` generates the code under `generated` from `proto/*.proto`. It is committed, so that builds need
//! no generator.

pub mod frame;
pub mod name;

/// The operators' interface, from `proto/operator.proto`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod operator {
    include!("generated/wellplank.operator.v1.rs");
}

/// Messages between instances, from `proto/peer.proto`.
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
