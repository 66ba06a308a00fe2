// Guests of a soak: they ask any host for addresses, keep connections until the process behind them is
// gone, and note what became of each request.
import { Agent, request as startRequest, type IncomingMessage } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { Header, Path } from '@siskinbeam/platform-adapter/wire'
import { createRandom, drawExponential, pickIndex, type Random } from '@siskinbeam/random/createRandom'
import { splitAddress } from '@siskinbeam/settings/splitAddress'
import { signAnswer, writeAnswerBody } from '@siskinbeam/stand-in-platform-server/answerBody'
import { guestHost, type SoakHost } from './startFleet.js'

/** What a guest saw of one request. Times are epoch milliseconds. */
export interface SeenRequest {
  id: string
  unsafe: boolean
  host: string
  sentAt: number
  endedAt: number
  /** Zero if the connection ended without a whole answer. */
  status: number
  /** Whether a success was the whole answer to this request, signed by a server. */
  isOwnAnswer: boolean
  /** The request went over a connection that had carried another one. */
  reused: boolean
  /** A byte of an answer arrived. */
  hasAnswerBytes: boolean
}

export interface DriveGuestsOptions {
  hosts: SoakHost[]
  seed: number
  guests: number
  milliseconds: number
  /** Requests of one guest in a second. */
  rate: number
}

const waitMilliseconds = 2_500
const guestPatienceMilliseconds = 4_000
const unsafeShare = 0.4
const listMilliseconds = 2_000
const listPatienceMilliseconds = 1_000

/** Sends requests for a time and gives what became of them. */
export async function driveGuests (options: DriveGuestsOptions): Promise<SeenRequest[]> {
  const seen = await Promise.all(Array.from({ length: options.guests }, (_, index) => driveGuest(options, index)))
  return seen.flat()
}

async function driveGuest ({ hosts, seed, milliseconds, rate }: DriveGuestsOptions, index: number): Promise<SeenRequest[]> {
  const random = createRandom(seed * 1_000 + index)
  const agent = new Agent({ keepAlive: true })
  const end = Date.now() + milliseconds
  const open: Array<Promise<SeenRequest>> = []
  let addresses: string[] = []
  let askedAt = 0
  for (let sent = 0; Date.now() < end; sent += 1) {
    if (Date.now() - askedAt > listMilliseconds) {
      askedAt = Date.now()
      addresses = await askAddresses(hosts, random) ?? addresses
    }
    const address = addresses[pickIndex(random, addresses.length)]
    const host = hosts.find(({ guestAddress }) => guestAddress === address)
    if (host !== undefined) open.push(sendRequest({ host, agent, id: `${seed}-${index}-${sent}`, unsafe: random() < unsafeShare }))
    await pause(Math.min(1_000, drawExponential(random, 1_000 / rate)))
  }
  const seen = await Promise.all(open)
  agent.destroy()
  return seen
}

async function askAddresses (hosts: SoakHost[], random: Random): Promise<string[] | undefined> {
  const host = hosts[pickIndex(random, hosts.length)] as SoakHost
  const answer = await exchange({ address: host.addressListAddress, method: 'GET', path: `${Path.EntryAddresses}?name=${guestHost}`, headers: {}, patienceMilliseconds: listPatienceMilliseconds })
  if (answer.status !== 200) return undefined
  const { addresses } = JSON.parse(answer.body) as { addresses: string[] }
  return addresses.length === 0 ? undefined : addresses
}

interface SendRequestOptions {
  host: SoakHost
  agent: Agent | false
  id: string
  unsafe: boolean
}

/** Sends one request of a guest. */
export async function sendRequest ({ host, agent, id, unsafe }: SendRequestOptions): Promise<SeenRequest> {
  const method = unsafe ? 'POST' : 'GET'
  const path = unsafe ? `/bookings/${id}` : `/reads/${id}`
  const body = unsafe ? `booking ${id}` : ''
  const sentAt = Date.now()
  const answer = await exchange({
    address: host.guestAddress,
    method,
    path,
    body,
    agent,
    headers: { host: guestHost, [Header.RequestId]: id, [Header.DeadlineMilliseconds]: String(waitMilliseconds) },
    patienceMilliseconds: guestPatienceMilliseconds
  })
  const expected = writeAnswerBody(id, method, path, body)
  const isOwnAnswer = answer.body === expected && answer.headers[Header.ServerSignature] === signAnswer(id, expected)
  return { id, unsafe, host: host.name, sentAt, endedAt: Date.now(), status: answer.status, isOwnAnswer, reused: answer.reused, hasAnswerBytes: answer.hasBytes }
}

interface ExchangeOptions {
  address: string
  method: string
  path: string
  body?: string
  headers: Record<string, string>
  agent?: Agent | false
  patienceMilliseconds: number
}

interface Answer {
  status: number
  headers: IncomingMessage['headers']
  body: string
  reused: boolean
  hasBytes: boolean
}

/** Makes one call. Status 0 stands for a connection that ended without a whole answer. */
export function exchange ({ address, method, path, body = '', headers, agent = false, patienceMilliseconds }: ExchangeOptions): Promise<Answer> {
  return new Promise(resolve => {
    const request = startRequest({ ...splitAddress(address), agent, method, path, headers: { ...headers, 'content-length': Buffer.byteLength(body) } })
    const timer = setTimeout(() => request.destroy(), patienceMilliseconds)
    let hasBytes = false
    const finish = (answer: Partial<Answer>): void => {
      clearTimeout(timer)
      resolve({ status: 0, headers: {}, body: '', reused: request.reusedSocket, hasBytes, ...answer })
    }
    request.on('error', () => finish({}))
    request.on('response', response => {
      hasBytes = true
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', () => finish({}))
      response.on('end', () => finish(response.complete ? { status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString('utf8') } : {}))
    })
    request.end(body)
  })
}
