use {super::Site, crate::account::Account};

/// Decides whether work or data of `account` may be at `site`.
///
/// Every path calls this immediately before work or data leaves the instance.
pub fn permits(account: &Account, site: &Site) -> bool {
    account.places.iter().any(|place| place.contains(site))
}
