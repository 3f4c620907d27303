//! Policy reports and load generation for knapweeddale.

pub mod policy;
