//! knapweeddale, a scheduler for agent programs.
