use {
    super::{
        files::Files,
        store::{sync_failed, sync_folder},
    },
    crate::{Error, folder::Shared, format::Kind},
    std::path::PathBuf,
};

/// A file beside the folder of a group that proves that its store was created.
///
/// Without it a store whose files were all removed would start empty under the old identity, and
/// the member would forget its vote and the entries that it acknowledged.
pub struct Created {
    path: PathBuf,
    data_folder: PathBuf,
    exists: bool,
}

impl Created {
    pub fn open(shared: &Shared, group: &str) -> Result<Created, Error> {
        let path = Files::created(&shared.path, group);
        let names = shared
            .fs
            .list(&shared.path)
            .map_err(Error::io("list", &shared.path))?;
        let exists = names
            .iter()
            .any(|name| path.file_name().is_some_and(|own| own == name.as_str()));
        Ok(Created {
            data_folder: shared.path.clone(),
            path,
            exists,
        })
    }

    pub fn exists(&self) -> bool {
        self.exists
    }

    /// Writes the file once the first segment is durable. Its existence counts, not its content.
    pub fn write(&self, files: &Files) -> Result<(), Error> {
        if self.exists {
            return Ok(());
        }
        let mut file = files
            .fs
            .create(&self.path)
            .map_err(Error::io("create", &self.path))?;
        file.append(&files.header(Kind::Created, 0).encode())
            .map_err(Error::io("write", &self.path))?;
        file.sync()
            .map_err(|error| sync_failed(&self.path, &error))?;
        sync_folder(files, &self.data_folder)
    }
}
