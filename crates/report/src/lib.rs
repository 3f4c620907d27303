//! Policy reports and load generation for knapweeddale.
