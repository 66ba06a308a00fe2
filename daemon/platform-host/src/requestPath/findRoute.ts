// Filter: determines the route and the service of a request.
import { pickService } from '@siskinbeam/route-table/createRouteTable'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { Filter } from './guestExchange.js'
import { refuse } from './refuse.js'

/** Time within which another host is likely to have a configuration. */
const retryAfterMilliseconds = 400

export const findRoute: Filter = (exchange, next) => {
  const { host } = exchange
  const table = host.routes()
  if (table === undefined) {
    refuse(exchange, { code: ResultCode.NoBundle, reason: 'no configuration loaded', retryAfterMilliseconds })
    return
  }
  const route = table.findRoute(exchange.request.headers.host ?? '', exchange.path)
  if (route === undefined) {
    refuse(exchange, { code: ResultCode.PathNotRouted, reason: 'no route matches the path' })
    return
  }
  exchange.route = route
  exchange.deadlineAt = Math.min(exchange.deadlineAt, exchange.receivedAt + route.timeoutMilliseconds)
  const { forwarded } = exchange
  if (forwarded !== undefined && !route.services.some(({ service, weight }) => service === forwarded.service && weight > 0)) {
    refuse(exchange, { code: ResultCode.ForwardingRefused, reason: 'the service is none of the route in the configuration of this host' })
    return
  }
  const service = forwarded?.service ?? pickService(route, host.random())
  if (service === undefined) {
    refuse(exchange, { code: ResultCode.NoServer, reason: 'route has no service with a positive weight' })
    return
  }
  exchange.service = service
  next(exchange)
}
