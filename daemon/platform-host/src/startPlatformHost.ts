// Starts an entry host on the users' platform: its listeners, the request path, and the background processes that
// keep its view of the configuration, the servers and the entry hosts up to date.
import type { Server } from 'node:http'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { createOverloadState } from '@siskinbeam/admission/overloadDetection'
import { createTimeoutCounts } from '@siskinbeam/admission/timeBeforeArrival'
import { createByteBudget } from '@siskinbeam/byte-budget/byteBudget'
import { bindInBackground, bindWithin } from '@siskinbeam/listeners/bindWhenFree'
import { createMetrics, readResidentMegabytes } from '@siskinbeam/metrics/createMetrics'
import { createStoreClient } from '@siskinbeam/platform-adapter/createStoreClient'
import { maximumAddresses } from '@siskinbeam/platform-adapter/guestProtocol'
import type { HostSettings } from '@siskinbeam/platform-adapter/readHostSettings'
import { sleep, type ProcessBody } from '@siskinbeam/processes/channels'
import { superviseProcess } from '@siskinbeam/processes/superviseProcess'
import { createProbeShare, takeProbes } from '@siskinbeam/probe-share/probeShare'
import { createRandom, sample } from '@siskinbeam/random/createRandom'
import { createRetryShare, recordFirstSend, takeFurtherSend } from '@siskinbeam/retry-share/retryShare'
import { createCorrectionState } from '@siskinbeam/server-ranking/estimateCorrection'
import { createSaturationState } from '@siskinbeam/server-ranking/saturationSlowdown'
import { createIntroductions } from '@siskinbeam/watch-duty/introductions'
import { addHosts, createSourceSelection, recordIncomingCall } from '@siskinbeam/watch-duty/sourceSelection'
import { createCrashDetection } from './crashes/crashDetection.js'
import { createCrashRows } from './crashes/crashRows.js'
import { createPermits } from './dataCentre/permits.js'
import { createPeerClient } from './dataCentre/peerClient.js'
import { createFailureReports } from './dataCentre/failureReports.js'
import { logIgnoredReports, PeerReport } from './dataCentre/ignoredEntries.js'
import { createInitialView } from './dataCentre/initialView.js'
import { followSource } from './dataCentre/followSource.js'
import { joinDataCentre } from './dataCentre/joinDataCentre.js'
import { createLoadOnDemand } from './dataCentre/loadOnDemand.js'
import { createMemberList } from './dataCentre/memberList.js'
import type { Member } from './dataCentre/peerMessages.js'
import { createPeerServer } from './dataCentre/peerServer.js'
import { createView } from './dataCentre/view.js'
import { watchStore } from './dataCentre/watchStore.js'
import { createPeerChoiceState } from '@siskinbeam/peer-forwarding/peerChoice'
import { createForwardedRequests } from './peerForwarding/acceptForwarded.js'
import { createPeerDirectory } from './peerForwarding/peerDirectory.js'
import { createPeerLinks } from './peerForwarding/peerLinks.js'
import { createReachChecks } from './servers/reachChecks.js'
import { createAddressListener, createGuestListener, createReadinessListener, createRequestHandler } from './guestListeners.js'
import { createOperatorServer } from '@siskinbeam/metrics/createOperatorServer'
import type { PlatformHost, ShutdownTimes } from './platformHost.js'
import { createServiceTimeEstimates } from './requestPath/serviceTimeEstimates.js'
import { computeConnectionLimit } from './servers/computeConnectionLimit.js'
import { createLimitedServers } from './servers/limitedServers.js'
import { createNoticedServers } from './servers/noticedServers.js'
import { createReachedServers } from './servers/reachedServers.js'
import { createServerDeaths } from './servers/serverDeaths.js'
import { createServerEndpoints } from './servers/serverEndpoints.js'

export interface StartPlatformHostOptions {
  settings: HostSettings
  logger: Logger
  /** Whether the host has to end before it has started; it then binds no further address. */
  isAbandoned?: () => boolean
  countUnexpectedErrors?: () => number
}

export interface RunningPlatformHost {
  applySettings: (settings: HostSettings) => void
  /** Shuts down gracefully: withdraws the host, completes the requests in flight, and closes everything. Further calls join the first. */
  shutDown: () => Promise<void>
  /** Closes everything at once. */
  stop: () => void
  dump: () => string
  renderMetrics: () => string
}

/** The host accepts requests for this long after it withdraws, since guests cache the address list for its time to live; some cache it longer and then try another host. */
const shutdownListenMilliseconds = 2_400
/** Part of the grace period reserved for the exit of the process. */
const exitMarginMilliseconds = 700
const drainPollMilliseconds = 20
/** A predecessor uses its grace period at most. A start that waits longer costs less than one that ends and is repeated. */
const predecessorGracePeriods = 10
/** The host watches the store for this long after the last call of a follower. */
const followerLeaseMilliseconds = 1_000
/** Interval at which subsets are adapted to the number of hosts; a subset that is too large only costs connections. */
const subsetResizeMilliseconds = 1_000
const suspectCheckMilliseconds = 1_000
/** Ratio of the retry budget that a host uses; below 1, since each host counts only its own sends. */
const usableBudgetRatio = 0.9
/** Ratio of the health checks that a host uses; below 1, since guests are not spread evenly and the share starts with ten seconds of it saved. */
const usableProbeRatio = 0.75

interface BoundListener {
  server: Server
  address: string
  setting: string
}

/** Starts the host. Waits for addresses that a predecessor still holds. Rejects if one is unavailable for longer than a predecessor may keep it. */
export async function startPlatformHost (options: StartPlatformHostOptions): Promise<RunningPlatformHost> {
  let { settings } = options
  // Loading Node's crypto module would add a tenth to the startup time of the process.
  const boot = `${Date.now().toString(36)}-${Math.floor(Math.random() * Number.MAX_SAFE_INTEGER).toString(36)}`
  const { logger, isAbandoned = () => false, countUnexpectedErrors = () => 0 } = options
  const metrics = createMetrics()
  const random = createRandom(Math.floor(Math.random() * 0x7fff_ffff))
  const now = (): number => performance.now()
  let shuttingDown = false
  let shutdownTimes: ShutdownTimes = { listensUntil: Infinity, stopsAt: Infinity }
  let lastFollowerCallAt = -Infinity

  const sourceSelection = createSourceSelection({ name: settings.host, peerAddress: settings.peerAddress, guestAddress: settings.guestAddress, processorShare: settings.processorShare })
  /** Number of entry hosts, on the assumption that the data centres have equally many. */
  const countHosts = (): number => sourceSelection.hosts.size * settings.dataCentres.length
  const probeShare = createProbeShare(now())
  const retryBudgetOf = memoizeByName(createRetryShare)
  const endpoints = createServerEndpoints({
    host: settings.host,
    dataCentre: settings.dataCentre,
    countHosts: () => members.list().length,
    dataCentres: settings.dataCentres.length,
    now,
    onConnectionOpened: () => metrics.count('server_connections_total'),
    connectionLimitOf: service => computeConnectionLimit(view.routes()?.findService(service)?.maximumConnections ?? Infinity, Math.max(countHosts(), settings.seedPeers.length)),
    onLost: (endpoint, isReplaced) => host.serverDeaths.recordLoss(endpoint, isReplaced)
  })
  const view = createView({
    logger,
    metrics,
    now,
    onServers: (registry, ids) => endpoints.applyChanges(registry, ids),
    onHistoryChanged: () => {
      crashRows.rewrite()
      joiner.registerAgain()
    }
  })
  const loadOnDemand = createLoadOnDemand({ isLoaded: () => initialView.isLoaded(), readAge: () => now() - host.startedAt, loadFromStore: () => storeWatch.load() })
  const initialView = createInitialView(view, loadOnDemand)
  const store = createStoreClient({ address: settings.storeAddress, onCall: (call, outcome) => metrics.count(`store_calls_total{call="${call}",outcome="${outcome}"}`) })
  const crashes = createCrashDetection({ logger, count: metrics.count, now, onChange: () => peerServer.answerChanged() })
  const crashRows = createCrashRows({ store, crashes, logger, boot, now })
  const host: PlatformHost = {
    settings,
    logger,
    metrics,
    random,
    now,
    startedAt: now(),
    initialView,
    routes: () => view.routes(),
    endpoints,
    byteBudget: createByteBudget(settings.memoryMegabytes),
    limitedServers: createLimitedServers({ logger, count: metrics.count, now, findServer: id => view.registry.servers.get(id)?.server, onInvalidReport: from => host.ignoreReport(PeerReport.Limits, from), onChange: () => peerServer.answerChanged() }),
    noticedServers: createNoticedServers({ logger, count: metrics.count, now, random, findServer: id => view.registry.servers.get(id)?.server, onInvalidReport: from => host.ignoreReport(PeerReport.Leaving, from), onLeaving: () => peerServer.answerChanged() }),
    reachedServers: createReachedServers({ logger, now, listService: endpoints.listService, onLost: () => { host.peerDirectory.refresh().catch(() => {}) } }),
    peerChoices: createPeerChoiceState(),
    peerLinks: createPeerLinks({ now, onConnectionOpened: () => metrics.count('peer_connections_total') }),
    peerDirectory: createPeerDirectory({
      host: settings.host,
      dataCentre: settings.dataCentre,
      dataCentres: settings.dataCentres,
      peerAddress: settings.peerAddress,
      seedPeers: () => settings.seedPeers,
      listMembers: () => members.list(),
      requestPeers: address => peerClient.requestPeers(address),
      readFromStore: dataCentre => joiner.readHostsOf(dataCentre),
      logger,
      random,
      now
    }),
    describeOwn: () => describeOwn(),
    ignoreReport: logIgnoredReports({ logger, count: metrics.count, now }),
    takeProbes: wanted => takeProbes(probeShare, {
      wanted,
      perSecond: settings.maximumProbesPerSecond * usableProbeRatio * Math.max(1, view.registry.servers.size) / countHosts(),
      now: now()
    }),
    crashes,
    crashRows,
    serverDeaths: createServerDeaths({ now, sampleOthers: (endpoint, count) => sample(random, endpoints.listAll().filter(other => other !== endpoint && other.acceptsRequests()), count), onDeath: death => crashRows.write(crashes.recordDeath(death)) }),
    permits: { take: wish => permits.take(wish), isOwner: service => permits.isOwner(service) },
    isShuttingDown: () => shuttingDown,
    shutdownTimes: () => shutdownTimes,
    serviceTimes: createServiceTimeEstimates(),
    timeoutCountsOf: memoizeByName(createTimeoutCounts),
    saturationStateOf: memoizeByName(createSaturationState),
    correctionStateOf: memoizeByName(createCorrectionState),
    overloadStateOf: memoizeByName(createOverloadState),
    failureReports: createFailureReports({ host: settings.host, now }),
    retryBudgets: {
      recordFirstSend: service => recordFirstSend(retryBudgetOf(service), now()),
      tryTake: (service, purpose) => takeFurtherSend(retryBudgetOf(service), {
        ratio: settings.retryRatio * usableBudgetRatio,
        fixedSends: settings.minimumRetriesPerWindow * usableBudgetRatio / countHosts(),
        windowMilliseconds: settings.retryWindowMilliseconds
      }, purpose, now())
    }
  }
  function * removeExpiredSuspects (): ProcessBody {
    for (;;) {
      yield sleep(suspectCheckMilliseconds)
      crashes.removeExpired()
    }
  }
  function * resizeSubsets (): ProcessBody {
    for (;;) {
      yield sleep(subsetResizeMilliseconds)
      endpoints.resizeSubsets()
    }
  }
  const isReady = (): boolean => !shuttingDown && initialView.isLoaded()
  const describeOwn = (): Member => ({ ...sourceSelection.own, dataCentre: settings.dataCentre, ready: isReady(), ...(host.reachedServers.isCutOff() ? { isCutOff: true } : {}) })
  const members = createMemberList(describeOwn, now)
  const storeWatch = watchStore({
    host,
    view,
    store,
    isNeeded: () => follower.isOwnSource() || now() - lastFollowerCallAt < followerLeaseMilliseconds,
    confirmedElsewhereAt: () => follower.confirmedAt(),
    onFailing: () => peerServer.answerAll()
  })
  const peerClient = createPeerClient({ host, sourceSelection, own: describeOwn, view, members })
  const joiner = joinDataCentre({ host, sourceSelection, peerClient, store, isOwnSource: () => follower.isOwnSource() })
  const follower = followSource({ host, sourceSelection, peerClient, watch: storeWatch, hasJoined: joiner.hasJoined })
  const permits = createPermits({
    host: settings.host,
    dataCentre: settings.dataCentre,
    dataCentres: settings.dataCentres,
    limitedServers: host.limitedServers,
    listMembers: members.list,
    membersRevision: members.revision,
    requestPermit: peerClient.requestPermit,
    own: describeOwn,
    count: metrics.count,
    random,
    now
  })
  const requestHandler = createRequestHandler(host)
  const forwardedRequests = createForwardedRequests(host, requestHandler)
  const peerServer = createPeerServer({
    host,
    forwardedRequests,
    answerPermit: permits.answer,
    boot,
    view,
    members,
    introductions: createIntroductions(),
    confirmedAt: () => Math.max(follower.confirmedAt(), storeWatch.confirmedAt()),
    failingSince: storeWatch.failingSince,
    onCall: (member, follows) => {
      recordIncomingCall(sourceSelection, member.name)
      if (member.dataCentre === settings.dataCentre) addHosts(sourceSelection, [member])
      if (follows) lastFollowerCallAt = now()
    }
  })
  const guestListener = createGuestListener(host, requestHandler)
  metrics.gauge('configuration_version', () => view.routes()?.configuration.version ?? 0)
  metrics.gauge('view_age_milliseconds', () => now() - follower.confirmedAt())
  metrics.gauge('known_servers', () => view.registry.servers.size)
  metrics.gauge('limited_servers', () => host.limitedServers.list().length)
  metrics.gauge('noticed_servers', () => host.noticedServers.list().length)
  metrics.gauge('services_out_of_reach', () => host.reachedServers.listOutOfReach().length)
  metrics.gauge('crash_suspects', () => crashes.list().length)
  metrics.gauge('live_entry_hosts', () => members.list().length)
  metrics.gauge('in_flight', requestHandler.inFlight)
  metrics.gauge('forwarded_in_flight', forwardedRequests.inFlight)
  metrics.gauge('unexpected_errors_total', countUnexpectedErrors)
  metrics.gauge('guest_connections', guestListener.guarded.countConnections)
  metrics.gauge('resident_megabytes', readResidentMegabytes)
  metrics.gauge('buffered_bytes', () => host.byteBudget.heldBytes)
  view.onChange(guestListener.applyLimits)
  view.onChange(peerServer.answerChanged)

  const dump = (): string => JSON.stringify({
    host: settings.host,
    boot,
    leaving: shuttingDown,
    source: follower.source(),
    configuration: view.routes()?.configuration.version,
    ageMilliseconds: Math.round(now() - follower.confirmedAt()),
    members: members.list(),
    failingServers: [...view.registry.servers.keys()].map(server => ({ server, failureRatio: host.failureReports.readRatio(server) })).filter(({ failureRatio }) => failureRatio > 0),
    limitedServers: host.limitedServers.list(),
    permitOwners: permits.listOwners(),
    crashSuspects: crashes.list(),
    noticedServers: host.noticedServers.list(),
    servicesOutOfReach: host.reachedServers.listOutOfReach(),
    servers: [...view.registry.servers.values()],
    metrics: metrics.snapshot()
  })
  const listAddresses = (): string[] => {
    const ready = members.list().filter(member => member.ready).map(({ guestAddress }) => guestAddress)
    return ready.length <= maximumAddresses ? ready : sample(random, ready, maximumAddresses)
  }
  const requiredListeners: BoundListener[] = [
    { server: createAddressListener({ host, listAddresses }), address: settings.addressListAddress, setting: 'SISKINBEAM_ADDRESS_LIST_ADDRESS' },
    { server: createReadinessListener(host, isReady), address: settings.readinessAddress, setting: 'SISKINBEAM_READINESS_ADDRESS' },
    { server: peerServer.server, address: settings.peerAddress, setting: 'SISKINBEAM_PEER_ADDRESS' }
  ]
  const guestBinding: BoundListener = { server: guestListener.server, address: settings.guestAddress, setting: 'SISKINBEAM_GUEST_ADDRESS' }
  const operatorListeners: BoundListener[] = settings.metricsAddress === ''
    ? []
    : [{ server: createOperatorServer({ renderMetrics: metrics.render, dump }), address: settings.metricsAddress, setting: 'SISKINBEAM_METRICS_ADDRESS' }]
  const listeners = [...requiredListeners, guestBinding, ...operatorListeners]
  let stopped = false
  const limitMilliseconds = settings.graceMilliseconds * predecessorGracePeriods
  await Promise.all([
    ...requiredListeners.map(listener => bindWithin({ ...listener, logger, limitMilliseconds, isStopped: isAbandoned })),
    ...operatorListeners.map(listener => bindInBackground({ ...listener, logger, isStopped: () => stopped || isAbandoned() }))
  ])
  // Guests are accepted last, since none can be served while another address is missing.
  await bindWithin({ ...guestBinding, logger, limitMilliseconds, isStopped: isAbandoned })
  storeWatch.start()
  const processes = [
    superviseProcess({ name: 'join data centre', logger, body: joiner.run }),
    superviseProcess({ name: 'follow source', logger, body: follower.run }),
    superviseProcess({ name: 'read the store without a source', logger, body: follower.runOwnReads }),
    superviseProcess({ name: 'check services out of reach', logger, body: createReachChecks(host) }),
    superviseProcess({ name: 'resize subsets', logger, body: resizeSubsets }),
    superviseProcess({ name: 'remove expired crash suspects', logger, body: removeExpiredSuspects }),
    superviseProcess({ name: 'follow permit owners', logger, body: permits.run })
  ]
  logger.info('host started', { boot, dataCentre: settings.dataCentre, guestAddress: settings.guestAddress, peerAddress: settings.peerAddress, store: settings.storeAddress, metricsAddress: settings.metricsAddress })

  /** Waits for requests in flight and for open connections, on which a request may be arriving. */
  const waitForGuests = async (until: number): Promise<void> => {
    let allClosed = false
    guestListener.stopListening(() => { allClosed = true })
    const poll = async (): Promise<void> => {
      guestListener.guarded.closeIdleConnections()
      if ((allClosed && requestHandler.inFlight() === 0) || now() >= until) return
      await delay(drainPollMilliseconds)
      await poll()
    }
    await poll()
  }
  let shutdown: Promise<void> | undefined
  const shutDownOnce = async (): Promise<void> => {
    const startedAt = now()
    shuttingDown = true
    shutdownTimes = { listensUntil: startedAt + shutdownListenMilliseconds, stopsAt: startedAt + settings.graceMilliseconds - exitMarginMilliseconds }
    logger.info('host leaving', { inFlight: requestHandler.inFlight() })
    peerServer.answerChanged()
    follower.announce().catch(() => {})
    await delay(shutdownListenMilliseconds)
    await waitForGuests(shutdownTimes.stopsAt)
    logger.info('host stopped', { inFlight: requestHandler.inFlight(), milliseconds: Math.round(now() - startedAt) })
    stop()
  }
  const stop = (): void => {
    storeWatch.stop()
    crashRows.stop()
    processes.forEach(process => process.stop())
    peerClient.close()
    host.peerLinks.close()
    endpoints.close()
    store.close()
    stopped = true
    listeners.forEach(({ server }) => {
      server.close()
      server.closeAllConnections()
    })
  }

  return {
    applySettings: next => {
      settings = next
      host.settings = next
      logger.info('settings reloaded', { seeds: next.seedPeers.join(',') })
    },
    shutDown: () => {
      shutdown ??= shutDownOnce()
      return shutdown
    },
    stop,
    renderMetrics: metrics.render,
    dump
  }
}

/** Returns a function that creates the state of a name at its first use and returns the same one afterwards. */
function memoizeByName<State> (create: () => State): (name: string) => State {
  const states = new Map<string, State>()
  return name => {
    const state = states.get(name) ?? create()
    states.set(name, state)
    return state
  }
}

function delay (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
