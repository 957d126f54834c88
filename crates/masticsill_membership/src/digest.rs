//! Hashes over members, by which two nodes find the differences between their views in few bytes.

use masticsill_types::NodeId;

use crate::member::Record;

/// Number of buckets that members are assigned to by the hash of their id.
pub(crate) const BUCKETS: usize = 256;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a with a final mixing step. The result is the same in every process.
fn hash_bytes(seed: u64, bytes: &[u8]) -> u64 {
    let mut hash = FNV_OFFSET ^ seed;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

/// Returns the bucket index of a member.
pub(crate) fn bucket_of(node: &NodeId) -> u16 {
    let hash = hash_bytes(0, node.as_str().as_bytes());
    u16::try_from(hash % BUCKETS as u64).expect("there are fewer buckets than u16 values")
}

fn record_hash(record: &Record) -> u64 {
    let mut bytes = record.node.as_str().as_bytes().to_vec();
    bytes.extend(record.incarnation.0.to_le_bytes());
    bytes.extend(record.revision.to_le_bytes());
    bytes.push(u8::from(record.is_suspected));
    hash_bytes(1, &bytes)
}

/// One hash per bucket and one over all members, updated in constant time with each change.
#[derive(Clone, Debug)]
pub(crate) struct Digest {
    buckets: Vec<u64>,
    root: u64,
}

impl Digest {
    pub(crate) fn new() -> Self {
        Self {
            buckets: vec![0; BUCKETS],
            root: 0,
        }
    }

    /// Adds a record to the digest, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, record: &Record) {
        let hash = record_hash(record);
        self.buckets[usize::from(bucket_of(&record.node))] ^= hash;
        self.root ^= hash;
    }

    /// Returns the hash over all members.
    pub(crate) fn root(&self) -> u64 {
        self.root
    }

    /// Returns the hash of each bucket, shortened to its upper 32 bits.
    pub(crate) fn bucket_hashes(&self) -> Vec<u32> {
        let shorten = |hash: &u64| u32::try_from(hash >> 32).expect("32 bits are left");
        self.buckets.iter().map(shorten).collect()
    }

    /// Returns the indices of the buckets whose hash differs from that of a peer.
    pub(crate) fn differing(&self, peer: &[u32]) -> Vec<u16> {
        let own = self.bucket_hashes();
        let pairs = own.iter().zip(peer);
        let differing = pairs.zip(0..).filter(|((own, peer), _)| own != peer);
        differing.map(|(_, index)| index).collect()
    }
}
