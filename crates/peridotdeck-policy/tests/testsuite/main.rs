//! Tests of the operators' library.

mod mistakes;
mod parts;
mod routes;
