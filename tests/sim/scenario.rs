//! The language of scenario files: one command a line, its arguments behind it, and `#` before a
//! comment.

use salttrestle::ids::JobId;
use std::str::FromStr;

/// Milliseconds of a span that scenarios give in seconds.
pub(crate) fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// The words behind a line's keyword, some of them `key=value`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arguments(Vec<String>);

impl Arguments {
    /// All words, in their order.
    pub(crate) fn words(&self) -> &[String] {
        &self.0
    }

    /// The word at a place that the line must have.
    pub(crate) fn word(&self, index: usize) -> &str {
        &self.0[index]
    }

    /// The word at a place that the line may have.
    pub(crate) fn optional_word(&self, index: usize) -> Option<&str> {
        self.0.get(index).map(String::as_str)
    }

    /// The word at a place, read as a number.
    pub(crate) fn parsed<T: FromStr>(&self, index: usize) -> T {
        let word = self.word(index);
        let parsed = word.parse();
        parsed.unwrap_or_else(|_| panic!("{word} isn't a number"))
    }

    /// The word at a place, as a job's name.
    pub(crate) fn job(&self, index: usize) -> JobId {
        JobId::from(self.word(index))
    }

    /// The value of `key=value`.
    pub(crate) fn value(&self, key: &str) -> Option<&str> {
        self.0
            .iter()
            .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    /// The value of `key=one,two`, split at its commas.
    pub(crate) fn list(&self, key: &str) -> Option<Vec<String>> {
        let values = self.value(key)?.split(',');
        Some(values.map(String::from).collect())
    }

    /// The number of `key=number`.
    pub(crate) fn number(&self, key: &str, default: f64) -> f64 {
        self.value(key).map_or(default, |text| {
            text.parse()
                .unwrap_or_else(|_| panic!("{key}={text} isn't a number"))
        })
    }

    /// The span of `key=seconds`, in milliseconds.
    pub(crate) fn span_ms(&self, key: &str, default_s: f64) -> u64 {
        milliseconds(self.number(key, default_s))
    }

    /// Whether a word without a value is among them.
    pub(crate) fn has(&self, word: &str) -> bool {
        self.0.iter().any(|other| other == word)
    }
}

/// One line: what to do, and with what.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// The first word.
    pub keyword: String,
    /// The words behind it.
    pub arguments: Arguments,
}

impl Line {
    /// A line of a keyword and its arguments.
    pub(crate) fn new(keyword: &str, arguments: Vec<String>) -> Self {
        Self {
            keyword: keyword.into(),
            arguments: Arguments(arguments),
        }
    }

    fn of_words(mut words: impl Iterator<Item = String>) -> Option<Self> {
        let keyword = words.next()?;
        Some(Self::new(&keyword, words.collect()))
    }

    fn parse(text: &str) -> Option<Self> {
        let code = text.split('#').next().unwrap_or("");
        Self::of_words(code.split_whitespace().map(String::from))
    }

    /// The command of an `at` line: the words after its time.
    pub(crate) fn command(&self) -> Self {
        let words = self.arguments.words()[1..].iter().cloned();
        Self::of_words(words).expect("a command behind the time")
    }
}

/// A scenario file's lines, without comments.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    lines: Vec<Line>,
}

impl Scenario {
    /// Reads a scenario file.
    pub(crate) fn parse(text: &str) -> Self {
        Self {
            lines: text.lines().filter_map(Line::parse).collect(),
        }
    }

    /// The same scenario with this seed.
    pub(crate) fn with_seed(&self, seed: &str) -> Self {
        let seed = Line::new("seed", vec![seed.into()]);
        Self {
            lines: [vec![seed], self.lines.clone()].concat(),
        }
    }

    /// The arguments of the first line with a keyword.
    pub(crate) fn first(&self, keyword: &str) -> Option<&Arguments> {
        let line = self.lines.iter().find(|line| line.keyword == keyword);
        line.map(|line| &line.arguments)
    }

    /// The arguments of all lines with a keyword.
    pub(crate) fn all(&self, keyword: &'static str) -> impl Iterator<Item = &Arguments> {
        self.lines_of(keyword).map(|line| &line.arguments)
    }

    /// All lines with a keyword.
    pub(crate) fn lines_of(&self, keyword: &'static str) -> impl Iterator<Item = &Line> {
        self.lines
            .iter()
            .filter(move |line| line.keyword == keyword)
    }

    /// The number behind a keyword.
    pub(crate) fn number(&self, keyword: &str, default: f64) -> f64 {
        self.first(keyword)
            .map_or(default, |arguments| arguments.parsed(0))
    }
}
