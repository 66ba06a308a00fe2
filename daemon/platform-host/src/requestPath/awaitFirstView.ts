// Filter: lets a request wait for a moment on a host that has just started and knows no configuration yet.
import { decideStartupWait } from '@siskinbeam/admission/decideStartupWait'
import type { Filter } from './guestExchange.js'

export const awaitFirstView: Filter = (exchange, next) => {
  const { host, waitMilliseconds } = exchange
  const milliseconds = host.firstView.isKnown()
    ? 0
    : decideStartupWait({ hostAgeMilliseconds: host.now() - host.startedAt, guestWaitMilliseconds: waitMilliseconds })
  if (milliseconds === 0) {
    next(exchange)
    return
  }
  host.metrics.count('startup_waits_total')
  host.firstView.whenKnown(milliseconds, () => { if (!exchange.finished) next(exchange) })
}
