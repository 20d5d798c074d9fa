//! Binaries of sorrelland. Each one parses its arguments and calls the library crate that implements it.
