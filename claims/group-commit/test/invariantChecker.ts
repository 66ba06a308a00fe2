// Records what the servers and guests of the simulation observed, and checks the invariants over it.
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { ClaimRowState, decodeClaimRow, type StoredResponse } from '@siskinbeam/request-claims/claimRow'
import type { Table } from '@siskinbeam/stand-in-platform/createTable'

/** One copy of a guest's request. `number` is its position in the order in which the guest sent the copies, from 1. */
export interface RequestCopy {
  key: string
  number: number
  /** Value of the header `siskinbeam-attempt`, if the guest sent it. */
  declared?: number
  fingerprint: string
}

interface KeyRecord {
  /** The send that may have run the request; absent if every send is known not to have been started by a server. */
  openSend?: RequestCopy
  ran?: RequestCopy
  body?: string
  /** A host received the complete response and has not crashed since. */
  acknowledged: boolean
  deniedCopies: RequestCopy[]
}

export type InvariantChecker = ReturnType<typeof createInvariantChecker>

export function createInvariantChecker () {
  const records = new Map<string, KeyRecord>()
  const violations: string[] = []
  const counts: Record<string, number> = {}
  const find = (key: string): KeyRecord => {
    if (!records.has(key)) records.set(key, { acknowledged: false, deniedCopies: [] })
    return records.get(key) as KeyRecord
  }
  const check = (holds: boolean, message: string): void => { if (!holds) violations.push(message) }
  const count = (name: string): void => { counts[name] = (counts[name] ?? 0) + 1 }
  // The outcome `not-run` covers the copy that received it and the copies that the guest sent before it;
  // for a copy without a number it covers all copies.
  const contradicts = (denied: RequestCopy, ran: RequestCopy): boolean => denied.fingerprint === ran.fingerprint &&
    (denied.declared === undefined || ran.number <= denied.number)

  return {
    violations,
    counts,
    count,
    recordSend: (copy: RequestCopy): void => {
      const record = find(copy.key)
      check(record.openSend === undefined, `${copy.key} sent by copy ${copy.number} after copy ${record.openSend?.number}`)
      record.openSend = copy
      count('sent')
    },
    recordNotStarted: ({ key }: RequestCopy): void => {
      delete find(key).openSend
      count('not started')
    },
    recordRun: (copy: RequestCopy, body: string): void => {
      const record = find(copy.key)
      check(record.ran === undefined, `${copy.key} ran twice`)
      record.deniedCopies.forEach(denied => check(!contradicts(denied, copy), `${copy.key} ran by copy ${copy.number} after copy ${denied.number} received not-run`))
      record.ran = copy
      record.body = body
      count('run')
    },
    recordAcknowledged: ({ key }: RequestCopy): void => { find(key).acknowledged = true },
    recordResponse: (copy: RequestCopy, code: ResultCode, outcome: Outcome): void => {
      const record = find(copy.key)
      count(`${ResultCode[code]} ${outcome}`)
      if (outcome === Outcome.Run) check(record.ran?.fingerprint === copy.fingerprint, `${copy.key} received run without a run`)
      if (outcome !== Outcome.NotRun) return
      check(record.ran === undefined || !contradicts(copy, record.ran), `${copy.key} copy ${copy.number} received not-run after its run`)
      record.deniedCopies.push(copy)
    },
    recordReplay: ({ key, fingerprint }: RequestCopy, { body }: StoredResponse): void => {
      const { ran, body: expected } = find(key)
      check(ran?.fingerprint === fingerprint && body === Buffer.from(expected ?? '').toString('base64'), `${key} replayed another response`)
      count('replayed')
    },
    // When the simulation is idle, each acknowledged response is stored, and only crashed boots left a claim open.
    checkRows: (table: Table, tableTime: number, isCrashed: (attempt: string) => boolean): void => [...records].forEach(([key, { acknowledged }]) => {
      const [stored] = table.read([`claim/desk/${key}`], tableTime)
      const row = decodeClaimRow(stored?.value)
      check(!acknowledged || row?.state === ClaimRowState.Settled, `${key} ran, but its response is not stored`)
      check(row?.state !== ClaimRowState.Claimed || isCrashed(row.attempt), `${key} is still claimed by ${row?.attempt}`)
      if (acknowledged) count('settled')
    })
  }
}
