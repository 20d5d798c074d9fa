//! Query and command language of the operators.

pub mod parse;
pub mod select;
pub mod statement;

pub use parse::{SyntaxError, parse};
pub use select::{Row, SelectError, select};
pub use statement::Statement;
