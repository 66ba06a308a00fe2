// Discrete time in milliseconds, and a table service whose requests and replies get lost or late.
import { createRandom, pickIndex } from '@siskinbeam/random/createRandom'
import { createTable, TransactionOutcome, type Table } from '@siskinbeam/stand-in-platform/createTable'
import type { StoredRow } from '@siskinbeam/request-claims/claimRow'
import { TransactionResultKind, type PutOperation, type TransactionResult } from '../src/groupCommitMessages.js'

const epochMilliseconds = 1_700_000_000_000
const clientTimeoutMilliseconds = 300

/** Simulated time with its random numbers. */
export interface SimulatedTime {
  now: () => number
  after: (milliseconds: number, action: () => void) => void
  /** Runs all actions of the next millisecond. */
  advance: () => void
  chance: (share: number) => boolean
  between: (lowest: number, highest: number) => number
}

export function createSimulatedTime (seed: number): SimulatedTime {
  const random = createRandom(seed)
  const actions = new Map<number, Array<() => void>>()
  let time = 0
  return {
    now: () => time,
    after: (milliseconds, action) => {
      const at = time + Math.max(1, Math.ceil(milliseconds))
      const present = actions.get(at)
      if (present === undefined) actions.set(at, [action])
      else present.push(action)
    },
    advance: () => {
      time += 1
      const due = actions.get(time) ?? []
      actions.delete(time)
      due.forEach(action => action())
    },
    chance: share => random() < share,
    between: (lowest, highest) => lowest + pickIndex(random, highest - lowest + 1)
  }
}

/** The table service as one host sees it through a bad network. */
export interface SimulatedStore {
  table: Table
  tableTime: () => number
  /** Without faults every request is answered. */
  setFaults: (faulty: boolean) => void
  setOutage: (outage: boolean) => void
  transact: (operations: PutOperation[], reply: (result: TransactionResult) => void) => void
  read: (key: string, reply: (row: StoredRow | null | undefined) => void) => void
}

export function createSimulatedStore ({ after, chance, between, now }: SimulatedTime): SimulatedStore {
  const table = createTable({ maximumLoggedRows: 1 })
  const tableTime = (): number => epochMilliseconds + now()
  let faulty = true
  let outage = false
  const hit = (share: number): boolean => faulty && chance(share)

  const answerOnce = <Answer>(reply: (answer: Answer) => void, none: Answer): (answer: Answer) => void => {
    let answered = false
    const once = (answer: Answer): void => {
      if (answered) return
      answered = true
      reply(answer)
    }
    after(clientTimeoutMilliseconds, () => once(none))
    return once
  }
  const findRow = (key: string): StoredRow | null => {
    const [row] = table.read([key], tableTime())
    return row === undefined || row.version === null ? null : { value: row.value, version: row.version }
  }
  const apply = (operations: PutOperation[]): TransactionResult => {
    const answer = table.transact(operations, tableTime())
    return answer.outcome === TransactionOutcome.Committed
      ? { kind: TransactionResultKind.Committed, versions: new Map(operations.map(({ key }) => [key, answer.transaction])), tableTimeMilliseconds: tableTime() }
      : {
          kind: TransactionResultKind.ConditionFailed,
          rows: new Map(answer.outcome === TransactionOutcome.ConditionFailed ? answer.rows.map(({ key }) => [key, findRow(key)]) : []),
          tableTimeMilliseconds: tableTime()
        }
  }

  return {
    table,
    tableTime,
    setFaults: value => { faulty = value },
    setOutage: value => { outage = value },
    transact: (operations, reply) => {
      const once = answerOnce<TransactionResult>(reply, { kind: TransactionResultKind.Unanswered })
      if (outage || hit(0.02)) return
      if (hit(0.03)) return after(2, () => once({ kind: TransactionResultKind.RateLimited }))
      const replyLost = hit(0.05)
      // A delayed write takes effect up to 4 s later, long after the client gave up.
      after(hit(0.04) ? between(200, 4_000) : between(1, 4), () => {
        const result = apply(operations)
        if (!replyLost) after(between(1, 3), () => once(result))
      })
    },
    read: (key, reply) => {
      const once = answerOnce<StoredRow | null | undefined>(reply, undefined)
      if (!outage && !hit(0.04)) after(between(2, 6), () => once(findRow(key)))
    }
  }
}
