//! The operators' query and command language.

pub mod parse;
pub mod select;
pub mod statement;

pub use parse::{SyntaxError, parse};
pub use select::{Row, SelectError, select};
pub use statement::Statement;
