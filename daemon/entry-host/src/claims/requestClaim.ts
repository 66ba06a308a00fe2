// The claim of one exchange, as the filters of the request path use it.
import type { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { StoredResponse } from '@siskinbeam/request-claims/claimRow'
import type { Account } from '../requestPath/account.js'

/** What a claim asks of the request path. */
export interface ClaimHandlers {
  /** The request may be sent, for the first time or again. */
  onSend: () => void
  onAnswer: (account: Account) => void
  onReplay: (answer: StoredResponse) => void
}

/** A claim in progress. */
export interface RequestClaim {
  /** Asked right before the first byte is written to a server. */
  maySend: () => boolean
  sendStarted: () => void
  /** The server provably did not start the request; `onSend` follows if it may be sent again. */
  notStarted: () => void
  answered: (status: number, headers: StoredResponse['headers'], body: Uint8Array | null) => void
  /** The request may have run. */
  sendFailed: (code: ResultCode) => void
  /** The request did not run and will not be sent. */
  giveUp: (code: ResultCode) => void
  guestLeft: () => void
}
