//! Numbered result codes, shared by all programs of the workspace.

/// What a caller may conclude about whether its request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The backend server answered.
    Ran,
    /// No byte of the request reached a backend server.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Value of the `elmstream-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Declares the codes with their numbers, HTTP statuses and texts.
macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $text:literal;)*) => {
        /// Result code of a request or an operator command. Numbers are stable
        /// across versions.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $text] $name = $number,)*
        }

        impl Code {
            /// All codes in ascending order of their numbers.
            pub const ALL: &[Code] = &[$(Code::$name,)*];

            /// HTTP status that is sent to a caller with the code.
            pub fn http_status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// One-line description in plain English.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// Returns the code with this number, or `None` if there is none.
            pub fn from_number(number: u16) -> Option<Code> {
                match number { $($number => Some(Code::$name),)* _ => None }
            }
        }
    };
}

codes! {
    Ok = 0, 200, "success";
    BadRequest = 1001, 400, "the request is malformed";
    UnknownService = 1002, 404, "no such service";
    KeyMissing = 1003, 401, "the route asks for a workspace's key, and there is none";
    KeyUnknown = 1004, 401, "no workspace has this key";
    KeyUnclear = 1005, 401, "there is not exactly one readable key";
    NotReady = 1101, 503, "no configuration is in force yet";
    NoCapacity = 1102, 503, "every backend server that may serve this is busy";
    ShiftCapped = 1103, 503, "the home region is full and the shift cap is used up";
    NoOwner = 1104, 503, "no entry host owns a backend server for this service now";
    LinkLimited = 1105, 503, "the link between the regions is at its limit";
    LowPriority = 1106, 503, "overload: services of higher priority go first";
    DeadlineTooShort = 1107, 503, "the deadline leaves no time to run the request";
    Stopping = 1108, 503, "the entry host is stopping";
    Isolated = 1109, 503, "the entry host may be behind and the service's policy is to stop";
    LeaseLapsed = 1110, 503, "the owner's lease does not cover the request";
    BackendShed = 1113, 503, "the backend server refused the request";
    BackendConnect = 1114, 503, "no connection to the backend server";
    PeerUnreachable = 1115, 503, "the owning entry host could not be reached";
    RetryBudget = 1116, 503, "the retry budget allows no further try";
    RoutesStale = 1117, 503, "what is known of the routes may be out of date: none fits, the one that fits has home regions, or most hosts know newer ones";
    KeysStale = 1118, 503, "the key is not known, but what is known of keys may be out of date";
    WorkspaceLimit = 1119, 429, "the workspace is over its limit";
    Harmful = 1120, 503, "backend servers have ended under this request, so it is sent to no other";
    BuffersFull = 1121, 503, "the entry host holds as many bytes of requests as it may";
    ConnectionsFull = 1122, 503, "the entry host has as many requests under way as it may";
    DeadlinePassed = 1201, 504, "the deadline passed while the request was running";
    BackendFailed = 1202, 502, "the backend server failed after the request was sent";
    PeerLost = 1203, 502, "contact with the owning entry host was lost after the request was sent";
    CallerAborted = 1204, 400, "the caller cut its request short";
    StoppedRunning = 1205, 504, "the entry host ended while the request was running";
    TicketBad = 1301, 400, "the ticket is forged, expired or for another service";
    TicketNeeded = 1302, 428, "the service runs this request only with a ticket";
    TicketRunning = 1303, 409, "the first try with this ticket is still running";
    TicketHostGone = 1304, 503, "the entry host that issued the ticket is gone; the first try may have run";
    TicketUsed = 1305, 409, "the first try with this ticket has ended and its answer is not kept";
    ClaimTaken = 1306, 409, "another try has claimed this request";
    ClaimUnknown = 1307, 503, "the claim could not be read back from the table service";
    RevisionConflict = 2001, 409, "another change came first";
    ChangeUnknown = 2002, 503, "the table service did not say whether the change took effect";
    ChangeInvalid = 2003, 400, "the configuration does not pass its checks";
    TokenBad = 2004, 401, "the operator's token is not known";
    RoleDenied = 2005, 403, "the operator's role does not allow this";
    TableUnavailable = 2006, 503, "the table service is not available; nothing was changed";
    NotFound = 2007, 404, "no such entity, revision or request";
    StoreUnavailable = 2008, 503, "the object store is not available; nothing was changed";
    SettingsUnreadable = 3001, 500, "the settings file cannot be read";
    SettingsInvalid = 3002, 500, "a setting is unknown, missing or of the wrong form";
    SettingsAddress = 3003, 500, "an address in the settings cannot be used";
    SettingsFile = 3004, 500, "a file named in the settings cannot be used";
    SettingsDomain = 3005, 500, "the configuration does not know the failure domain in the settings";
    ConfigurationSyntax = 3101, 400, "the configuration is not valid JSON of the documented form";
    ConfigurationDuplicate = 3102, 400, "two entities of one kind have the same name";
    ConfigurationReference = 3103, 400, "an entity refers to one that does not exist";
    ConfigurationRange = 3104, 400, "a value is out of its range";
    ConfigurationOverlap = 3105, 400, "two sites claim the same block of clients";
    ConfigurationTable = 3106, 500, "a row of the table service is not of the documented form";
    PeerMessage = 3201, 400, "a message from another entry host is malformed";
    PeerIdentity = 3202, 403, "the other side does not prove the cluster key";
    OperatorUnreachable = 4001, 503, "the operators' address cannot be reached";
    OperatorReply = 4002, 502, "the daemon's reply was cut or malformed";
    FileUnreadable = 4003, 400, "a file cannot be read or written";
    WaitTimeout = 4004, 504, "the change is accepted but not yet in force everywhere";
}

impl Code {
    /// Stable number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// What a caller may conclude when it receives this code.
    ///
    /// Codes below 1200 are refusals: either no byte of the request was sent to a
    /// backend server, or the backend server itself refused the request.
    pub fn outcome(self) -> Outcome {
        match self {
            Code::Ok => Outcome::Ran,
            Code::DeadlinePassed
            | Code::BackendFailed
            | Code::PeerLost
            | Code::CallerAborted
            | Code::StoppedRunning
            | Code::TicketBad
            | Code::TicketRunning
            | Code::TicketHostGone
            | Code::TicketUsed
            | Code::ClaimTaken
            | Code::ClaimUnknown => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Whether the caller may succeed by waiting and sending the request again.
    pub fn waiting_helps(self) -> bool {
        matches!(self.http_status(), 429 | 503) && self != Code::TicketHostGone
            || self == Code::TicketRunning
    }
}
