//! Tests of the load tool: experiment files, arrivals and the bound.

mod arrivals;
mod files;
