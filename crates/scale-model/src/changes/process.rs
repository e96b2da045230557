//! Figures of this process from Linux's procfs.

/// The number after `name` in a file of this process's folder in Linux's procfs; zero where there is none.
fn procfs_number(file: &str, name: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/self/{file}")).unwrap_or_default();
    let line = text.lines().find_map(|line| {
        line.strip_prefix(name)?
            .split_whitespace()
            .next()?
            .parse()
            .ok()
    });
    line.unwrap_or(0)
}

/// Resident memory of this process.
pub(super) fn resident_bytes() -> u64 {
    procfs_number("status", "VmRSS:") * 1024
}

/// Bytes that this process has handed to the operating system to write.
pub(super) fn written_bytes() -> u64 {
    procfs_number("io", "wchar:")
}
