//! Job register: claims and answers replicated in the memory of entries.
