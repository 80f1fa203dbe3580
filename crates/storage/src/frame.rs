//! Length-prefixed frames with a checksum.
//!
//! Each write is one frame, so an invalid frame at the end of a file is taken for a torn write, which was never
//! acknowledged. Corruption of the last frame after its sync looks the same and is not detected.

/// First bytes of every frame, which allow frames after a corrupt one to be found.
const MAGIC: [u8; 4] = *b"CNF1";
/// Length of the header: magic, content length and checksum, four bytes each.
const HEADER_LEN: usize = 12;

/// Valid frames at the start of a file.
#[derive(Debug)]
pub(crate) struct Scan<'a> {
    /// Offset and content of each frame.
    pub(crate) frames: Vec<(u64, &'a [u8])>,
    /// Offset of the end of the last of these frames.
    pub(crate) end: u64,
    /// Whether a valid frame follows an invalid one, which rules out a torn write.
    pub(crate) corrupt: bool,
}

/// Appends to `buf` a frame that is to be written at an offset of a file.
///
/// The checksum covers the offset, so that a copy of a frame within the content of another one is not valid.
pub(crate) fn encode(offset: u64, content: &[u8], buf: &mut Vec<u8>) {
    let len = u32::try_from(content.len()).expect("a frame is smaller than 4 GiB");
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&checksum(offset, len, content).to_le_bytes());
    buf.extend_from_slice(content);
}

/// Reads the frames of a file up to the first invalid one.
pub(crate) fn scan(file: &[u8]) -> Scan<'_> {
    let mut frames = Vec::new();
    let mut offset = 0;
    while let Some(content) = frame_at(file, offset) {
        frames.push((offset as u64, content));
        offset += HEADER_LEN + content.len();
    }
    let corrupt = (offset + 1..file.len()).any(|later| frame_at(file, later).is_some());
    Scan {
        frames,
        end: offset as u64,
        corrupt,
    }
}

fn frame_at(file: &[u8], offset: usize) -> Option<&[u8]> {
    let rest = file.get(offset..)?;
    let (magic, rest) = rest.split_first_chunk()?;
    if *magic != MAGIC {
        return None;
    }
    let (len, rest) = rest.split_first_chunk()?;
    let (expected, rest) = rest.split_first_chunk()?;
    let len = u32::from_le_bytes(*len);
    let content = rest.get(..usize::try_from(len).ok()?)?;
    let found = checksum(offset as u64, len, content);
    (found == u32::from_le_bytes(*expected)).then_some(content)
}

fn checksum(offset: u64, len: u32, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(&len.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}
