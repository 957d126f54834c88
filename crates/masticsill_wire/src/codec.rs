//! Codec for message bodies of all RPC services between processes.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use serde::{Serialize, de::DeserializeOwned};
use tokio_serde::{Deserializer, Serializer};
use tokio_util::bytes::{Bytes, BytesMut};

/// Largest frame accepted from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Why a frame could not be read or written.
pub type CodecError = io::Error;

/// Encodes and decodes messages with `postcard`.
#[derive(Debug)]
pub struct PostcardCodec<Item, SinkItem> {
    marker: PhantomData<fn() -> (Item, SinkItem)>,
}

impl<Item, SinkItem> Default for PostcardCodec<Item, SinkItem> {
    fn default() -> Self {
        Self {
            marker: PhantomData,
        }
    }
}

impl<Item: DeserializeOwned, SinkItem> Deserializer<Item> for PostcardCodec<Item, SinkItem> {
    type Error = CodecError;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> Result<Item, Self::Error> {
        postcard::from_bytes(frame)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

impl<Item, SinkItem: Serialize> Serializer<SinkItem> for PostcardCodec<Item, SinkItem> {
    type Error = CodecError;

    fn serialize(self: Pin<&mut Self>, message: &SinkItem) -> Result<Bytes, Self::Error> {
        postcard::to_stdvec(message)
            .map(Bytes::from)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}
