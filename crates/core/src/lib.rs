//! The decision core of knapweeddale: tables of entities and the systems that run over them.
