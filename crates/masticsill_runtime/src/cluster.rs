//! The cluster that this process belongs to, for its whole life.

use std::sync::OnceLock;

use masticsill_types::ClusterId;

/// What names a cluster in a connection's preamble: a hash of its name.
pub type ClusterTag = [u8; 8];

static CLUSTER: OnceLock<ClusterTag> = OnceLock::new();

/// Names the cluster that this process belongs to, once, before any connection.
///
/// Every connection between processes carries a tag of the name, and a listener closes those of
/// other clusters: a seed that leads to the wrong place joins nothing. A second call changes
/// nothing. Without a call the process belongs to the cluster without a name.
pub fn set_process_cluster(cluster: &ClusterId) {
    let _ = CLUSTER.set(cluster_tag(cluster));
}

/// The tag by which a connection names its cluster.
#[must_use]
pub fn cluster_tag(cluster: &ClusterId) -> ClusterTag {
    let mut tag = ClusterTag::default();
    let mut hasher = blake3::Hasher::new();
    hasher.update(cluster.as_str().as_bytes());
    hasher.finalize_xof().fill(&mut tag);
    tag
}

/// The tag of this process's cluster.
pub(crate) fn own_tag() -> ClusterTag {
    CLUSTER.get().copied().unwrap_or_default()
}
