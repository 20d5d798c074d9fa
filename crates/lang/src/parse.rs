//! The grammar.

use derive_more::{Display, Error};
use serde_json::Value;
use sorrelland_core::shape::{Shape, Span};
use winnow::ascii::{Caseless, dec_uint, multispace0, multispace1};
use winnow::combinator::{alt, cut_err, delimited, eof, fail, opt, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

use crate::statement::{Change, Condition, Op, Options, Selection, Setting, Statement, Table};

/// Characters of a statement at most.
pub const TEXT_LIMIT: usize = 16 * 1024;

/// A text that is not a statement, with the place and what was expected there.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("column {column}: expected {expected}, found {found}")]
pub struct SyntaxError {
    /// Column of the first character that does not fit, from 1.
    pub column: usize,
    /// What was expected there.
    pub expected: String,
    /// What was there instead.
    pub found: String,
}

type Parsed<T> = winnow::Result<T, ErrMode<ContextError>>;

/// Parses one statement.
///
/// # Errors
///
/// Returns the column and what was expected there.
pub fn parse(text: &str) -> Result<Statement, SyntaxError> {
    if text.len() > TEXT_LIMIT {
        let expected = format!("at most {TEXT_LIMIT} characters");
        return Err(SyntaxError { column: TEXT_LIMIT, expected, found: format!("{}", text.len()) });
    }
    delimited(multispace0, statement, (multispace0, opt(';'), multispace0, end)).parse(text).map_err(|e| {
        let offset = e.offset();
        let rest = text.get(offset..).unwrap_or_default();
        let found = match rest.split_whitespace().next() {
            Some(word) => format!("{word:?}"),
            None => "the end".to_owned(),
        };
        let column = text.get(..offset).map_or(offset, |head| head.chars().count()) + 1;
        SyntaxError { column, expected: expected(e.inner()), found }
    })
}

fn expected(error: &ContextError) -> String {
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

fn what(name: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(name))
}

fn end(input: &mut &str) -> Parsed<()> {
    eof.void().context(what("the end of the statement")).parse_next(input)
}

fn word<'a>(text: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
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
        preceded(word("show"), cut_err(show)),
        preceded((word("why"), opt(word("job"))), cut_err(name.context(what("the name of a job"))))
            .map(Statement::Why),
        change,
    ))
    .context(what("show, why, set, remove, pause, resume, drain, undrain or cancel"))
    .parse_next(input)
}

fn show(input: &mut &str) -> Parsed<Statement> {
    alt((
        preceded(word("force"), cut_err(number.context(what("a version")))).map(Statement::ShowForce),
        preceded(word("command"), cut_err(name.context(what("the name of a command"))))
            .map(Statement::ShowCommand),
        (table, selection).map(|(table, selection)| Statement::Show { table, selection }),
    ))
    .context(what(
        "jobs, running, waiting, refused, workers, accounts, guarantees, history, burn, force or command",
    ))
    .parse_next(input)
}

fn table(input: &mut &str) -> Parsed<Table> {
    alt((
        word("jobs").value(Table::Jobs),
        word("running").value(Table::Running),
        word("waiting").value(Table::Waiting),
        word("refused").value(Table::Refused),
        word("workers").value(Table::Workers),
        word("accounts").value(Table::Accounts),
        word("guarantees").value(Table::Guarantees),
        word("history").value(Table::History),
        word("burn").value(Table::Burn),
    ))
    .parse_next(input)
}

fn selection(input: &mut &str) -> Parsed<Selection> {
    let conditions = opt(preceded(word("where"), cut_err(conditions))).parse_next(input)?;
    let order = opt(preceded((word("order"), cut_err(word("by").context(what("by")))), cut_err(order)))
        .parse_next(input)?;
    let limit =
        opt(preceded(word("limit"), cut_err(number.context(what("a number of rows"))))).parse_next(input)?;
    let limit = limit.map(|rows| usize::try_from(rows).unwrap_or(usize::MAX));
    Ok(Selection { conditions: conditions.unwrap_or_default(), order, limit })
}

fn order(input: &mut &str) -> Parsed<(String, bool)> {
    let field = field.parse_next(input)?;
    let descending = opt(alt((word("desc").value(true), word("asc").value(false)))).parse_next(input)?;
    Ok((field, descending.unwrap_or_default()))
}

fn conditions(input: &mut &str) -> Parsed<Vec<Condition>> {
    separated(1.., condition, word("and")).parse_next(input)
}

fn condition(input: &mut &str) -> Parsed<Condition> {
    let field = field.parse_next(input)?;
    let op = cut_err(op).parse_next(input)?;
    let value = cut_err(value).parse_next(input)?;
    Ok(Condition { field, op, value })
}

fn field(input: &mut &str) -> Parsed<String> {
    let letters = take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_');
    terminated(letters, multispace0).map(str::to_owned).context(what("a field")).parse_next(input)
}

fn op(input: &mut &str) -> Parsed<Op> {
    let op = alt((
        "!=".value(Op::Ne),
        "<=".value(Op::Le),
        ">=".value(Op::Ge),
        "=".value(Op::Eq),
        "<".value(Op::Lt),
        ">".value(Op::Gt),
        "~".value(Op::Holds),
    ));
    terminated(op, multispace0).context(what("=, !=, <, <=, >, >= or ~")).parse_next(input)
}

fn value(input: &mut &str) -> Parsed<Value> {
    let integer = terminated(dec_uint::<_, u64, _>, value_end).map(Value::from);
    alt((integer, name.map(Value::String))).context(what("a number or a text")).parse_next(input)
}

fn value_end(input: &mut &str) -> Parsed<()> {
    match input.chars().next() {
        Some(c) if is_name(c) => fail.parse_next(input),
        _ => multispace0.void().parse_next(input),
    }
}

fn number(input: &mut &str) -> Parsed<u64> {
    terminated(dec_uint, multispace0).parse_next(input)
}

fn is_name(c: char) -> bool {
    c.is_ascii_alphanumeric() || "._-/#~@:".contains(c)
}

fn name(input: &mut &str) -> Parsed<String> {
    let quoted = delimited('"', take_till(0.., '"'), '"');
    let plain = take_while(1.., is_name);
    terminated(alt((quoted, plain)), multispace0).map(str::to_owned).parse_next(input)
}

fn change(input: &mut &str) -> Parsed<Statement> {
    let account = || cut_err(name.context(what("the name of an account")));
    let worker = || cut_err(name.context(what("the name of a worker")));
    let after = |text| (word(text), cut_err(word("account").context(what("account"))));
    let change = alt((
        preceded(after("set"), cut_err(set_account)),
        preceded(after("remove"), account()).map(Change::RemoveAccount),
        preceded(after("pause"), account()).map(Change::Pause),
        preceded(after("resume"), account()).map(Change::Resume),
        preceded((word("drain"), opt(word("worker"))), worker()).map(Change::Drain),
        preceded((word("undrain"), opt(word("worker"))), worker()).map(Change::Undrain),
        preceded(word("cancel"), cut_err(cancel)),
    ))
    .parse_next(input)?;
    let options = options.parse_next(input)?;
    Ok(Statement::Change { change, options })
}

fn set_account(input: &mut &str) -> Parsed<Change> {
    let account = name.context(what("the name of an account")).parse_next(input)?;
    let settings =
        repeat(1.., setting).context(what("guarantee, weight, queue or requests")).parse_next(input)?;
    Ok(Change::SetAccount { account, settings })
}

fn setting(input: &mut &str) -> Parsed<Setting> {
    let count = || cut_err(terminated(dec_uint::<_, u32, _>, multispace0).context(what("a number")));
    alt((
        preceded(word("guarantee"), cut_err(shapes)).map(Setting::Guarantee),
        preceded(word("weight"), count()).map(Setting::Weight),
        preceded(word("queue"), count()).map(Setting::Queue),
        preceded(word("requests"), count()).map(Setting::Requests),
    ))
    .parse_next(input)
}

fn shapes(input: &mut &str) -> Parsed<Vec<Shape>> {
    let comma = (',', multispace0);
    alt((word("none").value(Vec::new()), separated(1.., shape, comma))).parse_next(input)
}

/// Parses a shape as `2x8@rack`: tasks, accelerators of each, and the widest level.
pub fn shape(input: &mut &str) -> Parsed<Shape> {
    let tasks = dec_uint::<_, u32, _>;
    let span = alt((
        word("worker").value(Span::Worker),
        word("rack").value(Span::Rack),
        word("domain").value(Span::Domain),
        word("region").value(Span::Region),
    ));
    let accelerators = dec_uint::<_, u32, _>;
    (tasks, preceded('x', cut_err(accelerators)), preceded('@', cut_err(span)))
        .map(|(tasks, accelerators, span)| Shape::new(tasks, accelerators, span))
        .context(what("a shape such as 2x8@rack, with worker, rack, domain or region"))
        .parse_next(input)
}

fn cancel(input: &mut &str) -> Parsed<Change> {
    let confirm = opt(preceded(word("confirm"), cut_err(number.context(what("the number of jobs")))));
    let wave = preceded(
        (word("jobs"), cut_err(word("where").context(what("where")))),
        cut_err((conditions, confirm)),
    );
    alt((
        wave.map(|(conditions, confirm)| Change::CancelJobs {
            conditions,
            confirm: confirm.and_then(|n| usize::try_from(n).ok()),
        }),
        preceded(word("job"), cut_err(name.context(what("the name of a job")))).map(Change::CancelJob),
    ))
    .context(what("job or jobs where"))
    .parse_next(input)
}

fn options(input: &mut &str) -> Parsed<Options> {
    let mut options = Options::default();
    loop {
        let id = opt(preceded(word("id"), cut_err(name.context(what("a name"))))).parse_next(input)?;
        let base =
            opt(preceded(word("base"), cut_err(number.context(what("a version"))))).parse_next(input)?;
        let dry = opt((Caseless("dry"), multispace1, word("run"))).parse_next(input)?;
        if id.is_none() && base.is_none() && dry.is_none() {
            return Ok(options);
        }
        options.id = id.or(options.id);
        options.base = base.or(options.base);
        options.dry_run |= dry.is_some();
    }
}
