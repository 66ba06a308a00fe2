// Validates the request headers that siskinbeam defines, and finds the service and the route.
import { randomUUID } from 'node:crypto'
import { maximumCallDepth, IdempotencyKeyPolicy } from '@siskinbeam/schema/bundle'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { ErrorResponse } from './errorResponse.js'
import { sendErrorResponse } from './sendErrorResponse.js'
import type { Exchange, Filter } from './exchange.js'

const maximumKeyLength = 200
const maximumRequestIdLength = 100
const maximumDeadlineMilliseconds = 600_000
const visibleText = /^[\x21-\x7e]+$/

/** Stores the value of one header in the exchange, or returns the error for an invalid value. */
type HeaderParser = (exchange: Exchange, value: string) => ErrorResponse | undefined

const createHeaderError = (header: string, expected: string): ErrorResponse =>
  ({ code: ResultCode.HeaderInvalid, message: `header ${header} is invalid, expected ${expected}` })

const parseNonNegativeInteger = (value: string, maximum: number): number | undefined =>
  /^\d{1,9}$/.test(value) && Number(value) <= maximum ? Number(value) : undefined

/** Whether a guest may use this value as a request ID. */
export function isRequestId (value: string): boolean {
  return value.length <= maximumRequestIdLength && visibleText.test(value)
}

// The request ID of the guest is kept, so that logs of guests and hosts can be correlated.
const headerParsers: Record<string, HeaderParser> = {
  'siskinbeam-request-id': (exchange, value) => {
    if (!isRequestId(value)) return createHeaderError('siskinbeam-request-id', `at most ${maximumRequestIdLength} visible characters`)
    exchange.requestId = value
    return undefined
  },
  'siskinbeam-depth': (exchange, value) => {
    const depth = parseNonNegativeInteger(value, 1_000_000)
    if (depth === undefined) return createHeaderError('siskinbeam-depth', 'a whole number')
    if (depth > maximumCallDepth) return { code: ResultCode.CallTreeTooDeep, message: `depth ${depth} is over ${maximumCallDepth}` }
    exchange.depth = depth
    return undefined
  },
  'siskinbeam-retried': (exchange, value) => {
    exchange.retriedByCaller = value === '1'
    return undefined
  },
  'siskinbeam-attempt': (exchange, value) => {
    const attempt = parseNonNegativeInteger(value, 1_000_000)
    if (attempt === undefined || attempt < 1) return createHeaderError('siskinbeam-attempt', 'a whole number from 1')
    exchange.guestAttempt = attempt
    return undefined
  },
  'idempotency-key': (exchange, value) => {
    if (value.length > maximumKeyLength || !visibleText.test(value)) return createHeaderError('idempotency-key', `at most ${maximumKeyLength} visible characters`)
    exchange.idempotencyKey = value
    return undefined
  }
}

/** The filter that finds the service and route of a request, or refuses it. */
export const identifyRequest: Filter = (exchange, next) => {
  const { request, host } = exchange
  exchange.requestId = randomUUID()
  const requiredHeaderError = validateRequiredHeaders(exchange)
  if (requiredHeaderError !== undefined) return sendErrorResponse(exchange, requiredHeaderError)
  const headerError = Object.entries(headerParsers)
    .map(([name, parse]) => {
      const value = request.headers[name]
      return typeof value === 'string' ? parse(exchange, value) : undefined
    })
    .find(error => error !== undefined)
  if (headerError !== undefined) return sendErrorResponse(exchange, headerError)

  if (host.isRefusing()) {
    return sendErrorResponse(exchange, { code: ResultCode.HostLeaving, message: `host ${host.name} is shutting down`, retryAfterMilliseconds: 0 })
  }
  const active = host.activeBundle()
  if (active === undefined || !host.mayServe()) {
    return sendErrorResponse(exchange, { code: ResultCode.NoBundle, message: active === undefined ? 'no bundle in force' : 'the present bundle is being asked for after a pause', retryAfterMilliseconds: 1_000 })
  }
  const { service, route } = active.findRoute(request.method ?? '', exchange.path)
  if (service === undefined) return sendErrorResponse(exchange, { code: ResultCode.UnknownService, message: 'no service has this path' })
  exchange.service = active.services.get(service.name)
  if (route === undefined) return sendErrorResponse(exchange, { code: ResultCode.UnknownRoute, message: `service ${service.name} has no route for this method and path` })
  exchange.route = route
  if (!route.idempotent && route.idempotencyKey === IdempotencyKeyPolicy.Required && exchange.idempotencyKey === undefined) {
    return sendErrorResponse(exchange, { code: ResultCode.IdempotencyKeyRequired, message: 'header idempotency-key is missing' })
  }
  const classOrDeadlineError = parseClassAndDeadline(exchange, route.guestClass, route.deadlineMilliseconds, active.bundle.guestClasses)
  return classOrDeadlineError === undefined ? next() : sendErrorResponse(exchange, classOrDeadlineError)
}

function validateRequiredHeaders ({ request: { headers, httpVersion } }: Exchange): ErrorResponse | undefined {
  if (headers.host === undefined && httpVersion !== '1.0') return createHeaderError('host', 'the host that is asked')
  if (headers.expect !== undefined && headers.expect.toLowerCase() !== '100-continue') return createHeaderError('expect', '100-continue')
  return undefined
}

function parseClassAndDeadline (exchange: Exchange, routeClass: string, routeDeadline: number, classes: string[]): ErrorResponse | undefined {
  const { headers } = exchange.request
  const requestedClass = headers['siskinbeam-class']
  exchange.guestClass = routeClass
  if (typeof requestedClass === 'string') {
    if (!classes.includes(requestedClass)) return createHeaderError('siskinbeam-class', `one of ${classes.join(', ')}`)
    // A guest may lower the class of its route but not raise it.
    if (classes.indexOf(requestedClass) > classes.indexOf(routeClass)) exchange.guestClass = requestedClass
  }
  const remaining = headers['siskinbeam-deadline']
  if (typeof remaining !== 'string') {
    exchange.deadlineAt = exchange.receivedAt + routeDeadline
    return undefined
  }
  const milliseconds = parseNonNegativeInteger(remaining, maximumDeadlineMilliseconds)
  if (milliseconds === undefined) return createHeaderError('siskinbeam-deadline', `whole milliseconds up to ${maximumDeadlineMilliseconds}`)
  exchange.deadlineAt = exchange.receivedAt + Math.min(milliseconds, routeDeadline)
  return undefined
}
