// Filter: finds the route of a request and the service that it goes to.
import { pickService } from '@siskinbeam/route-table/createRouteTable'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { Filter } from './guestExchange.js'
import { refuse } from './refuse.js'

/** Another host is likely to know a configuration by then. */
const retryAfterMilliseconds = 400

export const findRoute: Filter = (exchange, next) => {
  const { host } = exchange
  const table = host.routes()
  if (table === undefined) {
    refuse(exchange, { code: ResultCode.NoBundle, reason: 'no configuration is known', retryAfterMilliseconds })
    return
  }
  const route = table.findRoute(exchange.request.headers.host ?? '', exchange.path)
  if (route === undefined) {
    refuse(exchange, { code: ResultCode.PathNotRouted, reason: 'no route begins the path' })
    return
  }
  exchange.route = route
  exchange.deadlineAt = Math.min(exchange.deadlineAt, exchange.receivedAt + route.timeoutMilliseconds)
  const service = pickService(route, host.random())
  if (service === undefined) {
    refuse(exchange, { code: ResultCode.NoServer, reason: 'no service of the route has a weight' })
    return
  }
  exchange.service = service
  next(exchange)
}
