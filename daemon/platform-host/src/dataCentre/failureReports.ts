// Exchanges with the source of this host which servers fail part of their requests. Followers report the outcomes of their
// sends with each sync call, and the source returns the servers that several hosts have seen failing.
import { createFailureEvidence, listFailingServers, readFailureRatio, recordSendCounts, type FailingServer, type SendCounts } from '@siskinbeam/failure-evidence/failureEvidence'

/** Outcomes of the sends to one server since the last report. */
export interface ReportedSends extends SendCounts {
  server: string
}

export interface FailureReports {
  /** Records a send of this host. */
  record: (server: string, failed: boolean) => void
  /** Returns the failure ratio of a server, from this host's source or from the reports of its followers. */
  readRatio: (server: string) => number
  /** Returns the outcomes to report to the source, and starts a new report. */
  takeReport: () => ReportedSends[]
  /** Adds the report of a follower. */
  addReport: (host: string, report: ReportedSends[]) => void
  listFailing: () => FailingServer[]
  /** Replaces the list received from the source. */
  applyFailing: (servers: FailingServer[]) => void
}

export interface CreateFailureReportsOptions {
  host: string
  now: () => number
}

/** A list that is older is ignored; sources answer at least twice in this time. */
const maximumAgeMilliseconds = 1_500
/** Limits the size of a report. A host sends to fewer servers between two calls. */
const maximumReportedServers = 64

/** Creates reports without content. */
export function createFailureReports ({ host, now }: CreateFailureReportsOptions): FailureReports {
  const evidence = createFailureEvidence()
  const pending = new Map<string, SendCounts>()
  let received = new Map<string, number>()
  let receivedAt = -Infinity

  return {
    record: (server, failed) => {
      const failures = failed ? 1 : 0
      const counts = pending.get(server) ?? { sends: 0, failures: 0 }
      if (pending.has(server) || pending.size < maximumReportedServers) pending.set(server, { sends: counts.sends + 1, failures: counts.failures + failures })
      recordSendCounts({ evidence, server, host, sends: 1, failures, now: now() })
    },
    readRatio: server => Math.max(
      readFailureRatio(evidence, server, now()),
      now() - receivedAt < maximumAgeMilliseconds ? received.get(server) ?? 0 : 0
    ),
    takeReport: () => {
      const report = [...pending].map(([server, counts]) => ({ server, ...counts }))
      pending.clear()
      return report
    },
    addReport: (reporter, report) => report.slice(0, maximumReportedServers).forEach(({ server, sends, failures }) => {
      recordSendCounts({ evidence, server, host: reporter, sends, failures, now: now() })
    }),
    listFailing: () => listFailingServers(evidence, now()),
    applyFailing: servers => {
      received = new Map(servers.map(({ server, failureRatio }) => [server, failureRatio]))
      receivedAt = now()
    }
  }
}
