// The part of an entry host that serves guests: the request path and its state, without the control loops, which
// startEntryHost adds. Tests run it inside their own process.
import { performance } from 'node:perf_hooks'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { TableClient } from '@siskinbeam/clients/createTableClient'
import { CrashCommandKind, CrashEventKind, type CrashCommand, type CrashEvent, type CrashReport } from '@siskinbeam/crash-suspects/crashTypes'
import { createCrashSuspectsState, stepCrashSuspects } from '@siskinbeam/crash-suspects/stepCrashSuspects'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { readHeldMilliseconds } from '@siskinbeam/message-heads/guardServer'
import { readResidentMegabytes, type Metrics } from '@siskinbeam/metrics/createMetrics'
import { createMeasuringBudgetState, takeMeasuringBudget } from '@siskinbeam/measuring-budget/takeMeasuringBudget'
import type { AgedReport } from '@siskinbeam/probing/loadReport'
import { createRandom } from '@siskinbeam/random/createRandom'
import type { Bundle } from '@siskinbeam/schema/bundle'
import { createRouteFinder } from '@siskinbeam/schema/findRoute'
import { startClaimService } from './claims/startClaimService.js'
import { runProbingCommand } from './controlLoops/startProbingLoop.js'
import type { ActiveBundle, AddressList, EntryHost } from './entryHost.js'
import { createGuestListener } from './guestListener.js'
import { admitRequest } from './requestPath/admitRequest.js'
import { serveHostEndpoints } from './requestPath/serveHostEndpoints.js'
import { claimRequest } from './requestPath/claimRequest.js'
import { dispatchRequest } from './requestPath/dispatchRequest.js'
import { finishExchange, composeFilters, type Exchange } from './requestPath/exchange.js'
import { identifyRequest } from './requestPath/identifyRequest.js'
import { readBody } from './requestPath/readBody.js'
import { createServiceRuntimes } from './servers/createServiceRuntimes.js'

export interface CreateHostCoreOptions {
  name: string
  boot: string
  dataCentre: string
  outgoingAddress: string | undefined
  seed: number
  logger: Logger
  metrics: Metrics
  table: TableClient
  listAddresses: (dataCentre: string | undefined) => AddressList
  /** Whether the active bundle is known to be sufficiently current; see watchBundles. */
  mayServe: () => boolean
  /** Sends a crash report to this number of live peers. Resolves once they have received it. */
  announceCrash: (report: CrashReport, peers: number) => Promise<void>
  shareReports: (peer: string, service: string, reports: AgedReport[]) => void
}

/** The core of an entry host. */
export interface HostCore {
  host: EntryHost
  listener: Server
  activateBundle: (bundle: Bundle, digest: string) => void
  setPhase: (phase: HostPhase) => void
  /** Number of exchanges with guests in progress. */
  inFlight: () => number
  /** Whether requests wait for the responses to earlier ones on their connections. */
  hasWaitingRequests: () => boolean
  stop: () => void
}

/** Phase in the life cycle of a host. */
export enum HostPhase {
  Serving = 'serving',
  /** The host is no longer listed in address responses, but serves guests that have cached its address. */
  Leaving = 'leaving',
  /** The host refuses new requests with the outcome `not-run`. */
  Refusing = 'refusing'
}

const initialTransactionsPerSecond = 15

/** Creates the core of an entry host. The caller binds its listener. */
export function createHostCore (options: CreateHostCoreOptions): HostCore {
  const { logger, metrics } = options
  const random = createRandom(options.seed)
  const now = (): number => performance.now()
  const budget = createMeasuringBudgetState()
  const crashes = createCrashSuspectsState()
  let active: ActiveBundle | undefined
  let phase = HostPhase.Serving
  let inFlight = 0
  let exchangeCount = 0

  const host: EntryHost = {
    name: options.name,
    outgoingAddress: options.outgoingAddress,
    logger,
    metrics,
    random,
    crashes,
    claims: startClaimService({
      host: options.name,
      boot: options.boot,
      table: options.table,
      logger,
      metrics,
      now,
      epochNow: Date.now,
      transactionsPerSecond: initialTransactionsPerSecond
    }),
    now,
    epochNow: Date.now,
    activeBundle: () => active,
    mayServe: options.mayServe,
    isLeaving: () => phase !== HostPhase.Serving,
    isRefusing: () => phase === HostPhase.Refusing,
    listAddresses: options.listAddresses,
    takeMeasuringBudget: cost => {
      const configuration = active?.bundle.measuring
      if (configuration === undefined) return false
      const isGranted = takeMeasuringBudget({
        state: budget,
        budget: { messagesPerSecond: configuration.probesPerSecond, bytesPerSecond: configuration.bytesPerSecond, coreShare: configuration.coreShare },
        cost,
        now: now()
      })
      metrics.count(isGranted ? 'measuring_messages_total' : 'measuring_refused_total')
      if (isGranted) metrics.count('measuring_bytes_total', cost.bytes)
      return isGranted
    },
    runProbingCommand: (service, command) => runProbingCommand(host, service, command, options.shareReports),
    handleCrashEvent: event => runCrashCommands(stepCrashSuspects({ state: crashes, event, now: now() }))
  }

  const crashCommandHandlers: { [Kind in CrashCommandKind]: (command: Extract<CrashCommand, { kind: Kind }>) => Promise<void> | undefined } = {
    [CrashCommandKind.Announce]: ({ report, peers, holdResponsesMilliseconds }) => Promise.race([
      options.announceCrash(report, peers),
      new Promise<void>(resolve => setTimeout(resolve, holdResponsesMilliseconds))
    ]),
    [CrashCommandKind.Blamed]: ({ fingerprint, servers }) => {
      metrics.count('crash_suspects_blamed_total')
      logger.warn('request blamed for crashes', { fingerprint, servers: servers.join(',') })
      return undefined
    },
    [CrashCommandKind.Cleared]: ({ fingerprint }) => {
      logger.info('request no longer suspected of crashing servers', { fingerprint })
      return undefined
    }
  }
  const resolvedPromise = Promise.resolve()
  const runCrashCommands = (commands: CrashCommand[]): Promise<void> => {
    if (commands.length === 0) return resolvedPromise
    return Promise.all(commands.map(command => (crashCommandHandlers[command.kind] as (command: CrashCommand) => Promise<void> | undefined)(command))).then(() => {})
  }
  const crashTimer = setInterval(() => { host.handleCrashEvent({ kind: CrashEventKind.Ticked } satisfies CrashEvent).catch(() => {}) }, 1_000)

  const runFilters = composeFilters([serveHostEndpoints, identifyRequest, readBody, admitRequest, claimRequest, dispatchRequest])
  const onRequest = (request: IncomingMessage, response: ServerResponse): void => {
    response.on('error', () => {})
    request.on('error', () => {})
    exchangeCount += 1
    inFlight += 1
    const exchange = createExchange(host, request, response, String(exchangeCount))
    // An exchange always ends when its connection closes, regardless of the filters. It counts as in flight until its last
    // byte was written, because a host that stops closes the connections of its guests.
    response.on('close', () => {
      inFlight -= 1
      setImmediate(finishAbandonedExchange, exchange)
    })
    runFilters(exchange)
  }
  const { server: listener, guarded } = createGuestListener({
    onRequest,
    onRefused: (code, reason) => {
      metrics.count(`accounts_total{code="${code}"}`)
      logger.info('connection refused', { code, reason })
    }
  })
  metrics.gauge('in_flight', () => inFlight)
  metrics.gauge('guest_connections', guarded.countConnections)
  metrics.gauge('resident_megabytes', readResidentMegabytes)

  return {
    host,
    listener,
    inFlight: () => inFlight,
    hasWaitingRequests: guarded.hasWaitingRequests,
    activateBundle: (bundle, digest) => {
      const services = createServiceRuntimes({
        bundle,
        previous: active?.services ?? new Map(),
        host,
        dataCentre: options.dataCentre
      })
      retireRemovedServers(active?.services, services)
      active = { bundle, digest, findRoute: createRouteFinder(bundle), services }
      logger.info('bundle in force', { name: bundle.name, version: bundle.version, digest })
    },
    setPhase: next => {
      phase = next
      logger.info('host phase', { phase })
    },
    stop: () => {
      clearInterval(crashTimer)
      host.claims.stop()
      listener.close()
      listener.closeAllConnections()
      active?.services.forEach(({ servers }) => servers.forEach(({ connections }) => connections.destroy()))
    }
  }
}

function retireRemovedServers (previous: ActiveBundle['services'] = new Map(), next: ActiveBundle['services']): void {
  previous.forEach(({ servers }, service) => servers.forEach((server, name) => {
    if (next.get(service)?.servers.get(name) !== server) server.connections.retire()
  }))
}

function createExchange (host: EntryHost, request: IncomingMessage, response: ServerResponse, exchangeId: string): Exchange {
  return {
    host,
    request,
    response,
    exchangeId,
    receivedAt: host.now() - readHeldMilliseconds(request.socket),
    path: (request.url ?? '').split('?', 1)[0] ?? '',
    requestId: '',
    deadlineAt: Infinity,
    depth: 0,
    service: undefined,
    route: undefined,
    guestClass: '',
    idempotencyKey: undefined,
    guestAttempt: undefined,
    claim: undefined,
    onAdmitted: undefined,
    retriedByCaller: false,
    body: null,
    sends: 0,
    provablyNotStarted: 0,
    responseCompleted: false,
    finished: false,
    onFinished: []
  }
}

function finishAbandonedExchange (exchange: Exchange): void {
  if (exchange.finished) return
  exchange.claim?.guestDisconnected()
  exchange.host.metrics.count('exchanges_abandoned_total')
  finishExchange(exchange)
}
