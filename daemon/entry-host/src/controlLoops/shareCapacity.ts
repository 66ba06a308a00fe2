// Divides the resources that all entry hosts share by the number of live hosts in the membership view: the write rate of
// the table service and the connections of each server. A wrong number only affects throughput.
import { computeConnectionShare, createConnectionShareState, recordLiveHosts } from '@siskinbeam/connection-shares/computeConnectionShare'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { sleep, type ProcessBody } from '@siskinbeam/processes/channels'
import { superviseProcess } from '@siskinbeam/processes/superviseProcess'
import type { EntryHost } from '../entryHost.js'

export interface ShareCapacityOptions {
  host: EntryHost
  logger: Logger
  countEntryHosts: () => number
}

const intervalMilliseconds = 1_000

/** Starts the loop. */
export function shareCapacity ({ host, logger, countEntryHosts }: ShareCapacityOptions): { stop: () => void } {
  const shares = createConnectionShareState(host.now())
  return superviseProcess({
    name: 'capacity',
    logger,
    body: function * (): ProcessBody {
      while (true) {
        const active = host.activeBundle()
        const entryHosts = countEntryHosts()
        recordLiveHosts(shares, entryHosts, host.now())
        if (active !== undefined) {
          host.claims.setRate(active.bundle.platform.tableWritesPerSecond / entryHosts)
          active.services.forEach(({ servers }) => servers.forEach(({ configuration, connections }) => {
            connections.maxSockets = computeConnectionShare({ state: shares, connections: configuration.connections, now: host.now() })
          }))
        }
        yield sleep(intervalMilliseconds)
      }
    }
  })
}
