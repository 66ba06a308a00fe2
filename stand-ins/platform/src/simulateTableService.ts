// The table service in simulated time, as a client sees it through a bad network. It has the table of
// the stand-in process, without sockets, so that a simulation runs many calls in a short time.
import { createTable, type Table, type TableAnswer, type TableOperation, type TableRow } from './createTable.js'
import type { SimulatedTime } from './createSimulatedTime.js'

const epochMilliseconds = 1_700_000_000_000

/** Shares of calls that a fault hits; delays in milliseconds. */
export interface SimulatedFaults {
  lostRequestShare: number
  lostReplyShare: number
  rateLimitedShare: number
  /** Transactions that take effect after 200 ms to `delayedWriteMilliseconds`, when the client may have given up. */
  delayedWriteShare: number
  delayedWriteMilliseconds: number
}

/** What a client gets: the answer, a refusal for the rate, or nothing until its timeout. */
export type SimulatedReply =
  | { kind: 'answered', answer: TableAnswer, timeMilliseconds: number }
  | { kind: 'rate-limited' }
  | { kind: 'unanswered' }

/** The simulated table service. */
export interface SimulatedTableService {
  table: Table
  /** The service's epoch milliseconds. */
  time: () => number
  setFaults: (faults: SimulatedFaults | undefined) => void
  /** During an outage no request takes effect or is answered. */
  setOutage: (outage: boolean) => void
  transact: (operations: TableOperation[], reply: (reply: SimulatedReply) => void) => void
  /** Replies undefined without an answer. */
  read: (key: string, reply: (row: TableRow | undefined) => void) => void
}

const shortestDelayedWriteMilliseconds = 200
const callMilliseconds = 4
const replyMilliseconds = 3

/** Creates the service; a client gives up after `clientTimeoutMilliseconds`. */
export function simulateTableService ({ after, chance, between, now }: SimulatedTime, clientTimeoutMilliseconds: number): SimulatedTableService {
  const table = createTable({ maximumLoggedRows: 1 })
  const time = (): number => epochMilliseconds + now()
  let faults: SimulatedFaults | undefined
  let outage = false
  const hit = (name: Exclude<keyof SimulatedFaults, 'delayedWriteMilliseconds'>): boolean => faults !== undefined && chance(faults[name])

  const replyOnce = <Reply>(reply: (value: Reply) => void, none: Reply): (value: Reply) => void => {
    let replied = false
    const once = (value: Reply): void => {
      if (replied) return
      replied = true
      reply(value)
    }
    after(clientTimeoutMilliseconds, () => once(none))
    return once
  }

  return {
    table,
    time,
    setFaults: value => { faults = value },
    setOutage: value => { outage = value },
    transact: (operations, reply) => {
      const once = replyOnce<SimulatedReply>(reply, { kind: 'unanswered' })
      if (outage || hit('lostRequestShare')) return
      if (hit('rateLimitedShare')) return after(between(1, callMilliseconds), () => once({ kind: 'rate-limited' }))
      const replyLost = hit('lostReplyShare')
      const delay = hit('delayedWriteShare') ? between(shortestDelayedWriteMilliseconds, faults?.delayedWriteMilliseconds ?? 0) : between(1, callMilliseconds)
      after(delay, () => {
        const answer = table.transact(operations, time())
        const timeMilliseconds = time()
        if (!replyLost) after(between(1, replyMilliseconds), () => once({ kind: 'answered', answer, timeMilliseconds }))
      })
    },
    read: (key, reply) => {
      const once = replyOnce<TableRow | undefined>(reply, undefined)
      if (!outage && !hit('lostRequestShare') && !hit('lostReplyShare')) after(between(2, 2 * replyMilliseconds), () => once(table.read([key], time())[0]))
    }
  }
}
