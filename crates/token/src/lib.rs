//! Keys, digests and signed continuations of knapweeddale.
