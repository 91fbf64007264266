use {argh::FromArgs, std::path::PathBuf};

/// Make the replica on this instance's disk the only member of a group whose quorum is lost for good.
///
/// Without --accept-loss only what the replica holds is printed. Compare all surviving replicas and recover
/// the one with the highest last term, and among those the highest last index. The instance must not run.
#[derive(FromArgs)]
#[argh(subcommand, name = "recover")]
pub struct Arguments {
    /// settings file of the stopped instance
    #[argh(option)]
    pub settings: PathBuf,
    /// name of the group
    #[argh(option)]
    pub group: String,
    /// accept that everything that is only on the lost disks is lost, and that no instance of the group
    /// may ever start again with its old disk
    #[argh(switch)]
    pub accept_loss: bool,
}
