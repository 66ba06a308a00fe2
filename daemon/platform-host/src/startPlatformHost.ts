// Starts an entry host on the users' platform: its listeners, the request path, and the processes that
// keep its view of configuration, servers and entry hosts up to date.
import type { Server } from 'node:http'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { createPressure } from '@siskinbeam/admission/overloadPressure'
import { bindListener } from '@siskinbeam/listeners/bindListener'
import { createMetrics } from '@siskinbeam/metrics/createMetrics'
import { createStoreClient } from '@siskinbeam/platform-adapter/createStoreClient'
import { maximumAddresses } from '@siskinbeam/platform-adapter/guestDialect'
import type { HostSettings } from '@siskinbeam/platform-adapter/readHostSettings'
import { sleep, type ProcessBody } from '@siskinbeam/processes/channels'
import { superviseProcess } from '@siskinbeam/processes/superviseProcess'
import { createRandom, sample } from '@siskinbeam/random/createRandom'
import { createRetryShare, noteFirstSend, takeFurtherSend } from '@siskinbeam/retry-share/retryShare'
import { createCorrection } from '@siskinbeam/server-ranking/estimateCorrection'
import { createFullness } from '@siskinbeam/server-ranking/fullnessFactor'
import { createIntroductions } from '@siskinbeam/watch-duty/introductions'
import { addHosts, createDutyState, noteHostCalled } from '@siskinbeam/watch-duty/watchDuty'
import { callPeers } from './dataCentre/callPeers.js'
import { createFirstView } from './dataCentre/firstView.js'
import { followSource } from './dataCentre/followSource.js'
import { joinDataCentre } from './dataCentre/joinDataCentre.js'
import { createMembers } from './dataCentre/keepMembers.js'
import type { Member } from './dataCentre/peerMessages.js'
import { servePeers } from './dataCentre/servePeers.js'
import { createView } from './dataCentre/view.js'
import { watchStore } from './dataCentre/watchStore.js'
import { createAddressListener, createGuestListener, createReadinessListener } from './guestListeners.js'
import { createOperatorsListener } from '@siskinbeam/metrics/createOperatorsListener'
import type { PlatformHost } from './platformHost.js'
import { createLongestWaits } from './requestPath/longestWaits.js'
import { createWorkEstimates } from './requestPath/workEstimates.js'
import { createServerLinks } from './servers/serverLinks.js'

export interface StartPlatformHostOptions {
  settings: HostSettings
  logger: Logger
}

export interface RunningPlatformHost {
  applySettings: (settings: HostSettings) => void
  /** Stops taking guests, answers those that are there, and ends. */
  leave: () => Promise<void>
  /** Ends at once. */
  stop: () => void
  dump: () => string
  renderMetrics: () => string
}

/** Guests keep an answer about addresses for its time to live; some keep it longer and then try another host. */
const listenAfterLeavingMilliseconds = 2_400
/** Time to leave over for the end of the process. */
const endMarginMilliseconds = 700
const drainPollMilliseconds = 20
/** A host that was asked to watch does so for this long. */
const watchForFollowersMilliseconds = 1_000
/** Subsets follow the number of hosts within this time; a larger subset than needed costs connections only. */
const adaptMilliseconds = 1_000
/** Part of the budget that hosts use, since they count their own sends only. */
const usedRetryShare = 0.9

/** Starts the host. */
export async function startPlatformHost (options: StartPlatformHostOptions): Promise<RunningPlatformHost> {
  let { settings } = options
  // Node's crypto module would cost a tenth of a process's start.
  const boot = `${Date.now().toString(36)}-${Math.floor(Math.random() * Number.MAX_SAFE_INTEGER).toString(36)}`
  const { logger } = options
  const metrics = createMetrics()
  const random = createRandom(Math.floor(Math.random() * 0x7fff_ffff))
  const now = (): number => performance.now()
  let leaving = false
  let followedAt = -Infinity

  const duty = createDutyState({ name: settings.host, peerAddress: settings.peerAddress, guestAddress: settings.guestAddress, processorShare: settings.processorShare })
  const shareOf = keepByName(createRetryShare)
  const links = createServerLinks({
    host: settings.host,
    dataCentre: settings.dataCentre,
    countHosts: () => members.list().length,
    dataCentres: settings.dataCentres,
    now,
    onConnectionOpened: () => metrics.count('server_connections_total')
  })
  const view = createView({ logger, metrics, now, onServers: (registry, ids) => links.follow(registry, ids) })
  const firstView = createFirstView(view)
  const host: PlatformHost = {
    settings,
    logger,
    metrics,
    random,
    now,
    startedAt: now(),
    firstView,
    routes: () => view.routes(),
    links,
    leaving: () => leaving,
    work: createWorkEstimates(),
    longestWaits: createLongestWaits(),
    fullnessOf: keepByName(createFullness),
    correctionOf: keepByName(createCorrection),
    pressureOf: keepByName(createPressure),
    retries: {
      noteFirstSend: service => noteFirstSend(shareOf(service), now()),
      take: (service, purpose) => takeFurtherSend(shareOf(service), {
        ratio: settings.retryRatio * usedRetryShare,
        fixedSends: settings.retryFixedSends * usedRetryShare / (duty.hosts.size * settings.dataCentres),
        windowMilliseconds: settings.retryWindowMilliseconds
      }, purpose, now())
    }
  }
  function * adaptSubsets (): ProcessBody {
    for (;;) {
      yield sleep(adaptMilliseconds)
      links.adaptToHosts()
    }
  }
  const isReady = (): boolean => !leaving && firstView.isKnown()
  const own = (): Member => ({ ...duty.own, dataCentre: settings.dataCentre, ready: isReady() })
  const members = createMembers(own, now)
  const store = createStoreClient({ address: settings.storeAddress, onCall: (call, outcome) => metrics.count(`store_calls_total{call="${call}",outcome="${outcome}"}`) })
  const watch = watchStore({
    host,
    view,
    store,
    isNeeded: () => follower.isOwnSource() || now() - followedAt < watchForFollowersMilliseconds,
    onLost: () => peers.release()
  })
  const calls = callPeers({ host, duty, own, view, members })
  const entry = joinDataCentre({ host, duty, calls, store, isOwnSource: () => follower.isOwnSource() })
  const follower = followSource({ host, duty, calls, watch, hasJoined: entry.hasJoined })
  const peers = servePeers({
    host,
    boot,
    view,
    members,
    introductions: createIntroductions(),
    confirmedAt: () => Math.max(follower.confirmedAt(), watch.confirmedAt()),
    failingSince: watch.failingSince,
    onCaller: (member, follows) => {
      noteHostCalled(duty, member.name)
      if (member.dataCentre === settings.dataCentre) addHosts(duty, [member])
      if (follows) followedAt = now()
    }
  })
  const guests = createGuestListener(host)
  metrics.gauge('configuration_version', () => view.routes()?.configuration.version ?? 0)
  metrics.gauge('view_age_milliseconds', () => now() - follower.confirmedAt())
  metrics.gauge('known_servers', () => view.registry.servers.size)
  metrics.gauge('live_entry_hosts', () => members.list().length)
  metrics.gauge('in_flight', guests.inFlight)
  view.onChange(guests.applyLimits)
  view.onChange(peers.flush)

  const dump = (): string => JSON.stringify({
    host: settings.host,
    boot,
    leaving,
    source: follower.source(),
    configuration: view.routes()?.configuration.version,
    ageMilliseconds: Math.round(now() - follower.confirmedAt()),
    members: members.list(),
    servers: [...view.registry.servers.values()],
    metrics: metrics.snapshot()
  })
  const listAddresses = (): string[] => {
    const ready = members.list().filter(member => member.ready).map(({ guestAddress }) => guestAddress)
    return ready.length <= maximumAddresses ? ready : sample(random, ready, maximumAddresses)
  }
  const listeners: Array<[Server, string]> = [
    [guests.server, settings.guestAddress],
    [createAddressListener({ host, listAddresses }), settings.addressListAddress],
    [createReadinessListener(host, isReady), settings.readinessAddress],
    [peers.server, settings.peerAddress],
    ...(settings.metricsAddress === '' ? [] : [[createOperatorsListener({ renderMetrics: metrics.render, dump }), settings.metricsAddress] as [Server, string]])
  ]
  await Promise.all(listeners.map(([server, address]) => bindListener(server, address)))
  watch.start()
  const processes = [
    superviseProcess({ name: 'join data centre', logger, body: entry.run }),
    superviseProcess({ name: 'follow source', logger, body: follower.run }),
    superviseProcess({ name: 'adapt subsets', logger, body: adaptSubsets })
  ]
  logger.info('host started', { boot, dataCentre: settings.dataCentre, guestAddress: settings.guestAddress, peerAddress: settings.peerAddress, store: settings.storeAddress, metricsAddress: settings.metricsAddress })

  const waitForGuests = async (until: number): Promise<void> => {
    if (guests.inFlight() === 0 || now() >= until) return
    await wait(drainPollMilliseconds)
    await waitForGuests(until)
  }
  const leave = async (): Promise<void> => {
    const startedAt = now()
    leaving = true
    logger.info('host leaving', { inFlight: guests.inFlight() })
    peers.flush()
    follower.announce().catch(() => {})
    await wait(listenAfterLeavingMilliseconds)
    guests.server.close()
    await waitForGuests(startedAt + settings.graceMilliseconds - endMarginMilliseconds)
    logger.info('host stopped', { inFlight: guests.inFlight(), milliseconds: Math.round(now() - startedAt) })
    stop()
  }
  const stop = (): void => {
    watch.stop()
    processes.forEach(process => process.stop())
    calls.close()
    links.close()
    store.close()
    listeners.forEach(([server]) => {
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
    leave,
    stop,
    renderMetrics: metrics.render,
    dump
  }
}

/** Keeps one state for each name, made at its first use. */
function keepByName<State> (create: () => State): (name: string) => State {
  const states = new Map<string, State>()
  return name => {
    const state = states.get(name) ?? create()
    states.set(name, state)
    return state
  }
}

function wait (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
