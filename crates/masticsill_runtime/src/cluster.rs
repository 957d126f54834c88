//! The cluster that this process belongs to. It is set once and never changes.

use std::sync::OnceLock;

use masticsill_types::ClusterId;

/// Identifies a cluster in the preamble of a connection: a hash of the cluster's name.
pub type ClusterTag = [u8; 8];

static CLUSTER: OnceLock<ClusterTag> = OnceLock::new();

/// Sets the cluster that this process belongs to. Call it once, before the first connection.
///
/// Every connection between processes carries the tag of its cluster, and a listener closes
/// connections of other clusters, so that a wrong seed address joins no foreign cluster. A second
/// call has no effect. Until the first call the tag is all zeros.
pub fn set_process_cluster(cluster: &ClusterId) {
    let _ = CLUSTER.set(cluster_tag(cluster));
}

/// Returns the tag of a cluster.
#[must_use]
pub fn cluster_tag(cluster: &ClusterId) -> ClusterTag {
    let mut tag = ClusterTag::default();
    let mut hasher = blake3::Hasher::new();
    hasher.update(cluster.as_str().as_bytes());
    hasher.finalize_xof().fill(&mut tag);
    tag
}

/// Returns the tag of the cluster that this process belongs to, or zeros if none was set.
pub(crate) fn process_cluster_tag() -> ClusterTag {
    CLUSTER.get().copied().unwrap_or_default()
}
