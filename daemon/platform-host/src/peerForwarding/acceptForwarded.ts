// Requests that other hosts forward since they reach no server. They pass through the same filters as those of the own guests, are never
// forwarded a second time, and are bounded in number, so that the own guests keep their share.
import type { IncomingMessage, ServerResponse } from 'node:http'
import { describeResultCode } from '@siskinbeam/result-codes/describeResultCode'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { ForwardingOffer, ForwardingOfferRequest } from '../dataCentre/peerMessages.js'
import type { RequestHandler } from '../guestListeners.js'
import type { PlatformHost } from '../platformHost.js'
import { formatResultOfResponse, forwardedHeader, parseForwardedDetails } from './forwardingHeaders.js'

export interface ForwardedRequests {
  /** Says whether this host takes a request of another one. */
  offer: (request: ForwardingOfferRequest) => ForwardingOffer
  /** Handles the request if another host forwards it. Returns false for any other request. */
  handle: (request: IncomingMessage, response: ServerResponse) => boolean
  inFlight: () => number
}

/** Beyond this number, other hosts have more room. */
const maximumForwarded = 64

/** Creates the handler of forwarded requests. */
export function createForwardedRequests (host: PlatformHost, handler: RequestHandler): ForwardedRequests {
  let inFlight = 0

  const offer = ({ service, configurationVersion }: ForwardingOfferRequest): ForwardingOffer => {
    // A state that does not last may be over when the request arrives.
    const isOutOfReach = host.reachedServers.isLastinglyOutOfReach(service)
    const version = host.routes()?.configuration.version ?? 0
    // With an older configuration, this host could undo a change that the other one has made visible.
    const isReached = !isOutOfReach || (host.reachedServers.mayUseOpenConnections(service) && host.endpoints.listService(service).some(endpoint => endpoint.hasIdleConnection()))
    const accepts = isReached && !host.isShuttingDown() && version > 0 && version >= configurationVersion && inFlight < maximumForwarded &&
      host.endpoints.listService(service).some(endpoint => endpoint.acceptsRequests())
    host.metrics.count(`forwarding_offers_total{accepted="${accepts}"}`)
    return { accepts, isOutOfReach: !isReached }
  }

  const refuseInvalid = (request: IncomingMessage, response: ServerResponse): void => {
    const code = ResultCode.ForwardedRequestInvalid
    const { status = 400, meaning } = describeResultCode(code)
    host.metrics.count('forwarded_requests_invalid_total')
    host.logger.warn('forwarded request rejected', { code, address: request.socket.remoteAddress })
    request.resume()
    response.writeHead(status, { 'content-type': 'application/json', ...formatResultOfResponse(code), connection: 'close' })
    response.end(JSON.stringify({ code, name: ResultCode[code], meaning }))
  }

  return {
    offer,
    handle: (request, response) => {
      if (request.headers[forwardedHeader] === undefined) return false
      const details = parseForwardedDetails(request.headers[forwardedHeader])
      if (details === undefined) {
        refuseInvalid(request, response)
        return true
      }
      inFlight += 1
      response.on('close', () => { inFlight -= 1 })
      host.metrics.count('forwarded_requests_total')
      handler.handle(request, response, details)
      return true
    },
    inFlight: () => inFlight
  }
}
