//! An in-memory disk on which a power loss keeps, loses or tears each unsynced change on its own.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::{IndexMap, IndexSet};
use masticsill_quorum::storage::{FileDisk, FileSystem};
use rand::Rng;

/// What a power loss does to unsynced changes.
#[derive(Clone, Copy, Debug)]
pub enum PowerLoss {
    /// All of them are lost.
    All,
    /// Each is kept, lost or torn.
    Mixed,
}

impl PowerLoss {
    pub fn draw(random: &mut impl Rng) -> Self {
        if random.random() {
            Self::All
        } else {
            Self::Mixed
        }
    }

    fn outcome(self, random: &mut impl Rng) -> Outcome {
        match (self, random.random_range(0..4)) {
            (Self::All, _) | (Self::Mixed, 0) => Outcome::Lost,
            (Self::Mixed, 1) => Outcome::Torn,
            (Self::Mixed, _) => Outcome::Kept,
        }
    }
}

/// What becomes of one unsynced change. A torn change of a name is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Kept,
    Lost,
    Torn,
}

#[derive(Clone, Debug)]
enum ContentChange {
    SetSize(usize),
    Write { offset: usize, bytes: Vec<u8> },
}

impl ContentChange {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Self::SetSize(size) => content.resize(*size, 0),
            Self::Write { offset, bytes } => write_at(content, *offset, bytes),
        }
    }

    /// Writes a random range of the bytes only; the file may have its new size nevertheless.
    fn apply_torn(&self, content: &mut Vec<u8>, random: &mut impl Rng) {
        let Self::Write { offset, bytes } = self else {
            return;
        };
        let start = random.random_range(0..=bytes.len());
        let end = random.random_range(start..=bytes.len());
        if random.random() && content.len() < offset + bytes.len() {
            content.resize(offset + bytes.len(), 0);
        }
        if start < end {
            write_at(content, offset + start, &bytes[start..end]);
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Inode {
    content: Vec<u8>,
    synced_content: Vec<u8>,
    unsynced: Vec<ContentChange>,
}

impl Inode {
    fn change(&mut self, change: ContentChange) {
        change.apply(&mut self.content);
        self.unsynced.push(change);
    }

    fn sync(&mut self) {
        for change in self.unsynced.drain(..) {
            change.apply(&mut self.synced_content);
        }
    }

    fn lose_power(&mut self, loss: PowerLoss, random: &mut impl Rng) {
        for change in self.unsynced.drain(..) {
            match loss.outcome(random) {
                Outcome::Kept => change.apply(&mut self.synced_content),
                Outcome::Lost => {}
                Outcome::Torn => change.apply_torn(&mut self.synced_content, random),
            }
        }
        self.content = self.synced_content.clone();
    }
}

fn write_at(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[offset..end].copy_from_slice(bytes);
}

/// A name that was set to a file or removed.
#[derive(Debug)]
struct NameChange {
    name: String,
    inode: Option<usize>,
    /// Whether the sync of the file makes this change durable.
    is_creation: bool,
}

#[derive(Debug, Default)]
struct MemoryFolder {
    inodes: IndexMap<usize, Inode>,
    created_inodes: usize,
    names: IndexMap<String, usize>,
    synced_names: IndexMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    is_sync_failing: bool,
    /// Number of operations until the power is lost, if it is to be.
    operations_left: Option<usize>,
}

impl MemoryFolder {
    fn set_name(&mut self, name: &str, inode: Option<usize>, is_creation: bool) {
        set_name(&mut self.names, name, inode);
        self.unsynced_names.push(NameChange {
            name: name.to_owned(),
            inode,
            is_creation,
        });
    }

    fn create(&mut self, name: &str) -> usize {
        if let Some(inode) = self.names.get(name) {
            return *inode;
        }
        let inode = self.created_inodes;
        self.created_inodes += 1;
        self.inodes.insert(inode, Inode::default());
        self.set_name(name, Some(inode), true);
        inode
    }

    fn find(&self, name: &str) -> io::Result<usize> {
        let inode = self.names.get(name).copied();
        inode.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) {
        let inode = self.create(name);
        let inode = &mut self.inodes[&inode];
        let offset = inode.content.len();
        let bytes = bytes.to_vec();
        inode.change(ContentChange::Write { offset, bytes });
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        let inode = self.find(name)?;
        self.inodes[&inode].sync();
        let is_creation = |it: &NameChange| it.is_creation && it.inode == Some(inode);
        if let Some(position) = self.unsynced_names.iter().rposition(is_creation) {
            let later = self.unsynced_names.split_off(position + 1);
            let created = self.unsynced_names.pop().unwrap().name;
            self.unsynced_names.retain(|it| it.name != created);
            self.unsynced_names.extend(later);
            self.synced_names.insert(created, inode);
        }
        Ok(())
    }

    fn sync_names(&mut self) {
        self.synced_names = self.names.clone();
        self.unsynced_names.clear();
        let names = &self.names;
        self.inodes
            .retain(|inode, _| names.values().any(|named| named == inode));
    }

    /// Gives each name a file of its own, where a renaming was kept in part: there are no links.
    fn separate_files(&mut self) {
        let mut used = IndexSet::new();
        for inode in self.synced_names.values_mut() {
            if !used.insert(*inode) {
                let copy = self.inodes[&*inode].clone();
                *inode = self.created_inodes;
                self.created_inodes += 1;
                self.inodes.insert(*inode, copy);
            }
        }
    }

    fn lose_power(&mut self, loss: PowerLoss, random: &mut impl Rng) {
        for inode in self.inodes.values_mut() {
            inode.lose_power(loss, random);
        }
        for change in self.unsynced_names.drain(..) {
            if loss.outcome(random) == Outcome::Kept {
                set_name(&mut self.synced_names, &change.name, change.inode);
            }
        }
        self.separate_files();
        self.names = self.synced_names.clone();
        self.is_sync_failing = false;
        self.operations_left = None;
    }
}

fn set_name(names: &mut IndexMap<String, usize>, name: &str, inode: Option<usize>) {
    match inode {
        Some(inode) => {
            names.insert(name.to_owned(), inode);
        }
        None => {
            names.shift_remove(name);
        }
    }
}

/// An in-memory disk. Clones share one folder.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    folder: Arc<Mutex<MemoryFolder>>,
}

impl MemoryDisk {
    fn folder(&self) -> MutexGuard<'_, MemoryFolder> {
        self.folder.lock().unwrap()
    }

    /// The folder for a `Storage`.
    pub fn boxed(&self) -> Box<FileDisk<Self>> {
        Box::new(FileDisk::new(self.clone()))
    }

    pub fn set_sync_failing(&self, is_failing: bool) {
        self.folder().is_sync_failing = is_failing;
    }

    /// Makes every operation after the next `operations` fail, until the power is lost.
    pub fn fail_after(&self, operations: usize) {
        self.folder().operations_left = Some(operations);
    }

    /// Ends the failures; the changes made before them stay as they are, synced or not.
    pub fn restore(&self) {
        self.folder().is_sync_failing = false;
        self.folder().operations_left = None;
    }

    /// Loses the changes that are not synced, or parts of them.
    pub fn lose_power(&self, loss: PowerLoss, random: &mut impl Rng) {
        self.folder().lose_power(loss, random);
    }

    /// Damages a file by changing its content.
    pub fn damage(&self, file: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut folder = self.folder();
        let inode = folder.find(file).unwrap();
        let damaged = &mut folder.inodes[&inode];
        change(&mut damaged.content);
        damaged.unsynced.clear();
        damaged.synced_content = damaged.content.clone();
    }

    fn change<T>(
        &self,
        is_sync: bool,
        change: impl FnOnce(&mut MemoryFolder) -> io::Result<T>,
    ) -> io::Result<T> {
        let mut folder = self.folder();
        if is_sync && folder.is_sync_failing {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "disk full"));
        }
        if let Some(left) = &mut folder.operations_left {
            let Some(next) = left.checked_sub(1) else {
                return Err(io::Error::other("the power was lost"));
            };
            *left = next;
        }
        change(&mut folder)
    }
}

impl FileSystem for MemoryDisk {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.change(false, |folder| {
            folder.append(file, bytes);
            Ok(())
        })
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.folder().names.keys().cloned().collect())
    }

    fn overwrite(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.change(false, |folder| {
            let inode = folder.create(file);
            folder.inodes[&inode].change(ContentChange::SetSize(0));
            Ok(())
        })?;
        self.append(file, bytes)
    }

    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        let folder = self.folder();
        let inode = folder.names.get(file);
        Ok(inode.map(|inode| folder.inodes[inode].content.clone()))
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.change(false, |folder| {
            folder.find(file)?;
            folder.set_name(file, None, false);
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.change(false, |folder| {
            let inode = folder.find(from)?;
            folder.set_name(to, Some(inode), false);
            folder.set_name(from, None, false);
            Ok(())
        })
    }

    fn set_size(&mut self, file: &str, size_bytes: u64) -> io::Result<()> {
        self.change(false, |folder| {
            let inode = folder.find(file)?;
            let size = usize::try_from(size_bytes).unwrap();
            folder.inodes[&inode].change(ContentChange::SetSize(size));
            Ok(())
        })
    }

    fn sync_file(&mut self, file: &str) -> io::Result<()> {
        self.change(true, |folder| folder.sync_file(file))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.change(true, |folder| {
            folder.sync_names();
            Ok(())
        })
    }
}
