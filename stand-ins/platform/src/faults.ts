// Faults that are injected into the table service and the object store, configured over the control address.
import { z } from 'zod'
import type { Random } from '@siskinbeam/random/createRandom'

const probability = z.number().min(0).max(1)
const milliseconds = z.number().min(0).max(600_000)

export const faultsSchema = z.strictObject({
  /** Every connection is closed without a response, and no request takes effect. */
  outage: z.boolean(),
  /** Delay of each request: half before it takes effect, half before its response. */
  slowMilliseconds: milliseconds,
  /** Probability that a request takes effect and gets no response. */
  lostReplyShare: probability,
  /** Probability that a write gets no response and takes effect after `delayedWriteMilliseconds`. */
  delayedWriteShare: probability,
  delayedWriteMilliseconds: milliseconds
})

export type Faults = z.output<typeof faultsSchema>

export const noFaults: Faults = { outage: false, slowMilliseconds: 0, lostReplyShare: 0, delayedWriteShare: 0, delayedWriteMilliseconds: 2_000 }

/** Effects of the faults on one request. Delays are in milliseconds. */
export interface FaultEffects {
  refused: boolean
  delayBeforeEffect: number
  delayBeforeReply: number
  replyLost: boolean
}

/** Draws the effects of the current faults on one request. */
export function drawFaultEffects (faults: Faults, isWrite: boolean, random: Random): FaultEffects {
  const delayed = isWrite && random() < faults.delayedWriteShare
  return {
    refused: faults.outage,
    delayBeforeEffect: faults.slowMilliseconds / 2 + (delayed ? faults.delayedWriteMilliseconds : 0),
    delayBeforeReply: faults.slowMilliseconds / 2,
    replyLost: delayed || random() < faults.lostReplyShare
  }
}
