//! The format of scenario files: one command per line, a keyword followed by its arguments. `#`
//! starts a comment.

use salttrestle::ids::JobId;
use std::str::FromStr;

/// Converts seconds, the unit of scenario files, to whole milliseconds.
pub(crate) fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// The arguments after a line's keyword: plain words and `key=value` pairs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arguments(Vec<String>);

impl Arguments {
    /// All words, in order.
    pub(crate) fn words(&self) -> &[String] {
        &self.0
    }

    /// The word at this index. Panics if there is none.
    pub(crate) fn word(&self, index: usize) -> &str {
        &self.0[index]
    }

    /// The word at this index, if there is one.
    pub(crate) fn optional_word(&self, index: usize) -> Option<&str> {
        self.0.get(index).map(String::as_str)
    }

    /// The word at this index, parsed as a number. Panics if it is missing or not a number.
    pub(crate) fn parsed<T: FromStr>(&self, index: usize) -> T {
        let word = self.word(index);
        let parsed = word.parse();
        parsed.unwrap_or_else(|_| panic!("argument {index}: expected a number, got {word}"))
    }

    /// The word at this index, as a job id.
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

    /// The number of `key=number`, or the default. Panics if the value is not a number.
    pub(crate) fn number(&self, key: &str, default: f64) -> f64 {
        self.value(key).map_or(default, |text| {
            text.parse()
                .unwrap_or_else(|_| panic!("expected a number: {key}={text}"))
        })
    }

    /// The duration of `key=seconds`, in milliseconds.
    pub(crate) fn span_ms(&self, key: &str, default_s: f64) -> u64 {
        milliseconds(self.number(key, default_s))
    }

    /// Whether the arguments contain this word.
    pub(crate) fn contains(&self, word: &str) -> bool {
        self.0.iter().any(|other| other == word)
    }
}

/// One line of a scenario file.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// The first word.
    pub keyword: String,
    /// The words after the keyword.
    pub arguments: Arguments,
}

impl Line {
    /// Builds a line from a keyword and its arguments.
    pub(crate) fn new(keyword: &str, arguments: Vec<String>) -> Self {
        Self {
            keyword: keyword.into(),
            arguments: Arguments(arguments),
        }
    }

    fn from_words(mut words: impl Iterator<Item = String>) -> Option<Self> {
        let keyword = words.next()?;
        Some(Self::new(&keyword, words.collect()))
    }

    fn parse(text: &str) -> Option<Self> {
        let code = text.split('#').next().unwrap_or("");
        Self::from_words(code.split_whitespace().map(String::from))
    }

    /// The command of an `at` line: the words after its time.
    pub(crate) fn command(&self) -> Self {
        let words = self.arguments.words()[1..].iter().cloned();
        Self::from_words(words).expect("a command after the time of an `at` line")
    }
}

/// The lines of a scenario file, without comments.
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

    /// The same scenario with another seed. The `seed` line goes first, so that it takes
    /// precedence.
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

    /// The first argument of the first line with a keyword, as a number, or the default if there is
    /// no such line.
    pub(crate) fn number(&self, keyword: &str, default: f64) -> f64 {
        self.first(keyword)
            .map_or(default, |arguments| arguments.parsed(0))
    }
}
