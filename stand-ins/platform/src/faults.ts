// Injected faults of the table service and the object store, set over the control address.
import { z } from 'zod'
import type { Random } from '@siskinbeam/random/createRandom'

const share = z.number().min(0).max(1)
const milliseconds = z.number().min(0).max(600_000)

export const faultsSchema = z.strictObject({
  /** Every connection is closed without an answer, and nothing takes effect. */
  outage: z.boolean(),
  /** Added to each request: half before it takes effect, half before its answer. */
  slowMilliseconds: milliseconds,
  /** Share of requests that take effect and get no answer. */
  lostReplyShare: share,
  /** Share of writes that get no answer and take effect after `delayedWriteMilliseconds`. */
  delayedWriteShare: share,
  delayedWriteMilliseconds: milliseconds
})

export type Faults = z.output<typeof faultsSchema>

export const noFaults: Faults = { outage: false, slowMilliseconds: 0, lostReplyShare: 0, delayedWriteShare: 0, delayedWriteMilliseconds: 2_000 }

/** What happens to one request. Delays are in milliseconds. */
export interface RequestFate {
  refused: boolean
  delayBeforeEffect: number
  delayBeforeReply: number
  replyLost: boolean
}

/** Draws what happens to one request under the faults in force. */
export function drawFate (faults: Faults, isWrite: boolean, random: Random): RequestFate {
  const delayed = isWrite && random() < faults.delayedWriteShare
  return {
    refused: faults.outage,
    delayBeforeEffect: faults.slowMilliseconds / 2 + (delayed ? faults.delayedWriteMilliseconds : 0),
    delayBeforeReply: faults.slowMilliseconds / 2,
    replyLost: delayed || random() < faults.lostReplyShare
  }
}
