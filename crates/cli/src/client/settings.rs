use {super::Error, http::uri::Authority, std::time::Duration};

/// Largest number of addresses. A deployment has at most 8 instances.
const MAX_INSTANCES: usize = 32;

/// Longest accepted time limit: a day.
const MAX_SECONDS: f64 = 86_400.0;

/// Which instances are tried, and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Addresses, in the order in which they are tried.
    pub instances: Vec<Authority>,
    /// Limit of one try.
    pub per_try: Duration,
    /// Limit of all tries of a call together.
    pub total: Duration,
}

impl Settings {
    /// Reads a list such as `10.0.0.1:7101,10.0.0.2:7101` and limits in seconds.
    pub fn parse(instances: &str, per_try: f64, total: f64) -> Result<Settings, Error> {
        let instances = instances
            .split(',')
            .map(str::trim)
            .filter(|text| !text.is_empty())
            .map(address)
            .collect::<Result<Vec<_>, _>>()?;
        if instances.is_empty() {
            return Err(Error::Settings(
                "no instance is named; give --instances ADDRESS:PORT,... or set \
                 TREFOILVALVE_INSTANCES"
                    .to_owned(),
            ));
        }
        if instances.len() > MAX_INSTANCES {
            return Err(Error::Settings(format!(
                "{} instances are named; give at most {MAX_INSTANCES}",
                instances.len()
            )));
        }
        Ok(Settings {
            instances,
            per_try: seconds("--try-timeout", per_try)?,
            total: seconds("--timeout", total)?,
        })
    }
}

/// Reads a time limit in seconds.
pub(crate) fn seconds(option: &str, value: f64) -> Result<Duration, Error> {
    if (0.001..=MAX_SECONDS).contains(&value) {
        Ok(Duration::from_secs_f64(value))
    } else {
        Err(Error::Settings(format!(
            "{option} is {value}; give seconds from 0.001 to {MAX_SECONDS}"
        )))
    }
}

fn address(text: &str) -> Result<Authority, Error> {
    let fault = || {
        Error::Settings(format!(
            "`{}` is not an address of an instance; write ADDRESS:PORT, for example 127.0.0.1:7101",
            burn::printable(text, 80)
        ))
    };
    let authority: Authority = text.parse().map_err(|_| fault())?;
    let usable = authority.port_u16().is_some_and(|port| port > 0)
        && !authority.host().is_empty()
        && !text.contains('@');
    if usable { Ok(authority) } else { Err(fault()) }
}
