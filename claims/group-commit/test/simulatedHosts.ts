// Simulates entry hosts with their guests and servers on the claim and group commit state machines.
// Hosts pause beyond their leases, crash, and have wrong clocks. Guests send copies of a request to
// several hosts, also while earlier copies are still in transit.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { StoreOutagePolicy } from '@siskinbeam/schema/bundle'
import { ClaimCommandKind, ClaimEventKind, type ClaimCommand, type ClaimEvent } from '@siskinbeam/request-claims/claimMessages'
import type { StoredRow } from '@siskinbeam/request-claims/claimRow'
import { ClaimPhase, createClaimState, maySend, type ClaimState } from '@siskinbeam/request-claims/claimState'
import { stepClaim } from '@siskinbeam/request-claims/stepClaim'
import { createVirtualTime } from '@siskinbeam/stand-in-platform/createVirtualTime'
import { TransactionOutcome, type TableRow } from '@siskinbeam/stand-in-platform/createTable'
import { simulateTableService, type SimulatedReply } from '@siskinbeam/stand-in-platform/simulateTableService'
import { GroupCommitCommandKind, GroupCommitEventKind, TransactionResultKind, type GroupCommitCommand, type GroupCommitEvent, type TransactionResult } from '../src/groupCommitMessages.js'
import { createGroupCommitState, isIdle, type GroupCommitState } from '../src/groupCommitState.js'
import { stepGroupCommit } from '../src/stepGroupCommit.js'
import { createInvariantChecker, type RequestCopy } from './invariantChecker.js'

const hostCount = 6
const maximumPauseMilliseconds = 3_000
const maximumCopies = 5
const drainMilliseconds = 30_000
const clientTimeoutMilliseconds = 300
// Delayed writes take effect long after the client timed out, and after most leases have expired.
const storeFaults = { lostRequestShare: 0.02, lostReplyShare: 0.05, rateLimitedShare: 0.03, delayedWriteShare: 0.04, delayedWriteMilliseconds: 4_000 }

const toStoredRow = ({ value, version }: TableRow): StoredRow | null => version === null ? null : { value, version }
const toResult = (reply: SimulatedReply, keys: string[]): TransactionResult => {
  if (reply.kind !== 'answered') return { kind: reply.kind === 'unanswered' ? TransactionResultKind.Unanswered : TransactionResultKind.RateLimited }
  const { answer, timeMilliseconds: tableTimeMilliseconds } = reply
  if (answer.outcome === TransactionOutcome.Full) return { kind: TransactionResultKind.Unanswered }
  return answer.outcome === TransactionOutcome.Committed
    ? { kind: TransactionResultKind.Committed, versions: new Map(keys.map(key => [key, answer.transaction])), tableTimeMilliseconds }
    : { kind: TransactionResultKind.ConditionFailed, rows: new Map(answer.rows.map(row => [row.key, toStoredRow(row)])), tableTimeMilliseconds }
}

interface RunningClaim { claim: ClaimState, copy: RequestCopy, sendNumber: number, wakeNumber: number, gotResponse: boolean, onResponse: () => void }
interface Host { name: string, boot: number, sequence: number, clockOffset: number, pausedUntil: number, group: GroupCommitState, wakeNumber: number, claims: Map<string, RunningClaim> }
interface Guest { key: string, fingerprint: string, copies: number, declare: (number: number) => number | undefined }

/** Runs the simulation until both state machines together have made the given number of steps, then until it is idle. */
export function simulateHosts ({ seed, steps: wantedSteps }: { seed: number, steps: number }) {
  const time = createVirtualTime(seed)
  const { scheduleAfter, drawBoolean, drawInteger } = time
  const store = simulateTableService(time, clientTimeoutMilliseconds)
  store.setFaults(storeFaults)
  const checker = createInvariantChecker()
  let steps = 0
  let injectingFaults = true

  const createGroup = (now: number): GroupCommitState => createGroupCommitState({ now, transactionsPerSecond: 50, maximumQueuedClaims: 20 })
  const hosts = Array.from({ length: hostCount }, (_, index): Host => {
    const clockOffset = drawInteger(0, 1_000_000)
    return { name: `entry-${index}`, boot: 1, sequence: 0, clockOffset, pausedUntil: 0, group: createGroup(clockOffset), wakeNumber: 0, claims: new Map() }
  })
  const readClock = ({ clockOffset }: Host): number => time.now() + clockOffset

  // An action of a host is delayed while the host is paused, and dropped when the host crashes.
  const scheduleOnHost = (host: Host, milliseconds: number, action: () => void, boot = host.boot): void => scheduleAfter(milliseconds, () => {
    if (host.boot !== boot) return
    if (time.now() < host.pausedUntil) scheduleOnHost(host, host.pausedUntil - time.now(), action, boot)
    else action()
  })

  const stepGroup = (host: Host, event: GroupCommitEvent): void => {
    steps += 1
    stepGroupCommit({ state: host.group, event, now: readClock(host) }).forEach(command => executeGroupCommand(host, command))
  }
  const executeGroupCommand = (host: Host, command: GroupCommitCommand): void => {
    if (command.kind === GroupCommitCommandKind.Transact) {
      const { transaction, operations } = command
      store.transact(operations, reply => {
        const result = toResult(reply, operations.map(({ key }) => key))
        checker.count(`transaction ${result.kind}`)
        scheduleOnHost(host, 1, () => stepGroup(host, { kind: GroupCommitEventKind.TransactionDone, transaction, result }))
      })
    } else if (command.kind === GroupCommitCommandKind.Report) {
      const { attempt, writeId, result } = command
      // A write may be refused while the commands of the claim's own step are executed, hence the delay.
      scheduleOnHost(host, 0, () => step(host, attempt, { kind: ClaimEventKind.WriteDone, writeId, result }))
    } else {
      const number = ++host.wakeNumber
      scheduleOnHost(host, command.at - readClock(host), () => { if (host.wakeNumber === number) stepGroup(host, { kind: GroupCommitEventKind.Wake }) })
    }
  }

  const step = (host: Host, attempt: string, event: ClaimEvent): void => {
    const running = host.claims.get(attempt)
    if (running === undefined) return
    steps += 1
    stepClaim({ state: running.claim, event, now: readClock(host) }).forEach(command => executeClaimCommand(host, attempt, running, command))
  }
  type CommandHandler<Command> = (host: Host, attempt: string, running: RunningClaim, command: Command) => void
  const executeClaimCommand: CommandHandler<ClaimCommand> = (host, attempt, running, command) =>
    (claimCommands[command.kind] as CommandHandler<ClaimCommand>)(host, attempt, running, command)
  const claimCommands: { [Kind in ClaimCommandKind]: CommandHandler<Extract<ClaimCommand, { kind: Kind }>> } = {
    [ClaimCommandKind.Write]: (host, _attempt, _running, { write }) => stepGroup(host, { kind: GroupCommitEventKind.Offer, write }),
    [ClaimCommandKind.Withdraw]: (host, _attempt, _running, { writeId }) => stepGroup(host, { kind: GroupCommitEventKind.Withdraw, writeId }),
    [ClaimCommandKind.Read]: (host, attempt, _running, { key }) => store.read(key, row => scheduleOnHost(host, 1, () => step(host, attempt, row === undefined
      ? { kind: ClaimEventKind.ReadFailed }
      : { kind: ClaimEventKind.RowRead, row: toStoredRow(row), tableTimeMilliseconds: store.time() }))),
    [ClaimCommandKind.WakeAt]: (host, attempt, running, { at }) => {
      const number = ++running.wakeNumber
      scheduleOnHost(host, at - readClock(host), () => { if (running.wakeNumber === number) step(host, attempt, { kind: ClaimEventKind.Wake }) })
    },
    [ClaimCommandKind.Send]: (host, attempt, running) => scheduleOnHost(host, drawInteger(0, 20), () => send(host, attempt, running)),
    [ClaimCommandKind.Respond]: (_host, _attempt, running, { code, outcome }) => {
      checker.recordResponse(running.copy, code, outcome)
      running.onResponse()
    },
    [ClaimCommandKind.Replay]: (_host, _attempt, running, { answer }) => {
      checker.recordReplay(running.copy, answer)
      running.onResponse()
    },
    [ClaimCommandKind.Done]: (host, attempt, running) => {
      if (running.gotResponse) checker.recordAcknowledged(running.copy)
      host.claims.delete(attempt)
    }
  }

  const send = (host: Host, attempt: string, running: RunningClaim): void => {
    if (drawBoolean(0.08)) return step(host, attempt, { kind: ClaimEventKind.GiveUp, code: ResultCode.NoServer })
    if (!maySend({ state: running.claim, now: readClock(host) })) return
    step(host, attempt, { kind: ClaimEventKind.SendStarted })
    const number = ++running.sendNumber
    const result = (event: ClaimEvent): void => { if (running.sendNumber === number) step(host, attempt, event) }
    const { sendBy } = running.claim.options
    scheduleOnHost(host, sendBy - readClock(host), () => result({ kind: ClaimEventKind.SendFailed, code: ResultCode.ServerTimedOut }))
    // A pause between the check and the write makes the send late.
    if (injectingFaults && drawBoolean(0.004)) host.pausedUntil = time.now() + drawInteger(1, maximumPauseMilliseconds)
    scheduleOnHost(host, 1, () => serve(host, running, result))
  }

  const serve = (host: Host, running: RunningClaim, result: (event: ClaimEvent) => void): void => {
    const { copy, sendNumber: number } = running
    checker.recordSend(copy)
    if (drawBoolean(0.1)) {
      checker.recordNotStarted(copy)
      return scheduleOnHost(host, drawInteger(1, 3), () => result({ kind: ClaimEventKind.NotStarted }))
    }
    if (drawBoolean(0.04)) return scheduleOnHost(host, drawInteger(1, 3), () => result({ kind: ClaimEventKind.SendFailed, code: ResultCode.ServerFailedAfterSend }))
    const isBuffered = !drawBoolean(0.05)
    const body = `response to copy ${copy.number} of ${copy.key}`
    checker.recordRun(copy, body)
    const latency = drawBoolean(0.1) ? drawInteger(400, 3_000) : drawInteger(1, 60)
    if (drawBoolean(0.05)) return scheduleOnHost(host, latency, () => result({ kind: ClaimEventKind.SendFailed, code: ResultCode.ServerFailedAfterSend }))
    scheduleOnHost(host, latency, () => {
      running.gotResponse ||= running.claim.phase === ClaimPhase.Sent && running.sendNumber === number
      result({ kind: ClaimEventKind.ServerResponded, status: 200, headers: {}, body: isBuffered ? Buffer.from(body) : null })
    })
  }

  const accept = (host: Host, copy: RequestCopy, onResponse: () => void): void => {
    host.sequence += 1
    const now = readClock(host)
    const { key: idempotencyKey, fingerprint, declared: guestAttempt } = copy
    const attempt = { host: host.name, boot: `boot-${host.boot}`, sequence: host.sequence }
    const claim = createClaimState({
      ...{ service: 'desk', idempotencyKey, fingerprint, guestAttempt, attempt, recordLifetimeMilliseconds: 86_400_000 },
      sendBy: now + drawInteger(100, 1_500),
      // Before the first answer of the table service a host estimates its time from its own clock, which may be wrong.
      tableTimeOffsetMilliseconds: host.group.tableTimeOffsetMilliseconds ?? store.time() - now + drawInteger(-2_000, 2_000),
      storeOutage: drawBoolean(0.5) ? StoreOutagePolicy.Hold : StoreOutagePolicy.Refuse
    })
    host.claims.set(claim.attempt, { claim, copy, sendNumber: 0, wakeNumber: 0, gotResponse: false, onResponse })
    step(host, claim.attempt, { kind: ClaimEventKind.Start })
    if (drawBoolean(0.03)) scheduleOnHost(host, drawInteger(1, 400), () => step(host, claim.attempt, { kind: ClaimEventKind.GuestDisconnected }))
  }

  const sendCopy = (guest: Guest): void => {
    if (guest.copies >= maximumCopies) return
    guest.copies += 1
    const number = guest.copies
    const copy: RequestCopy = { key: guest.key, number, declared: guest.declare(number), fingerprint: drawBoolean(0.02) ? 'other' : guest.fingerprint }
    const host = hosts[drawInteger(0, hostCount - 1)] as Host
    let waiting = true
    const sendAgain = (probability: number): void => {
      if (waiting && drawBoolean(probability)) scheduleAfter(drawInteger(1, 300), () => sendCopy(guest))
      waiting = false
    }
    // A copy may be delayed on its way to the host while the guest already sends the next one.
    scheduleOnHost(host, drawBoolean(0.1) ? drawInteger(100, maximumPauseMilliseconds) : drawInteger(1, 5), () => accept(host, copy, () => sendAgain(0.5)))
    scheduleAfter(drawInteger(30, 2_500), () => sendAgain(0.8))
  }

  const attemptNumberings: Array<Guest['declare']> = [number => number, number => number === 1 ? 1 : undefined, () => undefined]
  const injectFaults = (): void => {
    const host = hosts[drawInteger(0, hostCount - 1)] as Host
    if (drawBoolean(1 / 5_000)) host.pausedUntil = time.now() + drawInteger(20, maximumPauseMilliseconds)
    if (drawBoolean(1 / 5_000)) {
      checker.count('crash')
      Object.assign(host, { boot: host.boot + 1, sequence: 0, group: createGroup(readClock(host)), claims: new Map() })
    }
    if (drawBoolean(1 / 8_000)) {
      checker.count('outage')
      store.setOutage(true)
      scheduleAfter(drawInteger(100, 3_000), () => store.setOutage(false))
    }
  }

  let keys = 0
  const hasReachedSteps = (): boolean => steps >= wantedSteps
  while (!hasReachedSteps()) {
    time.advance()
    injectFaults()
    if (drawBoolean(0.15)) {
      keys += 1
      sendCopy({ key: `key-${keys}`, fingerprint: 'own', copies: 0, declare: attemptNumberings[drawInteger(0, attemptNumberings.length - 1)] as Guest['declare'] })
    }
  }
  injectingFaults = false
  store.setFaults(undefined)
  scheduleAfter(maximumPauseMilliseconds, () => store.setOutage(false))
  Array.from({ length: drainMilliseconds }).forEach(() => time.advance())
  const bootsAlive = new Set(hosts.map(({ name, boot }) => `${name}/boot-${boot}`))
  checker.checkRows(store.table, store.time(), attempt => !bootsAlive.has(attempt.slice(0, attempt.lastIndexOf('/'))))
  const unfinished = hosts.reduce((sum, { claims, group }) => sum + claims.size + (isIdle(group) ? 0 : 1), 0)
  return { violations: checker.violations, counts: checker.counts, steps, unfinished }
}
