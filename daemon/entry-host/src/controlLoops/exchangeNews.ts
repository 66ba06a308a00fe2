// What entry hosts tell each other besides heartbeats: the version in force, load reports, and deaths
// of servers. Load reports and deaths are also sent in messages of their own when they can't wait.
import { CrashEventKind, type CrashReport } from '@siskinbeam/crash-suspects/crashTypes'
import { reportCrashSuspects } from '@siskinbeam/crash-suspects/stepCrashSuspects'
import type { MemberEntry } from '@siskinbeam/entry-hosts/memberEntry'
import type { PeerClients } from '@siskinbeam/exchange/createPeerClients'
import { sample, type Random } from '@siskinbeam/random/createRandom'
import { ReportSource, type AgedReport } from '@siskinbeam/probing/loadReport'
import { computeServerId } from '@siskinbeam/protocol/compactFields'
import type { PeerMessage } from '@siskinbeam/protocol/peerMessage'
import type { EntryHost } from '../entryHost.js'
import { noteLoad } from '../servers/observeServers.js'
import type { PeerNews } from './keepMembership.js'

export interface ExchangeNewsOptions {
  host: () => EntryHost
  own: () => MemberEntry
  livePeers: () => MemberEntry[]
  peerClients: PeerClients
  bundleDigestPrefix: () => string
  random: Random
}

/** Sends and takes news. */
export interface NewsExchange {
  tell: () => PeerNews
  hear: (message: PeerMessage) => void
  shareReports: (peer: string, service: string, reports: AgedReport[]) => void
  announceCrash: (report: CrashReport, peers: number) => Promise<void>
}

interface NamedServer {
  service: string
  server: string
}

// A heartbeat is only the second way of a report, for hosts that missed the announcement.
const suspectsPerHeartbeat = 4
const emptyReport: CrashReport = { suspects: [], serverDeaths: [] }

/** Creates the exchange of news. */
export function exchangeNews (options: ExchangeNewsOptions): NewsExchange {
  const { peerClients } = options
  let namedFor = ''
  let names = new Map<string, NamedServer>()

  // Peers name servers by a short digest; the table is made anew for each bundle.
  const findServer = (serverId: string): NamedServer | undefined => {
    const active = options.host().activeBundle()
    if (active !== undefined && active.digest !== namedFor) {
      namedFor = active.digest
      names = new Map([...active.services].flatMap(([service, { servers }]) =>
        [...servers.keys()].map((server): [string, NamedServer] => [computeServerId(service, server), { service, server }])))
    }
    return names.get(serverId)
  }
  const makeMessage = (news: Partial<PeerNews>): PeerMessage => ({
    heartbeat: { sender: options.own(), members: [] },
    bundleDigestPrefix: options.bundleDigestPrefix(),
    crashReport: emptyReport,
    loadReports: [],
    ...news
  })
  const describeSuspects = (): CrashReport => {
    const { crashes, now } = options.host()
    return crashes.suspects.size === 0 ? emptyReport : reportCrashSuspects({ state: crashes, now: now(), random: options.random, maximumSuspects: suspectsPerHeartbeat })
  }
  const hear = ({ loadReports, crashReport }: PeerMessage): void => {
    const host = options.host()
    loadReports.forEach(({ serverId, ageMilliseconds, inFlight, queued, latencyMilliseconds }) => {
      const named = findServer(serverId)
      const service = named === undefined ? undefined : host.activeBundle()?.services.get(named.service)
      if (named !== undefined && service !== undefined) {
        noteLoad(host, service, named.server, { inFlight, queued, latencyMilliseconds }, ReportSource.Peer, ageMilliseconds)
      }
    })
    if (crashReport.suspects.length > 0 || crashReport.serverDeaths.length > 0) {
      host.feedCrashes({ kind: CrashEventKind.PeerReported, report: crashReport }).catch(() => {})
    }
  }

  return {
    tell: () => ({ bundleDigestPrefix: options.bundleDigestPrefix(), crashReport: describeSuspects(), loadReports: [] }),
    hear,
    shareReports: (peer, service, reports) => {
      const address = options.livePeers().find(({ host }) => host === peer)?.peerAddress
      if (address === undefined) return
      const loadReports = reports.map(({ server, ageMilliseconds, report }) => ({
        serverId: computeServerId(service, server),
        inFlight: report.inFlight,
        queued: report.queued,
        latencyMilliseconds: report.latencyMilliseconds ?? 0,
        ageMilliseconds
      }))
      peerClients.get(address).exchange(makeMessage({ loadReports })).catch(() => {})
    },
    announceCrash: (report, peers) => Promise.all(sample(options.random, options.livePeers(), peers).map(({ peerAddress }) =>
      peerClients.get(peerAddress).exchange(makeMessage({ crashReport: report })))).then(() => {})
  }
}
