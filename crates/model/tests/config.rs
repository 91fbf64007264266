//! Release notes applied to a configuration.

use {
    model::{
        config::{Config, Fault},
        note::Note,
        place::{Place, Site, permits},
    },
    proptest::prelude::*,
    serde_json::json,
};

fn note(value: serde_json::Value) -> Note {
    serde_json::from_value(value).unwrap()
}

fn base() -> Config {
    Config::default()
        .apply(&note(json!({
            "summary": "base",
            "add": { "firm-a": {
                "places": ["north", "south/south-a"],
                "guarantees": { "one": {
                    "shape": { "tasks": 1, "accelerators": 8 }, "place": "south/south-a"
                } },
            } },
        })))
        .unwrap()
}

fn site(region: &str, data_centre: &str) -> Site {
    Site {
        region: region.into(),
        data_centre: data_centre.into(),
    }
}

/// Guards against a note that is applied in part: one fault keeps all of it out, and all faults are named.
#[test]
fn a_note_with_faults_changes_nothing_and_names_them_all() {
    let config = base();
    let faults = config
        .apply(&note(json!({
            "summary": "",
            "add": { "firm-a": { "places": ["north"] }, "Firm B": { "places": [], "weight": 0 } },
            "change": { "firm-x": { "weight": 2 } },
            "withdraw": {
                "guarantees": { "firm-a": ["two"] },
                "places": { "firm-a": ["east"] },
            },
        })))
        .unwrap_err();
    assert!(
        faults.contains(&Fault::Exists("firm-a".into())),
        "{faults:?}"
    );
    assert!(
        faults.contains(&Fault::Missing("firm-x".into())),
        "{faults:?}"
    );
    assert!(
        faults.contains(&Fault::NoGuarantee("firm-a".into(), "two".into())),
        "{faults:?}"
    );
    assert!(
        faults.contains(&Fault::NoPlace("firm-a".into(), "east".into())),
        "{faults:?}"
    );
    let text: Vec<String> = faults.iter().map(ToString::to_string).collect();
    for part in ["summary", "Firm B", "no permitted place", "weight"] {
        assert!(
            text.iter().any(|line| line.contains(part)),
            "{part} is missing in {text:?}"
        );
    }
    assert_eq!(config, base());
}

/// Guards against a guarantee that is left in a place which the same note withdraws.
#[test]
fn a_place_with_a_guarantee_is_withdrawn_only_together_with_it() {
    let withdraw = json!({ "firm-a": ["south/south-a"] });
    let alone = note(json!({ "summary": "s", "withdraw": { "places": withdraw } }));
    let faults = base().apply(&alone).unwrap_err();
    assert!(
        faults[0]
            .to_string()
            .contains("outside the permitted places"),
        "{faults:?}"
    );
    let both = note(json!({
        "summary": "s",
        "withdraw": { "places": withdraw, "guarantees": { "firm-a": ["one"] } },
    }));
    let next = base().apply(&both).unwrap();
    assert!(!permits(
        &next.accounts["firm-a"],
        &site("south", "south-a")
    ));
    assert!(permits(&next.accounts["firm-a"], &site("north", "north-b")));
}

/// Guards against a home region that moves while it is still permitted: resends would miss the first claim.
#[test]
fn the_home_region_stays_until_it_is_withdrawn() {
    let config = base();
    assert_eq!(config.homes["firm-a"], "north");
    let more = note(json!({ "summary": "s", "change": { "firm-a": { "places": ["east"] } } }));
    let config = config.apply(&more).unwrap();
    assert_eq!(config.homes["firm-a"], "north");
    let less = note(json!({ "summary": "s", "withdraw": { "places": { "firm-a": ["north"] } } }));
    let config = config.apply(&less).unwrap();
    assert_eq!(config.homes["firm-a"], "south");
}

/// Guards against an objective whose class its measure never sees; it would look met for ever.
#[test]
fn an_objective_names_a_class_of_its_measure() {
    let wrong = note(json!({
        "summary": "s",
        "change": { "firm-a": { "objectives": [
            { "class": "short", "measure": "job-start", "within_ms": 1, "target": 0.9 }
        ] } },
    }));
    let faults = base().apply(&wrong).unwrap_err();
    assert!(
        faults[0].to_string().contains("urgent, standard, sweep"),
        "{faults:?}"
    );
}

proptest! {
    /// Guards against a text that is read as a place and written back as another, and against a panic.
    #[test]
    fn a_place_is_written_as_it_was_read(text in "\\PC{0,40}|[a-z/-]{0,12}") {
        if let Ok(place) = text.parse::<Place>() {
            prop_assert_eq!(place.to_string(), text);
        }
    }

    /// Guards against a region whose name is a prefix of another one's being taken for it.
    #[test]
    fn a_place_contains_only_its_own_sites(
        region in "[ab]{1,3}", centre in "[ab]{1,3}", other in "[ab]{1,3}", inner in "[ab]{1,3}"
    ) {
        let whole: Place = region.parse().unwrap();
        let part: Place = format!("{region}/{centre}").parse().unwrap();
        let site = site(&other, &inner);
        prop_assert_eq!(whole.contains(&site), region == other);
        prop_assert_eq!(part.contains(&site), region == other && centre == inner);
        prop_assert!(whole.covers(&part));
        prop_assert!(!part.covers(&whole));
    }
}
