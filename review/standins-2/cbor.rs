//! The part of CBOR that the protocol uses: maps with text keys, lists, text, numbers, booleans
//! and null.

#[derive(Clone, Debug, PartialEq)]
pub enum V {
    U(u64),
    I(i64),
    F(f64),
    B(bool),
    Null,
    S(String),
    A(Vec<V>),
    M(Vec<(String, V)>),
}

impl V {
    pub fn s(text: impl Into<String>) -> V {
        V::S(text.into())
    }
    pub fn map(fields: Vec<(&str, V)>) -> V {
        V::M(
            fields
                .into_iter()
                .map(|(key, value)| (key.to_string(), value))
                .collect(),
        )
    }
    pub fn get(&self, name: &str) -> Option<&V> {
        match self {
            V::M(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }
    pub fn text(&self) -> Option<&str> {
        match self {
            V::S(text) => Some(text),
            _ => None,
        }
    }
    pub fn uint(&self) -> Option<u64> {
        match self {
            V::U(n) => Some(*n),
            _ => None,
        }
    }
    pub fn num(&self) -> Option<f64> {
        match self {
            V::U(n) => Some(*n as f64),
            V::I(n) => Some(*n as f64),
            V::F(x) => Some(*x),
            _ => None,
        }
    }
    pub fn list(&self) -> &[V] {
        match self {
            V::A(items) => items,
            _ => &[],
        }
    }
    /// Size in the JSON form, in which the protocol counts its limits.
    pub fn json_bytes(&self) -> usize {
        match self {
            V::U(n) => n.to_string().len(),
            V::I(n) => n.to_string().len(),
            V::F(x) => format!("{x:?}").len(),
            V::B(true) | V::Null => 4,
            V::B(false) => 5,
            V::S(text) => text.len() + 2,
            V::A(items) => {
                2 + items
                    .iter()
                    .map(|item| item.json_bytes() + 1)
                    .sum::<usize>()
            }
            V::M(fields) => {
                2 + fields
                    .iter()
                    .map(|(key, value)| key.len() + 4 + value.json_bytes())
                    .sum::<usize>()
            }
        }
    }
}

fn head(out: &mut Vec<u8>, major: u8, n: u64) {
    let major = major << 5;
    match n {
        0..=23 => out.push(major | n as u8),
        24..=0xff => out.extend([major | 24, n as u8]),
        0x100..=0xffff => {
            out.push(major | 25);
            out.extend((n as u16).to_be_bytes());
        }
        0x1_0000..=0xffff_ffff => {
            out.push(major | 26);
            out.extend((n as u32).to_be_bytes());
        }
        _ => {
            out.push(major | 27);
            out.extend(n.to_be_bytes());
        }
    }
}

fn put(out: &mut Vec<u8>, value: &V) {
    match value {
        V::U(n) => head(out, 0, *n),
        V::I(n) if *n >= 0 => head(out, 0, *n as u64),
        V::I(n) => head(out, 1, !(*n) as u64),
        V::F(x) => {
            out.push(0xfb);
            out.extend(x.to_be_bytes());
        }
        V::B(false) => out.push(0xf4),
        V::B(true) => out.push(0xf5),
        V::Null => out.push(0xf6),
        V::S(text) => {
            head(out, 3, text.len() as u64);
            out.extend(text.as_bytes());
        }
        V::A(items) => {
            head(out, 4, items.len() as u64);
            items.iter().for_each(|item| put(out, item));
        }
        V::M(fields) => {
            head(out, 5, fields.len() as u64);
            for (key, value) in fields {
                head(out, 3, key.len() as u64);
                out.extend(key.as_bytes());
                put(out, value);
            }
        }
    }
}

pub fn encode(value: &V) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, value);
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let part = self.bytes.get(self.at..self.at.checked_add(count)?)?;
        self.at += count;
        Some(part)
    }
    fn number(&mut self, info: u8) -> Option<u64> {
        Some(match info {
            0..=23 => u64::from(info),
            24 => u64::from(self.take(1)?[0]),
            25 => u64::from(u16::from_be_bytes(self.take(2)?.try_into().ok()?)),
            26 => u64::from(u32::from_be_bytes(self.take(4)?.try_into().ok()?)),
            27 => u64::from_be_bytes(self.take(8)?.try_into().ok()?),
            _ => return None,
        })
    }
    fn value(&mut self) -> Option<V> {
        let first = self.take(1)?[0];
        let (major, info) = (first >> 5, first & 31);
        Some(match major {
            0 => V::U(self.number(info)?),
            1 => V::I(!(self.number(info)? as i64)),
            3 => {
                let count = self.number(info)? as usize;
                V::S(String::from_utf8(self.take(count)?.to_vec()).ok()?)
            }
            4 => {
                let count = self.number(info)?;
                let mut items = Vec::new();
                for _ in 0..count {
                    items.push(self.value()?);
                }
                V::A(items)
            }
            5 => {
                let count = self.number(info)?;
                let mut fields = Vec::new();
                for _ in 0..count {
                    let V::S(key) = self.value()? else {
                        return None;
                    };
                    fields.push((key, self.value()?));
                }
                V::M(fields)
            }
            7 => match info {
                20 => V::B(false),
                21 => V::B(true),
                22 | 23 => V::Null,
                25 => {
                    let half = u16::from_be_bytes(self.take(2)?.try_into().ok()?);
                    let sign = if half >> 15 == 1 { -1.0 } else { 1.0 };
                    let (exponent, fraction) = ((half >> 10) & 31, f64::from(half & 1023));
                    V::F(
                        sign * match exponent {
                            0 => fraction * 2f64.powi(-24),
                            31 => f64::INFINITY,
                            e => (1.0 + fraction / 1024.0) * 2f64.powi(i32::from(e) - 15),
                        },
                    )
                }
                26 => V::F(f64::from(f32::from_be_bytes(
                    self.take(4)?.try_into().ok()?,
                ))),
                27 => V::F(f64::from_be_bytes(self.take(8)?.try_into().ok()?)),
                _ => return None,
            },
            _ => return None,
        })
    }
}

pub fn decode(bytes: &[u8]) -> Option<V> {
    let mut reader = Reader { bytes, at: 0 };
    let value = reader.value()?;
    (reader.at == bytes.len()).then_some(value)
}
