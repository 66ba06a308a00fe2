// Records of the load driver: one for each request of a guest, containing one for each send.
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import type { RequestKind } from '../workload.js'

/** Result of one send of a guest. */
export enum SendResult {
  /** A server's response arrived complete. */
  Answered = 'answered',
  /** The entry host sent an error response with the header `siskinbeam-account`. */
  ErrorResponse = 'account',
  /** The connection was lost within a response. */
  Truncated = 'truncated',
  /** The connection was lost, or timed out, before a response. */
  ConnectionLost = 'broken'
}

/** One send of a request. Times are epoch milliseconds with fractions. */
export interface GuestSend {
  requestId: string
  attempt: number
  address: string
  sentAt: number
  endedAt: number
  result: SendResult
  /** Code and outcome from the header `siskinbeam-account`. */
  code?: number
  outcome?: Outcome
  /** Request ID, key and path that the body of the server's response names. */
  responseRequestId?: string
  responseKey?: string | null
  responsePath?: string
  /** Service time in milliseconds from the header `server-timing`. */
  serverMilliseconds?: number
  /** Whether the response was stored and sent again for its key, by the header `siskinbeam-replayed`. */
  replayed?: boolean
}

/** One request of a guest with all its sends. Times are epoch milliseconds with fractions. */
export interface GuestRequest {
  kind: RequestKind
  key: string | undefined
  path: string
  /** Scheduled start, from which the latency counts. */
  intendedAt: number
  sends: GuestSend[]
  /** Set once the guest has a final response or stops retrying. */
  endedAt?: number
}

/** Result of a request as its guest knows it after the last send. */
export enum RequestResult {
  Answered = 'answered',
  RefusedNotRun = 'refused-not-run',
  /** The guest can't know whether the request ran. */
  Unknown = 'unknown',
  /** The guest received neither a server's response nor an error response. */
  LostWithoutAccount = 'lost-without-account'
}

const resultByOutcome: Record<Outcome, RequestResult> = {
  // Result code 304, AnswerNotKept (HTTP status 410): the request ran, but its response was too large to store.
  [Outcome.Run]: RequestResult.Answered,
  [Outcome.NotRun]: RequestResult.RefusedNotRun,
  [Outcome.Unknown]: RequestResult.Unknown
}

/** Classifies a request: answered if any send was, else by its last error response. */
export function classifyRequest ({ sends, kind, key }: GuestRequest): RequestResult {
  if (sends.some(({ result }) => result === SendResult.Answered)) return RequestResult.Answered
  const last = sends.filter(({ result }) => result === SendResult.ErrorResponse).at(-1)
  if (last === undefined) return RequestResult.LostWithoutAccount
  // Without an idempotency key, the error response to a later send says nothing about an earlier send that failed.
  if (!kind.idempotent && key === undefined && sends.some(({ result }) => isWithoutCompleteResponse(result))) return RequestResult.Unknown
  return resultByOutcome[last.outcome ?? Outcome.Unknown]
}

/** Whether a send ended without a complete response, either from a server or from an entry host. */
export function isWithoutCompleteResponse (result: SendResult): boolean {
  return result === SendResult.ConnectionLost || result === SendResult.Truncated
}
