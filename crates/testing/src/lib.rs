//! Stand-ins for the systems around knapweeddale, and the message exchange used by its tests.
