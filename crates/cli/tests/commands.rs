//! Commands by their standard names, and by those of earlier releases.

use cli::arguments::Arguments;
use cli::command::{Command, Page};
use cli::{CliError, ExitCode};

fn parse(line: &str) -> Result<Command, CliError> {
    let words = line.split_whitespace().map(str::to_owned).collect();
    Command::from_arguments(&Arguments {
        words,
        services: Some("services.json".into()),
        ..Arguments::default()
    })
}

#[test]
fn every_name_of_an_earlier_release_means_the_standard_command() {
    let cases = [
        ("submit a.json", "config apply a.json"),
        ("read", "config get"),
        ("check a.json", "config check a.json"),
        ("manifest a.yaml", "config convert a.yaml"),
        ("take-back north/n1", "restore north/n1"),
        ("marks", "tombstones"),
        ("survivor pm-1 data out", "recovery export pm-1 data out"),
        ("testament pm-1 data out", "recovery export pm-1 data out"),
        ("settle out a b", "recovery merge out a b"),
        ("inherit out data", "recovery import out data"),
    ];
    for (earlier, standard) in cases {
        let command = parse(standard).expect(standard);
        assert_eq!(parse(earlier).expect(earlier), command);
    }
}

#[test]
fn names_that_never_changed_are_commands() {
    let lines = [
        "evacuate north/n1",
        "voters",
        "voters add pm-1",
        "voters remove pm-1",
        "voters replace pm-1 pm-2",
        "site",
        "status",
        "node",
        "upstreams",
        "reservations",
        "counters",
        "ready",
        "lookup book.example north/n1",
        "trace t-1",
    ];
    for line in lines {
        assert!(parse(line).is_ok(), "{line}");
    }
    let tombstones = parse("tombstones").unwrap();
    assert_eq!(tombstones, Command::ShowPage(Page::Tombstones));
    assert_eq!(Page::Tombstones.path(), "/marks");
}

#[test]
fn what_is_no_command_is_a_usage_error() {
    for line in [
        "",
        "dance",
        "config",
        "config get more",
        "voters add",
        "trace",
    ] {
        let error = parse(line).expect_err(line);
        assert_eq!(error.exit_code(), ExitCode::Usage, "{line}");
    }
}
