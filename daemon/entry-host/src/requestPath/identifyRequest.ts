// Reads what a guest says of its request, and finds the service and the route.
import { randomUUID } from 'node:crypto'
import { maximumCallDepth, IdempotencyKeyPolicy } from '@siskinbeam/schema/bundle'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { Account } from './account.js'
import { accountFor } from './accountFor.js'
import type { Exchange, Filter } from './exchange.js'

const longestKey = 200
const longestRequestId = 100
const longestDeadlineMilliseconds = 600_000
const visibleText = /^[\x21-\x7e]+$/

/** Takes over one header, or gives the account of a wrong value. */
type HeaderReader = (exchange: Exchange, value: string) => Account | undefined

const headerInvalid = (header: string, expected: string): Account =>
  ({ code: ResultCode.HeaderInvalid, message: `header ${header} is invalid, expected ${expected}` })

const readWholeNumber = (value: string, highest: number): number | undefined =>
  /^\d{1,9}$/.test(value) && Number(value) <= highest ? Number(value) : undefined

/** Whether a guest may give its request this id. */
export function isRequestId (value: string): boolean {
  return value.length <= longestRequestId && visibleText.test(value)
}

// A request id of the guest is kept, since it joins the logs of both sides.
const headerReaders: Record<string, HeaderReader> = {
  'siskinbeam-request-id': (exchange, value) => {
    if (!isRequestId(value)) return headerInvalid('siskinbeam-request-id', `at most ${longestRequestId} visible characters`)
    exchange.requestId = value
    return undefined
  },
  'siskinbeam-depth': (exchange, value) => {
    const depth = readWholeNumber(value, 1_000_000)
    if (depth === undefined) return headerInvalid('siskinbeam-depth', 'a whole number')
    if (depth > maximumCallDepth) return { code: ResultCode.CallTreeTooDeep, message: `depth ${depth} is over ${maximumCallDepth}` }
    exchange.depth = depth
    return undefined
  },
  'siskinbeam-retried': (exchange, value) => {
    exchange.retriedAbove = value === '1'
    return undefined
  },
  'siskinbeam-attempt': (exchange, value) => {
    const attempt = readWholeNumber(value, 1_000_000)
    if (attempt === undefined || attempt < 1) return headerInvalid('siskinbeam-attempt', 'a whole number from 1')
    exchange.guestAttempt = attempt
    return undefined
  },
  'idempotency-key': (exchange, value) => {
    if (value.length > longestKey || !visibleText.test(value)) return headerInvalid('idempotency-key', `at most ${longestKey} visible characters`)
    exchange.key = value
    return undefined
  }
}

/** The filter that identifies a request or refuses it. */
export const identifyRequest: Filter = (exchange, next) => {
  const { request, host } = exchange
  exchange.requestId = randomUUID()
  const wrongHead = checkHead(exchange)
  if (wrongHead !== undefined) return accountFor(exchange, wrongHead)
  const wrongHeader = Object.entries(headerReaders)
    .map(([name, read]) => {
      const value = request.headers[name]
      return typeof value === 'string' ? read(exchange, value) : undefined
    })
    .find(account => account !== undefined)
  if (wrongHeader !== undefined) return accountFor(exchange, wrongHeader)

  if (host.refusing()) {
    return accountFor(exchange, { code: ResultCode.HostLeaving, message: `host ${host.name} is shutting down`, retryAfterMilliseconds: 0 })
  }
  const active = host.activeBundle()
  if (active === undefined || !host.mayServe()) {
    return accountFor(exchange, { code: ResultCode.NoBundle, message: active === undefined ? 'no bundle in force' : 'the present bundle is being asked for after a pause', retryAfterMilliseconds: 1_000 })
  }
  const { service, route } = active.findRoute(request.method ?? '', exchange.path)
  if (service === undefined) return accountFor(exchange, { code: ResultCode.UnknownService, message: 'no service has this path' })
  exchange.service = active.services.get(service.name)
  if (route === undefined) return accountFor(exchange, { code: ResultCode.UnknownRoute, message: `service ${service.name} has no route for this method and path` })
  exchange.route = route
  if (!route.idempotent && route.idempotencyKey === IdempotencyKeyPolicy.Required && exchange.key === undefined) {
    return accountFor(exchange, { code: ResultCode.IdempotencyKeyRequired, message: 'header idempotency-key is missing' })
  }
  const wrong = readClassAndDeadline(exchange, route.guestClass, route.deadlineMilliseconds, active.bundle.guestClasses)
  return wrong === undefined ? next() : accountFor(exchange, wrong)
}

function checkHead ({ request: { headers, httpVersion } }: Exchange): Account | undefined {
  if (headers.host === undefined && httpVersion !== '1.0') return headerInvalid('host', 'the host that is asked')
  if (headers.expect !== undefined && headers.expect.toLowerCase() !== '100-continue') return headerInvalid('expect', '100-continue')
  return undefined
}

function readClassAndDeadline (exchange: Exchange, routeClass: string, routeDeadline: number, classes: string[]): Account | undefined {
  const { headers } = exchange.request
  const asked = headers['siskinbeam-class']
  exchange.guestClass = routeClass
  if (typeof asked === 'string') {
    if (!classes.includes(asked)) return headerInvalid('siskinbeam-class', `one of ${classes.join(', ')}`)
    // A guest may lower its class, not raise it.
    if (classes.indexOf(asked) > classes.indexOf(routeClass)) exchange.guestClass = asked
  }
  const remaining = headers['siskinbeam-deadline']
  if (typeof remaining !== 'string') {
    exchange.deadlineAt = exchange.receivedAt + routeDeadline
    return undefined
  }
  const milliseconds = readWholeNumber(remaining, longestDeadlineMilliseconds)
  if (milliseconds === undefined) return headerInvalid('siskinbeam-deadline', `whole milliseconds up to ${longestDeadlineMilliseconds}`)
  exchange.deadlineAt = exchange.receivedAt + Math.min(milliseconds, routeDeadline)
  return undefined
}
