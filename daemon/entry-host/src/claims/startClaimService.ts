// Runs the claims of one host. It passes events to the claim of each request and to the group commit that all
// claims share, and performs their reads and transactions at the table service. The group commit is a supervised
// process, because all claimed requests of the host depend on it; a claim itself runs in plain function calls.
import { createChannel, offer, take, type ProcessBody } from '@siskinbeam/processes/channels'
import { superviseProcess } from '@siskinbeam/processes/superviseProcess'
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { Metrics } from '@siskinbeam/metrics/createMetrics'
import type { TableClient } from '@siskinbeam/clients/createTableClient'
import {
  GroupCommitCommandKind, GroupCommitEventKind, TransactionResultKind, type GroupCommitCommand, type GroupCommitEvent
} from '@siskinbeam/group-commit/groupCommitMessages'
import { countQueued, createGroupCommitState, isIdle } from '@siskinbeam/group-commit/groupCommitState'
import { stepGroupCommit } from '@siskinbeam/group-commit/stepGroupCommit'
import { toTransactionResult } from '@siskinbeam/group-commit/toTransactionResult'
import { ClaimCommandKind, ClaimEventKind, WriteResultKind, type ClaimCommand, type ClaimEvent } from '@siskinbeam/request-claims/claimMessages'
import { ClaimPhase, createClaimState, maySend, type ClaimState, type CreateClaimStateOptions } from '@siskinbeam/request-claims/claimState'
import { stepClaim } from '@siskinbeam/request-claims/stepClaim'
import type { ClaimHandlers, RequestClaim } from './requestClaim.js'

export interface StartClaimServiceOptions {
  host: string
  boot: string
  table: TableClient
  logger: Logger
  metrics: Metrics
  now: () => number
  epochNow: () => number
  transactionsPerSecond: number
}

/** The options of a claim that its exchange supplies. */
export type StartClaimOptions = Omit<CreateClaimStateOptions, 'attempt' | 'tableTimeOffsetMilliseconds'>

/** The claim service of one host. */
export interface ClaimService {
  start: (options: StartClaimOptions, handlers: ClaimHandlers) => RequestClaim
  setRate: (transactionsPerSecond: number) => void
  /** Commits settlements without the batching delay. Resolves once no claim or write is outstanding. */
  flush: () => Promise<void>
  describe: () => Record<string, unknown>
  stop: () => void
}

interface OpenClaim {
  state: ClaimState
  handlers: ClaimHandlers
  timer: NodeJS.Timeout | undefined
}

// If the channel is full, the claim's write is refused as in an outage of the table service.
const channelCapacity = 1_024
const transactionTimeoutMilliseconds = 1_000
const flushPollMilliseconds = 20

/** Starts the claim service. */
export function startClaimService (options: StartClaimServiceOptions): ClaimService {
  const { table, now, metrics } = options
  const groupCommit = createGroupCommitState({ now: now(), transactionsPerSecond: options.transactionsPerSecond })
  const events = createChannel<GroupCommitEvent>(channelCapacity)
  const claims = new Map<string, OpenClaim>()
  let sequence = 0
  let wakeTimer: NodeJS.Timeout | undefined

  const handleClaimEvent = (claim: OpenClaim, event: ClaimEvent): void => {
    stepClaim({ state: claim.state, event, now: now() }).forEach(command => runCommand(claim, command))
  }
  const runCommand = (claim: OpenClaim, command: ClaimCommand): void => {
    (claimCommandHandlers[command.kind] as (claim: OpenClaim, command: ClaimCommand) => void)(claim, command)
  }
  const claimCommandHandlers: { [Kind in ClaimCommandKind]: (claim: OpenClaim, command: Extract<ClaimCommand, { kind: Kind }>) => void } = {
    [ClaimCommandKind.Write]: (claim, { write }) => {
      if (offer(events, { kind: GroupCommitEventKind.Offer, write })) return
      metrics.count('claim_writes_refused_total')
      setImmediate(handleClaimEvent, claim, { kind: ClaimEventKind.WriteDone, writeId: write.writeId, result: { kind: WriteResultKind.Refused } })
    },
    [ClaimCommandKind.Withdraw]: (_claim, { writeId }) => { offer(events, { kind: GroupCommitEventKind.Withdraw, writeId }) },
    [ClaimCommandKind.Read]: (claim, { key }) => {
      table.read([key]).then(read => {
        if (!read.ok) return handleClaimEvent(claim, { kind: ClaimEventKind.ReadFailed })
        const row = read.value.rows.find(found => found.key === key)
        handleClaimEvent(claim, { kind: ClaimEventKind.RowRead, row: row ?? null, tableTimeMilliseconds: read.value.timeMilliseconds })
      }, () => handleClaimEvent(claim, { kind: ClaimEventKind.ReadFailed }))
    },
    [ClaimCommandKind.WakeAt]: (claim, { at }) => {
      clearTimeout(claim.timer)
      claim.timer = setTimeout(handleClaimEvent, Math.max(0, at - now()), claim, { kind: ClaimEventKind.Wake })
    },
    [ClaimCommandKind.Send]: claim => claim.handlers.onSend(),
    [ClaimCommandKind.Respond]: (claim, { code, outcome, retryAfterMilliseconds }) =>
      claim.handlers.onError({ code, outcome, message: `claim of attempt ${claim.state.attempt}`, ...(retryAfterMilliseconds === undefined ? {} : { retryAfterMilliseconds }) }),
    [ClaimCommandKind.Replay]: (claim, { answer }) => claim.handlers.onReplay(answer),
    [ClaimCommandKind.Done]: claim => {
      clearTimeout(claim.timer)
      claims.delete(claim.state.attempt)
    }
  }

  const groupCommitCommandHandlers: { [Kind in GroupCommitCommandKind]: (command: Extract<GroupCommitCommand, { kind: Kind }>) => void } = {
    [GroupCommitCommandKind.Transact]: ({ transaction, operations }) => {
      metrics.count('claim_transactions_total')
      metrics.count('claim_rows_total', operations.length)
      const startedAt = now()
      table.transact(operations, { timeoutMilliseconds: transactionTimeoutMilliseconds }).then(result => {
        metrics.recordMilliseconds('claim_transaction_milliseconds', now() - startedAt)
        offer(events, { kind: GroupCommitEventKind.TransactionDone, transaction, result: toTransactionResult(result) })
      }, () => offer(events, { kind: GroupCommitEventKind.TransactionDone, transaction, result: { kind: TransactionResultKind.Unanswered } }))
    },
    [GroupCommitCommandKind.Report]: ({ attempt, writeId, result }) => {
      const claim = claims.get(attempt)
      if (claim !== undefined) handleClaimEvent(claim, { kind: ClaimEventKind.WriteDone, writeId, result })
    },
    // A Node timer can be cleared. A timeout channel of js-csp can't, so each event would leave one behind.
    [GroupCommitCommandKind.WakeAt]: ({ at }) => {
      clearTimeout(wakeTimer)
      wakeTimer = setTimeout(() => offer(events, { kind: GroupCommitEventKind.Wake }), Math.max(0, at - now()))
    }
  }
  const handleGroupCommitEvent = (event: GroupCommitEvent): void => {
    stepGroupCommit({ state: groupCommit, event, now: now() }).forEach(command => (groupCommitCommandHandlers[command.kind] as (command: GroupCommitCommand) => void)(command))
  }

  const groupCommitProcess = superviseProcess({
    name: 'group-commit',
    logger: options.logger,
    body: function * (): ProcessBody {
      while (true) handleGroupCommitEvent(yield take(events))
    }
  })

  return {
    start: (claimOptions, handlers) => {
      sequence += 1
      const state = createClaimState({
        ...claimOptions,
        attempt: { host: options.host, boot: options.boot, sequence },
        tableTimeOffsetMilliseconds: groupCommit.tableTimeOffsetMilliseconds ?? options.epochNow() - now()
      })
      const claim: OpenClaim = { state, handlers, timer: undefined }
      claims.set(state.attempt, claim)
      handleClaimEvent(claim, { kind: ClaimEventKind.Start })
      return {
        maySend: () => maySend({ state, now: now() }),
        sendStarted: () => handleClaimEvent(claim, { kind: ClaimEventKind.SendStarted }),
        notStarted: () => handleClaimEvent(claim, { kind: ClaimEventKind.NotStarted }),
        responded: (status, headers, body) => handleClaimEvent(claim, { kind: ClaimEventKind.ServerResponded, status, headers, body }),
        sendFailed: code => handleClaimEvent(claim, { kind: ClaimEventKind.SendFailed, code }),
        giveUp: code => handleClaimEvent(claim, { kind: ClaimEventKind.GiveUp, code }),
        guestDisconnected: () => handleClaimEvent(claim, { kind: ClaimEventKind.GuestDisconnected })
      }
    },
    setRate: transactionsPerSecond => { offer(events, { kind: GroupCommitEventKind.SetRate, transactionsPerSecond }) },
    flush: () => new Promise(resolve => {
      offer(events, { kind: GroupCommitEventKind.Flush })
      const check = (): void => {
        if (claims.size === 0 && isIdle(groupCommit)) resolve()
        else setTimeout(check, flushPollMilliseconds)
      }
      check()
    }),
    describe: () => ({
      open: claims.size,
      byPhase: Object.fromEntries(Object.values(ClaimPhase).map(phase => [phase, [...claims.values()].filter(({ state }) => state.phase === phase).length])),
      queuedWrites: countQueued(groupCommit),
      transactionsPerSecond: groupCommit.transactionsPerSecond,
      spacingMilliseconds: groupCommit.backoffMilliseconds,
      unansweredSends: groupCommit.current?.unanswered ?? 0,
      tableTimeOffsetMilliseconds: groupCommit.tableTimeOffsetMilliseconds
    }),
    stop: () => {
      groupCommitProcess.stop()
      clearTimeout(wakeTimer)
      // Wakes the process, so that it stops now and not at its next event.
      offer(events, { kind: GroupCommitEventKind.Wake })
      claims.forEach(({ timer }) => clearTimeout(timer))
    }
  }
}
