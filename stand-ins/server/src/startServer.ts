// A stand-in for a server. It processes requests in slots for a random service time and reports its load. Its
// injected faults make it drain, shed requests, crash, freeze, slow down, truncate responses or stall connections.
import { randomUUID } from 'node:crypto'
import { appendFileSync } from 'node:fs'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import { bindListener } from '@siskinbeam/listeners/bindListener'
import { createRandom, drawLognormal } from '@siskinbeam/random/createRandom'
import type { SettingValues } from '@siskinbeam/settings/readSettings'
import { createSlots, type Job } from './createSlots.js'
import { changeFaults, noFaults, type ServerFaults } from './serverFaults.js'
import type { serverSettings } from './serverSettings.js'

export type ServerOptions = SettingValues<typeof serverSettings>

/** One run of a request, as a line of the run log. Times are epoch milliseconds; `finished` is null until the run ends. */
export interface RunRecord {
  server: string
  boot: string
  requestId: string
  key: string | null
  path: string
  started: number
  finished: number | null
}

/** A running stand-in. */
export interface RunningServer {
  boot: string
  address: string
  controlAddress: string
  runs: () => RunRecord[]
  setFaults: (change: Record<string, unknown>) => void
  /** Stops sending responses on the connections that are open now. */
  stallConnections: () => void
  stop: () => Promise<void>
}

/** A request whose path contains this text crashes the server that runs it. */
export const crashPathMarker = 'crash-the-server'

const loadPath = '/.load'
const maximumRunLogEntries = 200_000
const maximumProbesPerSource = 100_000
const coldStartFactor = 3
const minimumNoiseMilliseconds = 20
const maximumNoiseMilliseconds = 200
/** Probability that noisy neighbours slow the server down during a noise interval. */
const noisyShare = 0.2
const latencyWeight = 0.1

/** Starts the stand-in on its service address and its control address. Throws if an address cannot be bound. */
export async function startServer (options: ServerOptions, crash: () => void = () => process.exit(70)): Promise<RunningServer> {
  const boot = randomUUID()
  const random = createRandom(options.seed)
  const startedAt = Date.now()
  const runs: RunRecord[] = []
  const sockets = new Set<Socket>()
  const stalledSockets = new WeakSet<Socket>()
  const delays = new Map((options.networkDelays ?? '').split(',').filter(Boolean).map(pair => pair.split(':').map(Number) as [number, number]))
  const slots = createSlots(options.slots, options.queueLength)
  let faults: ServerFaults = noFaults
  let noise = { factor: 1, until: 0 }
  let meanLatency = options.serviceMilliseconds

  const appendToRunLog = (run: RunRecord): void => {
    if (options.runLog !== undefined) appendFileSync(options.runLog, JSON.stringify(run) + '\n')
  }

  // Send times of probes by source address, so that a test can check the probing budget independently of the probing hosts.
  const probes = new Map<string, number[]>()
  const recordProbe = (source: string, sentAt: number): void => {
    const times = probes.get(source) ?? []
    if (times.length < maximumProbesPerSource) times.push(sentAt)
    probes.set(source, times)
  }

  // Noise is divided by its mean, so that the mean service time and the capacity stay as configured.
  const meanNoise = 1 + noisyShare * (options.noiseFactor - 1) / 2

  const drawServiceTime = (): number => {
    const now = Date.now()
    if (options.noiseFactor > 1 && now > noise.until) {
      const slowdown = random() < noisyShare ? random() * (options.noiseFactor - 1) : 0
      noise = { factor: (1 + slowdown) / meanNoise, until: now + minimumNoiseMilliseconds + random() * (maximumNoiseMilliseconds - minimumNoiseMilliseconds) }
    }
    const cold = now - startedAt < options.coldStartSeconds * 1_000 ? coldStartFactor : 1
    return drawLognormal(random, options.serviceMilliseconds, options.serviceSigma) * noise.factor * cold * faults.slowFactor
  }

  const formatLoadHeaders = (): Record<string, string> => ({
    'server-boot': boot,
    'endpoint-load-metrics': `TEXT named_metrics.in_flight=${faults.reportedInFlight ?? slots.inFlight()}, named_metrics.queued=${faults.reportedInFlight === null ? slots.queued() : 0}, ` +
      `named_metrics.slots=${options.slots}, named_metrics.latency_milliseconds=${meanLatency.toFixed(2)}`,
    ...(faults.drain ? { 'server-state': 'draining', connection: 'close' } : {})
  })

  const afterNetworkDelay = (request: IncomingMessage, act: () => void): void => {
    const delay = delays.get(Number((request.socket.remoteAddress ?? '').split('.')[2])) ?? 0
    if (delay === 0) act()
    else setTimeout(act, delay)
  }

  const respond = (request: IncomingMessage, response: ServerResponse, status: number, headers: Record<string, string>, body: string): void => {
    if (stalledSockets.has(request.socket) || response.destroyed) return
    response.writeHead(status, { ...formatLoadHeaders(), ...headers, 'content-length': Buffer.byteLength(body) })
    if (request.method !== 'HEAD' && body.length > 1 && random() < faults.truncateShare) {
      response.write(body.slice(0, body.length >> 1), () => request.socket.destroy())
      return
    }
    response.end(body)
    if (random() < faults.garbageShare) {
      request.socket.write('HTTP/1.1 200 OK\r\ncontent-length: 7\r\nserver-boot: garbage\r\n\r\ngarbage')
    }
  }

  const shed = (request: IncomingMessage, response: ServerResponse): void => {
    afterNetworkDelay(request, () => respond(request, response, 503, { 'not-started': 'true', 'retry-after': '1' }, ''))
  }

  const handleRequest = (request: IncomingMessage, response: ServerResponse): void => {
    const requestId = String(request.headers['siskinbeam-request-id'] ?? '')
    const key = request.headers['idempotency-key'] === undefined ? null : String(request.headers['idempotency-key'])
    let timer: NodeJS.Timeout | undefined
    const receivedAt = performance.now()
    let receivedBytes = 0
    const startRun = (): void => {
      const deadlineAt = Number(request.headers['siskinbeam-deadline-at'] ?? Infinity)
      if (Date.now() > deadlineAt) {
        slots.finish(job)
        shed(request, response)
        return
      }
      if ((request.url ?? '').includes(crashPathMarker)) {
        appendToRunLog({ server: options.name, boot, requestId, key, path: request.url ?? '', started: Date.now(), finished: null })
        crash()
        return
      }
      const serviceTime = drawServiceTime()
      const entry: RunRecord = { server: options.name, boot, requestId, key, path: request.url ?? '', started: Date.now(), finished: null }
      if (runs.length < maximumRunLogEntries) runs.push(entry)
      appendToRunLog(entry)
      timer = setTimeout(() => {
        entry.finished = Date.now()
        appendToRunLog(entry)
        meanLatency += latencyWeight * (serviceTime - meanLatency)
        slots.finish(job)
        const body = JSON.stringify({ server: options.name, service: options.service, requestId, key, path: request.url, receivedBytes })
        const headers = { 'content-type': 'application/json', 'siskinbeam-request-id': requestId, 'server-timing': `total;dur=${(performance.now() - receivedAt).toFixed(3)}` }
        afterNetworkDelay(request, () => respond(request, response, 200, headers, body.padEnd(options.answerBytes)))
      }, serviceTime)
    }
    const job: Job = { start: startRun }
    request.on('data', (chunk: Buffer) => { receivedBytes += chunk.length })
    request.on('end', () => {
      if (faults.shed || faults.drain || !slots.submit(job)) shed(request, response)
    })
    // Closing the connection cancels a request, except for one with an idempotency key that has started.
    response.on('close', () => {
      if (response.writableFinished) return
      if (timer !== undefined && key !== null) return
      clearTimeout(timer)
      slots.finish(job)
    })
  }

  const service = createServer({ keepAliveTimeout: 60_000, requestTimeout: 0 }, (request, response) => {
    response.on('error', () => {})
    if (faults.freeze || stalledSockets.has(request.socket)) {
      request.resume()
      return
    }
    if (request.url === loadPath) {
      request.resume()
      recordProbe(request.socket.remoteAddress ?? '', Number(request.headers['siskinbeam-sent-at'] ?? Date.now()))
      afterNetworkDelay(request, () => respond(request, response, 200, {}, ''))
      return
    }
    handleRequest(request, response)
  })
  service.maxConnections = options.maximumConnections
  service.on('connection', socket => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })

  const setFaults = (change: Record<string, unknown>): string | undefined => {
    const changed = changeFaults(faults, change)
    faults = changed.faults
    return changed.wrongKey
  }
  const stallConnections = (): void => sockets.forEach(socket => stalledSockets.add(socket))

  const control = createServer((request, response) => {
    const respondControl = (status: number, body: unknown): void => {
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
    }
    const handlers: Record<string, (body: string) => void> = {
      'GET /runs': () => respondControl(200, runs),
      'GET /probes': () => respondControl(200, Object.fromEntries(probes)),
      'GET /state': () => respondControl(200, { boot, faults, inFlight: slots.inFlight(), queued: slots.queued(), connections: sockets.size }),
      'POST /control': body => {
        const { crash: crashNow, silentConnections, ...change } = JSON.parse(body) as Record<string, unknown>
        const wrongKey = setFaults(change)
        if (wrongKey !== undefined) return respondControl(400, { wrongKey })
        if (silentConnections === true) stallConnections()
        respondControl(200, faults)
        if (crashNow === true) setImmediate(crash)
      }
    }
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      const handler = handlers[`${request.method} ${request.url}`]
      if (handler === undefined) return respondControl(404, {})
      try {
        handler(Buffer.concat(chunks).toString())
      } catch {
        respondControl(400, { message: 'not JSON' })
      }
    })
  })

  const address = await bindListener(service, options.address)
  const controlAddress = await bindListener(control, options.controlAddress)
  return {
    boot,
    address,
    controlAddress,
    runs: () => runs,
    setFaults,
    stallConnections,
    stop: async () => {
      control.closeAllConnections()
      service.closeAllConnections()
      await Promise.all([control, service].map(server => new Promise<void>(resolve => server.close(() => resolve()))))
    }
  }
}
