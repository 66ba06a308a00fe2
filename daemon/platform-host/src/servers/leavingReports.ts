// Says which servers leave to the other hosts of the data centre: a follower tells its source, and a source its followers. Each
// caller gets what it does not have yet, so that a release of a large service is not sent again with each server that leaves.

export interface LeavingReports {
  /** Adds a start of a server that is now known to leave. */
  add: (server: string) => void
  /** Lists the starts that have been added since a revision. */
  listSince: (revision: number) => string[]
  /** Increases with each start that is added. */
  revision: () => number
  /** Lists starts that the source, known by its boot ID, has not confirmed. */
  listUntold: (sourceBoot: string) => string[]
  /** Records that the source has received these starts or has sent them. */
  confirm: (sourceBoot: string, servers: string[]) => void
}

export interface CreateLeavingReportsOptions {
  /** Whether that start of a server is in the list of servers. */
  isRegistered: (server: string) => boolean
  /** Milliseconds of the monotonic clock. */
  now: () => number
}

/** A start that is no longer registered is reported for this long, to hosts whose list of servers is behind. */
const retentionMilliseconds = 60_000
/** Bounds the size of a call. */
const maximumPerCall = 128

/** Creates reports of no server. */
export function createLeavingReports ({ isRegistered, now }: CreateLeavingReportsOptions): LeavingReports {
  const added = new Map<string, { revision: number, at: number }>()
  let confirmed = { sourceBoot: '', servers: new Set<string>() }
  let revision = 0

  const removeExpired = (): void => {
    const expired = [...added].filter(([server, { at }]) => now() - at > retentionMilliseconds && !isRegistered(server)).map(([server]) => server)
    expired.forEach(server => {
      added.delete(server)
      confirmed.servers.delete(server)
    })
  }

  return {
    add: server => {
      revision += 1
      added.set(server, { revision, at: now() })
      removeExpired()
    },
    listSince: since => [...added].filter(([, entry]) => entry.revision > since).map(([server]) => server),
    revision: () => revision,
    listUntold: sourceBoot => added.size === 0 ? [] : [...added.keys()].filter(server => confirmed.sourceBoot !== sourceBoot || !confirmed.servers.has(server)).slice(0, maximumPerCall),
    confirm: (sourceBoot, servers) => {
      if (confirmed.sourceBoot !== sourceBoot) confirmed = { sourceBoot, servers: new Set() }
      servers.filter(server => added.has(server)).forEach(server => confirmed.servers.add(server))
    }
  }
}
