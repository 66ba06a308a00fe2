// Checks the history of a run: compares the results that guests received with the executions that servers logged
// and the claims that the table service committed.
import { decodeClaimRow } from '@siskinbeam/request-claims/claimRow'
import { checkHistory } from '@siskinbeam/history-checker/checkHistory'
import { FindingKind, InvocationEnd, type CommittedClaim, type Finding, type Invocation, type Run } from '@siskinbeam/history-checker/historyTypes'
import type { RunRecord as ServerRun } from '@siskinbeam/stand-in-server/startServer'
import { sendJsonRequest } from './cluster/sendJsonRequest.js'
import { SendResult, type GuestRequest, type GuestSend } from './load/guestRequest.js'

export interface CheckRunHistoryOptions {
  requests: GuestRequest[]
  runs: ServerRun[]
  claims: CommittedClaim[]
  /** Guest addresses of the entry hosts that the run stopped or suspended. */
  disturbedAddresses: ReadonlySet<string>
}

/** Violations found in the history of a run, and their number by kind. */
export interface RunHistory {
  findings: Finding[]
  counts: Record<FindingKind, number>
}

const claimPrefix = /^claim\/[^/]+\//

/** Checks the history of a run for violations of its guarantees. */
export function checkRunHistory ({ requests, runs, claims, disturbedAddresses }: CheckRunHistoryOptions): RunHistory {
  const findings = checkHistory({
    invocations: requests.flatMap(request => request.sends.map(send => makeInvocation(request, send, disturbedAddresses))),
    runs: mergeRunRecords(runs),
    transactions: claims
  })
  const counts = Object.fromEntries(Object.values(FindingKind).map(kind => [kind, findings.filter(finding => finding.kind === kind).length])) as Record<FindingKind, number>
  return { findings, counts }
}

const invocationEnds: Record<SendResult, InvocationEnd> = {
  [SendResult.Answered]: InvocationEnd.Answered,
  [SendResult.ErrorResponse]: InvocationEnd.Answered,
  [SendResult.Truncated]: InvocationEnd.Truncated,
  [SendResult.ConnectionLost]: InvocationEnd.ConnectionLost
}

function makeInvocation ({ key, path, kind }: GuestRequest, send: GuestSend, disturbedAddresses: ReadonlySet<string>): Invocation {
  const end = send.result === SendResult.ConnectionLost && disturbedAddresses.has(send.address) ? InvocationEnd.HostKilled : invocationEnds[send.result]
  // The path of each request is unique, so a response with another path belongs to another request, whatever its key.
  const bodyIdentity = key === undefined ? send.responseRequestId : send.responseKey
  const answerIdentity = send.responsePath === path ? bodyIdentity : `answer to ${send.responsePath}`
  return {
    key: key ?? null,
    requestId: send.requestId,
    attempt: send.attempt,
    idempotent: kind.idempotent,
    invokedAt: send.sentAt,
    answeredAt: send.endedAt,
    end,
    code: send.code ?? null,
    outcome: send.outcome ?? null,
    answerIdentity: send.result === SendResult.Answered ? answerIdentity ?? 'none' : null
  }
}

// A server logs each execution twice, at its start and at its end.
function mergeRunRecords (records: ServerRun[]): Run[] {
  const finishedAt = new Map(records.filter(({ finished }) => finished !== null).map(record => [`${record.boot}/${record.requestId}`, record.finished]))
  return records.filter(({ finished }) => finished === null).map(({ key, requestId, server, boot, started }) =>
    ({ key, requestId, server, boot, startedAt: started, finishedAt: finishedAt.get(`${boot}/${requestId}`) ?? null }))
}

interface TableLogEntry {
  transaction: number
  timeMilliseconds: number
  rows: Array<{ key: string, value: unknown }>
}

/** Fetches the claims that the table service committed; empty if it can't be reached. */
export async function fetchCommittedClaims (tableControl: string): Promise<CommittedClaim[]> {
  const log = await sendJsonRequest(tableControl, 'GET', '/log?after=0') as { entries?: TableLogEntry[] } | TableLogEntry[] | undefined
  const entries = Array.isArray(log) ? log : log?.entries ?? []
  return entries.flatMap(({ timeMilliseconds, rows }) => rows.filter(({ key }) => claimPrefix.test(key)).flatMap(({ key, value }) => {
    const row = decodeClaimRow(value)
    return row === undefined ? [] : [{ key: key.replace(claimPrefix, ''), state: row.state, attemptId: row.attempt, committedAt: timeMilliseconds }]
  }))
}
