//! Which build of the programs runs.

use {
    prometheus::{IntGauge, Opts},
    std::fmt,
};

/// The build that runs.
pub const CURRENT: Build = Build {
    version: env!("CARGO_PKG_VERSION"),
    sha: option_env!("VERGEN_GIT_SHA"),
};

/// Version and source of a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Build {
    version: &'static str,
    sha: Option<&'static str>,
}

impl Build {
    /// Version of the packages.
    pub fn version(&self) -> &'static str {
        self.version
    }

    /// Hash of the commit that was checked out when the program was built; `unknown` without a checkout. Changes that
    /// were not committed do not show.
    pub fn commit(&self) -> &'static str {
        self.sha.unwrap_or("unknown")
    }

    /// The metric with version and commit as labels; its value is always 1.
    pub fn metric(&self) -> Result<IntGauge, prometheus::Error> {
        let options = Opts::new("trefoilvalve_build_info", "The build that runs; always 1.")
            .const_label("version", self.version)
            .const_label("commit", self.commit());
        let gauge = IntGauge::with_opts(options)?;
        gauge.set(1);
        Ok(gauge)
    }
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (commit {})", self.version, self.commit())
    }
}
