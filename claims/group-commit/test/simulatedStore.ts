// Discrete time in milliseconds, and a table service whose requests and replies get lost or late.
import { createRandom, pickIndex } from '@siskinbeam/random/createRandom'
import { createTable, TransactionOutcome } from '@siskinbeam/stand-in-platform/createTable'
import type { StoredRow } from '@siskinbeam/request-claims/claimRow'
import { TransactionResultKind, type PutOperation, type TransactionResult } from '../src/groupCommitMessages.js'

const epochMilliseconds = 1_700_000_000_000
const clientTimeoutMilliseconds = 300

export type SimulatedTime = ReturnType<typeof createSimulatedTime>

/** Simulated time with its random numbers. */
export function createSimulatedTime (seed: number) {
  const random = createRandom(seed)
  const actions = new Map<number, Array<() => void>>()
  let time = 0
  return {
    now: (): number => time,
    after: (milliseconds: number, action: () => void): void => {
      const at = time + Math.max(1, Math.ceil(milliseconds))
      actions.set(at, [...actions.get(at) ?? [], action])
    },
    advance: (): void => {
      time += 1
      const due = actions.get(time) ?? []
      actions.delete(time)
      due.forEach(action => action())
    },
    chance: (share: number): boolean => random() < share,
    between: (lowest: number, highest: number): number => lowest + pickIndex(random, highest - lowest + 1)
  }
}

/** The table service as one host sees it through a bad network. Without faults every request is answered. */
export function createSimulatedStore ({ after, chance, between, now }: SimulatedTime) {
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
    setFaults: (value: boolean): void => { faulty = value },
    setOutage: (value: boolean): void => { outage = value },
    transact: (operations: PutOperation[], reply: (result: TransactionResult) => void): void => {
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
    read: (key: string, reply: (row: StoredRow | null | undefined) => void): void => {
      const once = answerOnce<StoredRow | null | undefined>(reply, undefined)
      if (!outage && !hit(0.04)) after(between(2, 6), () => once(findRow(key)))
    }
  }
}
