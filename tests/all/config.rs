//! Configurations and settings: strict, with every error and its place.

use std::path::Path;

use argh::FromArgs;
use azuremount::{
    config::{self, Config},
    settings::{ControlFlags, EntryFlags},
    wire::SourceFile,
};

use super::{
    fixed_seeds,
    ledger::{BASE, file},
};

fn check(
    base: &str,
    overlays: &[(&str, &str)],
) -> Result<Vec<Config>, String> {
    let overlays: Vec<SourceFile> =
        overlays.iter().map(|(name, text)| file(name, text)).collect();
    config::check(&file("base.toml", base), &overlays).map_err(|problems| {
        let lines: Vec<String> =
            problems.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}

const EAST: (&str, &str) = ("sites/east.toml", "site = \"east\"\n");

#[test]
fn an_overlay_states_only_what_differs() {
    let over = "site = \"east\"\n[services.model]\nslots = 3\n";
    let configs = check(BASE, &[("sites/east.toml", over)]).expect("sound");
    let service = configs[0].service("model").expect("known");
    assert_eq!(service.slots, 3);
    assert_eq!(service.silence_ms, 5000);
}

#[test]
fn all_errors_come_at_once_with_file_line_and_key() {
    let base = format!(
        "{BASE}\n[teams.blue]\nweight = 0\nwieght = 2\n\
         [services.odd]\nkind = \"strange\"\nslots = \"many\"\n"
    );
    let over = "site = \"east\"\n[system]\ndrain_ms = -5\n";
    let said = check(&base, &[("sites/east.toml", over)]).unwrap_err();
    let expected = [
        "sites/east.toml:3: system.drain_ms: -5 is not within 0 to 600000",
        "base.toml:13: teams.blue.weight: 0 is not within 1 to 1000",
        "base.toml:14: teams.blue.wieght: unknown key; known are weight, \
         first_token_ms, between_tokens_ms",
        "base.toml:15: services.odd.kind: \"strange\" is neither model nor \
         plain",
        "base.toml:17: services.odd.slots: must be a whole number, not text",
    ];
    assert_eq!(said, expected.join("\n"));
}

#[test]
fn one_bad_overlay_refuses_the_whole() {
    let base = BASE.replace(
        "[teams.red]",
        "[data_centres.west]\nregion = \"r\"\n[teams.red]",
    );
    let bad = ("sites/west.toml", "site = \"west\"\nnothing = 1\n");
    assert!(check(&base, &[EAST, bad]).is_err());
    let missing = check(&base, &[EAST]).unwrap_err();
    assert_eq!(missing, "base.toml:1: data centre \"west\" has no overlay");
    let doubled = check(BASE, &[EAST, ("sites/2.toml", EAST.1)]).unwrap_err();
    assert_eq!(doubled, "sites/2.toml:1: a second overlay for \"east\"");
    let stranger = ("sites/x.toml", "site = \"moon\"\n");
    let said = check(BASE, &[EAST, stranger]).unwrap_err();
    assert_eq!(
        said,
        "sites/x.toml:1: site \"moon\" is not among the data centres"
    );
}

#[test]
fn broken_toml_names_its_line() {
    let said = check("[system\n", &[EAST]).unwrap_err();
    assert!(said.starts_with("base.toml:1: not valid toml: "), "{said}");
}

#[test]
fn both_samples_check_and_render() {
    for (name, count) in [("roddur", 4), ("echipaj", 4)] {
        let folder =
            Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name);
        let read = |path: &Path| {
            let text = std::fs::read_to_string(path).expect("a sample file");
            file(&path.file_name().expect("a name").to_string_lossy(), &text)
        };
        let base = read(&folder.join("base.toml"));
        let sites = std::fs::read_dir(folder.join("sites")).expect("sites");
        let overlays: Vec<SourceFile> =
            sites.map(|entry| read(&entry.expect("a file").path())).collect();
        let configs = config::check(&base, &overlays).expect("sound");
        assert_eq!(configs.len(), count);
        for (config, overlay) in configs.iter().zip(&overlays) {
            assert_eq!(config.teams.len(), 5);
            let text = config::effective(&base, overlay).expect("sound");
            // What `show` prints is itself a whole configuration.
            let again = file("shown", &text);
            let empty = file("empty", &format!("site = {:?}", config.site));
            let shown = config::render(&again, &empty).expect("sound");
            assert_eq!(shown, *config);
        }
    }
}

/// Whatever the bytes, reading a configuration ends, without a panic, in a
/// configuration or in errors that have a place.
#[test]
fn no_text_makes_the_reader_panic() {
    let words = [
        "[",
        "]",
        "system",
        "teams",
        ".",
        "=",
        "\"",
        "\n",
        "site",
        "1",
        "-9999999999999999999",
        "0x",
        "1e999",
        "true",
        "{",
        "}",
        "services",
        "kind",
        "#",
        "'",
        "east",
        "é",
        "\u{0}",
        ",",
        "2026-12-02",
    ];
    fixed_seeds(500, |u| {
        let mut text = String::new();
        for _ in 0..u.int_in_range(0..=60)? {
            text.push_str(u.choose(&words)?);
        }
        let base = if u.ratio(1, 2)? { BASE } else { text.as_str() };
        let _ = check(base, &[("sites/east.toml", &text)]);
        Ok(())
    });
}

fn nothing(_: &str) -> Option<String> {
    None
}

#[test]
fn every_wrong_setting_is_reported_with_its_variable() {
    let flags = EntryFlags::from_args(
        &["azuremount-entry"],
        &["--listen", "here", "--threads", "0", "--log-format", "xml"],
    );
    let errors = flags.expect("flags").check(nothing).unwrap_err();
    let expected = "\
--id (AZUREMOUNT_ID): is missing
--listen (AZUREMOUNT_LISTEN): \"here\" is not an address such as 10.0.0.1:7000
--peer-listen (AZUREMOUNT_PEER_LISTEN): is missing
--data-centre (AZUREMOUNT_DATA_CENTRE): is missing
--control (AZUREMOUNT_CONTROL): is missing
--threads (AZUREMOUNT_THREADS): 0 is not a whole number from 1 to 64
--log-format (AZUREMOUNT_LOG_FORMAT): \"xml\" is not text or json
";
    assert_eq!(errors.to_string(), expected);
}

#[test]
fn a_flag_goes_before_its_variable() {
    let environment = |name: &str| {
        let values = [
            ("AZUREMOUNT_ID", "2"),
            ("AZUREMOUNT_LISTEN", "127.0.0.1:1"),
            ("AZUREMOUNT_MEMBERS", "2=127.0.0.1:1,1=127.0.0.1:2"),
            ("AZUREMOUNT_DATA_FOLDER", "data"),
            ("AZUREMOUNT_ELECTION_MS", "900"),
        ];
        let found = values.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| (*value).to_owned())
    };
    let flags = ControlFlags::from_args(
        &["azuremount-control"],
        &["--election-ms", "1500"],
    );
    let settings = flags.expect("flags").check(environment).expect("sound");
    assert_eq!(settings.election_ms, 1500);
    assert_eq!(settings.members[0].id, 1);
}

#[test]
fn member_lists_are_checked() {
    let check = |members: &str| {
        let flags = ControlFlags::from_args(
            &["azuremount-control"],
            &[
                "--id",
                "3",
                "--listen",
                "127.0.0.1:1",
                "--data-folder",
                "d",
                "--members",
                members,
            ],
        );
        let errors = flags.expect("flags").check(nothing).unwrap_err();
        errors.to_string()
    };
    let prefix = "--members (AZUREMOUNT_MEMBERS): ";
    assert_eq!(
        check("1=127.0.0.1:1"),
        format!("{prefix}does not list member 3\n")
    );
    assert_eq!(
        check("3=127.0.0.1:1,3=127.0.0.1:2"),
        format!("{prefix}lists member 3 twice\n")
    );
    assert_eq!(
        check("three"),
        format!("{prefix}\"three\" is not like 1=10.0.0.1:7000\n")
    );
}
