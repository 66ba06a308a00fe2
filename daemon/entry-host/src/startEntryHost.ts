// Starts an entry host: its listeners, and the control loops around the decision modules.
import { performance } from 'node:perf_hooks'
import type { AddressInfo } from 'node:net'
import type { Server } from 'node:http'
import { createLogger, LogLevel } from '@siskinbeam/logging/createLogger'
import { createMetrics } from '@siskinbeam/metrics/createMetrics'
import { createRandom } from '@siskinbeam/random/createRandom'
import type { Bundle } from '@siskinbeam/schema/bundle'
import { createRouteFinder } from '@siskinbeam/schema/findRoute'
import { splitAddress } from '@siskinbeam/settings/settingChecks'
import type { ActiveBundle, EntryHost } from './entryHost.js'
import { createGuestListener } from './guestListener.js'
import { dispatchRequest } from './requestPath/dispatchRequest.js'
import { joinFilters, type Exchange } from './requestPath/exchange.js'
import { identifyRequest } from './requestPath/identifyRequest.js'
import { readBody } from './requestPath/readBody.js'
import { createServiceRuntimes } from './servers/createServiceRuntimes.js'

export interface StartEntryHostOptions {
  name: string
  guestAddress: string
  outgoingAddress?: string | undefined
  seed: number
  logLevel?: LogLevel
}

/** An entry host that runs. */
export interface RunningEntryHost {
  host: EntryHost
  guestAddress: string
  putBundleInForce: (bundle: Bundle, digest: string) => void
  stop: () => Promise<void>
}

/** Starts an entry host in this process. */
export async function startEntryHost (options: StartEntryHostOptions): Promise<RunningEntryHost> {
  const logger = createLogger({ component: 'entry-host', level: options.logLevel ?? LogLevel.Info, fields: { host: options.name } })
  const metrics = createMetrics()
  let active: ActiveBundle | undefined
  const host: EntryHost = {
    name: options.name,
    logger,
    metrics,
    random: createRandom(options.seed),
    now: () => performance.now(),
    epochNow: () => Date.now(),
    activeBundle: () => active,
    leaving: () => false,
    listAddresses: () => []
  }
  const serveExchange = joinFilters([identifyRequest, readBody, dispatchRequest])
  const listener = createGuestListener({
    onRequest: (request, response) => {
      response.on('error', () => {})
      request.on('error', () => {})
      const exchange: Exchange = {
        host,
        request,
        response,
        receivedAt: host.now(),
        path: (request.url ?? '').split('?', 1)[0] ?? '',
        requestId: '',
        deadlineAt: Infinity,
        depth: 0,
        service: undefined,
        route: undefined,
        guestClass: '',
        key: undefined,
        guestAttempt: undefined,
        claim: undefined,
        sendAgain: undefined,
        retriedAbove: false,
        body: null,
        sends: 0,
        provablyNotStarted: 0,
        finished: false,
        onFinished: []
      }
      serveExchange(exchange)
    },
    onRefused: (code, reason) => {
      metrics.count(`accounts_total{code="${code}"}`)
      logger.info('connection refused', { code, reason })
    }
  })
  const guestAddress = await listen(listener, options.guestAddress)
  return {
    host,
    guestAddress,
    putBundleInForce: (bundle, digest) => {
      const services = createServiceRuntimes({ bundle, previous: active?.services ?? new Map(), now: host.now, outgoingAddress: options.outgoingAddress })
      active = { bundle, digest, findRoute: createRouteFinder(bundle), services }
      logger.info('bundle in force', { version: bundle.version, digest })
    },
    stop: () => new Promise(resolve => {
      listener.close(() => resolve())
      listener.closeAllConnections()
    })
  }
}

async function listen (server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve())
  })
  const bound = server.address() as AddressInfo
  return `${bound.address}:${bound.port}`
}
