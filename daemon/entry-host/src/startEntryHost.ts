// Starts an entry host: its listeners and its control loops.
import { createHostListClient, HostRole, HostState, type ListedHost } from '@siskinbeam/clients/createHostListClient'
import { createObjectClient } from '@siskinbeam/clients/createObjectClient'
import { createTableClient } from '@siskinbeam/clients/createTableClient'
import { selectEntryAddresses } from '@siskinbeam/entry-addresses/selectEntryAddresses'
import { countLiveEntryHosts, listDataCentrePeers, listLiveEntryHosts } from '@siskinbeam/entry-hosts/listEntryHosts'
import { createBootId, type MemberEntry } from '@siskinbeam/entry-hosts/memberEntry'
import { createPeerClients } from '@siskinbeam/exchange/createPeerClients'
import { servePeers } from '@siskinbeam/exchange/servePeers'
import { checkInvariant, Invariant, setViolationHandler } from '@siskinbeam/invariants/checkInvariant'
import { bindInBackground, bindWithin } from '@siskinbeam/listeners/bindWhenFree'
import { createLogger, type Logger } from '@siskinbeam/logging/createLogger'
import { createMetrics, type Metrics } from '@siskinbeam/metrics/createMetrics'
import { createRandom } from '@siskinbeam/random/createRandom'
import type { Result } from '@siskinbeam/result-codes/codedError'
import { succeed } from '@siskinbeam/result-codes/codedError'
import { HealthEventKind } from '@siskinbeam/server-health/healthState'
import type { SettingValues } from '@siskinbeam/settings/readSettings'
import { parseTrustedKeys } from '@siskinbeam/signatures/signingKeys'
import { createPeerUpdates } from './controlLoops/createPeerUpdates.js'
import { startMembershipLoop, type MembershipLoop } from './controlLoops/startMembershipLoop.js'
import { startProbingLoop } from './controlLoops/startProbingLoop.js'
import { shareCapacity } from './controlLoops/shareCapacity.js'
import { shortenDigest, watchBundles, type BundleWatcher } from './controlLoops/watchBundles.js'
import { createHostCore, HostPhase, type HostCore } from './createHostCore.js'
import type { AddressList } from './entryHost.js'
import type { entryHostSettings } from './entryHostSettings.js'
import { describeHost } from './operators/describeHost.js'
import { createOperatorKeyCheck } from '@siskinbeam/metrics/createOperatorKeyCheck'
import { createOperatorServer } from '@siskinbeam/metrics/createOperatorServer'
import { handleHealthEvent } from './servers/observeServers.js'

type AddressListConfiguration = typeof defaultAddressListConfiguration

export type EntryHostSettings = SettingValues<typeof entryHostSettings>

export interface StartEntryHostOptions {
  /** Whether the host has to end before it has started; it then binds no further address. */
  isAbandoned?: () => boolean
  countUnexpectedErrors?: () => number
}

/** A running entry host. */
export interface RunningEntryHost {
  guestAddress: string
  peerAddress: string
  dump: () => string
  /** Shuts down gracefully: serves for `leavingSeconds`, then refuses new requests. Within the next `drainSeconds`, no exchange is cut off and no settlement is lost. */
  shutDown: () => Promise<void>
}

const peerTimeoutMilliseconds = 500
const peerCloseGraceMilliseconds = 500
const drainPollMilliseconds = 20
/** A predecessor uses its time for shutting down at most. A start that waits longer costs less than one that ends and is repeated. */
const predecessorGracePeriods = 10
const defaultAddressListConfiguration = { maximumAddresses: 6, timeToLiveSeconds: 2 }
/** A host that just started knows few other hosts, so guests should cache its address lists only briefly. */
const discoveryMilliseconds = 5_000
const discoveryTimeToLiveSeconds = 1

/**
 * Starts an entry host in this process. Waits for addresses that a predecessor still holds, and rejects if one is unavailable for longer than
 * a predecessor may keep it, or once the host is abandoned. Fails with KeyInvalid if a trusted key can't be parsed.
 */
export async function startEntryHost (settings: EntryHostSettings, { isAbandoned = () => false, countUnexpectedErrors = () => 0 }: StartEntryHostOptions = {}): Promise<Result<RunningEntryHost>> {
  const trustedKeys = parseTrustedKeys(settings.trustedKeys)
  if (!trustedKeys.ok) return trustedKeys
  const logger = createLogger({ component: 'entry-host', level: settings.logLevel, fields: { host: settings.host } })
  const metrics = createMetrics()
  reportViolations(logger, metrics)
  const seed = settings.seed === 0 ? Math.floor(Math.random() * 0x7fff_ffff) : settings.seed
  const random = createRandom(seed)
  const bootId = createBootId({ epochMilliseconds: Date.now(), random: Math.random })
  const table = createTableClient({ address: settings.tableAddress })
  const objects = createObjectClient({ address: settings.objectStoreAddress })
  const hostList = createHostListClient({ address: settings.hostListAddress })
  const now = (): number => performance.now()
  const startedAt = now()
  const peerClients = createPeerClients({ key: settings.peerKey, timeoutMilliseconds: peerTimeoutMilliseconds, now })

  // The loops depend on each other, so each accesses the others through this object, which is filled while they start.
  const loops: { membership?: MembershipLoop, bundles?: BundleWatcher } = {}
  const listLivePeers = (): MemberEntry[] => loops.membership === undefined ? [] : listLiveEntryHosts(loops.membership.state, now()).slice(1)
  const listAddresses = (dataCentre: string | undefined): AddressList => loops.membership === undefined
    ? { addresses: [], timeToLiveSeconds: defaultAddressListConfiguration.timeToLiveSeconds }
    : selectEntryAddresses({
      membership: loops.membership.state,
      ...(dataCentre === undefined ? {} : { dataCentre }),
      rule: computeAddressListConfiguration(core.host.activeBundle()?.bundle.entryAddresses ?? defaultAddressListConfiguration, now() - startedAt),
      now: now(),
      random
    })
  const peerUpdates = createPeerUpdates({
    getHost: () => core.host,
    getLocalMember: () => loops.membership?.state.own as MemberEntry,
    listLivePeers,
    peerClients,
    getBundleDigestPrefix: () => shortenDigest(loops.bundles?.head()),
    random
  })
  const core: HostCore = createHostCore({
    name: settings.host,
    boot: bootId,
    dataCentre: settings.dataCentre,
    outgoingAddress: settings.outgoingAddress,
    seed: Math.floor(random() * 0x7fff_ffff),
    logger,
    metrics,
    table,
    listAddresses,
    mayServe: () => loops.bundles?.mayServe() ?? false,
    announceCrash: peerUpdates.announceCrash,
    shareReports: peerUpdates.shareReports
  })

  let stopped = false
  const isStopped = (): boolean => stopped || isAbandoned()
  const limitMilliseconds = (settings.leavingSeconds + settings.drainSeconds) * 1_000 * predecessorGracePeriods
  const peerServer = await servePeers({
    bind: server => bindWithin({ server, address: settings.peerAddress, setting: 'peer-address', logger, limitMilliseconds, isStopped }),
    peerKey: settings.peerKey,
    operatorKey: settings.operatorKey,
    logger,
    handlers: {
      exchange: message => (loops.membership as MembershipLoop).handleExchange(message),
      fetchBundle: async version => (loops.bundles as BundleWatcher).fetchForPeer(version),
      dump: () => dump(),
      status: () => {
        const status = loops.bundles?.status()
        return {
          host: settings.host,
          bootId,
          bundleVersion: status?.inForce?.version ?? 0,
          bundleDigest: status?.inForce?.digest ?? '',
          signers: status?.inForce === undefined ? [] : [status.inForce.author, status.inForce.approver],
          leaving: core.host.isLeaving(),
          inFlight: core.inFlight(),
          isolatedMilliseconds: status?.isolatedMilliseconds ?? 0
        }
      }
    }
  })
  // Guests are accepted last, since none can be served without the peers.
  const guestAddress = await bindWithin({ server: core.listener, address: settings.guestAddress, setting: 'guest-address', logger, limitMilliseconds, isStopped })
  const membership = startMembershipLoop({
    localMember: { host: settings.host, bootId, dataCentre: settings.dataCentre, guestAddress, peerAddress: peerServer.address },
    seedPeers: settings.seedPeers,
    peerClients,
    hostList,
    logger,
    metrics,
    now,
    random,
    buildUpdate: peerUpdates.buildUpdate,
    onMessage: message => {
      peerUpdates.handleMessage(message)
      loops.bundles?.handlePeerMessage(message)
    },
    onHostList: hosts => recordLeavingServers(core, hosts)
  })
  loops.membership = membership
  const bundles = watchBundles({
    trustedKeys: trustedKeys.value,
    table,
    objects,
    peerClients,
    listPeers: listLivePeers,
    countListedHosts: membership.countListedHosts,
    logger,
    metrics,
    now,
    random,
    activateBundle: ({ bundle, digest }) => {
      core.activateBundle(bundle, digest)
      membership.recordActiveBundle(bundle.version)
    }
  })
  loops.bundles = bundles
  const probing = startProbingLoop({ host: core.host, logger, listLocalPeers: () => listDataCentrePeers(membership.state).map(({ host }) => host) })
  const capacity = shareCapacity({ host: core.host, logger, countEntryHosts: () => countLiveEntryHosts(membership.state, now()) })
  const dump = (): string => JSON.stringify(describeHost({ host: core.host, membership: membership.state, rollout: bundles.status(), inFlight: core.inFlight() }))
  metrics.gauge('bundle_version', () => bundles.head()?.version ?? 0)
  metrics.gauge('isolated_milliseconds', () => bundles.status().isolatedMilliseconds ?? 0)
  metrics.gauge('unexpected_errors_total', countUnexpectedErrors)
  metrics.gauge('live_entry_hosts', () => countLiveEntryHosts(membership.state, now()))
  const operatorServer = settings.metricsAddress === ''
    ? undefined
    : createOperatorServer({ isAuthorized: createOperatorKeyCheck(settings.operatorKey), renderMetrics: metrics.render, dump })
  if (operatorServer !== undefined) await bindInBackground({ server: operatorServer, address: settings.metricsAddress, setting: 'metrics-address', logger, isStopped })
  logger.info('host started', { bootId, dataCentre: settings.dataCentre, guestAddress, peerAddress: peerServer.address, seed })

  const stopAll = async (): Promise<void> => {
    stopped = true
    ;[membership, bundles, probing, capacity].forEach(loop => loop.stop())
    operatorServer?.close()
    operatorServer?.closeAllConnections()
    core.stop()
    await peerServer.close(peerCloseGraceMilliseconds)
    peerClients.closeAll()
    ;[table, objects, hostList].forEach(client => client.close())
  }
  let shutdownPromise: Promise<void> | undefined
  return succeed({
    guestAddress,
    peerAddress: peerServer.address,
    dump,
    shutDown: () => {
      shutdownPromise ??= shutDownGracefully(core, membership, settings, logger).then(stopAll)
      return shutdownPromise
    }
  })
}

function computeAddressListConfiguration (configuration: AddressListConfiguration, uptimeMilliseconds: number): AddressListConfiguration {
  return uptimeMilliseconds < discoveryMilliseconds ? { ...configuration, timeToLiveSeconds: discoveryTimeToLiveSeconds } : configuration
}

async function shutDownGracefully (core: HostCore, membership: MembershipLoop, settings: EntryHostSettings, logger: Logger): Promise<void> {
  core.setPhase(HostPhase.Leaving)
  membership.leave()
  await wait(settings.leavingSeconds * 1_000)
  core.setPhase(HostPhase.Refusing)
  const deadline = performance.now() + settings.drainSeconds * 1_000
  const drain = async (): Promise<void> => {
    if ((core.inFlight() === 0 && !core.hasWaitingRequests()) || performance.now() >= deadline) return
    await wait(drainPollMilliseconds)
    await drain()
  }
  await drain()
  await Promise.race([core.host.claims.flush(), wait(Math.max(0, deadline - performance.now()))])
  checkInvariant({
    invariant: Invariant.GracefulStop,
    holds: core.inFlight() === 0,
    detail: () => `${core.inFlight()} exchanges were in progress after ${settings.drainSeconds} s`
  })
  logger.info('host stopped', { inFlight: core.inFlight() })
}

function recordLeavingServers (core: HostCore, hosts: ListedHost[]): void {
  const leaving = new Set(hosts.filter(({ role, state }) => role === HostRole.Server && state === HostState.Leaving).map(({ name }) => name))
  core.host.activeBundle()?.services.forEach(service => handleHealthEvent(core.host, service, { kind: HealthEventKind.HostListRead, leaving }))
}

function reportViolations (logger: Logger, metrics: Metrics): void {
  setViolationHandler((invariant, detail) => {
    metrics.count(`invariant_violations_total{invariant="${invariant}"}`)
    logger.error('invariant violated', { invariant, detail })
  })
}

function wait (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
