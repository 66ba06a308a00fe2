// Cost of the claims of a batch of requests with their group commit, without I/O. Every transaction is
// answered at once with success, in virtual time.
import { GroupCommitCommandKind, GroupCommitEventKind, TransactionResultKind, type GroupCommitCommand, type GroupCommitEvent } from '@siskinbeam/group-commit/groupCommitMessages'
import { createGroupCommitState, settlementBatchDelayMilliseconds } from '@siskinbeam/group-commit/groupCommitState'
import { stepGroupCommit } from '@siskinbeam/group-commit/stepGroupCommit'
import { ClaimCommandKind, ClaimEventKind, type ClaimEvent } from '@siskinbeam/request-claims/claimMessages'
import { createClaimState, maySend, type ClaimState } from '@siskinbeam/request-claims/claimState'
import { stepClaim } from '@siskinbeam/request-claims/stepClaim'
import { measureCost, type MeasuringEffort } from './measureCost.js'
import { MicroName, type Measurement } from './microRecord.js'

const batchSizes = [1, 10, 50, 100]
const answerBody = Buffer.from('x'.repeat(200))
/** Rate at which the group commit never waits for a token. */
const unlimitedTransactionsPerSecond = 1e9
const deadlineMilliseconds = 10_000
const batchIntervalMilliseconds = 1_000

type TransactCommand = Extract<GroupCommitCommand, { kind: GroupCommitCommandKind.Transact }>

/** Claims of one host in virtual time. */
export interface ClaimRunner {
  /** Runs the claims of a batch from admission to settlement and gives the number of transactions. */
  runBatch: (claims: number) => number
}

/** Creates a host without open claims. */
export function createClaimRunner (): ClaimRunner {
  const group = createGroupCommitState({ now: 0, transactionsPerSecond: unlimitedTransactionsPerSecond })
  const open = new Map<string, ClaimState>()
  let transacting: TransactCommand | undefined
  let sequence = 0
  let now = 0
  let transactions = 0

  const feedGroup = (event: GroupCommitEvent): void => {
    stepGroupCommit({ state: group, event, now }).forEach(command => {
      if (command.kind === GroupCommitCommandKind.Transact) transacting = command
      if (command.kind === GroupCommitCommandKind.Report) feedClaim(command.attempt, { kind: ClaimEventKind.WriteDone, writeId: command.writeId, result: command.result })
    })
  }
  const feedClaim = (attempt: string, event: ClaimEvent): void => {
    const state = open.get(attempt)
    if (state === undefined) return
    stepClaim({ state, event, now }).forEach(command => {
      if (command.kind === ClaimCommandKind.Write) feedGroup({ kind: GroupCommitEventKind.Offer, write: command.write })
      if (command.kind === ClaimCommandKind.Done) open.delete(attempt)
    })
  }
  // Ends the transaction in flight; the group commit may start the next one in the same step.
  const commit = (): void => {
    while (transacting !== undefined) {
      const { transaction, operations } = transacting
      transacting = undefined
      transactions += 1
      const versions = new Map(operations.map(({ key }) => [key, transactions]))
      feedGroup({ kind: GroupCommitEventKind.TransactionDone, transaction, result: { kind: TransactionResultKind.Committed, versions, tableTimeMilliseconds: now } })
    }
  }
  const claim = (): string => {
    sequence += 1
    const state = createClaimState({
      service: 'service-1',
      idempotencyKey: `key-${sequence}`,
      attempt: { host: 'entry-1', boot: '0123456789abcdef', sequence },
      fingerprint: `fingerprint-${sequence}`,
      guestAttempt: 1,
      sendBy: now + deadlineMilliseconds,
      tableTimeOffsetMilliseconds: 0,
      recordLifetimeMilliseconds: 86_400_000
    })
    open.set(state.attempt, state)
    feedClaim(state.attempt, { kind: ClaimEventKind.Start })
    return state.attempt
  }
  const send = (attempt: string): void => {
    const state = open.get(attempt)
    if (state === undefined || !maySend({ state, now })) throw new Error(`claim ${attempt} may not be sent`)
    feedClaim(attempt, { kind: ClaimEventKind.SendStarted })
    feedClaim(attempt, { kind: ClaimEventKind.ServerAnswered, status: 200, headers: { 'content-type': 'application/json' }, body: answerBody })
  }

  return {
    runBatch: claims => {
      const before = transactions
      now += batchIntervalMilliseconds
      const attempts = Array.from({ length: claims }, claim)
      commit()
      attempts.forEach(send)
      now += settlementBatchDelayMilliseconds
      feedGroup({ kind: GroupCommitEventKind.Wake })
      commit()
      if (open.size > 0) throw new Error(`${open.size} claims were not settled`)
      return transactions - before
    }
  }
}

/** Measures whole batches; the slope over their sizes is the cost of one claim, the intercept that of the transactions. */
export function measureClaims (effort: MeasuringEffort): Measurement[] {
  return batchSizes.map(size => {
    const { runBatch } = createClaimRunner()
    return measureCost({ place: { name: MicroName.ClaimBatch, size, sizeUnit: 'claims in the batch' }, effort, operate: () => runBatch(size) })
  })
}
