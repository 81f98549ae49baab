//! The bodies of every interface. The only place with the wire's own words.

use crate::core::records::*;
use crate::ids::*;
use ciborium::Value;
use serde::de::{DeserializeOwned, Deserializer, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Most bytes of a body that is taken from or sent to users and workers.
pub const BODY_MAX: usize = 64 * 1024;
/// Most tasks of one job.
const TASKS_MAX: u32 = 100_000;
/// Longest name of a team, class, image, type or zone, and longest list of types:
/// together they keep a job's record below the smallest value limit seen.
const NAME_MAX: usize = 128;
const TYPES_MAX: usize = 32;
/// Larger amounts and durations than this are no honest input.
const AMOUNT_MAX: f64 = 1e9;

/// A number that may come as an integer or with decimals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Num(pub f64);

impl<'de> Deserialize<'de> for Num {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct Any;
        impl Visitor<'_> for Any {
            type Value = Num;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a number")
            }
            fn visit_f64<E>(self, v: f64) -> Result<Num, E> {
                Ok(Num(v))
            }
            fn visit_u64<E>(self, v: u64) -> Result<Num, E> {
                Ok(Num(v as f64))
            }
            fn visit_i64<E>(self, v: i64) -> Result<Num, E> {
                Ok(Num(v as f64))
            }
        }
        d.deserialize_any(Any)
    }
}

/// Encodes a body.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    // Writing to memory can't fail, and our types hold nothing CBOR can't say.
    let _ = ciborium::into_writer(value, &mut out);
    out
}

/// Decodes a body that is one CBOR item and nothing behind it.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let mut rest = body;
    let value = ciborium::from_reader(&mut rest).ok()?;
    rest.is_empty().then_some(value)
}

// ---- users

#[derive(Deserialize)]
struct SubmitBody {
    id: String,
    troupe: String,
    crew: String,
    form: FormWord,
    rank: RankWord,
    verses: u32,
    cores: Num,
    accelerators: Num,
    #[serde(rename = "memGb")]
    mem_gb: Num,
    score: String,
    #[serde(rename = "sizeGb")]
    size_gb: Num,
    builds: Option<Vec<String>>,
    quarter: Option<String>,
    #[serde(rename = "samePlace")]
    same_place: bool,
    scatter: bool,
    borrowed: bool,
    #[serde(rename = "reckonS")]
    reckon_s: Num,
    #[serde(rename = "bookmarkS")]
    bookmark_s: Num,
    #[serde(rename = "stashS")]
    stash_s: Num,
    #[serde(rename = "curtainS")]
    curtain_s: Option<Num>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum FormWord {
    Batch,
    Service,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RankWord {
    Critical,
    Urgent,
    Normal,
    Idle,
}

/// Why a submission is malformed: the field, or what the parser said. Its id, if that can
/// be read: the job may be known, and then its state is the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadBody {
    pub why: String,
    pub id: Option<JobId>,
}

impl From<String> for BadBody {
    fn from(why: String) -> Self {
        Self { why, id: None }
    }
}

impl From<&'static str> for BadBody {
    fn from(field: &'static str) -> Self {
        Self::from(format!("{field} is invalid"))
    }
}

/// What a submission that is otherwise malformed may still tell.
#[derive(Deserialize)]
struct Named {
    id: String,
}

/// Reads and checks a submission. Chunk size and block are for the core to set.
pub fn submission(body: &[u8]) -> Result<(JobId, JobRec), BadBody> {
    checked(body).map_err(|bad| {
        let named = ciborium::from_reader::<Named, _>(body).ok();
        let id = named.and_then(|n| JobId::parse(&n.id));
        BadBody { id, ..bad }
    })
}

fn checked(body: &[u8]) -> Result<(JobId, JobRec), BadBody> {
    let mut rest = body;
    let b: SubmitBody = ciborium::from_reader(&mut rest).map_err(|e| format!("malformed: {e}"))?;
    if !rest.is_empty() {
        return Err(String::from("something follows the submission").into());
    }
    let id = JobId::parse(&b.id).ok_or("id")?;
    if b.verses == 0 || b.verses > TASKS_MAX {
        return Err("verses".into());
    }
    let name = |field: &'static str, text: String| {
        let good = !text.is_empty() && text.len() <= NAME_MAX && !text.contains(char::is_control);
        good.then_some(text).ok_or(BadBody::from(field))
    };
    let amount = |field: &'static str, n: Num| {
        let good = n.0.is_finite() && (0.0..=AMOUNT_MAX).contains(&n.0);
        good.then_some(n.0).ok_or(BadBody::from(field))
    };
    let types = match b.builds {
        None => None,
        Some(list) if list.is_empty() || list.len() > TYPES_MAX => return Err("builds".into()),
        Some(list) => Some(
            list.into_iter()
                .map(|t| name("builds", t))
                .collect::<Result<Vec<_>, _>>()?,
        ),
    };
    let rec = JobRec {
        class: name("troupe", b.troupe)?,
        team: name("crew", b.crew)?,
        form: match b.form {
            FormWord::Batch => Form::Batch,
            FormWord::Service => Form::Service,
        },
        rank: match b.rank {
            RankWord::Critical => Rank::Critical,
            RankWord::Urgent => Rank::Urgent,
            RankWord::Normal => Rank::Normal,
            RankWord::Idle => Rank::Idle,
        },
        count: b.verses,
        need: Room {
            cpus: amount("cores", b.cores)?,
            gpus: amount("accelerators", b.accelerators)?,
            mem: amount("memGb", b.mem_gb)?,
        },
        image: Image::from(name("score", b.score)?.as_str()),
        image_gb: amount("sizeGb", b.size_gb)?,
        types,
        zone: b.quarter.map(|z| name("quarter", z)).transpose()?,
        one_zone: b.same_place,
        scatter: b.scatter,
        spot: b.borrowed,
        estimate_s: amount("reckonS", b.reckon_s)?,
        checkpoint_s: amount("bookmarkS", b.bookmark_s)?,
        save_s: amount("stashS", b.stash_s)?,
        deadline_s: b.curtain_s.map(|n| amount("curtainS", n)).transpose()?,
        chunk: 1,
        block: 0,
        withdrawn: false,
    };
    Ok((id, rec))
}

/// A job's stance as users are told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stance {
    Queued,
    Running,
    Done,
    Withdrawn,
}

#[derive(Serialize)]
struct StanceBody<'a> {
    id: &'a str,
    stance: Stance,
    done: u32,
    running: u32,
}

/// The answer to a submission, a question or a withdrawal.
pub fn stance_body(id: &JobId, stance: Stance, done: u32, running: u32) -> Vec<u8> {
    encode(&StanceBody {
        id: id.as_str(),
        stance,
        done,
        running,
    })
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// The body of a refusal.
pub fn error_body(why: &str) -> Vec<u8> {
    encode(&ErrorBody { error: why })
}

// ---- workers

/// One worker's report.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    #[serde(rename = "rig")]
    pub machine: String,
    pub endpoint: String,
    #[serde(rename = "build")]
    pub class: String,
    #[serde(rename = "quarter")]
    pub zone: String,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "baton", default)]
    pub number: u64,
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<Num>,
    #[serde(rename = "verses", default)]
    pub tasks: Vec<ReportTask>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ReportTask {
    #[serde(rename = "verse")]
    pub task: String,
    #[serde(rename = "take")]
    pub attempt: Attempt,
    #[serde(rename = "stance")]
    pub stance: TaskStance,
    #[serde(default)]
    pub cause: Option<Cause>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStance {
    Fetching,
    Running,
    Flushing,
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Halted,
    Error,
    Full,
    InUse,
    Unknown,
    /// A cause that a later worker may know.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "cueKind", rename_all = "lowercase")]
pub enum Command {
    Start {
        #[serde(rename = "verse")]
        task: String,
        #[serde(rename = "take")]
        attempt: Attempt,
    },
    Halt {
        #[serde(rename = "verse")]
        task: String,
        #[serde(rename = "take")]
        attempt: Attempt,
        #[serde(rename = "bowS")]
        grace_s: f64,
    },
    Clear {
        #[serde(rename = "verse")]
        task: String,
        #[serde(rename = "take")]
        attempt: Attempt,
    },
}

#[derive(Serialize)]
struct CommandsBody<'a> {
    baton: Number,
    cues: &'a [Command],
}

/// The answer to a report.
pub fn commands_body(number: Number, commands: &[Command]) -> Vec<u8> {
    encode(&CommandsBody {
        baton: number,
        cues: commands,
    })
}

#[derive(Serialize)]
struct SteerBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    conductor: Option<&'a str>,
}

/// The answer that sends a worker to another controller.
pub fn steer_body(to: Option<&Member>) -> Vec<u8> {
    encode(&SteerBody {
        conductor: to.map(Member::as_str),
    })
}

// ---- cloud

#[derive(Clone, Debug, PartialEq)]
pub enum CloudOp {
    Catalog,
    Rent(RentalRec),
    Delete(Vec<MachineId>),
    List { after: Option<MachineId> },
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    Catalog(Vec<ClassInfo>),
    Rented(Vec<MachineId>),
    /// No capacity for this type, zone and kind.
    Refused,
    Deleted,
    Page {
        machines: Vec<Listed>,
        more: bool,
    },
    /// 429, an outage, or an answer that makes no sense: ask again later.
    Trouble,
    NoAnswer,
}

/// A machine type as the cloud describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassInfo {
    pub name: String,
    pub room: Room,
    pub cache_gb: f64,
    pub fetch_gb_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub ready_s: f64,
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct CatalogBody {
    builds: Vec<BuildBody>,
}

#[derive(Deserialize)]
struct BuildBody {
    name: String,
    cores: Num,
    accelerators: Num,
    #[serde(rename = "memGb")]
    mem_gb: Num,
    #[serde(rename = "localGb")]
    local_gb: Num,
    #[serde(rename = "fetchGbPerS")]
    fetch_gb_s: Num,
    rate: Num,
    #[serde(rename = "lowPrice")]
    low_price: Num,
    #[serde(rename = "readyS")]
    ready_s: Num,
    quarters: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Listed {
    pub id: String,
    #[serde(default)]
    pub endpoint: Option<String>,
    #[serde(rename = "build")]
    pub class: String,
    #[serde(rename = "quarter")]
    pub zone: String,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    pub stance: MachineStance,
    #[serde(rename = "ageS")]
    age: Num,
}

impl Listed {
    pub fn age_s(&self) -> f64 {
        self.age.0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStance {
    Starting,
    Running,
    Failed,
}

#[derive(Deserialize)]
struct RigsBody {
    rigs: Vec<MachineId>,
}

#[derive(Deserialize)]
struct ListBody {
    rigs: Vec<Listed>,
    #[serde(rename = "hasNext", default)]
    has_next: bool,
}

#[derive(Serialize)]
struct RentalBody<'a> {
    #[serde(rename = "hire")]
    name: &'a str,
    build: &'a str,
    quarter: &'a str,
    borrowed: bool,
    number: u32,
}

#[derive(Serialize)]
struct DeleteBody<'a> {
    rigs: &'a [MachineId],
}

/// A request as it goes onto the wire.
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub body: Option<Vec<u8>>,
}

/// Most machines that one page of the list holds.
const LIST_LIMIT: usize = 500;

impl CloudOp {
    pub fn call(&self) -> Call {
        let post = |path: &str, body| Call {
            method: "POST",
            path: path.into(),
            body: Some(body),
        };
        match self {
            Self::Catalog => get("/catalog".into()),
            Self::Rent(h) => post(
                "/rentals",
                encode(&RentalBody {
                    name: &h.name,
                    build: &h.class,
                    quarter: &h.zone,
                    borrowed: h.spot,
                    number: h.count,
                }),
            ),
            Self::Delete(rigs) => post("/rentals/delete", encode(&DeleteBody { rigs })),
            Self::List { after } => get(match after {
                Some(id) => format!("/rentals?after={id}&limit={LIST_LIMIT}"),
                None => format!("/rentals?limit={LIST_LIMIT}"),
            }),
        }
    }

    /// Makes sense of the answer to this request.
    pub fn reply(&self, status: u16, body: &[u8]) -> CloudReply {
        let read = match (self, status) {
            (Self::Catalog, 200) => decode::<CatalogBody>(body).map(catalog),
            (Self::Rent(_), 200) => decode::<RigsBody>(body).map(|b| CloudReply::Rented(b.rigs)),
            (Self::Rent(_), 503) if decode::<ErrorOwned>(body).is_some_and(|e| e.full()) => {
                Some(CloudReply::Refused)
            }
            (Self::Delete(_), 200) => Some(CloudReply::Deleted),
            (Self::List { .. }, 200) => decode::<ListBody>(body).map(|b| CloudReply::Page {
                machines: b.rigs,
                more: b.has_next,
            }),
            _ => None,
        };
        read.unwrap_or(CloudReply::Trouble)
    }
}

#[derive(Deserialize)]
struct ErrorOwned {
    error: String,
}

impl ErrorOwned {
    fn full(&self) -> bool {
        self.error == "no capacity"
    }
}

fn get(path: String) -> Call {
    Call {
        method: "GET",
        path,
        body: None,
    }
}

fn catalog(body: CatalogBody) -> CloudReply {
    let classes = body.builds.into_iter().map(|b| ClassInfo {
        name: b.name,
        room: Room {
            cpus: b.cores.0,
            gpus: b.accelerators.0,
            mem: b.mem_gb.0,
        },
        cache_gb: b.local_gb.0,
        fetch_gb_s: b.fetch_gb_s.0.max(1e-3),
        price: b.rate.0,
        spot_price: b.low_price.0,
        ready_s: b.ready_s.0.max(1.0),
        zones: b.quarters,
    });
    CloudReply::Catalog(classes.collect())
}

// ---- state service

#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    Put {
        key: Key,
        record: Record,
        hold: Option<u64>,
    },
    Delete {
        key: Key,
    },
}

impl Write {
    pub fn put(key: Key, record: Record) -> Self {
        Self::Put {
            key,
            record,
            hold: None,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum StateOp {
    /// Reads a key that never exists: the answer is the present revision.
    Fresh,
    Get(Key),
    List {
        after: String,
    },
    Commit {
        when: Vec<(Key, u64)>,
        writes: Vec<Write>,
    },
    Grant {
        ttl_ms: u64,
    },
    Extend(u64),
    /// Ends a grant now, and with it the keys that hang on it.
    Release(u64),
    Follow {
        after: u64,
    },
}

/// One entry or change, with what could be read of it.
pub type Change = (Key, u64, Option<Record>);

#[derive(Clone, Debug, PartialEq)]
pub enum StateReply {
    Found {
        record: Record,
        revision: u64,
    },
    Missing {
        revision: u64,
    },
    Page {
        entries: Vec<Change>,
        last: Option<String>,
        more: bool,
        revision: u64,
    },
    Committed {
        revision: u64,
    },
    Conflict {
        failed: Vec<Key>,
    },
    Granted(u64),
    Extended,
    News {
        revision: u64,
        news: Vec<Change>,
    },
    /// 410: too old to follow from.
    TooOld,
    /// A grant that is over.
    NoGrant,
    /// 429 or 503: not executed.
    Refused,
    /// No answer: may have been executed, or may be yet.
    NoAnswer,
    /// An answer that makes no sense.
    Strange,
}

/// How long the state service lets a follow wait, and a page's size.
pub const FOLLOW_MS: u64 = 10_000;
const PAGE: usize = 500;

#[derive(Serialize)]
struct CommitBody {
    when: Vec<WhenBody>,
    writes: Vec<WriteBody>,
}

#[derive(Serialize)]
struct WhenBody {
    path: String,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum WriteBody {
    Put {
        write: String,
        data: Value,
        #[serde(skip_serializing_if = "Option::is_none")]
        hold: Option<u64>,
    },
    Delete {
        delete: String,
    },
}

#[derive(Serialize)]
struct GrantBody {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

/// A record as the state service keeps it.
pub fn record_value(record: &Record) -> Value {
    let value = match record {
        Record::Leader(r) => Value::serialized(r),
        Record::Number(r) => Value::serialized(r),
        Record::Plan(r) => Value::serialized(r),
        Record::Block(r) => Value::serialized(r),
        Record::Job(r) => Value::serialized(r),
        Record::Run(r) => Value::serialized(r),
        Record::End(r) => Value::serialized(r),
    };
    value.unwrap_or(Value::Null)
}

/// Reads a record back; the key says what it is.
fn record_from(key: &Key, data: Value) -> Option<Record> {
    match key {
        Key::Leader => data.deserialized().ok().map(Record::Leader),
        Key::Number => data.deserialized().ok().map(Record::Number),
        Key::Plan => data.deserialized().ok().map(Record::Plan),
        Key::Block(_) => data.deserialized().ok().map(Record::Block),
        Key::Job(_) => data.deserialized().ok().map(|r| Record::Job(Box::new(r))),
        Key::Run(..) => data.deserialized().ok().map(Record::Run),
        Key::End(_) => data.deserialized().ok().map(Record::End),
    }
}

impl StateOp {
    pub fn call(&self) -> Call {
        let post = |path: String, body| Call {
            method: "POST",
            path,
            body: Some(body),
        };
        match self {
            Self::Fresh => get(format!("/keys/{PREFIX}none")),
            Self::Get(key) => get(format!("/keys/{key}")),
            Self::List { after } => {
                get(format!("/keys?prefix={PREFIX}&after={after}&limit={PAGE}"))
            }
            Self::Commit { when, writes } => post("/commit".into(), commit_body(when, writes)),
            Self::Grant { ttl_ms } => {
                post("/grants".into(), encode(&GrantBody { ttl_ms: *ttl_ms }))
            }
            Self::Extend(hold) => post(format!("/grants/{hold}/extend"), Vec::new()),
            Self::Release(hold) => Call {
                method: "DELETE",
                path: format!("/grants/{hold}"),
                body: None,
            },
            Self::Follow { after } => get(format!(
                "/follow?prefix={PREFIX}&after={after}&blockMs={FOLLOW_MS}"
            )),
        }
    }

    /// Makes sense of the answer to this request.
    pub fn reply(&self, status: u16, body: &[u8]) -> StateReply {
        if status == 429 || status == 503 {
            return StateReply::Refused;
        }
        let read = match (self, status) {
            (Self::Fresh | Self::Get(_), 404) => {
                decode::<RevisionBody>(body).map(|b| StateReply::Missing {
                    revision: b.revision,
                })
            }
            (Self::Get(key), 200) => decode::<EntryBody>(body).and_then(|b| {
                let record = record_from(key, b.data)?;
                Some(StateReply::Found {
                    record,
                    revision: b.revision,
                })
            }),
            (Self::List { .. }, 200) => decode::<PageBody>(body).map(page),
            (Self::Commit { .. }, 200) => {
                decode::<RevisionBody>(body).map(|b| StateReply::Committed {
                    revision: b.revision,
                })
            }
            (Self::Commit { .. }, 409) => {
                decode::<ConflictBody>(body).map(|b| StateReply::Conflict {
                    failed: b.failed.iter().filter_map(|p| Key::parse(p)).collect(),
                })
            }
            (Self::Commit { .. }, 400) => Some(StateReply::NoGrant),
            (Self::Grant { .. }, 200) => {
                decode::<HoldBody>(body).map(|b| StateReply::Granted(b.hold))
            }
            (Self::Extend(_) | Self::Release(_), 200..=204) => Some(StateReply::Extended),
            (Self::Extend(_) | Self::Release(_), 404) => Some(StateReply::NoGrant),
            (Self::Follow { .. }, 200) => decode::<NewsBody>(body).map(news),
            (Self::Follow { .. }, 410) => Some(StateReply::TooOld),
            _ => None,
        };
        read.unwrap_or(StateReply::Strange)
    }
}

fn commit_body(when: &[(Key, u64)], writes: &[Write]) -> Vec<u8> {
    let when = when.iter().map(|(key, revision)| WhenBody {
        path: key.to_string(),
        revision: *revision,
    });
    let writes = writes.iter().map(|w| match w {
        Write::Put { key, record, hold } => WriteBody::Put {
            write: key.to_string(),
            data: record_value(record),
            hold: *hold,
        },
        Write::Delete { key } => WriteBody::Delete {
            delete: key.to_string(),
        },
    });
    encode(&CommitBody {
        when: when.collect(),
        writes: writes.collect(),
    })
}

#[derive(Deserialize)]
struct RevisionBody {
    #[serde(rename = "ledger")]
    revision: u64,
}

#[derive(Deserialize)]
struct HoldBody {
    hold: u64,
}

#[derive(Deserialize)]
struct ConflictBody {
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct EntryBody {
    data: Value,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Deserialize)]
struct PageEntry {
    path: String,
    data: Value,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Deserialize)]
struct PageBody {
    entries: Vec<PageEntry>,
    #[serde(rename = "hasNext", default)]
    has_next: bool,
    #[serde(rename = "ledger")]
    revision: u64,
}

#[derive(Deserialize)]
struct NewsEntry {
    #[serde(default)]
    write: Option<String>,
    #[serde(default)]
    delete: Option<String>,
    #[serde(default)]
    data: Option<Value>,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Deserialize)]
struct NewsBody {
    #[serde(rename = "ledger")]
    revision: u64,
    #[serde(default)]
    news: Vec<NewsEntry>,
}

fn page(body: PageBody) -> StateReply {
    let last = body.entries.last().map(|e| e.path.clone());
    let entries = body.entries.into_iter().filter_map(|e| {
        let key = Key::parse(&e.path)?;
        let record = record_from(&key, e.data)?;
        Some((key, e.revision, Some(record)))
    });
    StateReply::Page {
        entries: entries.collect(),
        last,
        more: body.has_next,
        revision: body.revision,
    }
}

fn news(body: NewsBody) -> StateReply {
    let news = body
        .news
        .into_iter()
        .filter_map(|e| match (e.write, e.delete) {
            (Some(path), _) => {
                let key = Key::parse(&path)?;
                let record = record_from(&key, e.data?)?;
                Some((key, e.revision, Some(record)))
            }
            (None, Some(path)) => Some((Key::parse(&path)?, e.revision, None)),
            (None, None) => None,
        });
    StateReply::News {
        revision: body.revision,
        news: news.collect(),
    }
}
