use {
    super::{Api, Data, Instance, Listen, Logs, Member, Requests, Timing},
    crate::{Error, parse},
    indexmap::IndexMap,
    std::{
        fs::File,
        io::{self, Read},
        path::Path,
    },
};

/// Largest settings file. Eight instances with comments need a few kilobytes.
const MAX_FILE_BYTES: u64 = 256 << 10;

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The instance that reads the file.
    pub instance: Instance,
    /// Addresses on which it accepts connections.
    pub listen: Listen,
    /// All instances of the deployment by name, this one included.
    pub instances: IndexMap<String, Member>,
    /// Ids of the members of each group by group name; `config` always exists.
    pub groups: IndexMap<String, Vec<u64>>,
    /// Name of the group that keeps the jobs and claims of each region, by region.
    pub homes: IndexMap<String, String>,
    /// Where durable state is kept; only on control instances.
    pub data: Option<Data>,
    /// Bounds on the request path.
    pub requests: Requests,
    /// Bounds on the callers of the API.
    pub api: Api,
    /// Timeouts and leases.
    pub timing: Timing,
    /// What is logged and where.
    pub logs: Logs,
}

impl Settings {
    /// Reads a file and reports every fault in it.
    pub fn open(path: impl AsRef<Path>) -> Result<Settings, Error> {
        let path = path.as_ref();
        let text = read(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        Settings::parse(path, &text)
    }

    /// Reads a text; `path` is used in messages only.
    pub fn parse(path: impl AsRef<Path>, text: &str) -> Result<Settings, Error> {
        parse::settings(text).map_err(|faults| Error::Invalid {
            path: path.as_ref().to_owned(),
            faults,
        })
    }

    /// Name and description of the instance with an id.
    pub fn member(&self, id: u64) -> Option<(&str, &Member)> {
        self.instances
            .iter()
            .find(|(_, member)| member.id == id)
            .map(|(name, member)| (name.as_str(), member))
    }

    /// Names of the groups that this instance belongs to.
    pub fn own_groups(&self) -> impl Iterator<Item = &str> {
        self.groups
            .iter()
            .filter(|(_, ids)| ids.contains(&self.instance.id))
            .map(|(name, _)| name.as_str())
    }
}

fn read(path: &Path) -> io::Result<String> {
    let mut bytes = Vec::new();
    File::open(path)?
        .take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::FileTooLarge,
            format!("the file has more than {MAX_FILE_BYTES} bytes"),
        ));
    }
    String::from_utf8(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
