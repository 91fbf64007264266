use model::place::Site;

/// The instance that reads the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name, unique in the deployment.
    pub name: String,
    /// Its id, unique in the deployment.
    pub id: u64,
    /// Where it stands.
    pub site: Site,
}
