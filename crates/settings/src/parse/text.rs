use {
    super::{
        check,
        draft::{Draft, Drafts, Values},
        faults::Faults,
        located::Located,
        section::Section,
    },
    crate::{
        Fault,
        key::{self, Rule},
        settings::{Api, Instance, Listen, Member, Requests, Settings, Timing},
    },
    jsonc_parser::{CollectOptions, ParseOptions, common::Range, parse_to_ast},
    model::place::Site,
    std::time::Duration,
};

/// What `requests.drain_bound` adds to the longest deadline by default.
const DRAIN_MARGIN: Duration = Duration::from_secs(1);

/// Comments and commas after the last element; everything else is plain JSON.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Reads settings from a text, or returns all its faults.
pub fn settings(text: &str) -> Result<Settings, Vec<Fault>> {
    let mut faults = Faults::new(text);
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
        Ok(parsed) => parsed,
        Err(error) => {
            faults.add(
                error.range(),
                format!("the file is not JSON with comments: {}", error.kind()),
                "correct it here; faults after this place are reported in the next run",
            );
            return Err(faults.finish());
        }
    };
    let Some(value) = &parsed.value else {
        faults.add(
            Range::new(0, 0),
            "the file is empty",
            "start from the commented example, examples/settings.jsonc",
        );
        return Err(faults.finish());
    };
    let Some(root) = Section::open(value, "", String::new(), &mut faults) else {
        return Err(faults.finish());
    };
    let drafts = Drafts::read(&root, &mut faults);
    let requests = requests(&drafts.values);
    let api = api(&drafts.values);
    let timing = timing(&drafts.values);
    check::compare(&drafts, &requests, &timing, &mut faults);
    let faults = faults.finish();
    if !faults.is_empty() {
        return Err(faults);
    }
    // Every required part was read, or its absence would have been reported.
    assemble(drafts, requests, api, timing).ok_or_else(|| {
        vec![Fault {
            line: 1,
            problem: "a required part could not be read".into(),
            remedy: "compare the file with examples/settings.jsonc".into(),
        }]
    })
}

fn assemble(drafts: Drafts, requests: Requests, api: Api, timing: Timing) -> Option<Settings> {
    let own = drafts.instance?;
    let listeners = drafts.listeners;
    Some(Settings {
        instance: Instance {
            site: site(&own)?,
            name: own.name?.value,
            id: own.id?.value,
        },
        listen: Listen {
            api: listeners.api?.value,
            requests: listeners.requests?.value,
            peers: listeners.peers?.value,
        },
        instances: drafts
            .instances?
            .into_iter()
            .map(|draft| {
                let member = Member {
                    site: site(&draft)?,
                    id: draft.id?.value,
                    peers: draft.peers?.value,
                };
                Some((draft.name?.value, member))
            })
            .collect::<Option<_>>()?,
        groups: drafts
            .groups?
            .value
            .into_iter()
            .map(|group| {
                let ids = group.members.iter().map(|member| member.value).collect();
                (group.name.value, ids)
            })
            .collect(),
        homes: drafts
            .homes?
            .value
            .into_iter()
            .map(|(region, group)| (region.value, group.value))
            .collect(),
        data: drafts.data,
        requests,
        api,
        timing,
        logs: drafts.logs,
    })
}

fn site(draft: &Draft) -> Option<Site> {
    Some(Site {
        region: draft.region.as_ref()?.value.clone(),
        data_centre: draft.data_centre.as_ref()?.value.clone(),
    })
}

fn api(values: &Values) -> Api {
    Api {
        max_connections: whole(&values.api_max_connections, "api.max_connections"),
        caller_stall: time(&values.api_caller_stall, "api.caller_stall"),
        body_memory: whole(&values.api_body_memory, "api.body_memory"),
    }
}

/// A number or a size, or its default.
fn whole(given: &Option<Located<u64>>, path: &str) -> usize {
    let value = match (given, rule(path)) {
        (Some(given), _) => given.value,
        (None, Some(Rule::Size { default, .. } | Rule::Count { default, .. })) => default,
        (None, _) => 0,
    };
    value as usize
}

fn requests(values: &Values) -> Requests {
    let max_deadline = time(&values.max_deadline, "requests.max_deadline");
    Requests {
        max_deadline,
        max_body: whole(&values.max_body, "requests.max_body") as u64,
        drain_settle: time(&values.drain_settle, "requests.drain_settle"),
        drain_bound: values
            .drain_bound
            .as_ref()
            .map_or(max_deadline + DRAIN_MARGIN, |given| given.value),
        max_connections: whole(&values.max_connections, "requests.max_connections"),
        caller_stall: time(&values.caller_stall, "requests.caller_stall"),
        body_memory: whole(&values.body_memory, "requests.body_memory"),
    }
}

fn timing(values: &Values) -> Timing {
    Timing {
        heartbeat: time(&values.heartbeat, "timing.heartbeat"),
        election_timeout: time(&values.election_timeout, "timing.election_timeout"),
        configuration_lease: time(&values.configuration_lease, "timing.configuration_lease"),
        worker_lease: time(&values.worker_lease, "timing.worker_lease"),
        share_lease: time(&values.share_lease, "timing.share_lease"),
    }
}

/// The given value, or the default of the key.
fn time(given: &Option<Located<Duration>>, path: &str) -> Duration {
    match (given, rule(path)) {
        (Some(given), _) => given.value,
        (
            None,
            Some(Rule::Time {
                default: Some(default),
                ..
            }),
        ) => default,
        (None, _) => Duration::ZERO,
    }
}

fn rule(path: &str) -> Option<Rule> {
    key::find(path).map(|key| key.rule)
}
