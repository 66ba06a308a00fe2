// Measures the cost of the claims of a batch of requests with their group commit, without I/O. Each transaction
// commits at once, in virtual time.
import { GroupCommitCommandKind, GroupCommitEventKind, TransactionResultKind, type GroupCommitCommand, type GroupCommitEvent } from '@siskinbeam/group-commit/groupCommitMessages'
import { createGroupCommitState, settlementBatchDelayMilliseconds } from '@siskinbeam/group-commit/groupCommitState'
import { stepGroupCommit } from '@siskinbeam/group-commit/stepGroupCommit'
import { ClaimCommandKind, ClaimEventKind, type ClaimEvent } from '@siskinbeam/request-claims/claimMessages'
import { createClaimState, maySend, type ClaimState } from '@siskinbeam/request-claims/claimState'
import { stepClaim } from '@siskinbeam/request-claims/stepClaim'
import { measureCost, type SamplingOptions } from './measureCost.js'
import { MeasurementName, type Measurement } from './benchmarkRecord.js'

const batchSizes = [1, 10, 50, 100]
const responseBody = Buffer.from('x'.repeat(200))
/** Rate that is high enough for the group commit never to wait for a token. */
const unlimitedTransactionsPerSecond = 1e9
const deadlineMilliseconds = 10_000
const batchIntervalMilliseconds = 1_000

type TransactCommand = Extract<GroupCommitCommand, { kind: GroupCommitCommandKind.Transact }>

/** Simulates the claims of one host in virtual time. */
export interface ClaimSimulation {
  /** Takes a batch of claims from admission to settlement and returns the number of transactions. */
  simulateBatch: (claims: number) => number
}

/** Creates a simulated host without open claims. */
export function createClaimSimulation (): ClaimSimulation {
  const groupCommit = createGroupCommitState({ now: 0, transactionsPerSecond: unlimitedTransactionsPerSecond })
  const openClaims = new Map<string, ClaimState>()
  let pendingTransaction: TransactCommand | undefined
  let sequence = 0
  let now = 0
  let transactions = 0

  const dispatchGroupCommitEvent = (event: GroupCommitEvent): void => {
    stepGroupCommit({ state: groupCommit, event, now }).forEach(command => {
      if (command.kind === GroupCommitCommandKind.Transact) pendingTransaction = command
      if (command.kind === GroupCommitCommandKind.Report) dispatchClaimEvent(command.attempt, { kind: ClaimEventKind.WriteDone, writeId: command.writeId, result: command.result })
    })
  }
  const dispatchClaimEvent = (attempt: string, event: ClaimEvent): void => {
    const state = openClaims.get(attempt)
    if (state === undefined) return
    stepClaim({ state, event, now }).forEach(command => {
      if (command.kind === ClaimCommandKind.Write) dispatchGroupCommitEvent({ kind: GroupCommitEventKind.Offer, write: command.write })
      if (command.kind === ClaimCommandKind.Done) openClaims.delete(attempt)
    })
  }
  // Commits the transaction in flight; the group commit may start the next one in the same step.
  const commitTransactions = (): void => {
    while (pendingTransaction !== undefined) {
      const { transaction, operations } = pendingTransaction
      pendingTransaction = undefined
      transactions += 1
      const versions = new Map(operations.map(({ key }) => [key, transactions]))
      dispatchGroupCommitEvent({ kind: GroupCommitEventKind.TransactionDone, transaction, result: { kind: TransactionResultKind.Committed, versions, tableTimeMilliseconds: now } })
    }
  }
  const startClaim = (): string => {
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
    openClaims.set(state.attempt, state)
    dispatchClaimEvent(state.attempt, { kind: ClaimEventKind.Start })
    return state.attempt
  }
  const sendAndRespond = (attempt: string): void => {
    const state = openClaims.get(attempt)
    if (state === undefined || !maySend({ state, now })) throw new Error(`claim ${attempt} may not be sent`)
    dispatchClaimEvent(attempt, { kind: ClaimEventKind.SendStarted })
    dispatchClaimEvent(attempt, { kind: ClaimEventKind.ServerResponded, status: 200, headers: { 'content-type': 'application/json' }, body: responseBody })
  }

  return {
    simulateBatch: claims => {
      const transactionsBefore = transactions
      now += batchIntervalMilliseconds
      const attempts = Array.from({ length: claims }, startClaim)
      commitTransactions()
      attempts.forEach(sendAndRespond)
      now += settlementBatchDelayMilliseconds
      dispatchGroupCommitEvent({ kind: GroupCommitEventKind.Wake })
      commitTransactions()
      if (openClaims.size > 0) throw new Error(`${openClaims.size} claims were not settled`)
      return transactions - transactionsBefore
    }
  }
}

/** Measures complete batches: the slope over their sizes is the cost of a claim, the intercept that of the transactions. */
export function measureClaims (sampling: SamplingOptions): Measurement[] {
  return batchSizes.map(size => {
    const { simulateBatch } = createClaimSimulation()
    return measureCost({ label: { name: MeasurementName.ClaimBatch, size, sizeUnit: 'claims in the batch' }, sampling, operation: () => simulateBatch(size) })
  })
}
