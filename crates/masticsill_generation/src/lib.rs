//! Generation records: attempts, contiguity, resume and claims.
