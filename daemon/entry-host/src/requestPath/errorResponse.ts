// The content of an error response to a guest.
import type { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'

/** The error that is reported to a guest whose request was refused or failed. */
export interface ErrorResponse {
  code: ResultCode
  message: string
  /** Whether the request ran; defaults to the outcome of the result code. */
  outcome?: Outcome
  retryAfterMilliseconds?: number
}
