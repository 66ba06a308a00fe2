// Checks a history against the guarantees of siskinbeam. Each pass is linear in the size of the history.
//
// Identity: an invocation is identified by its request ID, a run by key and request ID. Invocations and
// runs with the same key belong to one request of the guest; without a key, each request ID is a request.
//
// Rules:
// - Ran twice: a non-idempotent request has more than one run, whichever invocations caused them. A run
//   of an unknown invocation counts as non-idempotent.
// - Refused but ran: an invocation received the outcome `not-run`, and there is a run with its request ID,
//   or a run of its key by an invocation with a lower attempt number. A run by a later attempt is a
//   permitted retry. A run of the key by an unknown invocation is a violation. A refusal because the key
//   was used with another request does not cover that request, so only its own request ID counts.
// - Wrong answer: the body belongs to another key than the invocation's, or without a key to another
//   request ID. The stored response of an earlier attempt is correct.
// - Acknowledged without a run: the guest received a server's response, or the outcome `run`, although no
//   run of the request had started by then.
// - Lost without account: the guest received neither a server's response nor the header
//   `siskinbeam-account`, and the cause was not the guest closing its connection, a truncated response, or
//   the experiment killing the entry host.
// - Ran without claim: a run of a non-idempotent request with a key that has no `Claimed` row.
// - Settled without run: a `Settled` row for a key that no server ran.
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { ClaimRowState } from '@siskinbeam/request-claims/claimRow'
import { FindingKind, InvocationEnd, type Finding, type History, type Invocation, type Run } from './historyTypes.js'

interface Index {
  invocations: Map<string, Invocation>
  /** By key, or by request ID for runs without a key. */
  runsOfRequest: Map<string, Run[]>
  runsOfInvocation: Map<string, Run>
  /** For each key, the run of the invocation with the lowest attempt number; unknown invocations count as attempt 0. */
  lowestAttempt: Map<string, { attempt: number, run: Run }>
  claimedKeys: Set<string>
}

type Check = (history: History, index: Index) => Finding[]

const identify = ({ key, requestId }: { key: string | null, requestId: string }): string => key ?? requestId
// The prefix separates keys from request IDs, which may be equal by chance.
const toMapKey = (request: { key: string | null, requestId: string }): string => `${request.key === null ? 'request' : 'key'}/${identify(request)}`

const createIndex = ({ invocations, runs, transactions }: History): Index => {
  const index: Index = {
    invocations: new Map(invocations.map(invocation => [invocation.requestId, invocation])),
    runsOfRequest: new Map(),
    runsOfInvocation: new Map(),
    lowestAttempt: new Map(),
    claimedKeys: new Set(transactions.filter(({ state }) => state === ClaimRowState.Claimed).map(({ key }) => key))
  }
  runs.forEach(run => {
    const known = index.runsOfRequest.get(toMapKey(run))
    if (known === undefined) index.runsOfRequest.set(toMapKey(run), [run])
    else known.push(run)
    index.runsOfInvocation.set(run.requestId, run)
    if (run.key === null) return
    const attempt = index.invocations.get(run.requestId)?.attempt ?? 0
    if (attempt < (index.lowestAttempt.get(run.key)?.attempt ?? Infinity)) index.lowestAttempt.set(run.key, { attempt, run })
  })
  return index
}

const isIdempotent = (run: Run, { invocations }: Index): boolean => invocations.get(run.requestId)?.idempotent ?? false

const findRanTwice: Check = (_, index) => [...index.runsOfRequest.values()]
  .map(runs => runs.filter(run => !isIdempotent(run, index)))
  .filter(runs => runs.length > 1)
  .map(runs => ({ kind: FindingKind.RanTwice, identity: identify(runs[0] as Run), runs }))

const findRunDespiteRefusal = ({ key, requestId, attempt, code }: Invocation, index: Index): Run | undefined => {
  const lowest = key === null || code === ResultCode.IdempotencyKeyReused ? undefined : index.lowestAttempt.get(key)
  return index.runsOfInvocation.get(requestId) ?? (lowest !== undefined && lowest.attempt < attempt ? lowest.run : undefined)
}

const findRefusedButRan: Check = ({ invocations }, index) => invocations
  .filter(({ outcome }) => outcome === Outcome.NotRun)
  .flatMap(invocation => {
    const run = findRunDespiteRefusal(invocation, index)
    return run === undefined ? [] : [{ kind: FindingKind.RefusedButRan, invocation, run }]
  })

const findWrongAnswers: Check = ({ invocations }) => invocations
  .filter(invocation => invocation.answerIdentity !== null && invocation.answerIdentity !== identify(invocation))
  .map(invocation => ({ kind: FindingKind.WrongAnswer, invocation, expectedIdentity: identify(invocation) }))

const isServerAnswer = ({ end, code, answerIdentity }: Invocation): boolean => end === InvocationEnd.Answered && code === null && answerIdentity !== null

const findAcknowledgedWithoutRun: Check = ({ invocations }, index) => invocations
  .filter(invocation => isServerAnswer(invocation) || invocation.outcome === Outcome.Run)
  .filter(invocation => !(index.runsOfRequest.get(toMapKey(invocation)) ?? []).some(({ startedAt }) => startedAt <= (invocation.answeredAt ?? Infinity)))
  .map(invocation => ({ kind: FindingKind.AcknowledgedWithoutRun, invocation }))

const isLost = ({ end, code, answerIdentity }: Invocation): boolean =>
  end === InvocationEnd.ConnectionLost || (end === InvocationEnd.Answered && code === null && answerIdentity === null)

const findLostWithoutAccount: Check = ({ invocations }) => invocations
  .filter(isLost)
  .map(invocation => ({ kind: FindingKind.LostWithoutAccount, invocation }))

const findRanWithoutClaim: Check = ({ runs }, index) => runs
  .filter(run => run.key !== null && !isIdempotent(run, index) && !index.claimedKeys.has(run.key))
  .map(run => ({ kind: FindingKind.RanWithoutClaim, run }))

const findSettledWithoutRun: Check = ({ transactions }, index) => transactions
  .filter(({ key, state }) => state === ClaimRowState.Settled && !index.runsOfRequest.has(`key/${key}`))
  .map(claim => ({ kind: FindingKind.SettledWithoutRun, claim }))

const checks: Check[] = [
  findRanTwice, findRefusedButRan, findWrongAnswers, findAcknowledgedWithoutRun, findLostWithoutAccount, findRanWithoutClaim, findSettledWithoutRun
]

/** Lists all violations of the guarantees in a history. */
export function checkHistory (history: History): Finding[] {
  const index = createIndex(history)
  return checks.flatMap(check => check(history, index))
}

export interface HistoryCounts {
  /** Non-idempotent requests that ran more than once. */
  ranTwice: number
  lostWithoutAccount: number
  wrongAnswer: number
  refusedButRan: number
  acknowledgedWithoutRun: number
  /** Violations by claims: a run without a claim, or a settlement without a run. */
  claimFaults: number
  /** Invocations with the outcome `not-run`; not a violation in itself. */
  refusedNotRun: number
  /** Invocations with the outcome `unknown`, a truncated response, or a killed entry host; not a violation in itself. */
  unknownOutcome: number
  /** Invocations that received a server's response. */
  answered: number
}

const unknownEnds = [InvocationEnd.Truncated, InvocationEnd.HostKilled]

/** Counts findings and outcomes of a history. */
export function countHistory (history: History): HistoryCounts {
  const findings = checkHistory(history)
  const countKind = (...kinds: FindingKind[]): number => findings.filter(({ kind }) => kinds.includes(kind)).length
  const count = (matches: (invocation: Invocation) => boolean): number => history.invocations.filter(matches).length
  return {
    ranTwice: countKind(FindingKind.RanTwice),
    lostWithoutAccount: countKind(FindingKind.LostWithoutAccount),
    wrongAnswer: countKind(FindingKind.WrongAnswer),
    refusedButRan: countKind(FindingKind.RefusedButRan),
    acknowledgedWithoutRun: countKind(FindingKind.AcknowledgedWithoutRun),
    claimFaults: countKind(FindingKind.RanWithoutClaim, FindingKind.SettledWithoutRun),
    refusedNotRun: count(({ outcome }) => outcome === Outcome.NotRun),
    unknownOutcome: count(({ outcome, end }) => outcome === Outcome.Unknown || unknownEnds.includes(end)),
    answered: count(isServerAnswer)
  }
}
