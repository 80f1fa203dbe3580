//! Cost of synced writes in batches of several sizes, on the disk of the temporary folder.

use bytes::Bytes;
use chestnutfork_storage::{Change, DiskFolder, FileStore, LogStore, Record, SnapshotRecord};
use criterion::{Criterion, Throughput, criterion_group, criterion_main};

/// Size of a typical patch in bytes.
const PAYLOAD_BYTES: usize = 300;
/// Number of records after which the log is compacted, as in control.
const COMPACTION_INTERVAL: u64 = 1_000;

struct Writer {
    store: FileStore<DiskFolder>,
    next: u64,
    compacted: u64,
}

impl Writer {
    fn write(&mut self, count: u64) {
        let payload = Bytes::from(vec![7; PAYLOAD_BYTES]);
        let record = |index| Record {
            index,
            term: 1,
            payload: payload.clone(),
        };
        let records = (self.next..self.next + count).map(record).collect();
        self.store
            .write(&[Change::Append(records)])
            .expect("the disk has space");
        self.next += count;
        if self.next - self.compacted > COMPACTION_INTERVAL {
            self.compact();
        }
    }

    fn compact(&mut self) {
        let snapshot = SnapshotRecord {
            index: self.next - 1,
            term: 1,
            members: Bytes::new(),
            data: Bytes::from(vec![7; 64 * 1024]),
        };
        self.store
            .write(&[Change::Snapshot(snapshot)])
            .expect("the disk has space");
        self.compacted = self.next;
    }
}

fn write(c: &mut Criterion) {
    let mut group = c.benchmark_group("write");
    for count in [1, 16, 256] {
        let dir = tempfile::tempdir().expect("a temporary folder");
        let folder = DiskFolder::open(dir.path()).expect("a fresh folder");
        let store = FileStore::open_or_format(folder, 1).expect("a fresh folder");
        let mut writer = Writer {
            store,
            next: 1,
            compacted: 1,
        };
        group.throughput(Throughput::Elements(count));
        group.bench_function(format!("batch_{count}"), |b| b.iter(|| writer.write(count)));
    }
    group.finish();
}

criterion_group!(benches, write);
criterion_main!(benches);
