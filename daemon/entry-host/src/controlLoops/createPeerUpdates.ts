// The updates that entry hosts exchange in addition to heartbeats: the active bundle version, load reports, and crash
// reports. Load reports and urgent crash reports are sent in separate messages.
import { CrashEventKind, type CrashReport } from '@siskinbeam/crash-suspects/crashTypes'
import { reportCrashSuspects } from '@siskinbeam/crash-suspects/stepCrashSuspects'
import type { MemberEntry } from '@siskinbeam/entry-hosts/memberEntry'
import type { PeerClients } from '@siskinbeam/exchange/createPeerClients'
import { sample, type Random } from '@siskinbeam/random/createRandom'
import { ReportSource, type AgedReport } from '@siskinbeam/probing/loadReport'
import { computeServerId } from '@siskinbeam/protocol/compactFields'
import type { PeerMessage } from '@siskinbeam/protocol/peerMessage'
import type { EntryHost } from '../entryHost.js'
import { recordLoadReport } from '../servers/observeServers.js'
import type { PeerUpdate } from './startMembershipLoop.js'

export interface CreatePeerUpdatesOptions {
  getHost: () => EntryHost
  getLocalMember: () => MemberEntry
  listLivePeers: () => MemberEntry[]
  peerClients: PeerClients
  getBundleDigestPrefix: () => string
  random: Random
}

/** Builds, sends and handles updates. */
export interface PeerUpdates {
  buildUpdate: () => PeerUpdate
  handleMessage: (message: PeerMessage) => void
  shareReports: (peer: string, service: string, reports: AgedReport[]) => void
  announceCrash: (report: CrashReport, peers: number) => Promise<void>
}

interface ServerReference {
  service: string
  server: string
}

// Heartbeats repeat crash reports for hosts that missed the announcement, so a few suspects per heartbeat suffice.
const maximumSuspectsPerHeartbeat = 4
const emptyReport: CrashReport = { suspects: [], serverDeaths: [] }

/** Creates the exchange of updates with peers. */
export function createPeerUpdates (options: CreatePeerUpdatesOptions): PeerUpdates {
  const { peerClients } = options
  let indexedDigest = ''
  let serversById = new Map<string, ServerReference>()

  // Peers identify servers by a short digest. The index is rebuilt for each bundle.
  const findServer = (serverId: string): ServerReference | undefined => {
    const active = options.getHost().activeBundle()
    if (active !== undefined && active.digest !== indexedDigest) {
      indexedDigest = active.digest
      serversById = new Map([...active.services].flatMap(([service, { servers }]) =>
        [...servers.keys()].map((server): [string, ServerReference] => [computeServerId(service, server), { service, server }])))
    }
    return serversById.get(serverId)
  }
  const buildMessage = (update: Partial<PeerUpdate>): PeerMessage => ({
    heartbeat: { sender: options.getLocalMember(), members: [] },
    bundleDigestPrefix: options.getBundleDigestPrefix(),
    crashReport: emptyReport,
    loadReports: [],
    ...update
  })
  const buildCrashReport = (): CrashReport => {
    const { crashes, now } = options.getHost()
    return crashes.suspects.size === 0 ? emptyReport : reportCrashSuspects({ state: crashes, now: now(), random: options.random, maximumSuspects: maximumSuspectsPerHeartbeat })
  }
  const handleMessage = ({ loadReports, crashReport }: PeerMessage): void => {
    const host = options.getHost()
    loadReports.forEach(({ serverId, ageMilliseconds, inFlight, queued, latencyMilliseconds }) => {
      const reference = findServer(serverId)
      const service = reference === undefined ? undefined : host.activeBundle()?.services.get(reference.service)
      if (reference !== undefined && service !== undefined) {
        recordLoadReport(host, service, reference.server, { inFlight, queued, latencyMilliseconds }, ReportSource.Peer, ageMilliseconds)
      }
    })
    if (crashReport.suspects.length > 0 || crashReport.serverDeaths.length > 0) {
      host.handleCrashEvent({ kind: CrashEventKind.PeerReported, report: crashReport }).catch(() => {})
    }
  }

  return {
    buildUpdate: () => ({ bundleDigestPrefix: options.getBundleDigestPrefix(), crashReport: buildCrashReport(), loadReports: [] }),
    handleMessage,
    shareReports: (peer, service, reports) => {
      const address = options.listLivePeers().find(({ host }) => host === peer)?.peerAddress
      if (address === undefined) return
      const loadReports = reports.map(({ server, ageMilliseconds, report }) => ({
        serverId: computeServerId(service, server),
        inFlight: report.inFlight,
        queued: report.queued,
        latencyMilliseconds: report.latencyMilliseconds ?? 0,
        ageMilliseconds
      }))
      peerClients.get(address).exchange(buildMessage({ loadReports })).catch(() => {})
    },
    announceCrash: (report, peers) => Promise.all(sample(options.random, options.listLivePeers(), peers).map(({ peerAddress }) =>
      peerClients.get(peerAddress).exchange(buildMessage({ crashReport: report })))).then(() => {})
  }
}
