// What the servers and guests of the simulation saw, and the invariants over it.
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { ClaimRowState, decodeClaimRow, type StoredAnswer } from '@siskinbeam/request-claims/claimRow'
import type { Table } from '@siskinbeam/stand-in-platform/createTable'

/** One copy of a guest's request. `number` is the order in which the guest sent it, from 1. */
export interface Copy {
  key: string
  number: number
  /** What the guest declared in `siskinbeam-attempt`. */
  declared?: number
  fingerprint: string
}

interface KeyRecord {
  /** The send that may have run the request; absent if every send was provably not started. */
  openSend?: Copy
  ran?: Copy
  body?: string
  /** A host that did not crash since got the whole response. */
  acknowledged: boolean
  deniedCopies: Copy[]
}

export type RequestRecord = ReturnType<typeof createRequestRecord>

export function createRequestRecord () {
  const records = new Map<string, KeyRecord>()
  const violations: string[] = []
  const counts: Record<string, number> = {}
  const find = (key: string): KeyRecord => {
    if (!records.has(key)) records.set(key, { acknowledged: false, deniedCopies: [] })
    return records.get(key) as KeyRecord
  }
  const require = (holds: boolean, message: string): void => { if (!holds) violations.push(message) }
  const count = (name: string): void => { counts[name] = (counts[name] ?? 0) + 1 }
  // A copy that was told `not-run` speaks for itself and for the copies that the guest sent before it;
  // a copy without a number speaks for all.
  const contradicts = (denied: Copy, ran: Copy): boolean => denied.fingerprint === ran.fingerprint &&
    (denied.declared === undefined || ran.number <= denied.number)

  return {
    violations,
    counts,
    count,
    noteSend: (copy: Copy): void => {
      const record = find(copy.key)
      require(record.openSend === undefined, `${copy.key} sent by copy ${copy.number} after copy ${record.openSend?.number}`)
      record.openSend = copy
      count('sent')
    },
    noteNotStarted: ({ key }: Copy): void => {
      delete find(key).openSend
      count('not started')
    },
    noteRun: (copy: Copy, body: string): void => {
      const record = find(copy.key)
      require(record.ran === undefined, `${copy.key} ran twice`)
      record.deniedCopies.forEach(denied => require(!contradicts(denied, copy), `${copy.key} ran by copy ${copy.number} after copy ${denied.number} was told not-run`))
      record.ran = copy
      record.body = body
      count('run')
    },
    noteAcknowledged: ({ key }: Copy): void => { find(key).acknowledged = true },
    noteAnswer: (copy: Copy, code: ResultCode, outcome: Outcome): void => {
      const record = find(copy.key)
      count(`${ResultCode[code]} ${outcome}`)
      if (outcome === Outcome.Run) require(record.ran?.fingerprint === copy.fingerprint, `${copy.key} told run without a run`)
      if (outcome !== Outcome.NotRun) return
      require(record.ran === undefined || !contradicts(copy, record.ran), `${copy.key} copy ${copy.number} told not-run after its run`)
      record.deniedCopies.push(copy)
    },
    noteReplay: ({ key, fingerprint }: Copy, { body }: StoredAnswer): void => {
      const { ran, body: expected } = find(key)
      require(ran?.fingerprint === fingerprint && body === Buffer.from(expected ?? '').toString('base64'), `${key} replayed another answer`)
      count('replayed')
    },
    // At rest each acknowledged response is stored, and only crashed boots left a claim open.
    checkRows: (table: Table, tableTime: number, isCrashed: (attempt: string) => boolean): void => [...records].forEach(([key, { acknowledged }]) => {
      const [stored] = table.read([`claim/desk/${key}`], tableTime)
      const row = decodeClaimRow(stored?.value)
      require(!acknowledged || row?.state === ClaimRowState.Settled, `${key} ran with an answer that is not stored`)
      require(row?.state !== ClaimRowState.Claimed || isCrashed(row.attempt), `${key} is still claimed by ${row?.attempt}`)
      if (acknowledged) count('settled')
    })
  }
}
