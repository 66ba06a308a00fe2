// One send of a guest over HTTP, with everything that the answer says about itself.
import { Agent, request as sendRequest, type IncomingMessage } from 'node:http'
import { performance } from 'node:perf_hooks'
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import { splitAddress } from '@siskinbeam/settings/splitAddress'
import { SendEnd, type GuestSend } from './invocation.js'

const guestTimeoutMilliseconds = 15_000

/** Epoch milliseconds with fractions, on the monotonic clock. */
export function readClock (): number {
  return performance.timeOrigin + performance.now()
}

export interface SendAsGuestOptions {
  agent: Agent
  address: string
  method: string
  path: string
  headers: Record<string, string>
  body: string
  requestId: string
  attempt: number
}

const accountPattern = /code=(\d+); name=\w+; outcome=([a-z-]+)/

/** Sends once; the promise never rejects. */
export function sendAsGuest (options: SendAsGuestOptions): Promise<GuestSend> {
  const { host, port } = splitAddress(options.address)
  const sentAt = readClock()
  const base = { requestId: options.requestId, attempt: options.attempt, address: options.address, sentAt }
  return new Promise(resolve => {
    let ended = false
    const end = (outcome: Partial<GuestSend> & { end: SendEnd }): void => {
      if (ended) return
      ended = true
      resolve({ ...base, endedAt: readClock(), ...outcome })
    }
    const outgoing = sendRequest({
      host,
      port,
      agent: options.agent,
      method: options.method,
      path: options.path,
      headers: { ...options.headers, 'siskinbeam-request-id': options.requestId, ...(options.body === '' ? {} : { 'content-length': String(Buffer.byteLength(options.body)) }) },
      timeout: guestTimeoutMilliseconds
    }, answer => readAnswer(answer, end))
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => end({ end: SendEnd.Broken }))
    outgoing.on('close', () => end({ end: SendEnd.Broken }))
    outgoing.end(options.body)
  })
}

function readAnswer (answer: IncomingMessage, end: (outcome: Partial<GuestSend> & { end: SendEnd }) => void): void {
  const chunks: Buffer[] = []
  answer.on('data', (chunk: Buffer) => chunks.push(chunk))
  answer.on('error', () => end({ end: SendEnd.Truncated }))
  answer.on('end', () => {
    if (!answer.complete) return end({ end: SendEnd.Truncated })
    const account = accountPattern.exec(String(answer.headers['siskinbeam-account'] ?? ''))
    if (account !== null) return end({ end: SendEnd.Account, code: Number(account[1]), outcome: account[2] as Outcome })
    const body = parseBody(Buffer.concat(chunks).toString())
    end({
      end: SendEnd.Answered,
      answerRequestId: String(body.requestId ?? ''),
      answerKey: body.key === undefined || body.key === null ? null : String(body.key),
      answerPath: String(body.path ?? ''),
      replayed: answer.headers['siskinbeam-replayed'] === 'true',
      ...readServerTiming(answer.headers['server-timing'])
    })
  })
}

function parseBody (text: string): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>
  } catch {
    return {}
  }
}

function readServerTiming (header: string | string[] | undefined): { serverMilliseconds?: number } {
  const duration = /dur=([\d.]+)/.exec(String(header ?? ''))?.[1]
  return duration === undefined ? {} : { serverMilliseconds: Number(duration) }
}
