//! The published table of result codes against the code.

use result_code::ResultCode;

#[test]
fn the_table_in_the_docs_matches_the_code() {
    let row = |code: &ResultCode| {
        let (number, status, kind, text) = (code.number(), code.status(), code.kind(), code.text());
        format!("| {number} | {code:?} | {status} | {kind:?} | {text} |")
    };
    let docs = include_str!("../../../docs/codes.md");
    let documented: Vec<&str> = docs
        .lines()
        .filter(|line| line.starts_with("| 1"))
        .collect();
    assert_eq!(
        documented,
        ResultCode::all().iter().map(row).collect::<Vec<_>>()
    );
}
