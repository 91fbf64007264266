use prometheus::{Registry, core::Collector};

/// Registers collectors and remembers the names of their metrics.
#[derive(Default)]
pub struct Register {
    registry: Registry,
    names: Vec<String>,
}

impl Register {
    /// Registers a collector and returns it.
    pub fn add<C: Collector + Clone + 'static>(
        &mut self,
        collector: Result<C, prometheus::Error>,
    ) -> Result<C, prometheus::Error> {
        let collector = collector?;
        self.add_boxed(Box::new(collector.clone()))?;
        Ok(collector)
    }

    /// Registers a collector that cannot be cloned.
    pub fn add_boxed(&mut self, collector: Box<dyn Collector>) -> Result<(), prometheus::Error> {
        let names = collector.desc().into_iter();
        self.names.extend(names.map(|desc| desc.fq_name.clone()));
        self.registry.register(collector)
    }

    /// Names of all metrics.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    pub(super) fn registry(&self) -> &Registry {
        &self.registry
    }
}
