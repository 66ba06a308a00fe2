// Filter: holds a request for a short time on a host that has just started and has not loaded a configuration yet.
import { decideStartupWait } from '@siskinbeam/admission/decideStartupWait'
import type { Filter } from './guestExchange.js'

export const awaitInitialView: Filter = (exchange, next) => {
  const { host, guestTimeoutMilliseconds } = exchange
  const milliseconds = host.initialView.isLoaded()
    ? 0
    : decideStartupWait({ hostAgeMilliseconds: host.now() - host.startedAt, guestWaitMilliseconds: guestTimeoutMilliseconds })
  if (milliseconds === 0) {
    next(exchange)
    return
  }
  host.metrics.count('startup_waits_total')
  host.initialView.onceLoaded(milliseconds, () => { if (!exchange.finished) next(exchange) })
}
