//! A small reader and writer of JSON, enough for the store's calls and the runners' orders.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// A JSON value. Numbers are kept as `f64`, which holds every number that is used here.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Creates an object from its fields.
    pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Self {
        let fields = fields.into_iter();
        Self::Object(fields.map(|(name, value)| (name.to_owned(), value)).collect())
    }

    pub fn text(text: impl Into<String>) -> Self {
        Self::Text(text.into())
    }

    /// Returns a field of an object; `None` if it is missing.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn str_of(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a whole number; 0 if it is missing.
    pub fn number_of(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list_of(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }

    /// Parses a text; `None` if it is no JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser { rest: text.trim_start() };
        let value = parser.value()?;
        parser.rest.trim().is_empty().then_some(value)
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Self::Number(number as f64)
    }
}

impl Display for Json {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => formatter.write_str("null"),
            Self::Bool(value) => write!(formatter, "{value}"),
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Text(text) => write_text(formatter, text),
            Self::List(list) => {
                formatter.write_str("[")?;
                for (index, value) in list.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(formatter, "{comma}{value}")?;
                }
                formatter.write_str("]")
            }
            Self::Object(fields) => {
                formatter.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    formatter.write_str(if index > 0 { "," } else { "" })?;
                    write_text(formatter, name)?;
                    write!(formatter, ":{value}")?;
                }
                formatter.write_str("}")
            }
        }
    }
}

fn write_text(formatter: &mut Formatter<'_>, text: &str) -> fmt::Result {
    formatter.write_str("\"")?;
    for sign in text.chars() {
        match sign {
            '"' | '\\' => write!(formatter, "\\{sign}")?,
            sign if (sign as u32) < 32 => write!(formatter, "\\u{:04x}", sign as u32)?,
            sign => write!(formatter, "{sign}")?,
        }
    }
    formatter.write_str("\"")
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn skip(&mut self, sign: char) -> bool {
        self.rest = self.rest.trim_start();
        match self.rest.strip_prefix(sign) {
            Some(rest) => {
                self.rest = rest;
                true
            }
            None => false,
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.rest = self.rest.strip_prefix(word)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.rest = self.rest.trim_start();
        match self.rest.chars().next()? {
            'n' => self.word("null", Json::Null),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            '"' => self.string().map(Json::Text),
            '[' => self.list(),
            '{' => self.fields(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let is_part = |sign: char| sign.is_ascii_digit() || "+-.eE".contains(sign);
        let end = self.rest.find(|sign| !is_part(sign)).unwrap_or(self.rest.len());
        let number = self.rest[..end].parse().ok()?;
        self.rest = &self.rest[end..];
        Some(Json::Number(number))
    }

    fn string(&mut self) -> Option<String> {
        let mut text = String::new();
        let mut signs = self.rest.char_indices().skip(1);
        loop {
            let (index, sign) = signs.next()?;
            match sign {
                '"' => {
                    self.rest = &self.rest[index + 1..];
                    return Some(text);
                }
                '\\' => match signs.next()?.1 {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let code: String = signs.by_ref().take(4).map(|(_, sign)| sign).collect();
                        text.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                    }
                    other => text.push(other),
                },
                sign => text.push(sign),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        let mut list = Vec::new();
        self.skip('[');
        while !self.skip(']') {
            list.push(self.value()?);
            self.skip(',');
        }
        Some(Json::List(list))
    }

    fn fields(&mut self) -> Option<Json> {
        let mut fields = BTreeMap::new();
        self.skip('{');
        while !self.skip('}') {
            self.rest = self.rest.trim_start();
            let name = self.string()?;
            if !self.skip(':') {
                return None;
            }
            fields.insert(name, self.value()?);
            self.skip(',');
        }
        Some(Json::Object(fields))
    }
}
