//! Settings and service files of knapweeddale: parsing, checks and differences.
