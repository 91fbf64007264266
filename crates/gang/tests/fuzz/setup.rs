use {
    super::common::{account, guarantee, shape},
    gang::Settings,
    model::{config::Config, shape::Adjacency},
    std::time::Duration,
};

pub fn settings() -> Settings {
    Settings {
        reserve_after: Duration::from_secs(20),
        ..Settings::default()
    }
}

pub fn config() -> Config {
    let mut config = Config::default();
    let mut large = account(&["north"]);
    let rack = shape(2, 8, Adjacency::Rack);
    large
        .guarantees
        .insert("rack".into(), guarantee(rack, 1, "north"));
    large.guarantees.insert(
        "small".into(),
        guarantee(shape(1, 4, Adjacency::Worker), 2, "north/a"),
    );
    large.weight = 3;
    let mut local = account(&["north/b"]);
    local.guarantees.insert(
        "b".into(),
        guarantee(shape(3, 3, Adjacency::Rack), 1, "north/b"),
    );
    let mut bounded = account(&["north"]);
    bounded.quota = Some(20);
    let two = shape(4, 2, Adjacency::DataCentre);
    bounded
        .guarantees
        .insert("two".into(), guarantee(two, 1, "north"));
    config.accounts.insert("large".into(), large);
    config.accounts.insert("local".into(), local);
    config.accounts.insert("bounded".into(), bounded);
    config
        .accounts
        .insert("idle".into(), account(&["north/a", "north/b"]));
    config
}
