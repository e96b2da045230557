//! A disk in memory that distinguishes what is on the platter from what is only in the system's cache, and can lose power
//! before every operation.

// Each test file uses a part of it.
#![allow(dead_code)]

use random::Random;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::{Component, Path};
use std::sync::{Arc, Mutex, MutexGuard};
use storage::{FileSystem, FolderLock, NewFile, StorageBackend};

/// Disks write this many bytes at once or not at all.
const SECTOR: usize = 512;

/// Which step a broken twin of the storage leaves out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Omits {
    #[default]
    Nothing,
    /// Names in this folder are never synced.
    FolderSync(&'static str),
    /// Plain files are renamed into place without having been synced.
    FileSync,
    /// The database's own syncs.
    DatabaseSync,
}

/// What a loss of power does to what was not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Only the process is killed: the cache stays.
    None,
    All,
    /// Each change by itself is written, lost or, where it is long, partly written.
    Some,
}

#[derive(Clone)]
enum Change {
    Write { offset: usize, bytes: Arc<Vec<u8>> },
    Length(usize),
}

#[derive(Clone)]
enum NameChange {
    Link(String, usize),
    Unlink(String, usize),
    /// Within one folder: done completely or not at all.
    Rename(String, String, usize),
}

#[derive(Clone)]
enum Node {
    File {
        platter: Arc<Vec<u8>>,
        cache: Arc<Vec<u8>>,
        unsynced: Vec<Change>,
    },
    Folder {
        platter: BTreeMap<String, usize>,
        cache: BTreeMap<String, usize>,
        unsynced: Vec<NameChange>,
    },
}

/// Everything on a disk at one moment.
#[derive(Clone)]
pub struct Platter {
    nodes: Vec<Node>,
}

type Watcher = Box<dyn FnMut(&Platter) + Send>;

struct State {
    platter: Platter,
    omits: Omits,
    /// Bytes that fit before the disk is full.
    room: Option<usize>,
    /// Syncs fail, and what they should have synced is lost from then on though it can still be read.
    syncs_fail: bool,
    watcher: Option<Watcher>,
}

/// One simulated disk; clones share it.
#[derive(Clone)]
pub struct SimulatedDisk(Arc<Mutex<State>>);

impl std::fmt::Debug for SimulatedDisk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SimulatedDisk")
    }
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Write {
            offset,
            bytes: written,
        } => {
            let end = offset + written.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset..end].copy_from_slice(written);
        }
        Change::Length(length) => bytes.resize(*length, 0),
    }
}

fn apply_name(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Link(name, id) => {
            names.insert(name.clone(), *id);
        }
        NameChange::Unlink(name, id) => {
            if names.get(name) == Some(id) {
                names.remove(name);
            }
        }
        NameChange::Rename(from, to, id) => {
            if names.get(from) == Some(id) {
                names.remove(from);
            }
            names.insert(to.clone(), *id);
        }
    }
}

/// What a power cut leaves of one change.
fn apply_change(random: &mut Random, loss: Loss, change: &Change, onto: &mut Vec<u8>) {
    match (loss, random.below(3)) {
        (Loss::None, _) | (Loss::Some, 0) => apply(onto, change),
        (Loss::All, _) | (Loss::Some, 1) => {}
        (Loss::Some, _) => match change {
            Change::Write { offset, bytes } => {
                let sectors = bytes
                    .chunks(SECTOR)
                    .enumerate()
                    .filter(|_| random.below(2) == 0);
                for (at, sector) in sectors {
                    apply(
                        onto,
                        &Change::Write {
                            offset: offset + at * SECTOR,
                            bytes: Arc::new(sector.to_vec()),
                        },
                    );
                }
            }
            length => apply(onto, length),
        },
    }
}

impl Platter {
    /// The disk as the next process finds it.
    pub fn after(&self, random: &mut Random, loss: Loss, omits: Omits) -> SimulatedDisk {
        let nodes = self.nodes.iter().map(|node| match (node, loss) {
            (node, Loss::None) => node.clone(),
            (
                Node::File {
                    platter, unsynced, ..
                },
                _,
            ) => {
                let mut bytes = Arc::clone(platter);
                if !unsynced.is_empty() && loss != Loss::All {
                    let bytes = Arc::make_mut(&mut bytes);
                    unsynced
                        .iter()
                        .for_each(|change| apply_change(random, loss, change, bytes));
                }
                Node::File {
                    platter: bytes.clone(),
                    cache: bytes,
                    unsynced: Vec::new(),
                }
            }
            (
                Node::Folder {
                    platter, unsynced, ..
                },
                _,
            ) => {
                let mut names = platter.clone();
                let survivors = unsynced
                    .iter()
                    .filter(|_| loss == Loss::Some && random.below(2) == 0);
                survivors.for_each(|change| apply_name(&mut names, change));
                Node::Folder {
                    platter: names.clone(),
                    cache: names,
                    unsynced: Vec::new(),
                }
            }
        });
        SimulatedDisk::holding(
            Platter {
                nodes: nodes.collect(),
            },
            omits,
        )
    }
}

impl SimulatedDisk {
    pub fn new(omits: Omits) -> Self {
        let root = Node::Folder {
            platter: BTreeMap::new(),
            cache: BTreeMap::new(),
            unsynced: Vec::new(),
        };
        SimulatedDisk::holding(Platter { nodes: vec![root] }, omits)
    }

    fn holding(platter: Platter, omits: Omits) -> Self {
        let state = State {
            platter,
            omits,
            room: None,
            syncs_fail: false,
            watcher: None,
        };
        SimulatedDisk(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Calls this before every operation that changes or syncs anything.
    pub fn watch(&self, watcher: impl FnMut(&Platter) + Send + 'static) {
        self.state().watcher = Some(Box::new(watcher));
    }

    pub fn unwatch(&self) {
        self.state().watcher = None;
    }

    pub fn platter(&self) -> Platter {
        self.state().platter.clone()
    }

    /// Takes so many more bytes; none: any number.
    pub fn set_room(&self, room: Option<usize>) {
        self.state().room = room;
    }

    pub fn set_syncs_fail(&self, fail: bool) {
        self.state().syncs_fail = fail;
    }

    /// Changes a file behind the storage's back, as a failing disk does.
    pub fn corrupt(&self, file: &Path, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        let id = state.find(file).unwrap();
        if let Node::File { platter, cache, .. } = &mut state.platter.nodes[id] {
            change(Arc::make_mut(cache));
            *platter = cache.clone();
        }
    }

    /// How many bytes a file holds.
    pub fn size(&self, file: &Path) -> Option<usize> {
        let state = self.state();
        match &state.platter.nodes[state.find(file).ok()?] {
            Node::File { cache, .. } => Some(cache.len()),
            Node::Folder { .. } => None,
        }
    }
}

fn omits_folder(omits: Omits, folder: &Path) -> bool {
    matches!(omits, Omits::FolderSync(omitted) if Path::new(omitted) == folder)
}

fn not_found() -> io::Error {
    io::Error::from(io::ErrorKind::NotFound)
}

fn name(path: &Path) -> String {
    path.file_name()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned()
}

impl State {
    /// The power may go before this operation.
    fn about_to_change(&mut self) {
        if let Some(watcher) = &mut self.watcher {
            watcher(&self.platter);
        }
    }

    fn find(&self, path: &Path) -> io::Result<usize> {
        let parts = path
            .components()
            .filter(|part| matches!(part, Component::Normal(_)));
        let mut at = 0;
        for part in parts {
            at = *self
                .names(at)?
                .get(&*part.as_os_str().to_string_lossy())
                .ok_or_else(not_found)?;
        }
        Ok(at)
    }

    fn names(&self, id: usize) -> io::Result<&BTreeMap<String, usize>> {
        match &self.platter.nodes[id] {
            Node::Folder { cache, .. } => Ok(cache),
            Node::File { .. } => Err(io::Error::from(io::ErrorKind::NotADirectory)),
        }
    }

    fn change_names(&mut self, folder: usize, change: NameChange) -> io::Result<()> {
        match &mut self.platter.nodes[folder] {
            Node::Folder {
                cache, unsynced, ..
            } => {
                apply_name(cache, &change);
                unsynced.push(change);
                Ok(())
            }
            Node::File { .. } => Err(io::Error::from(io::ErrorKind::NotADirectory)),
        }
    }

    fn parent(&self, path: &Path) -> io::Result<usize> {
        self.find(path.parent().unwrap_or(path))
    }

    fn add(&mut self, path: &Path, node: Node) -> io::Result<usize> {
        let folder = self.parent(path)?;
        if self.names(folder)?.contains_key(&name(path)) {
            return Err(io::Error::from(io::ErrorKind::AlreadyExists));
        }
        self.about_to_change();
        self.platter.nodes.push(node);
        let id = self.platter.nodes.len() - 1;
        self.change_names(folder, NameChange::Link(name(path), id))?;
        Ok(id)
    }

    fn change_file(&mut self, id: usize, change: Change) -> io::Result<()> {
        let grows = match (&change, &self.platter.nodes[id]) {
            (Change::Write { bytes, .. }, _) => bytes.len(),
            (Change::Length(length), Node::File { cache, .. }) => {
                length.saturating_sub(cache.len())
            }
            _ => 0,
        };
        if let Some(room) = &mut self.room {
            *room = room
                .checked_sub(grows)
                .ok_or_else(|| io::Error::from(io::ErrorKind::StorageFull))?;
        }
        self.about_to_change();
        if let Node::File {
            cache, unsynced, ..
        } = &mut self.platter.nodes[id]
        {
            apply(Arc::make_mut(cache), &change);
            unsynced.push(change);
        }
        Ok(())
    }

    fn sync_file(&mut self, id: usize, omitted_by: Omits) -> io::Result<()> {
        self.about_to_change();
        let (skip, fail) = (self.omits == omitted_by, self.syncs_fail);
        match &mut self.platter.nodes[id] {
            _ if skip => {}
            Node::File { unsynced, .. } if fail => {
                unsynced.clear();
                return Err(io::Error::other("input/output error"));
            }
            Node::File {
                platter, unsynced, ..
            } => {
                let bytes = Arc::make_mut(platter);
                unsynced.drain(..).for_each(|change| apply(bytes, &change));
            }
            Node::Folder { .. } => {}
        }
        Ok(())
    }
}

#[derive(Debug)]
struct OpenFile {
    disk: SimulatedDisk,
    id: usize,
    written: usize,
}

#[derive(Debug)]
struct NoLock;

impl FolderLock for NoLock {}

impl Write for OpenFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // In parts, as the system may take it.
        let part = &bytes[..bytes.len().min(4096)];
        let change = Change::Write {
            offset: self.written,
            bytes: Arc::new(part.to_vec()),
        };
        self.disk.state().change_file(self.id, change)?;
        self.written += part.len();
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl NewFile for OpenFile {
    fn sync(&mut self) -> io::Result<()> {
        self.disk.state().sync_file(self.id, Omits::FileSync)
    }
}

impl StorageBackend for OpenFile {
    fn len(&self) -> io::Result<u64> {
        match &self.disk.state().platter.nodes[self.id] {
            Node::File { cache, .. } => Ok(cache.len() as u64),
            Node::Folder { .. } => Err(not_found()),
        }
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.disk.state();
        let Node::File { cache, .. } = &state.platter.nodes[self.id] else {
            return Err(not_found());
        };
        let (from, to) = (offset as usize, offset as usize + out.len());
        let bytes = cache
            .get(from..to)
            .ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.disk
            .state()
            .change_file(self.id, Change::Length(length as usize))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.disk.state().sync_file(self.id, Omits::DatabaseSync)
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let change = Change::Write {
            offset: offset as usize,
            bytes: Arc::new(bytes.to_vec()),
        };
        self.disk.state().change_file(self.id, change)
    }
}

impl FileSystem for SimulatedDisk {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        let node = Node::Folder {
            platter: BTreeMap::new(),
            cache: BTreeMap::new(),
            unsynced: Vec::new(),
        };
        match self.state().add(folder, node) {
            Err(error) if error.kind() != io::ErrorKind::AlreadyExists => Err(error),
            _ => Ok(()),
        }
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        let mut state = self.state();
        let id = state.find(folder)?;
        state.about_to_change();
        let (skip, fail) = (omits_folder(state.omits, folder), state.syncs_fail);
        match &mut state.platter.nodes[id] {
            _ if skip => {}
            _ if fail => return Err(io::Error::other("input/output error")),
            Node::Folder {
                platter, unsynced, ..
            } => {
                unsynced
                    .drain(..)
                    .for_each(|change| apply_name(platter, &change));
            }
            Node::File { .. } => return Err(io::Error::from(io::ErrorKind::NotADirectory)),
        }
        Ok(())
    }

    fn lock(&self, _folder: &Path) -> io::Result<Option<Box<dyn FolderLock>>> {
        Ok(Some(Box::new(NoLock)))
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let state = self.state();
        Ok(state.names(state.find(folder)?)?.keys().cloned().collect())
    }

    fn exists(&self, path: &Path) -> io::Result<bool> {
        Ok(self.state().find(path).is_ok())
    }

    fn read(&self, file: &Path) -> io::Result<Vec<u8>> {
        let state = self.state();
        match &state.platter.nodes[state.find(file)?] {
            Node::File { cache, .. } => Ok(cache.to_vec()),
            Node::Folder { .. } => Err(io::Error::from(io::ErrorKind::IsADirectory)),
        }
    }

    fn create(&self, file: &Path) -> io::Result<Box<dyn NewFile>> {
        let node = Node::File {
            platter: Arc::default(),
            cache: Arc::default(),
            unsynced: Vec::new(),
        };
        let id = self.state().add(file, node)?;
        Ok(Box::new(OpenFile {
            disk: self.clone(),
            id,
            written: 0,
        }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.state();
        let (id, source, target) = (state.find(from)?, state.parent(from)?, state.parent(to)?);
        state.about_to_change();
        if source == target {
            return state.change_names(source, NameChange::Rename(name(from), name(to), id));
        }
        state.change_names(target, NameChange::Link(name(to), id))?;
        state.change_names(source, NameChange::Unlink(name(from), id))
    }

    fn remove(&self, file: &Path) -> io::Result<()> {
        let mut state = self.state();
        let Ok(id) = state.find(file) else {
            return Ok(());
        };
        let folder = state.parent(file)?;
        state.about_to_change();
        state.change_names(folder, NameChange::Unlink(name(file), id))
    }

    fn open_database(&self, file: &Path, new: bool) -> io::Result<Box<dyn StorageBackend>> {
        let id = if new {
            let node = Node::File {
                platter: Arc::default(),
                cache: Arc::default(),
                unsynced: Vec::new(),
            };
            self.state().add(file, node)?
        } else {
            self.state().find(file)?
        };
        Ok(Box::new(OpenFile {
            disk: self.clone(),
            id,
            written: 0,
        }))
    }
}
