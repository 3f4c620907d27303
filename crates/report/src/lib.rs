//! Workload generation and measurement for the report programs of knapweeddale.

pub mod policy;
