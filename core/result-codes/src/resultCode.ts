// Numbered result codes. Every refusal or failure that is reported to a guest or an operator has one. The codes
// are grouped by cause in hundreds, and a number is never reused.

/** Whether the request of a guest was executed, as far as known. */
export enum Outcome {
  Run = 'run',
  NotRun = 'not-run',
  Unknown = 'unknown'
}

/** The result codes. docs/result-codes.md lists them; a test compares it with the code. */
export enum ResultCode {
  MalformedRequest = 101,
  AmbiguousFraming = 102,
  HeaderInvalid = 103,
  HeadersTooLarge = 104,
  BodyTooLarge = 105,
  UnknownService = 106,
  UnknownRoute = 107,
  CallTreeTooDeep = 108,
  IdempotencyKeyRequired = 109,
  IdempotencyKeyReused = 110,
  UpgradeNotSupported = 111,
  PathNotRouted = 112,

  NoBundle = 201,
  HostLeaving = 202,
  Overloaded = 203,
  DeadlineTooShort = 204,
  DeadlineExceededBeforeSend = 205,
  NoServer = 206,
  ServersRefused = 207,
  CrashSuspect = 208,
  GuestCancelled = 209,
  ServersAtLimit = 210,
  ServersPaused = 211,
  GuestEnded = 212,
  ForwardingRefused = 213,

  StoreUnavailable = 301,
  ClaimInProgress = 302,
  ClaimAbandoned = 303,
  AnswerNotKept = 304,
  ClaimLost = 305,

  ServerFailedAfterSend = 401,
  ServerTimedOut = 402,
  AnswerTruncated = 403,
  AnswerMalformed = 404,
  ServerLimitInvalid = 405,
  ServerEntryInvalid = 406,
  ServerNoticeInvalid = 407,

  BundleInvalid = 501,
  BundleVersionStale = 502,
  BundleSignatureInvalid = 503,
  BundleNotApproved = 504,
  BundleDigestMismatch = 505,
  BundleKeyUnknown = 506,
  BundleHeadMoved = 507,
  BundleNotFound = 508,

  SettingInvalid = 601,
  SettingMissing = 602,
  KeyInvalid = 603,
  NotAuthorized = 604,
  HostUnreachable = 605,
  RequestNotLogged = 606,
  AddressUnavailable = 607,
  PeerReportInvalid = 608,
  ForwardedRequestInvalid = 609,

  TableUnavailable = 701,
  TableRateLimited = 702,
  TableConditionFailed = 703,
  ObjectStoreUnavailable = 704,
  ObjectNotFound = 705,
  HostListUnavailable = 706
}
