//! A small CBOR codec for the values that the protocol uses: maps with text keys, lists, text,
//! numbers, booleans and null.

#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Null,
    Bool(bool),
    U(u64),
    I(i64),
    F(f64),
    T(String),
    A(Vec<V>),
    M(Vec<(String, V)>),
}

impl From<&str> for V {
    fn from(x: &str) -> V {
        V::T(x.to_string())
    }
}
impl From<String> for V {
    fn from(x: String) -> V {
        V::T(x)
    }
}
impl From<u64> for V {
    fn from(x: u64) -> V {
        V::U(x)
    }
}
impl From<f64> for V {
    fn from(x: f64) -> V {
        V::F(x)
    }
}
impl From<bool> for V {
    fn from(x: bool) -> V {
        V::Bool(x)
    }
}
impl From<Vec<V>> for V {
    fn from(x: Vec<V>) -> V {
        V::A(x)
    }
}

/// Builds a map.
#[macro_export]
macro_rules! map {
    ($($k:expr => $v:expr),* $(,)?) => {
        $crate::cbor::V::M(vec![$(($k.to_string(), $crate::cbor::V::from($v))),*])
    };
}

impl V {
    pub fn get(&self, key: &str) -> Option<&V> {
        match self {
            V::M(m) => m.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> Option<String> {
        match self.get(key)? {
            V::T(t) => Some(t.clone()),
            _ => None,
        }
    }
    pub fn uint(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            V::U(u) => Some(*u),
            _ => None,
        }
    }
    pub fn num(&self, key: &str) -> Option<f64> {
        match self.get(key)? {
            V::U(u) => Some(*u as f64),
            V::I(i) => Some(*i as f64),
            V::F(f) => Some(*f),
            _ => None,
        }
    }
    pub fn flag(&self, key: &str) -> bool {
        matches!(self.get(key), Some(V::Bool(true)))
    }
    pub fn list(&self, key: &str) -> &[V] {
        match self.get(key) {
            Some(V::A(a)) => a,
            _ => &[],
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            V::Null => out.push(0xf6),
            V::Bool(b) => out.push(if *b { 0xf5 } else { 0xf4 }),
            V::U(u) => head(out, 0, *u),
            V::I(i) if *i >= 0 => head(out, 0, *i as u64),
            V::I(i) => head(out, 1, !*i as u64),
            V::F(f) => {
                out.push(0xfb);
                out.extend_from_slice(&f.to_bits().to_be_bytes());
            }
            V::T(t) => {
                head(out, 3, t.len() as u64);
                out.extend_from_slice(t.as_bytes());
            }
            V::A(a) => {
                head(out, 4, a.len() as u64);
                a.iter().for_each(|v| v.write(out));
            }
            V::M(m) => {
                head(out, 5, m.len() as u64);
                for (k, v) in m {
                    head(out, 3, k.len() as u64);
                    out.extend_from_slice(k.as_bytes());
                    v.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        let v = read(bytes, &mut at)?;
        (at == bytes.len()).then_some(v)
    }

    /// Size of the value as JSON, in bytes: the form in which the page counts size limits.
    pub fn json_len(&self) -> usize {
        match self {
            V::Null => 4,
            V::Bool(true) => 4,
            V::Bool(false) => 5,
            V::U(u) => u.to_string().len(),
            V::I(i) => i.to_string().len(),
            V::F(f) => format!("{f:?}").len(),
            V::T(t) => t.len() + 2,
            V::A(a) => {
                2 + a
                    .iter()
                    .map(|v| v.json_len() + 1)
                    .sum::<usize>()
                    .saturating_sub(1)
            }
            V::M(m) => {
                let parts = m.iter().map(|(k, v)| k.len() + 3 + v.json_len() + 1);
                2 + parts.sum::<usize>().saturating_sub(1)
            }
        }
    }
}

fn head(out: &mut Vec<u8>, major: u8, n: u64) {
    let m = major << 5;
    if n < 24 {
        out.push(m | n as u8);
    } else if n < 1 << 8 {
        out.extend_from_slice(&[m | 24, n as u8]);
    } else if n < 1 << 16 {
        out.push(m | 25);
        out.extend_from_slice(&(n as u16).to_be_bytes());
    } else if n < 1 << 32 {
        out.push(m | 26);
        out.extend_from_slice(&(n as u32).to_be_bytes());
    } else {
        out.push(m | 27);
        out.extend_from_slice(&n.to_be_bytes());
    }
}

fn read(b: &[u8], at: &mut usize) -> Option<V> {
    let first = *b.get(*at)?;
    *at += 1;
    let (major, info) = (first >> 5, first & 31);
    if major == 7 {
        return match info {
            20 => Some(V::Bool(false)),
            21 => Some(V::Bool(true)),
            22 | 23 => Some(V::Null),
            25 => {
                let h = take(b, at, 2)? as u16;
                Some(V::F(half(h)))
            }
            26 => Some(V::F(f32::from_bits(take(b, at, 4)? as u32) as f64)),
            27 => Some(V::F(f64::from_bits(take(b, at, 8)?))),
            _ => None,
        };
    }
    if info == 31 {
        return indefinite(b, at, major);
    }
    let n = match info {
        0..=23 => info as u64,
        24 => take(b, at, 1)?,
        25 => take(b, at, 2)?,
        26 => take(b, at, 4)?,
        27 => take(b, at, 8)?,
        _ => return None,
    };
    match major {
        0 => Some(V::U(n)),
        1 => Some(V::I(-1 - n as i64)),
        3 => {
            let end = at.checked_add(n as usize)?;
            let t = std::str::from_utf8(b.get(*at..end)?).ok()?.to_string();
            *at = end;
            Some(V::T(t))
        }
        4 => {
            let mut a = Vec::new();
            for _ in 0..n {
                a.push(read(b, at)?);
            }
            Some(V::A(a))
        }
        5 => {
            let mut m = Vec::new();
            for _ in 0..n {
                let V::T(k) = read(b, at)? else { return None };
                m.push((k, read(b, at)?));
            }
            Some(V::M(m))
        }
        _ => None,
    }
}

fn indefinite(b: &[u8], at: &mut usize, major: u8) -> Option<V> {
    let (mut a, mut m) = (Vec::new(), Vec::new());
    while *b.get(*at)? != 0xff {
        if major == 5 {
            let V::T(k) = read(b, at)? else { return None };
            m.push((k, read(b, at)?));
        } else {
            a.push(read(b, at)?);
        }
    }
    *at += 1;
    match major {
        4 => Some(V::A(a)),
        5 => Some(V::M(m)),
        3 => {
            let parts = a.into_iter().map(|v| match v {
                V::T(t) => t,
                _ => String::new(),
            });
            Some(V::T(parts.collect()))
        }
        _ => None,
    }
}

fn take(b: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    let bytes = b.get(*at..*at + n)?;
    *at += n;
    Some(bytes.iter().fold(0, |x, y| x << 8 | *y as u64))
}

fn half(h: u16) -> f64 {
    let (sign, exp, man) = (h >> 15, (h >> 10) & 31, (h & 1023) as f64);
    let value = match exp {
        0 => man * 2f64.powi(-24),
        31 if man == 0.0 => f64::INFINITY,
        31 => f64::NAN,
        e => (1.0 + man / 1024.0) * 2f64.powi(e as i32 - 15),
    };
    if sign == 1 {
        -value
    } else {
        value
    }
}
