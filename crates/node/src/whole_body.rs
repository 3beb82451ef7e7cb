//! Reads whole bodies into a bound.

use super::*;
use hyper::body::Body;
use read_budget::Share;
use wellplank_core::counter::AnswerBound;

/// Why a body is not read to its end.
#[derive(Debug)]
pub(crate) enum Error<E> {
    /// A bound ended it.
    Bound {
        /// The bound.
        bound: AnswerBound,
        /// Bytes that the body has at least.
        bytes: u64,
    },
    /// The connection ended or failed.
    Broken(E),
}

impl<E: Display> Display for Error<E> {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match self {
            Self::Bound { bound, bytes } => {
                write!(formatter, "{bytes} bytes exceed the bound: {bound}")
            }
            Self::Broken(error) => write!(formatter, "{error}"),
        }
    }
}

/// Reads a body of at most `bytes_max` bytes, which count in `share` before they are kept. A length beyond that fails before
/// anything is read. Frames are copied: kept as they come, small ones would take many times their bytes.
pub(crate) async fn read<B>(
    mut body: B,
    bytes_max: u64,
    share: &Share,
) -> Result<Bytes, Error<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut whole = Vec::new();
    check(AnswerBound::Body, body.size_hint().lower(), bytes_max)?;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = share.ended() => return Err(used_up(whole.len() as u64)),
        };
        let Some(frame) = frame else {
            return Ok(whole.into());
        };
        let Ok(data) = frame.map_err(Error::Broken)?.into_data() else {
            continue;
        };
        let bytes = (whole.len() + data.len()) as u64;
        check(AnswerBound::Body, bytes, bytes_max)?;
        if share.grow(bytes).await {
            return Err(used_up(bytes));
        }
        whole.extend_from_slice(&data);
    }
}

/// Fails if an answer has more bytes than a bound permits.
pub(crate) fn check<E>(bound: AnswerBound, bytes: u64, bytes_max: u64) -> Result<(), Error<E>> {
    if bytes > bytes_max {
        return Err(Error::Bound { bound, bytes });
    }
    Ok(())
}

/// The end of an answer that holds the most while the instance's budget is used up.
fn used_up<E>(bytes: u64) -> Error<E> {
    Error::Bound {
        bound: AnswerBound::Instance,
        bytes,
    }
}
