// The part of an entry host that serves guests: the request path and what it needs, without the control
// loops. Tests drive it in one process; startEntryHost adds the loops.
import { performance } from 'node:perf_hooks'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { TableClient } from '@siskinbeam/clients/createTableClient'
import { CrashCommandKind, CrashEventKind, type CrashCommand, type CrashEvent, type CrashReport } from '@siskinbeam/crash-suspects/crashTypes'
import { createCrashSuspectsState, stepCrashSuspects } from '@siskinbeam/crash-suspects/stepCrashSuspects'
import type { Logger } from '@siskinbeam/logging/createLogger'
import type { Metrics } from '@siskinbeam/metrics/createMetrics'
import { createMeasuringBudgetState, takeMeasuringBudget } from '@siskinbeam/measuring-budget/takeMeasuringBudget'
import type { AgedReport } from '@siskinbeam/probing/loadReport'
import { createRandom } from '@siskinbeam/random/createRandom'
import type { Bundle } from '@siskinbeam/schema/bundle'
import { createRouteFinder } from '@siskinbeam/schema/findRoute'
import { startClaimService } from './claims/startClaimService.js'
import { performMeasurement } from './controlLoops/measureServers.js'
import type { ActiveBundle, AddressList, EntryHost } from './entryHost.js'
import { createGuestListener } from './guestListener.js'
import { admitRequest } from './requestPath/admitRequest.js'
import { answerOwnPaths } from './requestPath/answerOwnPaths.js'
import { claimRequest } from './requestPath/claimRequest.js'
import { dispatchRequest } from './requestPath/dispatchRequest.js'
import { finishExchange, joinFilters, type Exchange } from './requestPath/exchange.js'
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
  /** Whether the bundle in force is known to be current enough; see watchBundles. */
  mayServe: () => boolean
  /** Tells this many live peers of a death; resolves once they know. */
  announceCrash: (report: CrashReport, peers: number) => Promise<void>
  shareReports: (peer: string, service: string, reports: AgedReport[]) => void
}

/** The core of an entry host. */
export interface HostCore {
  host: EntryHost
  listener: Server
  putInForce: (bundle: Bundle, digest: string) => void
  setPhase: (phase: HostPhase) => void
  /** Exchanges with guests that are in progress. */
  inFlight: () => number
  stop: () => void
}

/** Where a host stands in its life. */
export enum HostPhase {
  Serving = 'serving',
  /** Left out of new address answers, and serves guests that hold an old one. */
  Leaving = 'leaving',
  /** Refuses new requests as not run. */
  Refusing = 'refusing'
}

const assumedTransactionsPerSecond = 15

/** Creates the core. The caller binds its listener. */
export function createHostCore (options: CreateHostCoreOptions): HostCore {
  const { logger, metrics } = options
  const random = createRandom(options.seed)
  const now = (): number => performance.now()
  const budget = createMeasuringBudgetState()
  const crashes = createCrashSuspectsState()
  let active: ActiveBundle | undefined
  let phase = HostPhase.Serving
  let inFlight = 0
  let exchanges = 0

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
      transactionsPerSecond: assumedTransactionsPerSecond
    }),
    now,
    epochNow: Date.now,
    activeBundle: () => active,
    mayServe: options.mayServe,
    leaving: () => phase !== HostPhase.Serving,
    refusing: () => phase === HostPhase.Refusing,
    listAddresses: options.listAddresses,
    takeMeasuringBudget: cost => {
      const rule = active?.bundle.measuring
      if (rule === undefined) return false
      const taken = takeMeasuringBudget({
        state: budget,
        budget: { messagesPerSecond: rule.probesPerSecond, bytesPerSecond: rule.bytesPerSecond, coreShare: rule.coreShare },
        cost,
        now: now()
      })
      metrics.count(taken ? 'measuring_messages_total' : 'measuring_refused_total')
      if (taken) metrics.count('measuring_bytes_total', cost.bytes)
      return taken
    },
    measure: (service, command) => performMeasurement(host, service, command, options.shareReports),
    feedCrashes: event => performCrashCommands(stepCrashSuspects({ state: crashes, event, now: now() }))
  }

  const crashCommands: { [Kind in CrashCommandKind]: (command: Extract<CrashCommand, { kind: Kind }>) => Promise<void> | undefined } = {
    [CrashCommandKind.Announce]: ({ report, peers, holdResponsesMilliseconds: holdAnswersMilliseconds }) => Promise.race([
      options.announceCrash(report, peers),
      new Promise<void>(resolve => setTimeout(resolve, holdAnswersMilliseconds))
    ]),
    [CrashCommandKind.Blamed]: ({ fingerprint, servers }) => {
      metrics.count('crash_suspects_blamed_total')
      logger.warn('request blamed for crashes', { fingerprint, servers: servers.join(',') })
      return undefined
    },
    [CrashCommandKind.Cleared]: ({ fingerprint }) => {
      logger.info('request cleared of crashes', { fingerprint })
      return undefined
    }
  }
  const settled = Promise.resolve()
  const performCrashCommands = (commands: CrashCommand[]): Promise<void> => {
    if (commands.length === 0) return settled
    return Promise.all(commands.map(command => (crashCommands[command.kind] as (command: CrashCommand) => Promise<void> | undefined)(command))).then(() => {})
  }
  const crashTimer = setInterval(() => { host.feedCrashes({ kind: CrashEventKind.Ticked } satisfies CrashEvent).catch(() => {}) }, 1_000)

  const serveExchange = joinFilters([answerOwnPaths, identifyRequest, readBody, admitRequest, claimRequest, dispatchRequest])
  const onRequest = (request: IncomingMessage, response: ServerResponse): void => {
    response.on('error', () => {})
    request.on('error', () => {})
    exchanges += 1
    inFlight += 1
    const exchange = createExchange(host, request, response, String(exchanges))
    // Whatever the filters do, an exchange ends with its connection. It is in flight until its last byte
    // has left, since a host that stops closes the connections of guests.
    response.on('close', () => {
      inFlight -= 1
      setImmediate(endAbandoned, exchange)
    })
    serveExchange(exchange)
  }
  const listener = createGuestListener({
    onRequest,
    onRefused: (code, reason) => {
      metrics.count(`accounts_total{code="${code}"}`)
      logger.info('connection refused', { code, reason })
    }
  })
  metrics.gauge('in_flight', () => inFlight)

  return {
    host,
    listener,
    inFlight: () => inFlight,
    putInForce: (bundle, digest) => {
      const services = createServiceRuntimes({
        bundle,
        previous: active?.services ?? new Map(),
        host,
        dataCentre: options.dataCentre
      })
      retireServers(active?.services, services)
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

function retireServers (before: ActiveBundle['services'] = new Map(), after: ActiveBundle['services']): void {
  before.forEach(({ servers }, service) => servers.forEach((server, name) => {
    if (after.get(service)?.servers.get(name) !== server) server.connections.retire()
  }))
}

function createExchange (host: EntryHost, request: IncomingMessage, response: ServerResponse, number: string): Exchange {
  return {
    host,
    request,
    response,
    number,
    receivedAt: host.now(),
    path: (request.url ?? '').split('?', 1)[0] ?? '',
    requestId: '',
    deadlineAt: Infinity,
    depth: 0,
    service: undefined,
    route: undefined,
    guestClass: '',
    key: undefined,
    guestAttempt: undefined,
    claim: undefined,
    onAdmitted: undefined,
    retriedAbove: false,
    body: null,
    sends: 0,
    provablyNotStarted: 0,
    answeredWhole: false,
    finished: false,
    onFinished: []
  }
}

function endAbandoned (exchange: Exchange): void {
  if (exchange.finished) return
  exchange.claim?.guestLeft()
  exchange.host.metrics.count('exchanges_abandoned_total')
  finishExchange(exchange)
}
