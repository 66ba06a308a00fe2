// Compares what guests saw with what servers ran and what the table service committed.
import { decodeClaimRow } from '@siskinbeam/request-claims/claimRow'
import { checkHistory } from '@siskinbeam/history-checker/checkHistory'
import { FindingKind, InvocationEnd, type CommittedClaim, type Finding, type Invocation, type Run } from '@siskinbeam/history-checker/historyTypes'
import type { RunRecord as ServerRun } from '@siskinbeam/stand-in-server/serveServer'
import { callControl } from './cluster/callControl.js'
import { SendEnd, type GuestRequest, type GuestSend } from './load/invocation.js'

export interface CheckRunHistoryOptions {
  requests: GuestRequest[]
  runs: ServerRun[]
  claims: CommittedClaim[]
  /** Guests' addresses of entry hosts that the run stopped or froze. */
  disturbedAddresses: ReadonlySet<string>
}

/** Findings of a run, and their number by kind. */
export interface RunHistory {
  findings: Finding[]
  counts: Record<FindingKind, number>
}

const claimPrefix = /^claim\/[^/]+\//

/** Checks the history of a run. */
export function checkRunHistory ({ requests, runs, claims, disturbedAddresses }: CheckRunHistoryOptions): RunHistory {
  const findings = checkHistory({
    invocations: requests.flatMap(request => request.sends.map(send => makeInvocation(request, send, disturbedAddresses))),
    runs: joinRuns(runs),
    transactions: claims
  })
  const counts = Object.fromEntries(Object.values(FindingKind).map(kind => [kind, findings.filter(finding => finding.kind === kind).length])) as Record<FindingKind, number>
  return { findings, counts }
}

const invocationEnds: Record<SendEnd, InvocationEnd> = {
  [SendEnd.Answered]: InvocationEnd.Answered,
  [SendEnd.Account]: InvocationEnd.Answered,
  [SendEnd.Truncated]: InvocationEnd.Truncated,
  [SendEnd.Broken]: InvocationEnd.ConnectionLost
}

function makeInvocation ({ key, path, kind }: GuestRequest, send: GuestSend, disturbedAddresses: ReadonlySet<string>): Invocation {
  const end = send.end === SendEnd.Broken && disturbedAddresses.has(send.address) ? InvocationEnd.HostKilled : invocationEnds[send.end]
  // The path holds a number of its own, so an answer with another path is another's, whatever its key.
  const bodyIdentity = key === undefined ? send.answerRequestId : send.answerKey
  const answerIdentity = send.answerPath === path ? bodyIdentity : `answer to ${send.answerPath}`
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
    answerIdentity: send.end === SendEnd.Answered ? answerIdentity ?? 'none' : null
  }
}

// A server logs a run at its start and again at its end.
function joinRuns (records: ServerRun[]): Run[] {
  const finishedAt = new Map(records.filter(({ finished }) => finished !== null).map(record => [`${record.boot}/${record.requestId}`, record.finished]))
  return records.filter(({ finished }) => finished === null).map(({ key, requestId, server, boot, started }) =>
    ({ key, requestId, server, boot, startedAt: started, finishedAt: finishedAt.get(`${boot}/${requestId}`) ?? null }))
}

interface LogEntry {
  transaction: number
  timeMilliseconds: number
  rows: Array<{ key: string, value: unknown }>
}

/** Reads the claims that the table service committed. */
export async function readCommittedClaims (tableControl: string): Promise<CommittedClaim[]> {
  const log = await callControl(tableControl, 'GET', '/log?after=0') as { entries?: LogEntry[] } | LogEntry[] | undefined
  const entries = Array.isArray(log) ? log : log?.entries ?? []
  return entries.flatMap(({ timeMilliseconds, rows }) => rows.filter(({ key }) => claimPrefix.test(key)).flatMap(({ key, value }) => {
    const row = decodeClaimRow(value)
    return row === undefined ? [] : [{ key: key.replace(claimPrefix, ''), state: row.state, attemptId: row.attempt, committedAt: timeMilliseconds }]
  }))
}
