// A guest that sends raw bytes over one connection, and small helpers of the tests of failures.
import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { ServiceRuntime } from '../../src/servers/serviceRuntime.js'
import { exchangeRaw, type StartedPath } from './startPath.js'

/** A connection of a guest. */
export interface RawGuest {
  socket: Socket
  received: () => string
  closed: () => boolean
}

/** Opens a connection and sends the text. */
export function openGuest (address: string, text = ''): RawGuest {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  let received = ''
  socket.setEncoding('latin1')
  socket.on('data', data => { received += String(data) })
  socket.on('error', () => {})
  socket.write(text, 'latin1')
  return { socket, received: () => received, closed: () => socket.closed || socket.readableEnded }
}

const pollMilliseconds = 5
const longestWaitMilliseconds = 8_000

/** Polls until the condition holds; fails after a time that no healthy run needs. */
export async function waitUntil (what: string, condition: () => boolean): Promise<void> {
  const polls = longestWaitMilliseconds / pollMilliseconds
  for (let poll = 0; !condition(); poll += 1) {
    if (poll > polls) assert.fail(`waited in vain: ${what}`)
    await pause(pollMilliseconds)
  }
}

export const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))

export const answerText = (body: string, headers = ''): string =>
  `HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${headers}\r\n${body}`
export const get = (path: string, headers = ''): string => `GET ${path} HTTP/1.1\r\nhost: x\r\n${headers}\r\n`
export const post = (path: string, body: string, headers = ''): string =>
  `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${headers}\r\n${body}`
export const closeHeader = 'connection: close\r\n'
export const readCode = (received: string): number => Number(/siskinbeam-account: code=(\d+)/.exec(received)?.[1])
export const readOutcome = (received: string): string | undefined => /siskinbeam-account: [^\r]*outcome=([a-z-]+)/.exec(received)?.[1]

/** The runtime of the service of the tests. */
export function readService ({ host }: StartedPath): ServiceRuntime {
  return host.activeBundle()?.services.get('desk') as ServiceRuntime
}

/** Connections to servers that carry an exchange. */
export function countBusy (path: StartedPath): number {
  return [...readService(path).servers.values()].reduce((sum, { connections }) => sum + connections.countOpen().busy, 0)
}

/** Checks that the host still serves. */
export async function checkServes (path: StartedPath, body: string): Promise<void> {
  const { received } = await exchangeRaw(path.guestAddress, get('/desk/alive', closeHeader), 2_000)
  assert.ok(received.endsWith(body), `${ResultCode[readCode(received)]}: ${received}`)
}
