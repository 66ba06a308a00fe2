// Simulates the table service behind an unreliable network, in virtual time. It uses the table of the
// stand-in process without sockets, so that a simulation can run many calls in a short time.
import { createTable, type Table, type TransactionResult, type TableOperation, type TableRow } from './createTable.js'
import type { VirtualTime } from './createVirtualTime.js'

const epochMilliseconds = 1_700_000_000_000

/** Probability of each fault for one call; delays in milliseconds. */
export interface SimulatedFaults {
  lostRequestShare: number
  lostReplyShare: number
  rateLimitedShare: number
  /** Transactions that take effect after 200 ms to `delayedWriteMilliseconds`, when the client may have timed out. */
  delayedWriteShare: number
  delayedWriteMilliseconds: number
}

/** The outcome for the client: a result, a rejection because the rate is exceeded, or a timeout without a reply. */
export type SimulatedReply =
  | { kind: 'answered', answer: TransactionResult, timeMilliseconds: number }
  | { kind: 'rate-limited' }
  | { kind: 'unanswered' }

/** The simulated table service. */
export interface SimulatedTableService {
  table: Table
  /** Epoch milliseconds of the service clock. */
  time: () => number
  setFaults: (faults: SimulatedFaults | undefined) => void
  /** During an outage, no request takes effect or gets a reply. */
  setOutage: (outage: boolean) => void
  transact: (operations: TableOperation[], reply: (reply: SimulatedReply) => void) => void
  /** The callback gets undefined if there is no reply before the timeout. */
  read: (key: string, reply: (row: TableRow | undefined) => void) => void
}

const minimumDelayedWriteMilliseconds = 200
const maximumRequestDelayMilliseconds = 4
const maximumReplyDelayMilliseconds = 3

/** Creates the service; calls of a client time out after `clientTimeoutMilliseconds`. */
export function simulateTableService ({ scheduleAfter, drawBoolean, drawInteger, now }: VirtualTime, clientTimeoutMilliseconds: number): SimulatedTableService {
  const table = createTable({ maximumLoggedRows: 1 })
  const time = (): number => epochMilliseconds + now()
  let faults: SimulatedFaults | undefined
  let outage = false
  const drawFault = (name: Exclude<keyof SimulatedFaults, 'delayedWriteMilliseconds'>): boolean => faults !== undefined && drawBoolean(faults[name])

  const replyOnce = <Reply>(reply: (value: Reply) => void, none: Reply): (value: Reply) => void => {
    let replied = false
    const once = (value: Reply): void => {
      if (replied) return
      replied = true
      reply(value)
    }
    scheduleAfter(clientTimeoutMilliseconds, () => once(none))
    return once
  }

  return {
    table,
    time,
    setFaults: value => { faults = value },
    setOutage: value => { outage = value },
    transact: (operations, reply) => {
      const once = replyOnce<SimulatedReply>(reply, { kind: 'unanswered' })
      if (outage || drawFault('lostRequestShare')) return
      if (drawFault('rateLimitedShare')) return scheduleAfter(drawInteger(1, maximumRequestDelayMilliseconds), () => once({ kind: 'rate-limited' }))
      const replyLost = drawFault('lostReplyShare')
      const delay = drawFault('delayedWriteShare') ? drawInteger(minimumDelayedWriteMilliseconds, faults?.delayedWriteMilliseconds ?? 0) : drawInteger(1, maximumRequestDelayMilliseconds)
      scheduleAfter(delay, () => {
        const answer = table.transact(operations, time())
        const timeMilliseconds = time()
        if (!replyLost) scheduleAfter(drawInteger(1, maximumReplyDelayMilliseconds), () => once({ kind: 'answered', answer, timeMilliseconds }))
      })
    },
    read: (key, reply) => {
      const once = replyOnce<TableRow | undefined>(reply, undefined)
      if (!outage && !drawFault('lostRequestShare') && !drawFault('lostReplyShare')) scheduleAfter(drawInteger(2, 2 * maximumReplyDelayMilliseconds), () => once(table.read([key], time())[0]))
    }
  }
}
