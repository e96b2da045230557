//! What a process holds, read from the kernel's own figures and its data folder.

use super::judgement::Resources;
use std::fs;
use std::path::Path;

/// What the process with this id holds; none where it is gone.
pub(super) fn resources_of(process: u32, data: Option<&Path>) -> Option<Resources> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let descriptors = fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
    Some(Resources {
        memory_kib: status_field(&status, "VmRSS:")?,
        descriptors: descriptors as u64,
        threads: status_field(&status, "Threads:")?,
        disk_kib: data.map_or(0, folder_bytes) / 1024,
    })
}

fn status_field(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// The bytes of all files in a folder and those in it.
fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = fs::read_dir(folder) else {
        return 0;
    };
    entries
        .flatten()
        .map(|entry| match entry.metadata() {
            Ok(metadata) if metadata.is_dir() => folder_bytes(&entry.path()),
            Ok(metadata) => metadata.len(),
            Err(_) => 0,
        })
        .sum()
}
