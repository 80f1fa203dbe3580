//! Length-prefixed frames with a checksum.
//!
//! A write is one frame, so a frame that is not whole at the end of a file is a write that was never acknowledged.
//! Damage to the last frame after its sync looks the same and is not detected.

/// First bytes of every frame; a search for frames behind damage looks for them.
const MAGIC: [u8; 4] = *b"CNF1";
/// Magic, length and checksum, four bytes each.
const HEADER_LEN: usize = 12;

/// Frames of a file, up to the first one that is not whole.
#[derive(Debug)]
pub(crate) struct Scan<'a> {
    /// Position and content of each frame.
    pub(crate) frames: Vec<(u64, &'a [u8])>,
    /// Position behind the last whole frame.
    pub(crate) end: u64,
    /// Whether a whole frame lies behind one that is not, so the damage is not a torn tail.
    pub(crate) corrupt: bool,
}

/// Appends a frame that will lie at a position of a file.
///
/// The checksum covers the position, so that a copy of a frame inside another one's content is never taken for
/// a frame.
pub(crate) fn encode(offset: u64, content: &[u8], buf: &mut Vec<u8>) {
    let len = u32::try_from(content.len()).expect("a frame is smaller than 4 GiB");
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&checksum(offset, len, content).to_le_bytes());
    buf.extend_from_slice(content);
}

/// Finds the frames of a file.
pub(crate) fn scan(file: &[u8]) -> Scan<'_> {
    let mut frames = Vec::new();
    let mut at = 0;
    while let Some(content) = frame_at(file, at) {
        frames.push((at as u64, content));
        at += HEADER_LEN + content.len();
    }
    let corrupt = (at + 1..file.len()).any(|later| frame_at(file, later).is_some());
    Scan {
        frames,
        end: at as u64,
        corrupt,
    }
}

fn frame_at(file: &[u8], at: usize) -> Option<&[u8]> {
    let rest = file.get(at..)?;
    let (magic, rest) = rest.split_first_chunk()?;
    if *magic != MAGIC {
        return None;
    }
    let (len, rest) = rest.split_first_chunk()?;
    let (expected, rest) = rest.split_first_chunk()?;
    let len = u32::from_le_bytes(*len);
    let content = rest.get(..usize::try_from(len).ok()?)?;
    let found = checksum(at as u64, len, content);
    (found == u32::from_le_bytes(*expected)).then_some(content)
}

fn checksum(offset: u64, len: u32, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(&len.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}
