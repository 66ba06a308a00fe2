// Sends one HTTP request of a guest and records the result, with the metadata of the response.
import { Agent, request as sendRequest, type IncomingMessage } from 'node:http'
import { performance } from 'node:perf_hooks'
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import { splitAddress } from '@siskinbeam/settings/splitAddress'
import { SendResult, type GuestSend } from './guestRequest.js'

const guestTimeoutMilliseconds = 15_000

/** Returns epoch milliseconds with fractions, from the monotonic clock. */
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

const accountHeaderPattern = /code=(\d+); name=\w+; outcome=([a-z-]+)/

/** Sends a request once; the promise never rejects. */
export function sendAsGuest (options: SendAsGuestOptions): Promise<GuestSend> {
  const { host, port } = splitAddress(options.address)
  const sentAt = readClock()
  const base = { requestId: options.requestId, attempt: options.attempt, address: options.address, sentAt }
  return new Promise(resolve => {
    let ended = false
    const finish = (details: Partial<GuestSend> & { result: SendResult }): void => {
      if (ended) return
      ended = true
      resolve({ ...base, endedAt: readClock(), ...details })
    }
    const outgoing = sendRequest({
      host,
      port,
      agent: options.agent,
      method: options.method,
      path: options.path,
      headers: { ...options.headers, 'siskinbeam-request-id': options.requestId, ...(options.body === '' ? {} : { 'content-length': String(Buffer.byteLength(options.body)) }) },
      timeout: guestTimeoutMilliseconds
    }, response => readResponse(response, finish))
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => finish({ result: SendResult.ConnectionLost }))
    outgoing.on('close', () => finish({ result: SendResult.ConnectionLost }))
    outgoing.end(options.body)
  })
}

function readResponse (response: IncomingMessage, finish: (details: Partial<GuestSend> & { result: SendResult }) => void): void {
  const chunks: Buffer[] = []
  response.on('data', (chunk: Buffer) => chunks.push(chunk))
  response.on('error', () => finish({ result: SendResult.Truncated }))
  response.on('end', () => {
    if (!response.complete) return finish({ result: SendResult.Truncated })
    const accountHeader = accountHeaderPattern.exec(String(response.headers['siskinbeam-account'] ?? ''))
    if (accountHeader !== null) return finish({ result: SendResult.ErrorResponse, code: Number(accountHeader[1]), outcome: accountHeader[2] as Outcome })
    const body = parseBody(Buffer.concat(chunks).toString())
    finish({
      result: SendResult.Answered,
      responseRequestId: String(body.requestId ?? ''),
      responseKey: body.key === undefined || body.key === null ? null : String(body.key),
      responsePath: String(body.path ?? ''),
      replayed: response.headers['siskinbeam-replayed'] === 'true',
      ...readServerTiming(response.headers['server-timing'])
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
