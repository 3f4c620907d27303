//! A scheduler for agent programs.
