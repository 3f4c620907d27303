//! The entry daemon of knapweeddale.
