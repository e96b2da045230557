//! Withdrawn words stay withdrawn: the glossary's first column against the identifiers of the code.

use std::fs;
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .nth(2)
        .expect("the repository")
        .to_owned()
}

/// The words in the first column of the glossary's tables, where a table has a column `Withdrawn`.
fn withdrawn_words(glossary: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut in_table = false;
    for line in glossary.lines() {
        if !line.starts_with('|') {
            in_table = false;
            continue;
        }
        let first_column = line.split('|').nth(1).unwrap_or_default();
        if first_column.trim() == "Withdrawn" {
            in_table = true;
            continue;
        }
        if in_table {
            let quoted = first_column.split('`').skip(1).step_by(2);
            words.extend(quoted.map(str::to_owned));
        }
    }
    words
}

/// Source text without string literals and comments.
fn code_only(source: &str) -> String {
    let mut code = String::with_capacity(source.len());
    let mut rest = source;
    while let Some(first) = rest.chars().next() {
        let skipped = skipped_length(rest);
        if skipped > 0 {
            code.push(' ');
            rest = &rest[skipped..];
        } else {
            code.push(first);
            rest = &rest[first.len_utf8()..];
        }
    }
    code
}

/// How many bytes at the start of `text` belong to a comment, a string or a character literal.
fn skipped_length(text: &str) -> usize {
    if text.starts_with("//") {
        return text.find('\n').unwrap_or(text.len());
    }
    if text.starts_with("/*") {
        return text.find("*/").map_or(text.len(), |end| end + 2);
    }
    if text.starts_with("'\"'") || text.starts_with("'\\") {
        return text[2..].find('\'').map_or(text.len(), |end| end + 3);
    }
    if let Some(raw) = raw_string_length(text) {
        return raw;
    }
    if text.starts_with('"') {
        return string_length(text);
    }
    0
}

fn raw_string_length(text: &str) -> Option<usize> {
    let after_r = text.strip_prefix('r')?;
    let hashes = after_r.len() - after_r.trim_start_matches('#').len();
    after_r[hashes..].strip_prefix('"')?;
    let end = format!("\"{}", "#".repeat(hashes));
    let start = 1 + hashes + 1;
    Some(
        text[start..]
            .find(&end)
            .map_or(text.len(), |found| start + found + end.len()),
    )
}

fn string_length(text: &str) -> usize {
    let mut escaped = false;
    for (position, character) in text.char_indices().skip(1) {
        match character {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return position + 1,
            _ => {}
        }
    }
    text.len()
}

/// The lower-case parts of an identifier, in whatever case it is written.
fn identifier_parts(identifier: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut previous_is_lower = false;
    for character in identifier.chars() {
        let starts_part = character == '_' || (character.is_uppercase() && previous_is_lower);
        if starts_part {
            parts.push(String::new());
        }
        if character != '_' {
            let part = parts.last_mut().expect("there is always one");
            part.extend(character.to_lowercase());
        }
        previous_is_lower = character.is_lowercase() || character.is_numeric();
    }
    parts
}

/// The identifiers of a source that have a withdrawn word, or its plural, among their parts.
fn offending_identifiers(source: &str, withdrawn: &[String]) -> Vec<String> {
    let code = code_only(source);
    let identifiers =
        code.split(|character: char| !character.is_alphanumeric() && character != '_');
    let is_withdrawn = |part: &String| {
        withdrawn
            .iter()
            .any(|word| part == word || part.strip_suffix('s') == Some(word))
    };
    identifiers
        .filter(|identifier| identifier_parts(identifier).iter().any(is_withdrawn))
        .map(str::to_owned)
        .collect()
}

fn rust_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            if !path.ends_with("target") {
                rust_sources(&path, found);
            }
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn no_withdrawn_word_is_part_of_an_identifier() {
    let root = repository();
    let glossary = fs::read_to_string(root.join("docs/GLOSSARY.md")).expect("the glossary");
    let withdrawn = withdrawn_words(&glossary);
    assert!(withdrawn.len() > 15, "{withdrawn:?}");
    let mut sources = Vec::new();
    rust_sources(&root.join("crates"), &mut sources);
    rust_sources(&root.join("platform"), &mut sources);
    assert!(sources.len() > 100, "{} sources", sources.len());
    let mut offences = Vec::new();
    for path in &sources {
        let source = fs::read_to_string(path).expect("a text");
        for identifier in offending_identifiers(&source, &withdrawn) {
            let shown = path.strip_prefix(&root).unwrap_or(path).display();
            offences.push(format!("{shown}: {identifier}"));
        }
    }
    assert!(offences.is_empty(), "{}", offences.join("\n"));
}

#[test]
fn a_planted_word_is_found_and_quoted_ones_are_not() {
    let withdrawn = vec!["carrier".to_owned(), "beat".to_owned()];
    let planted = "fn next(carrierNode: u8) { let beats = 1; }";
    assert_eq!(
        offending_identifiers(planted, &withdrawn),
        ["carrierNode", "beats"]
    );
    let clean = "// the carrier\nfn heartbeat() -> &'static str { let quote = '\"'; \"carrier \\\" beat\" }";
    assert!(offending_identifiers(clean, &withdrawn).is_empty());
    let raw = "const NAME: &str = r#\"a carrier \" beat\"#; fn beat() {}";
    assert_eq!(offending_identifiers(raw, &withdrawn), ["beat"]);
}

#[test]
fn the_glossary_tells_which_words_are_withdrawn() {
    let glossary = "| Withdrawn | now |\n|---|---|\n| `a`, `b` | c |\n| - | `d` |\n\n| other | `e` |\n| `f` | g |\n";
    assert_eq!(withdrawn_words(glossary), ["a", "b"]);
}
