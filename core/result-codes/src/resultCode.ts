// Numbered result codes. Every refusal or failure that siskinbeam reports to a guest or an
// operator carries one of them. The hundreds group them by cause, and a number is never reused.

/** What is known about the execution of a guest's request. */
export enum Outcome {
  Run = 'run',
  NotRun = 'not-run',
  Unknown = 'unknown'
}

/** Numbered result codes. docs/result-codes.md lists them, and a test compares the two. */
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

  StoreUnavailable = 301,
  ClaimInProgress = 302,
  ClaimAbandoned = 303,
  AnswerNotKept = 304,
  ClaimLost = 305,

  ServerFailedAfterSend = 401,
  ServerTimedOut = 402,
  AnswerTruncated = 403,
  AnswerMalformed = 404,

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

  TableUnavailable = 701,
  TableRateLimited = 702,
  TableConditionFailed = 703,
  ObjectStoreUnavailable = 704,
  ObjectNotFound = 705,
  HostListUnavailable = 706
}
