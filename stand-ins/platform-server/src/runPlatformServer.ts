#!/usr/bin/env node
// Runs the platform server stand-in as a process, until it is terminated by a signal.
import { appendFileSync, existsSync, readFileSync } from 'node:fs'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { Command } from 'commander'
import { Header } from '@siskinbeam/platform-adapter/wire'
import { signResponse, formatResponseBody } from './responseBody.js'
import { crashPathMarker, lateCrashPathMarker } from './crashPathMarker.js'
import { EndlessResponses, type Notices } from './notices.js'
import { RunEvent, type RunLogEntry } from './runLogEntry.js'

interface Options {
  id: string
  port: string
  slots: string
  workMilliseconds: string
  runFile: string
  noticeFile: string | undefined
}

interface Job {
  start: () => void
}

const queueLength = 8
const keepAliveTimeoutMilliseconds = 10_000
const minimumWorkFactor = 0.5
const misdirectedStatus = 421
const overloadedStatus = 503
const deadlineStatus = 504
const crashExitCode = 70
const lateCrashMilliseconds = 60

const { id, port, slots, workMilliseconds, runFile, noticeFile } = new Command('platform-server')
  .description('Stand-in for a server on the users\' platform.')
  .requiredOption('--id <id>', 'id of this instance of the server')
  .requiredOption('--port <port>', 'port on 127.0.0.1')
  .requiredOption('--run-file <path>', 'file to which a line is appended when a request starts and when it ends')
  .option('--notice-file <path>', 'file with what responses say of the server, as JSON; nothing if it does not exist')
  .option('--slots <count>', 'maximum number of concurrent requests', '4')
  .option('--work-milliseconds <ms>', 'mean service time in milliseconds', '60')
  .parse()
  .opts<Options>()

const blockIntervalMilliseconds = 2
const block = Buffer.alloc(65_536, 'x')

const queue: Job[] = []
let running = 0

const recordRunEvent = (event: RunEvent, request: string, unsafe: boolean, detail: Pick<RunLogEntry, 'pauseMilliseconds'> = {}): void => {
  const line: RunLogEntry = { at: Date.now(), event, server: id, request, unsafe, ...detail }
  appendFileSync(runFile, `${JSON.stringify(line)}\n`)
}
const readNotices = (): Notices => noticeFile === undefined || !existsSync(noticeFile) ? {} : JSON.parse(readFileSync(noticeFile, 'utf8')) as Notices
const loadHeaders = ({ limit, isLeaving } = readNotices()): Record<string, string> => ({
  [Header.ServerLoad]: `${running},${queue.length},${slots},100`,
  [Header.ServerId]: id,
  ...(limit === undefined ? {} : { [Header.ServerLimit]: String(limit) }),
  ...(isLeaving === true ? { [Header.ServerLeaving]: '1' } : {})
})
const reject = (response: ServerResponse, status: number, requestId: string, headers: Record<string, string> = {}): void => {
  response.writeHead(status, { ...loadHeaders(), ...headers, [Header.NotExecuted]: 'true', [Header.RequestId]: requestId, 'content-length': 0 }).end()
}

/** Sends the head of a successful response, and then a body until the caller closes the connection. */
function respondWithoutEnd (response: ServerResponse, requestId: string): void {
  const { socket } = response
  if (requestId !== '') recordRunEvent(RunEvent.SentWithoutEnd, requestId, false)
  response.writeHead(200, { ...loadHeaders(), ...(requestId === '' ? {} : { [Header.RequestId]: requestId, [Header.ServerSignature]: 'endless' }) })
  const timer = setInterval(() => {
    if (socket?.destroyed !== false) clearInterval(timer)
    else if (!socket.writableNeedDrain) response.write(block)
  }, blockIntervalMilliseconds)
}

function runRequest (request: IncomingMessage, response: ServerResponse, requestId: string, body: string): void {
  const deadlineMilliseconds = Number(request.headers[Header.DeadlineMilliseconds] ?? Infinity)
  const serviceTime = Number(workMilliseconds) * (minimumWorkFactor + Math.random())
  const unsafe = request.method !== 'GET'
  running += 1
  recordRunEvent(RunEvent.Started, requestId, unsafe)
  if (readNotices().endless === EndlessResponses.Requests) {
    response.on('close', () => { running -= 1 })
    respondWithoutEnd(response, requestId)
    return
  }
  if (request.url?.includes(lateCrashPathMarker) === true) setTimeout(() => process.exit(crashExitCode), lateCrashMilliseconds)
  else if (request.url?.includes(crashPathMarker) === true) process.exit(crashExitCode)
  const endRun = (): void => {
    clearTimeout(timer)
    running -= 1
    recordRunEvent(RunEvent.Ended, requestId, unsafe)
    queue.shift()?.start()
  }
  const timer = setTimeout(() => {
    response.off('close', endRun)
    endRun()
    if (serviceTime > deadlineMilliseconds) {
      response.writeHead(deadlineStatus, { ...loadHeaders(), [Header.RequestId]: requestId, [Header.ServerSignature]: 'late', 'content-length': 0 }).end()
      return
    }
    const responseBody = formatResponseBody(requestId, request.method ?? '', request.url ?? '', body)
    response.writeHead(200, { ...loadHeaders(), [Header.RequestId]: requestId, [Header.ServerSignature]: signResponse(requestId, responseBody), 'content-length': Buffer.byteLength(responseBody) })
    response.end(responseBody)
  }, Math.min(serviceTime, deadlineMilliseconds))
  response.on('close', endRun)
}

function handleRequest (request: IncomingMessage, response: ServerResponse, body: string): void {
  const requestId = String(request.headers[Header.RequestId] ?? '')
  const expected = request.headers[Header.ExpectedServer]
  if (expected !== undefined && expected !== id) return reject(response, misdirectedStatus, requestId)
  const pauseMilliseconds = (readNotices().pausedUntil ?? 0) - Date.now()
  if (pauseMilliseconds > 0) {
    recordRunEvent(RunEvent.TurnedAway, requestId, request.method !== 'GET', { pauseMilliseconds })
    return reject(response, overloadedStatus, requestId, { [Header.RetryAfter]: (pauseMilliseconds / 1_000).toFixed(3) })
  }
  if (running >= Number(slots) && queue.length >= queueLength) return reject(response, overloadedStatus, requestId)
  if (running < Number(slots)) return runRequest(request, response, requestId, body)
  const job: Job = { start: () => runRequest(request, response, requestId, body) }
  queue.push(job)
  response.on('close', () => {
    const index = queue.indexOf(job)
    if (index !== -1) queue.splice(index, 1)
  })
}

const server = createServer((request, response) => {
  response.on('error', () => {})
  recordRunEvent(RunEvent.Contacted, String(request.headers[Header.RequestId] ?? ''), request.method !== 'GET')
  if (request.url === '/health' && readNotices().endless === EndlessResponses.HealthChecks) {
    respondWithoutEnd(response, '')
    return
  }
  if (request.url === '/health') {
    response.writeHead(200, { ...loadHeaders(), 'content-length': 0 }).end()
    return
  }
  const chunks: Buffer[] = []
  request.on('data', (chunk: Buffer) => chunks.push(chunk))
  request.on('end', () => handleRequest(request, response, Buffer.concat(chunks).toString('utf8')))
})
server.keepAliveTimeout = keepAliveTimeoutMilliseconds
server.listen(Number(port), '127.0.0.1')
