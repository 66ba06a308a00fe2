// Guests of the load driver: they ask for entry addresses, keep them for their time to live, send
// requests to them, and send again with the same idempotency key when they learnt no outcome.
import { Agent, request as sendRequest } from 'node:http'
import { createRandom, pickIndex, type Random } from '@siskinbeam/random/createRandom'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'
import { isWithoutAccount, SendEnd, type GuestRequest, type GuestSend } from './invocation.js'
import { readClock, sendAsGuest } from './sendAsGuest.js'

const mostSends = 6
const firstResendMilliseconds = 50
const longestResendMilliseconds = 1_000
const addressesPath = '/.siskinbeam/addresses'
const guestGroups = 8

export interface CreateGuestsOptions {
  /** Entry hosts that a guest knows at first. */
  bootstrapAddresses: string[]
  seed: number
  /** Prefix of request ids and keys, so that runs can't be confused. */
  runId: string
}

/** The guests of a run. */
export interface Guests {
  /** Sends one request until it has a final end; the promise never rejects. */
  send: (request: GuestRequest) => Promise<GuestRequest>
  /** Sends once to a server without an entry host. */
  sendDirectly: (request: GuestRequest, serverAddress: string) => Promise<GuestRequest>
  close: () => void
}

/** Guests of one place that share a cached answer. */
interface GuestGroup {
  addresses: string[]
  expiresAt: number
  refreshing: boolean
}

/** Creates guests. */
export function createGuests ({ bootstrapAddresses, seed, runId }: CreateGuestsOptions): Guests {
  const random: Random = createRandom(seed)
  const agent = new Agent({ keepAlive: true, maxSockets: 256, maxFreeSockets: 64, timeout: 0 })
  const directAgent = new Agent({ keepAlive: true, maxSockets: 256 })
  const groups: GuestGroup[] = Array.from({ length: guestGroups }, () => ({ addresses: [...bootstrapAddresses], expiresAt: 0, refreshing: false }))
  let requestNumber = 0

  const pick = (addresses: string[]): string => addresses[pickIndex(random, addresses.length)] as string

  const refresh = async (group: GuestGroup): Promise<void> => {
    group.refreshing = true
    const known = [...group.addresses, ...bootstrapAddresses]
    const answer = await askAddresses(agent, pick(known))
    group.refreshing = false
    if (answer === undefined) {
      group.addresses = [...bootstrapAddresses]
      group.expiresAt = readClock() + 200
      return
    }
    group.addresses = answer.addresses
    group.expiresAt = readClock() + answer.timeToLiveSeconds * 1_000
  }

  const addressFor = (group: GuestGroup, avoided: Set<string>): string => {
    if (readClock() > group.expiresAt && !group.refreshing) refresh(group).catch(() => {})
    const fresh = group.addresses.filter(address => !avoided.has(address))
    return pick(fresh.length > 0 ? fresh : bootstrapAddresses)
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
      const avoided = new Set<string>()
      await repeatUntilFinal(request, async attempt => {
        const send = await sendOnce(request, addressFor(group, avoided), attempt, agent)
        if (isWithoutAccount(send.end) || send.code === ResultCode.HostLeaving) {
          avoided.add(send.address)
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

// A request that was refused "not run" is final, except by a host that is leaving or has no bundle:
// another host will take it. Overload is final, since sending again would add to it.
const finalCodes = new Set<number | undefined>([
  ResultCode.Overloaded, ResultCode.ServersRefused, ResultCode.DeadlineTooShort, ResultCode.DeadlineExceededBeforeSend, ResultCode.CrashSuspect,
  ResultCode.ClaimAbandoned, ResultCode.AnswerNotKept, ResultCode.NoServer
])

function isFinal (request: GuestRequest, send: GuestSend): boolean {
  if (send.end === SendEnd.Answered) return true
  if (isWithoutAccount(send.end)) return !request.kind.idempotent && request.key === undefined
  if (finalCodes.has(send.code)) return true
  if (send.outcome === Outcome.Unknown) return !request.kind.idempotent && request.key === undefined
  return send.outcome === Outcome.Run
}

async function repeatUntilFinal (request: GuestRequest, sendAttempt: (attempt: number) => Promise<GuestSend>, random: Random): Promise<void> {
  const attempt = request.sends.length + 1
  const send = await sendAttempt(attempt)
  request.sends.push(send)
  if (isFinal(request, send) || attempt >= mostSends) return
  const wait = Math.min(firstResendMilliseconds * 2 ** attempt, longestResendMilliseconds)
  await new Promise(resolve => setTimeout(resolve, wait * (0.5 + random())))
  await repeatUntilFinal(request, sendAttempt, random)
}

function askAddresses (agent: Agent, address: string): Promise<{ addresses: string[], timeToLiveSeconds: number } | undefined> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const outgoing = sendRequest({ host, port: Number(port), path: addressesPath, agent, timeout: 1_000 }, answer => {
      const chunks: Buffer[] = []
      answer.on('data', (chunk: Buffer) => chunks.push(chunk))
      answer.on('error', () => resolve(undefined))
      answer.on('end', () => {
        try {
          const body = JSON.parse(Buffer.concat(chunks).toString()) as { addresses?: Array<{ address: string }>, timeToLiveSeconds?: number }
          const addresses = (body.addresses ?? []).map(entry => entry.address)
          resolve(answer.statusCode === 200 && addresses.length > 0 ? { addresses, timeToLiveSeconds: body.timeToLiveSeconds ?? 1 } : undefined)
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
