//! Stand-in of a target in trouble that sends bytes without end, until the other side closes the connection.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::sleep,
};

/// Where the bytes without end are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPart {
    /// Header lines without end.
    HeaderLines,
    /// One header line without end.
    HeaderLine,
    /// Interim responses without end.
    InterimResponses,
    /// Bytes that are no HTTP response.
    Noise,
    /// A head of which a byte comes every now and then.
    SlowHead,
    /// A chunked body of a genuine success.
    ChunkedBody,
    /// A body of a genuine success that ends with the connection.
    UnframedBody,
    /// A body of a genuine success under a length that it will not reach for years.
    BodyWithLength,
    /// A body of a genuine success that stops before its stated length, beyond what is buffered of a body.
    StalledBody,
    /// A body of a genuine success of which a byte comes every now and then.
    SlowBody,
    /// A body of a genuine failure.
    FailureBody,
    /// The body of a refusal.
    RefusalBody,
    /// The body of the answer to a probe; requests get no answer.
    ProbeBody,
}

impl EndlessPart {
    /// All values.
    pub const ALL: [Self; 13] = [
        Self::HeaderLines,
        Self::HeaderLine,
        Self::InterimResponses,
        Self::Noise,
        Self::SlowHead,
        Self::ChunkedBody,
        Self::UnframedBody,
        Self::BodyWithLength,
        Self::StalledBody,
        Self::SlowBody,
        Self::FailureBody,
        Self::RefusalBody,
        Self::ProbeBody,
    ];
}

/// Pause between two parts of a slow response.
const DRIP_PAUSE: Duration = Duration::from_millis(20);

/// Bytes that come of a body that stops before its end.
const STALLED_BYTES: usize = 512 << 10;

/// Bytes that are written at once.
const FILLER: [u8; 16 << 10] = [b'x'; 16 << 10];

/// A running stand-in; stops when dropped.
#[derive(Debug)]
pub struct EndlessTarget {
    /// Name under which it answers probes.
    pub id: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: AtomicU64,
    open_responses: AtomicUsize,
}

impl Drop for EndlessTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EndlessTarget {
    /// Starts the stand-in on a loopback port that the system chooses.
    ///
    /// # Errors
    ///
    /// The I/O error of binding the address.
    pub async fn start(id: &str, part: EndlessPart) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let counts = Arc::<Counts>::default();
        let (name, shared) = (id.to_owned(), Arc::clone(&counts));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (name, counts) = (name.clone(), Arc::clone(&shared));
                // A connection ends with the first error, as the other side closes it.
                tokio::spawn(async move { serve(stream, &name, part, &counts).await });
            }
        });
        Ok(Self { id: id.to_owned(), address, counts, task })
    }

    /// Returns the number of requests received, other than probes.
    pub fn request_count(&self) -> u64 {
        self.counts.requests.load(Ordering::Acquire)
    }

    /// Returns the number of responses that are still being sent.
    pub fn open_responses(&self) -> usize {
        self.counts.open_responses.load(Ordering::Acquire)
    }
}

async fn serve(stream: TcpStream, id: &str, part: EndlessPart, counts: &Counts) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let Some(request) = read_request(&mut stream).await? else { return Ok(()) };
        if request.is_probe && part != EndlessPart::ProbeBody {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Worker-Id: {id}\r\nX-Worker-Load: 0,0,3\r\nContent-Length: 0\r\n\r\n"
            );
            stream.get_mut().write_all(head.as_bytes()).await?;
            continue;
        }
        if !request.is_probe {
            counts.requests.fetch_add(1, Ordering::AcqRel);
        }
        counts.open_responses.fetch_add(1, Ordering::AcqRel);
        let ended = respond(stream.get_mut(), id, part, &request).await;
        counts.open_responses.fetch_sub(1, Ordering::AcqRel);
        return ended;
    }
}

struct ReceivedRequest {
    is_probe: bool,
    id: String,
}

/// Reads one request with its body; returns `None` at the end of the connection.
async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<ReceivedRequest>> {
    let (mut is_probe, mut id, mut length) = (false, String::new(), 0);
    let mut is_first_line = true;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        if std::mem::take(&mut is_first_line) {
            is_probe = line.starts_with("GET /healthz ");
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        let header = |name: &str| line.strip_prefix(name).map(|value| value.trim().to_owned());
        id = header("x-attempt-id:").unwrap_or(id);
        length = header("content-length:").and_then(|text| text.parse().ok()).unwrap_or(length);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(Some(ReceivedRequest { is_probe, id }))
}

async fn respond(
    stream: &mut TcpStream,
    id: &str,
    part: EndlessPart,
    request: &ReceivedRequest,
) -> std::io::Result<()> {
    let genuine = |status: &str, framing: &str| {
        let request_id = &request.id;
        format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {request_id}\r\nX-Response-Seal: 1.2.3\r\n{framing}\r\n")
    };
    let chunk = format!("{:x}\r\n{}\r\n", FILLER.len(), "x".repeat(FILLER.len()));
    let (head, filler, pause) = match part {
        EndlessPart::HeaderLines => ("HTTP/1.1 200 OK\r\n".to_owned(), "X-More: yes\r\n".repeat(64), None),
        EndlessPart::HeaderLine => ("HTTP/1.1 200 OK\r\nX-More: ".to_owned(), "x".repeat(FILLER.len()), None),
        EndlessPart::InterimResponses => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(64), None),
        EndlessPart::Noise => (String::new(), "x".repeat(FILLER.len()), None),
        EndlessPart::SlowHead => ("HTTP/1.1 200 OK\r\nX-More: ".to_owned(), "x".to_owned(), Some(DRIP_PAUSE)),
        EndlessPart::ChunkedBody => (genuine("200 OK", "Transfer-Encoding: chunked\r\n"), chunk, None),
        EndlessPart::UnframedBody => (genuine("200 OK", ""), "x".repeat(FILLER.len()), None),
        EndlessPart::BodyWithLength => {
            (genuine("200 OK", "Content-Length: 99999999999999\r\n"), "x".repeat(FILLER.len()), None)
        }
        EndlessPart::StalledBody => {
            let head = genuine("200 OK", "Content-Length: 99999999999999\r\n");
            stream.write_all((head + &"x".repeat(STALLED_BYTES)).as_bytes()).await?;
            // Returns once the other side closes the connection.
            return stream.read(&mut [0]).await.map(|_| ());
        }
        EndlessPart::SlowBody => (genuine("200 OK", ""), "x".to_owned(), Some(DRIP_PAUSE)),
        EndlessPart::FailureBody => {
            (genuine("500 Internal Server Error", "Transfer-Encoding: chunked\r\n"), chunk, None)
        }
        EndlessPart::RefusalBody => {
            let framing = "X-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n";
            (genuine("503 Service Unavailable", framing), chunk, None)
        }
        EndlessPart::ProbeBody if !request.is_probe => return Ok(()),
        EndlessPart::ProbeBody => {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Worker-Id: {id}\r\nX-Worker-Load: 0,0,3\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            (head, chunk, None)
        }
    };
    stream.write_all(head.as_bytes()).await?;
    loop {
        stream.write_all(filler.as_bytes()).await?;
        if let Some(pause) = pause {
            sleep(pause).await;
        }
    }
}
