use {
    super::{Error, Site},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Longest accepted name of a region or data centre, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// A region, or one data centre of it, that an account may use. Written `region` or `region/data-centre`.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String")]
pub struct Place {
    region: String,
    data_centre: Option<String>,
}

impl Place {
    /// The region's name.
    pub fn region(&self) -> &str {
        &self.region
    }

    /// The data centre's name, if the place is narrower than a region.
    pub fn data_centre(&self) -> Option<&str> {
        self.data_centre.as_deref()
    }

    /// Tells whether `site` lies in this place.
    pub fn contains(&self, site: &Site) -> bool {
        self.region == site.region
            && self
                .data_centre
                .as_ref()
                .is_none_or(|name| *name == site.data_centre)
    }

    /// Tells whether every site of `other` lies in this place.
    pub fn covers(&self, other: &Place) -> bool {
        self.region == other.region
            && (self.data_centre.is_none() || self.data_centre == other.data_centre)
    }
}

/// Tells whether `name` can name a region, data centre, account, worker or upstream.
pub fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

impl FromStr for Place {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (region, data_centre) = match text.split_once('/') {
            Some((region, rest)) => (region, Some(rest)),
            None => (text, None),
        };
        if data_centre.is_some_and(|name| name.contains('/')) {
            return Err(Error::Depth(text.to_owned()));
        }
        if !is_name(region) || !data_centre.is_none_or(is_name) {
            return Err(Error::Name(text.to_owned()));
        }
        Ok(Place {
            region: region.to_owned(),
            data_centre: data_centre.map(str::to_owned),
        })
    }
}

impl TryFrom<String> for Place {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Place> for String {
    fn from(place: Place) -> String {
        place.to_string()
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.data_centre {
            Some(name) => write!(f, "{}/{name}", self.region),
            None => f.write_str(&self.region),
        }
    }
}
