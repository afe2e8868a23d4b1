//! Under construction: see the README for what runs.
