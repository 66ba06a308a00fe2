// Interface between the claim of one exchange and the filters of the request path.
import type { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { StoredResponse } from '@siskinbeam/request-claims/claimRow'
import type { ErrorResponse } from '../requestPath/errorResponse.js'

/** Callbacks of a claim to the request path. */
export interface ClaimHandlers {
  /** The request may be sent or resent. */
  onSend: () => void
  onError: (error: ErrorResponse) => void
  /** Another attempt with this key has completed; its stored response is to be sent to the guest. */
  onReplay: (response: StoredResponse) => void
}

/** A claim in progress. */
export interface RequestClaim {
  /** Must be checked immediately before the first byte is written to a server. */
  maySend: () => boolean
  sendStarted: () => void
  /** The server provably did not start the request. `onSend` is called if the request may be resent. */
  notStarted: () => void
  responded: (status: number, headers: StoredResponse['headers'], body: Uint8Array | null) => void
  /** The request may have run. */
  sendFailed: (code: ResultCode) => void
  /** The request did not run and will not be sent again. */
  giveUp: (code: ResultCode) => void
  guestDisconnected: () => void
}
