//! Parser of the language.

use derive_more::{Display, Error};
use serde_json::Value;
use sorrelland_core::shape::{Shape, Span};
use winnow::ascii::{Caseless, dec_uint, multispace0, multispace1};
use winnow::combinator::{alt, cut_err, delimited, eof, fail, opt, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

use crate::statement::{Change, Condition, Op, Options, Selection, Setting, Statement, Table};

/// Maximum length of a statement in bytes.
pub const MAX_STATEMENT_BYTES: usize = 16 * 1024;

/// Error for a text that is not a valid statement.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("column {column}: expected {expected}, found {found}")]
pub struct SyntaxError {
    /// Column of the first unexpected character, from 1.
    pub column: usize,
    pub expected: String,
    pub found: String,
}

type Parsed<T> = winnow::Result<T, ErrMode<ContextError>>;

/// Parses one statement.
///
/// # Errors
///
/// Fails if `text` is not a valid statement or is too long.
pub fn parse(text: &str) -> Result<Statement, SyntaxError> {
    if text.len() > MAX_STATEMENT_BYTES {
        let expected = format!("at most {MAX_STATEMENT_BYTES} bytes");
        return Err(SyntaxError { column: MAX_STATEMENT_BYTES, expected, found: format!("{}", text.len()) });
    }
    delimited(multispace0, statement, (multispace0, opt(';'), multispace0, end)).parse(text).map_err(|e| {
        let offset = e.offset();
        let rest = text.get(offset..).unwrap_or_default();
        let found = match rest.split_whitespace().next() {
            Some(word) => format!("{word:?}"),
            None => "the end".to_owned(),
        };
        let column = text.get(..offset).map_or(offset, |head| head.chars().count()) + 1;
        SyntaxError { column, expected: describe_expected(e.inner()), found }
    })
}

fn describe_expected(error: &ContextError) -> String {
    let names: Vec<String> = error
        .context()
        .filter_map(|context| match context {
            StrContext::Expected(value) => Some(value.to_string()),
            _ => None,
        })
        .collect();
    match names.is_empty() {
        true => "something else".to_owned(),
        false => names.join(" or "),
    }
}

fn expectation(name: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(name))
}

fn end(input: &mut &str) -> Parsed<()> {
    eof.void().context(expectation("the end of the statement")).parse_next(input)
}

fn keyword<'a>(text: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    let boundary = |input: &mut &'a str| -> Parsed<()> {
        match input.chars().next() {
            Some(c) if c.is_ascii_alphanumeric() || c == '_' => fail.parse_next(input),
            _ => Ok(()),
        }
    };
    terminated(Caseless(text), (boundary, multispace0)).void()
}

fn statement(input: &mut &str) -> Parsed<Statement> {
    alt((
        preceded(keyword("show"), cut_err(show)),
        preceded(
            (keyword("why"), opt(keyword("job"))),
            cut_err(name.context(expectation("the name of a job"))),
        )
        .map(Statement::Why),
        change,
    ))
    .context(expectation("show, why, set, remove, pause, resume, drain, undrain or cancel"))
    .parse_next(input)
}

fn show(input: &mut &str) -> Parsed<Statement> {
    alt((
        preceded(keyword("force"), cut_err(number.context(expectation("a version"))))
            .map(Statement::ShowInForce),
        preceded(keyword("command"), cut_err(name.context(expectation("the name of a command"))))
            .map(Statement::ShowCommand),
        (table, selection).map(|(table, selection)| Statement::Show { table, selection }),
    ))
    .context(expectation(
        "jobs, running, waiting, refused, workers, accounts, guarantees, history, burn, force or command",
    ))
    .parse_next(input)
}

fn table(input: &mut &str) -> Parsed<Table> {
    alt((
        keyword("jobs").value(Table::Jobs),
        keyword("running").value(Table::Running),
        keyword("waiting").value(Table::Waiting),
        keyword("refused").value(Table::Refused),
        keyword("workers").value(Table::Workers),
        keyword("accounts").value(Table::Accounts),
        keyword("guarantees").value(Table::Guarantees),
        keyword("history").value(Table::History),
        keyword("burn").value(Table::Burn),
    ))
    .parse_next(input)
}

fn selection(input: &mut &str) -> Parsed<Selection> {
    let conditions = opt(preceded(keyword("where"), cut_err(conditions))).parse_next(input)?;
    let order =
        opt(preceded((keyword("order"), cut_err(keyword("by").context(expectation("by")))), cut_err(order)))
            .parse_next(input)?;
    let limit = opt(preceded(keyword("limit"), cut_err(number.context(expectation("a number of rows")))))
        .parse_next(input)?;
    let limit = limit.map(|rows| usize::try_from(rows).unwrap_or(usize::MAX));
    Ok(Selection { conditions: conditions.unwrap_or_default(), order, limit })
}

fn order(input: &mut &str) -> Parsed<(String, bool)> {
    let field = field.parse_next(input)?;
    let descending =
        opt(alt((keyword("desc").value(true), keyword("asc").value(false)))).parse_next(input)?;
    Ok((field, descending.unwrap_or_default()))
}

fn conditions(input: &mut &str) -> Parsed<Vec<Condition>> {
    separated(1.., condition, keyword("and")).parse_next(input)
}

fn condition(input: &mut &str) -> Parsed<Condition> {
    let field = field.parse_next(input)?;
    let op = cut_err(op).parse_next(input)?;
    let value = cut_err(value).parse_next(input)?;
    Ok(Condition { field, op, value })
}

fn field(input: &mut &str) -> Parsed<String> {
    let letters = take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_');
    terminated(letters, multispace0).map(str::to_owned).context(expectation("a field")).parse_next(input)
}

fn op(input: &mut &str) -> Parsed<Op> {
    let op = alt((
        "!=".value(Op::Ne),
        "<=".value(Op::Le),
        ">=".value(Op::Ge),
        "=".value(Op::Eq),
        "<".value(Op::Lt),
        ">".value(Op::Gt),
        "~".value(Op::Contains),
    ));
    terminated(op, multispace0).context(expectation("=, !=, <, <=, >, >= or ~")).parse_next(input)
}

fn value(input: &mut &str) -> Parsed<Value> {
    let integer = terminated(dec_uint::<_, u64, _>, value_end).map(Value::from);
    alt((integer, name.map(Value::String))).context(expectation("a number or a text")).parse_next(input)
}

fn value_end(input: &mut &str) -> Parsed<()> {
    match input.chars().next() {
        Some(c) if is_name_char(c) => fail.parse_next(input),
        _ => multispace0.void().parse_next(input),
    }
}

fn number(input: &mut &str) -> Parsed<u64> {
    terminated(dec_uint, multispace0).parse_next(input)
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "._-/#~@:".contains(c)
}

fn name(input: &mut &str) -> Parsed<String> {
    let quoted = delimited('"', take_till(0.., '"'), '"');
    let plain = take_while(1.., is_name_char);
    terminated(alt((quoted, plain)), multispace0).map(str::to_owned).parse_next(input)
}

fn change(input: &mut &str) -> Parsed<Statement> {
    let account = || cut_err(name.context(expectation("the name of an account")));
    let worker = || cut_err(name.context(expectation("the name of a worker")));
    let keyword_account = |text| (keyword(text), cut_err(keyword("account").context(expectation("account"))));
    let change = alt((
        preceded(keyword_account("set"), cut_err(set_account)),
        preceded(keyword_account("remove"), account()).map(Change::RemoveAccount),
        preceded(keyword_account("pause"), account()).map(Change::Pause),
        preceded(keyword_account("resume"), account()).map(Change::Resume),
        preceded((keyword("drain"), opt(keyword("worker"))), worker()).map(Change::Drain),
        preceded((keyword("undrain"), opt(keyword("worker"))), worker()).map(Change::Undrain),
        preceded(keyword("cancel"), cut_err(cancel)),
    ))
    .parse_next(input)?;
    let options = options.parse_next(input)?;
    Ok(Statement::Change { change, options })
}

fn set_account(input: &mut &str) -> Parsed<Change> {
    let account = name.context(expectation("the name of an account")).parse_next(input)?;
    let settings = repeat(1.., setting)
        .context(expectation("guarantee, weight, queue or requests"))
        .parse_next(input)?;
    Ok(Change::SetAccount { account, settings })
}

fn setting(input: &mut &str) -> Parsed<Setting> {
    let count = || cut_err(terminated(dec_uint::<_, u32, _>, multispace0).context(expectation("a number")));
    alt((
        preceded(keyword("guarantee"), cut_err(shapes)).map(Setting::Guarantee),
        preceded(keyword("weight"), count()).map(Setting::Weight),
        preceded(keyword("queue"), count()).map(Setting::Queue),
        preceded(keyword("requests"), count()).map(Setting::Requests),
    ))
    .parse_next(input)
}

fn shapes(input: &mut &str) -> Parsed<Vec<Shape>> {
    let comma = (',', multispace0);
    alt((keyword("none").value(Vec::new()), separated(1.., shape, comma))).parse_next(input)
}

/// Parses a shape such as `2x8@rack`: number of tasks, accelerators of each, and the widest span allowed.
pub fn shape(input: &mut &str) -> Parsed<Shape> {
    let tasks = dec_uint::<_, u32, _>;
    let span = alt((
        keyword("worker").value(Span::Worker),
        keyword("rack").value(Span::Rack),
        keyword("domain").value(Span::Domain),
        keyword("region").value(Span::Region),
    ));
    let accelerators = dec_uint::<_, u32, _>;
    (tasks, preceded('x', cut_err(accelerators)), preceded('@', cut_err(span)))
        .map(|(tasks, accelerators, span)| Shape::new(tasks, accelerators, span))
        .context(expectation("a shape such as 2x8@rack, with worker, rack, domain or region"))
        .parse_next(input)
}

fn cancel(input: &mut &str) -> Parsed<Change> {
    let confirm =
        opt(preceded(keyword("confirm"), cut_err(number.context(expectation("the number of jobs")))));
    let matching_jobs = preceded(
        (keyword("jobs"), cut_err(keyword("where").context(expectation("where")))),
        cut_err((conditions, confirm)),
    );
    alt((
        matching_jobs.map(|(conditions, confirm)| Change::CancelJobs {
            conditions,
            confirm: confirm.and_then(|n| usize::try_from(n).ok()),
        }),
        preceded(keyword("job"), cut_err(name.context(expectation("the name of a job"))))
            .map(Change::CancelJob),
    ))
    .context(expectation("job or jobs where"))
    .parse_next(input)
}

fn options(input: &mut &str) -> Parsed<Options> {
    let mut options = Options::default();
    loop {
        let id =
            opt(preceded(keyword("id"), cut_err(name.context(expectation("a name"))))).parse_next(input)?;
        let base = opt(preceded(keyword("base"), cut_err(number.context(expectation("a version")))))
            .parse_next(input)?;
        let dry = opt((Caseless("dry"), multispace1, keyword("run"))).parse_next(input)?;
        if id.is_none() && base.is_none() && dry.is_none() {
            return Ok(options);
        }
        options.id = id.or(options.id);
        options.base = base.or(options.base);
        options.dry_run |= dry.is_some();
    }
}
