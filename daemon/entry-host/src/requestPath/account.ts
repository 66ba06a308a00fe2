// What a guest is told of a request that was refused or that failed.
import type { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'

/** What is said to the guest. */
export interface Account {
  code: ResultCode
  message: string
  /** Whether the request ran; the default is that of the code. */
  outcome?: Outcome
  retryAfterMilliseconds?: number
}
