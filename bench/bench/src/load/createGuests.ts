// Guests of the load driver. They fetch the addresses of entry hosts, cache them for their time to live, send
// requests to them, and retry with the same idempotency key if the outcome of a request is unknown.
import { Agent, request as sendRequest } from 'node:http'
import { createRandom, pickIndex, type Random } from '@siskinbeam/random/createRandom'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { isWithoutCompleteResponse, SendResult, type GuestRequest, type GuestSend } from './guestRequest.js'
import { readClock, sendAsGuest } from './sendAsGuest.js'

const maximumSends = 6
const baseBackoffMilliseconds = 50
const maximumBackoffMilliseconds = 1_000
const addressesPath = '/.siskinbeam/addresses'
const guestGroupCount = 8

export interface CreateGuestsOptions {
  /** Addresses of the entry hosts that a guest knows before its first lookup. */
  bootstrapAddresses: string[]
  seed: number
  /** Prefix of request IDs that distinguishes the requests of different runs. */
  runId: string
}

/** The guests of a run. */
export interface Guests {
  /** Sends a request, with retries, until its result is final; the promise never rejects. */
  send: (request: GuestRequest) => Promise<GuestRequest>
  /** Sends a request once, directly to a server; the promise never rejects. */
  sendDirectly: (request: GuestRequest, serverAddress: string) => Promise<GuestRequest>
  close: () => void
}

/** Guests at one location that share a cached address list. */
interface GuestGroup {
  addresses: string[]
  expiresAt: number
  refreshing: boolean
}

/** Creates the guests of a run. */
export function createGuests ({ bootstrapAddresses, seed, runId }: CreateGuestsOptions): Guests {
  const random: Random = createRandom(seed)
  const agent = new Agent({ keepAlive: true, maxSockets: 256, maxFreeSockets: 64, timeout: 0 })
  const directAgent = new Agent({ keepAlive: true, maxSockets: 256 })
  const groups: GuestGroup[] = Array.from({ length: guestGroupCount }, () => ({ addresses: [...bootstrapAddresses], expiresAt: 0, refreshing: false }))
  let requestNumber = 0

  const pickAddress = (addresses: string[]): string => addresses[pickIndex(random, addresses.length)] as string

  const refreshAddresses = async (group: GuestGroup): Promise<void> => {
    group.refreshing = true
    const candidates = [...group.addresses, ...bootstrapAddresses]
    const fetched = await fetchAddresses(agent, pickAddress(candidates))
    group.refreshing = false
    if (fetched === undefined) {
      group.addresses = [...bootstrapAddresses]
      group.expiresAt = readClock() + 200
      return
    }
    group.addresses = fetched.addresses
    group.expiresAt = readClock() + fetched.timeToLiveSeconds * 1_000
  }

  const selectAddress = (group: GuestGroup, failedAddresses: Set<string>): string => {
    if (readClock() > group.expiresAt && !group.refreshing) refreshAddresses(group).catch(() => {})
    const candidates = group.addresses.filter(address => !failedAddresses.has(address))
    return pickAddress(candidates.length > 0 ? candidates : bootstrapAddresses)
  }

  const sendOnce = (request: GuestRequest, address: string, attempt: number, chosenAgent: Agent): Promise<GuestSend> => {
    requestNumber += 1
    return sendAsGuest({
      agent: chosenAgent,
      address,
      method: request.kind.method,
      path: request.path,
      headers: request.key === undefined ? {} : { 'idempotency-key': request.key, 'siskinbeam-attempt': String(attempt) },
      body: 'b'.repeat(request.kind.bodyBytes),
      requestId: `${runId}-${requestNumber}`,
      attempt
    })
  }

  return {
    send: async request => {
      const group = groups[pickIndex(random, groups.length)] as GuestGroup
      const failedAddresses = new Set<string>()
      await retryUntilFinal(request, async attempt => {
        const send = await sendOnce(request, selectAddress(group, failedAddresses), attempt, agent)
        if (isWithoutCompleteResponse(send.result) || send.code === ResultCode.HostLeaving) {
          failedAddresses.add(send.address)
          group.expiresAt = 0
        }
        return send
      }, random)
      request.endedAt = readClock()
      return request
    },
    sendDirectly: async (request, serverAddress) => {
      request.sends.push(await sendOnce(request, serverAddress, 1, directAgent))
      request.endedAt = readClock()
      return request
    },
    close: () => {
      agent.destroy()
      directAgent.destroy()
    }
  }
}

// Result codes after which a guest does not retry. Other rejections with the outcome "not run" are retried, since
// another entry host may accept the request, for example if this one is leaving or has no bundle. Overload is final,
// since a retry would add to it.
const nonRetryableCodes = new Set<number | undefined>([
  ResultCode.Overloaded, ResultCode.ServersRefused, ResultCode.DeadlineTooShort, ResultCode.DeadlineExceededBeforeSend, ResultCode.CrashSuspect,
  ResultCode.ClaimAbandoned, ResultCode.AnswerNotKept, ResultCode.NoServer
])

function isFinal (request: GuestRequest, send: GuestSend): boolean {
  if (send.result === SendResult.Answered) return true
  if (isWithoutCompleteResponse(send.result)) return !request.kind.idempotent && request.key === undefined
  if (nonRetryableCodes.has(send.code)) return true
  if (send.outcome === Outcome.Unknown) return !request.kind.idempotent && request.key === undefined
  return send.outcome === Outcome.Run
}

async function retryUntilFinal (request: GuestRequest, sendAttempt: (attempt: number) => Promise<GuestSend>, random: Random): Promise<void> {
  const attempt = request.sends.length + 1
  const send = await sendAttempt(attempt)
  request.sends.push(send)
  if (isFinal(request, send) || attempt >= maximumSends) return
  const delay = Math.min(baseBackoffMilliseconds * 2 ** attempt, maximumBackoffMilliseconds)
  await new Promise(resolve => setTimeout(resolve, delay * (0.5 + random())))
  await retryUntilFinal(request, sendAttempt, random)
}

function fetchAddresses (agent: Agent, address: string): Promise<{ addresses: string[], timeToLiveSeconds: number } | undefined> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const outgoing = sendRequest({ host, port: Number(port), path: addressesPath, agent, timeout: 1_000 }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', () => resolve(undefined))
      response.on('end', () => {
        try {
          const body = JSON.parse(Buffer.concat(chunks).toString()) as { addresses?: Array<{ address: string }>, timeToLiveSeconds?: number }
          const addresses = (body.addresses ?? []).map(entry => entry.address)
          resolve(response.statusCode === 200 && addresses.length > 0 ? { addresses, timeToLiveSeconds: body.timeToLiveSeconds ?? 1 } : undefined)
        } catch {
          resolve(undefined)
        }
      })
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve(undefined))
    outgoing.on('close', () => resolve(undefined))
    outgoing.end()
  })
}
