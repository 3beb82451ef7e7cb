//! Framing between instances: a length of four bytes in big-endian order, then one encoded [`Frame`].

use super::*;

/// Maximum length of a frame; a longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Decodes and encodes frames.
#[derive(Debug)]
pub struct Codec(LengthDelimitedCodec);

/// Error that ends a connection between instances.
#[derive(Debug)]
pub enum Error {
    /// The bytes do not decode to a frame.
    Decode(prost::DecodeError),
    /// The connection failed, or a frame exceeded [`MAX_FRAME_BYTES`].
    Io(io::Error),
}

impl Codec {
    /// Creates a codec for one connection.
    pub fn new() -> Self {
        Self(
            LengthDelimitedCodec::builder()
                .max_frame_length(MAX_FRAME_BYTES)
                .new_codec(),
        )
    }
}

impl Decoder for Codec {
    type Error = Error;
    type Item = Frame;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.0.decode(source)? else {
            return Ok(None);
        };
        Frame::decode(bytes).map(Some).map_err(Error::Decode)
    }
}

impl Default for Codec {
    fn default() -> Self {
        Self::new()
    }
}

impl Display for Error {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match self {
            Self::Decode(error) => write!(formatter, "invalid peer frame: {error}"),
            Self::Io(error) => write!(formatter, "peer connection failed: {error}"),
        }
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), Error> {
        let bytes = Bytes::from(frame.encode_to_vec());
        Ok(self.0.encode(bytes, target)?)
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl std::error::Error for Error {}
