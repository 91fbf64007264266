use jsonc_parser::common::Range;

/// A value and where it stands in the file.
#[derive(Clone, Debug)]
pub struct Located<T> {
    pub value: T,
    pub at: Range,
}

impl<T> Located<T> {
    pub fn new(value: T, at: Range) -> Located<T> {
        Located { value, at }
    }
}
