// The stand-in of a server: it runs requests in slots for a random time, reports its load, and can
// drain, shed, crash, freeze, slow down, cut answers off or let its connections go silent.
import { randomUUID } from 'node:crypto'
import { appendFileSync } from 'node:fs'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import { bindListener } from '@siskinbeam/listeners/bindListener'
import { createRandom, drawLognormal } from '@siskinbeam/random/createRandom'
import type { SettingValues } from '@siskinbeam/settings/readSettings'
import { createSlots, type Job } from './runSlots.js'
import { changeFaults, noFaults, type ServerFaults } from './serverFaults.js'
import type { serverSettings } from './serverSettings.js'

export type ServerOptions = SettingValues<typeof serverSettings>

/** A run of a request, as the run log keeps it. Times are epoch milliseconds. */
export interface RunRecord {
  server: string
  boot: string
  requestId: string
  key: string | null
  path: string
  started: number
  finished: number | null
}

/** A stand-in that listens. */
export interface RunningServer {
  boot: string
  address: string
  controlAddress: string
  runs: () => RunRecord[]
  setFaults: (change: Record<string, unknown>) => void
  silenceConnections: () => void
  stop: () => Promise<void>
}

/** Requests whose path holds this crash the server that runs them. */
export const crashingPathMark = 'crash-the-server'

const loadPath = '/.load'
const longestRunLog = 200_000
const longestProbeLog = 100_000
const coldStartFactor = 3
const shortestNoiseMilliseconds = 20
const longestNoiseMilliseconds = 200
/** Share of the time in which neighbours slow the server. */
const noisyShare = 0.2
const latencyWeight = 0.1

/** Starts the stand-in on its two addresses. */
export async function serveServer (options: ServerOptions, crash: () => void = () => process.exit(70)): Promise<RunningServer> {
  const boot = randomUUID()
  const random = createRandom(options.seed)
  const startedAt = Date.now()
  const runs: RunRecord[] = []
  const sockets = new Set<Socket>()
  const silent = new WeakSet<Socket>()
  const delays = new Map((options.networkDelays ?? '').split(',').filter(Boolean).map(pair => pair.split(':').map(Number) as [number, number]))
  const slots = createSlots(options.slots, options.queueLength)
  let faults: ServerFaults = noFaults
  let noise = { factor: 1, until: 0 }
  let meanLatency = options.serviceMilliseconds

  const record = (run: RunRecord): void => {
    if (options.runLog !== undefined) appendFileSync(options.runLog, JSON.stringify(run) + '\n')
  }

  // Probes by their source, so that a run can check the budget without the word of those who probe.
  const probes = new Map<string, number[]>()
  const noteProbe = (source: string, sentAt: number): void => {
    const times = probes.get(source) ?? []
    if (times.length < longestProbeLog) times.push(sentAt)
    probes.set(source, times)
  }

  // Keeps the mean service time, and with it the capacity, at what the settings say.
  const meanNoise = 1 + noisyShare * (options.noiseFactor - 1) / 2

  const drawServiceTime = (): number => {
    const now = Date.now()
    if (options.noiseFactor > 1 && now > noise.until) {
      const slowdown = random() < noisyShare ? random() * (options.noiseFactor - 1) : 0
      noise = { factor: (1 + slowdown) / meanNoise, until: now + shortestNoiseMilliseconds + random() * (longestNoiseMilliseconds - shortestNoiseMilliseconds) }
    }
    const cold = now - startedAt < options.coldStartSeconds * 1_000 ? coldStartFactor : 1
    return drawLognormal(random, options.serviceMilliseconds, options.serviceSigma) * noise.factor * cold * faults.slowFactor
  }

  const describeLoad = (): Record<string, string> => ({
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

  const answer = (request: IncomingMessage, response: ServerResponse, status: number, headers: Record<string, string>, body: string): void => {
    if (silent.has(request.socket) || response.destroyed) return
    response.writeHead(status, { ...describeLoad(), ...headers, 'content-length': Buffer.byteLength(body) })
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
    afterNetworkDelay(request, () => answer(request, response, 503, { 'not-started': 'true', 'retry-after': '1' }, ''))
  }

  const run = (request: IncomingMessage, response: ServerResponse): void => {
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
      if ((request.url ?? '').includes(crashingPathMark)) {
        record({ server: options.name, boot, requestId, key, path: request.url ?? '', started: Date.now(), finished: null })
        crash()
        return
      }
      const serviceTime = drawServiceTime()
      const entry: RunRecord = { server: options.name, boot, requestId, key, path: request.url ?? '', started: Date.now(), finished: null }
      if (runs.length < longestRunLog) runs.push(entry)
      record(entry)
      timer = setTimeout(() => {
        entry.finished = Date.now()
        record(entry)
        meanLatency += latencyWeight * (serviceTime - meanLatency)
        slots.finish(job)
        const body = JSON.stringify({ server: options.name, service: options.service, requestId, key, path: request.url, receivedBytes })
        const headers = { 'content-type': 'application/json', 'siskinbeam-request-id': requestId, 'server-timing': `total;dur=${(performance.now() - receivedAt).toFixed(3)}` }
        afterNetworkDelay(request, () => answer(request, response, 200, headers, body.padEnd(options.answerBytes)))
      }, serviceTime)
    }
    const job: Job = { start: startRun }
    request.on('data', (chunk: Buffer) => { receivedBytes += chunk.length })
    request.on('end', () => {
      if (faults.shed || faults.drain || !slots.submit(job)) shed(request, response)
    })
    // The close of the connection cancels a request; a non-idempotent one that has started runs to its end.
    response.on('close', () => {
      if (response.writableFinished) return
      if (timer !== undefined && key !== null) return
      clearTimeout(timer)
      slots.finish(job)
    })
  }

  const service = createServer({ keepAliveTimeout: 60_000, requestTimeout: 0 }, (request, response) => {
    response.on('error', () => {})
    if (faults.freeze || silent.has(request.socket)) {
      request.resume()
      return
    }
    if (request.url === loadPath) {
      request.resume()
      noteProbe(request.socket.remoteAddress ?? '', Number(request.headers['siskinbeam-sent-at'] ?? Date.now()))
      afterNetworkDelay(request, () => answer(request, response, 200, {}, ''))
      return
    }
    run(request, response)
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
  const silenceConnections = (): void => sockets.forEach(socket => silent.add(socket))

  const control = createServer((request, response) => {
    const answerControl = (status: number, body: unknown): void => {
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
    }
    const handlers: Record<string, (body: string) => void> = {
      'GET /runs': () => answerControl(200, runs),
      'GET /probes': () => answerControl(200, Object.fromEntries(probes)),
      'GET /state': () => answerControl(200, { boot, faults, inFlight: slots.inFlight(), queued: slots.queued(), connections: sockets.size }),
      'POST /control': body => {
        const { crash: crashNow, silentConnections, ...change } = JSON.parse(body) as Record<string, unknown>
        const wrongKey = setFaults(change)
        if (wrongKey !== undefined) return answerControl(400, { wrongKey })
        if (silentConnections === true) silenceConnections()
        answerControl(200, faults)
        if (crashNow === true) setImmediate(crash)
      }
    }
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      const handler = handlers[`${request.method} ${request.url}`]
      if (handler === undefined) return answerControl(404, {})
      try {
        handler(Buffer.concat(chunks).toString())
      } catch {
        answerControl(400, { message: 'not JSON' })
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
    silenceConnections,
    stop: async () => {
      control.closeAllConnections()
      service.closeAllConnections()
      await Promise.all([control, service].map(server => new Promise<void>(resolve => server.close(() => resolve()))))
    }
  }
}
