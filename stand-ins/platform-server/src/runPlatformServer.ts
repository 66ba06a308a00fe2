#!/usr/bin/env node
// The stand-in of a server as a process. It runs until it is ended by a signal.
import { appendFileSync } from 'node:fs'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { Command } from 'commander'
import { Header } from '@siskinbeam/platform-adapter/wire'
import { signAnswer, writeAnswerBody } from './answerBody.js'
import { RunEvent, type RunLine } from './runLine.js'

interface Options {
  id: string
  port: string
  slots: string
  workMilliseconds: string
  runFile: string
}

interface Job {
  start: () => void
}

const queueLength = 8
const idleMilliseconds = 10_000
const lowestWorkShare = 0.5
const misdirectedStatus = 421
const fullStatus = 503
const deadlineStatus = 504

const { id, port, slots, workMilliseconds, runFile } = new Command('platform-server')
  .description('Stand-in of a server on the users\' platform.')
  .requiredOption('--id <id>', 'id of this start of the server')
  .requiredOption('--port <port>', 'port on loopback')
  .requiredOption('--run-file <path>', 'file that gets a line for each beginning and end of a request')
  .option('--slots <count>', 'requests that run at a time', '4')
  .option('--work-milliseconds <ms>', 'mean time that a request runs', '60')
  .parse()
  .opts<Options>()

const queue: Job[] = []
let running = 0

const note = (event: RunEvent, request: string, unsafe: boolean): void => {
  const line: RunLine = { at: Date.now(), event, server: id, request, unsafe }
  appendFileSync(runFile, `${JSON.stringify(line)}\n`)
}
const ownHeaders = (): Record<string, string> => ({ [Header.ServerLoad]: `${running},${queue.length},${slots},100`, [Header.ServerId]: id })
const refuse = (response: ServerResponse, status: number, requestId: string): void => {
  response.writeHead(status, { ...ownHeaders(), [Header.NotExecuted]: 'true', [Header.RequestId]: requestId, 'content-length': 0 }).end()
}

function run (request: IncomingMessage, response: ServerResponse, requestId: string, body: string): void {
  const deadline = Number(request.headers[Header.DeadlineMilliseconds] ?? Infinity)
  const work = Number(workMilliseconds) * (lowestWorkShare + Math.random())
  const unsafe = request.method !== 'GET'
  running += 1
  note(RunEvent.Begins, requestId, unsafe)
  const finish = (): void => {
    clearTimeout(timer)
    running -= 1
    note(RunEvent.Ends, requestId, unsafe)
    queue.shift()?.start()
  }
  const timer = setTimeout(() => {
    response.off('close', finish)
    finish()
    if (work > deadline) {
      response.writeHead(deadlineStatus, { ...ownHeaders(), [Header.RequestId]: requestId, [Header.ServerSignature]: 'late', 'content-length': 0 }).end()
      return
    }
    const answer = writeAnswerBody(requestId, request.method ?? '', request.url ?? '', body)
    response.writeHead(200, { ...ownHeaders(), [Header.RequestId]: requestId, [Header.ServerSignature]: signAnswer(requestId, answer), 'content-length': Buffer.byteLength(answer) })
    response.end(answer)
  }, Math.min(work, deadline))
  response.on('close', finish)
}

function take (request: IncomingMessage, response: ServerResponse, body: string): void {
  const requestId = String(request.headers[Header.RequestId] ?? '')
  const expected = request.headers[Header.ExpectedServer]
  if (expected !== undefined && expected !== id) return refuse(response, misdirectedStatus, requestId)
  if (running >= Number(slots) && queue.length >= queueLength) return refuse(response, fullStatus, requestId)
  if (running < Number(slots)) return run(request, response, requestId, body)
  const job: Job = { start: () => run(request, response, requestId, body) }
  queue.push(job)
  response.on('close', () => {
    const index = queue.indexOf(job)
    if (index !== -1) queue.splice(index, 1)
  })
}

const server = createServer((request, response) => {
  response.on('error', () => {})
  if (request.url === '/health') {
    response.writeHead(200, { ...ownHeaders(), 'content-length': 0 }).end()
    return
  }
  const chunks: Buffer[] = []
  request.on('data', (chunk: Buffer) => chunks.push(chunk))
  request.on('end', () => take(request, response, Buffer.concat(chunks).toString('utf8')))
})
server.keepAliveTimeout = idleMilliseconds
server.listen(Number(port), '127.0.0.1')
