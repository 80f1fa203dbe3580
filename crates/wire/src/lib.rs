//! Wire types and codecs of chestnutfork.
