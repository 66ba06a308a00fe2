// Filter: lets a request wait for a moment on a host that has just started and knows no configuration yet.
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
