//! Catalogue entries, change application, de-duplication and audit.
