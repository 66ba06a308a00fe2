// Descriptions of the result codes, the source of docs/result-codes.md: for each code the HTTP status sent to a
// guest, the outcome if no other information is available, and the recommended action.
import { Outcome, ResultCode } from './resultCode.js'

/** The description of a result code. `status` is the HTTP status, absent for codes that are never sent to guests. */
export interface ResultCodeDescription {
  status?: number
  outcome?: Outcome
  meaning: string
  action: string
}

const descriptions: Record<ResultCode, ResultCodeDescription> = {
  [ResultCode.MalformedRequest]: { status: 400, outcome: Outcome.NotRun, meaning: 'The request is not valid HTTP/1.1.', action: 'Correct the request.' },
  [ResultCode.AmbiguousFraming]: { status: 400, outcome: Outcome.NotRun, meaning: 'The length of the body is stated twice or in two ways.', action: 'Send either content-length or transfer-encoding, once.' },
  [ResultCode.HeaderInvalid]: { status: 400, outcome: Outcome.NotRun, meaning: 'A header that siskinbeam reads has a value out of range.', action: 'Correct the header named in the message.' },
  [ResultCode.HeadersTooLarge]: { status: 431, outcome: Outcome.NotRun, meaning: 'The headers exceed the limit.', action: 'Send smaller headers.' },
  [ResultCode.BodyTooLarge]: { status: 413, outcome: Outcome.NotRun, meaning: 'The body exceeds the limit of the service.', action: 'Send a smaller body, or raise maximumBodyBytes in the bundle.' },
  [ResultCode.UnknownService]: { status: 404, outcome: Outcome.NotRun, meaning: 'No service of the bundle matches the path.', action: 'Correct the path, or add the service to the bundle.' },
  [ResultCode.UnknownRoute]: { status: 405, outcome: Outcome.NotRun, meaning: 'The service has no route for this method and path.', action: 'Correct the method, or add the route to the bundle.' },
  [ResultCode.CallTreeTooDeep]: { status: 508, outcome: Outcome.NotRun, meaning: 'The call tree is deeper than 22 calls.', action: 'Look for a loop of calls between services.' },
  [ResultCode.IdempotencyKeyRequired]: { status: 428, outcome: Outcome.NotRun, meaning: 'The route demands an idempotency-key header.', action: 'Send the header with a value that is unique to the request.' },
  [ResultCode.IdempotencyKeyReused]: { status: 422, outcome: Outcome.NotRun, meaning: 'The key was used with another method, path or body.', action: 'Use a new key for a new request.' },
  [ResultCode.UpgradeNotSupported]: { status: 501, outcome: Outcome.NotRun, meaning: 'Upgrade and CONNECT are not supported.', action: 'Send a plain request.' },
  [ResultCode.PathNotRouted]: { status: 404, outcome: Outcome.NotRun, meaning: 'No route of the configuration begins this path on this host name.', action: 'Correct the path or the host name, or add a route to the configuration.' },
  [ResultCode.NoBundle]: { status: 503, outcome: Outcome.NotRun, meaning: 'This entry host has no bundle in force yet.', action: 'Use another address; operators check the table service and the peers.' },
  [ResultCode.HostLeaving]: { status: 503, outcome: Outcome.NotRun, meaning: 'This entry host is shutting down.', action: 'Use one of the addresses in the answer.' },
  [ResultCode.Overloaded]: { status: 503, outcome: Outcome.NotRun, meaning: 'The service has no capacity for this class in time.', action: 'Repeat after the time given; operators add servers.' },
  [ResultCode.DeadlineTooShort]: { status: 504, outcome: Outcome.NotRun, meaning: 'The deadline is shorter than the expected wait.', action: 'Repeat with a longer deadline.' },
  [ResultCode.DeadlineExceededBeforeSend]: { status: 504, outcome: Outcome.NotRun, meaning: 'The deadline passed before the request was sent to a server.', action: 'Repeat with a longer deadline.' },
  [ResultCode.NoServer]: { status: 503, outcome: Outcome.NotRun, meaning: 'No server of the service takes new work.', action: 'Repeat after the time given; operators check the servers.' },
  [ResultCode.ServersRefused]: { status: 503, outcome: Outcome.NotRun, meaning: 'Each server that was tried refused before it started the request.', action: 'Repeat after the time given.' },
  [ResultCode.CrashSuspect]: { status: 503, outcome: Outcome.NotRun, meaning: 'This request crashed servers and is refused for a while.', action: 'Do not repeat it; operators look at the request in the dump.' },
  [ResultCode.GuestCancelled]: { status: 499, outcome: Outcome.Unknown, meaning: 'The guest closed its connection before the answer.', action: 'Ask again with the same idempotency key.' },
  [ResultCode.ServersAtLimit]: { status: 503, outcome: Outcome.NotRun, meaning: 'The servers of the service are at the limits that they have named.', action: 'Repeat after the time given; operators look for the cause of the limits, or add servers.' },
  [ResultCode.ServersPaused]: { status: 503, outcome: Outcome.NotRun, meaning: 'The servers of the service want no requests from this host for a while.', action: 'Repeat after the time given; operators look for the cause at the servers.' },
  [ResultCode.GuestEnded]: { status: 503, outcome: Outcome.NotRun, meaning: 'The guest ended its sending side before the request was sent to a server.', action: 'Repeat it, and end the sending side after the answer.' },
  [ResultCode.ForwardingRefused]: { status: 503, outcome: Outcome.NotRun, meaning: 'This entry host does not send the request of another one to a server now.', action: 'Repeat after the time given.' },
  [ResultCode.StoreUnavailable]: { status: 503, outcome: Outcome.NotRun, meaning: 'The table service did not answer, so the request could not be claimed.', action: 'Repeat with the same key after the time given.' },
  [ResultCode.ClaimInProgress]: { status: 409, outcome: Outcome.Unknown, meaning: 'Another attempt with this key is still in progress.', action: 'Ask again with the same key after the time given.' },
  [ResultCode.ClaimAbandoned]: { status: 502, outcome: Outcome.Unknown, meaning: 'An earlier attempt with this key ended without a known outcome.', action: 'Ask the service whether the request took effect; use a new key only if it did not.' },
  [ResultCode.AnswerNotKept]: { status: 410, outcome: Outcome.Run, meaning: 'The request ran, but its answer was too large to keep.', action: 'Look the result up at the service.' },
  [ResultCode.ClaimLost]: { status: 503, outcome: Outcome.Unknown, meaning: 'This attempt lost its claim before it sent the request.', action: 'Ask again with the same key.' },
  [ResultCode.ServerFailedAfterSend]: { status: 502, outcome: Outcome.Unknown, meaning: 'The connection to the server broke after the request was sent.', action: 'With a key, ask again; without one, ask the service whether it took effect.' },
  [ResultCode.ServerTimedOut]: { status: 504, outcome: Outcome.Unknown, meaning: 'The server did not answer within the deadline.', action: 'With a key, ask again; without one, ask the service whether it took effect.' },
  [ResultCode.AnswerTruncated]: { status: 502, outcome: Outcome.Unknown, meaning: 'The answer of the server ended early.', action: 'With a key, ask again.' },
  [ResultCode.AnswerMalformed]: { status: 502, outcome: Outcome.Unknown, meaning: 'The server sent something that is not an HTTP answer.', action: 'Operators check the server.' },
  [ResultCode.ServerLimitInvalid]: { meaning: 'A server named a limit that is not a number of requests per second; it is ignored.', action: 'Operators check the server.' },
  [ResultCode.ServerEntryInvalid]: { meaning: 'An entry of a server in the store has an invalid field; it registers no server.', action: 'Operators look for the program that wrote the entry.' },
  [ResultCode.ServerNoticeInvalid]: { meaning: 'A server named a pause, or that it leaves, in a form without a meaning; it is ignored.', action: 'Operators check the server.' },
  [ResultCode.BundleInvalid]: { meaning: 'The bundle does not match the schema.', action: 'Correct the key named in the message.' },
  [ResultCode.BundleVersionStale]: { meaning: 'The version is not greater than the one in force.', action: 'Take the version in force plus one.' },
  [ResultCode.BundleSignatureInvalid]: { meaning: 'A signature does not match the bundle.', action: 'Sign the present body again.' },
  [ResultCode.BundleNotApproved]: { meaning: 'The approver is missing or is the author.', action: 'Have another person approve the bundle.' },
  [ResultCode.BundleDigestMismatch]: { meaning: 'The body does not have the digest that was signed.', action: 'Submit the body that was signed.' },
  [ResultCode.BundleKeyUnknown]: { meaning: 'A signer is not among the trusted keys.', action: 'Use a trusted key, or add the key to the settings.' },
  [ResultCode.BundleHeadMoved]: { meaning: 'Another operator rolled out a bundle first.', action: 'Base the change on the version named in the message.' },
  [ResultCode.BundleNotFound]: { meaning: 'No bundle with this version or digest is stored.', action: 'Submit the bundle before its rollout.' },
  [ResultCode.SettingInvalid]: { meaning: 'A flag or environment variable has a wrong value.', action: 'Correct the setting named in the message.' },
  [ResultCode.SettingMissing]: { meaning: 'A required flag or environment variable is absent.', action: 'Give the setting named in the message.' },
  [ResultCode.KeyInvalid]: { meaning: 'A key is not a valid Ed25519 key.', action: 'Make a key pair with siskinbeamctl key create.' },
  [ResultCode.NotAuthorized]: { status: 401, meaning: 'The call on the peer address has no valid key.', action: 'Give the peer key or the operator key.' },
  [ResultCode.HostUnreachable]: { meaning: 'A host did not answer.', action: 'Check the host and its peer address.' },
  [ResultCode.RequestNotLogged]: { meaning: 'No log line in the files given names the request.', action: 'Give the log files of all hosts that were up at that time.' },
  [ResultCode.AddressUnavailable]: { meaning: 'An address that a host has to listen on could not be bound for longer than a predecessor may keep it; the host ends.', action: 'Look for the program that holds the address, or correct the setting named in the message.' },
  [ResultCode.PeerReportInvalid]: { meaning: 'Another host reported a limit, a departure or a leaving server with a value that cannot be; the report is ignored.', action: 'Operators check which program runs at that host, and look for another deployment at its address.' },
  [ResultCode.ForwardedRequestInvalid]: { status: 400, outcome: Outcome.NotRun, meaning: 'A request that another entry host forwarded has invalid details; it is refused.', action: 'Operators look for the program that sent it.' },
  [ResultCode.TableUnavailable]: { meaning: 'The table service did not answer; a write may have taken effect.', action: 'Wait for the platform.' },
  [ResultCode.TableRateLimited]: { meaning: 'The table service refused for its rate limit; nothing was written.', action: 'Lower the rate, or raise the limit with the platform.' },
  [ResultCode.TableConditionFailed]: { meaning: 'A condition of a transaction failed; nothing was written.', action: 'Read the row and decide again.' },
  [ResultCode.ObjectStoreUnavailable]: { meaning: 'The object store did not answer.', action: 'Wait for the platform.' },
  [ResultCode.ObjectNotFound]: { meaning: 'The object store has no such object.', action: 'Submit the bundle again.' },
  [ResultCode.HostListUnavailable]: { meaning: 'The host list did not answer.', action: 'Wait for the platform.' }
}

/** Returns the description of a result code. */
export function describeResultCode (code: ResultCode): ResultCodeDescription {
  return descriptions[code]
}

/** Lists all result codes in ascending order. */
export function listResultCodes (): ResultCode[] {
  return Object.values(ResultCode).filter((code): code is ResultCode => typeof code === 'number').sort((first, second) => first - second)
}
