// A guest that sends raw bytes over one connection, and helpers for the tests of the request path.
import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { ServiceRuntime } from '../../src/servers/serviceRuntime.js'
import { exchangeRaw, type TestHost } from './startTestHost.js'

/** A guest connection. */
export interface RawGuest {
  socket: Socket
  received: () => string
  closed: () => boolean
}

/** Opens a connection and sends the text as latin1. */
export function connectGuest (address: string, text = ''): RawGuest {
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
const maximumWaitMilliseconds = 8_000

/** Polls until the condition holds. Fails after 8 s, which is longer than any passing run needs. */
export async function waitUntil (description: string, condition: () => boolean): Promise<void> {
  const polls = maximumWaitMilliseconds / pollMilliseconds
  for (let poll = 0; !condition(); poll += 1) {
    if (poll > polls) assert.fail(`timed out waiting until ${description}`)
    await delay(pollMilliseconds)
  }
}

export const delay = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))

export const formatResponse = (body: string, headers = ''): string =>
  `HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${headers}\r\n${body}`
export const formatGet = (path: string, headers = ''): string => `GET ${path} HTTP/1.1\r\nhost: x\r\n${headers}\r\n`
export const formatPost = (path: string, body: string, headers = ''): string =>
  `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${headers}\r\n${body}`
export const closeHeader = 'connection: close\r\n'
export const parseCode = (received: string): number => Number(/siskinbeam-account: code=(\d+)/.exec(received)?.[1])
export const parseOutcome = (received: string): string | undefined => /siskinbeam-account: [^\r]*outcome=([a-z-]+)/.exec(received)?.[1]

/** Returns the runtime of the service `desk`. */
export function getService ({ host }: TestHost): ServiceRuntime {
  return host.activeBundle()?.services.get('desk') as ServiceRuntime
}

/** Counts the connections to servers that have an exchange in progress. */
export function countBusyConnections (testHost: TestHost): number {
  return [...getService(testHost).servers.values()].reduce((sum, { connections }) => sum + connections.countOpen().busy, 0)
}

/** Asserts that the host still serves requests. */
export async function assertServes (testHost: TestHost, body: string): Promise<void> {
  const { received } = await exchangeRaw(testHost.guestAddress, formatGet('/desk/alive', closeHeader), 2_000)
  assert.ok(received.endsWith(body), `${ResultCode[parseCode(received)]}: ${received}`)
}
