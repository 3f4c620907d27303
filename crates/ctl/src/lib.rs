//! The operator command of knapweeddale.
