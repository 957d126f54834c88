//! The control role: the catalogue's quorum and the administration API.
