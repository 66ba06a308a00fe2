// Permits to contact servers that have named a limit. The hosts of a data centre agree on an owner of each service, which hands out
// the permits of the service's servers to all of them. A host that reaches no settled owner gets no permit, so that a limit is never
// exceeded for lack of information.
import { computeVisibleRatio, createHostHistory, findOwner, isSettledOwner, recordHosts } from '@siskinbeam/shared-limits/permitOwner'
import { computeLimitShare } from '@siskinbeam/shared-limits/limitShare'
import { createServicePermits, decidePermit, PermitAnswer, retainLimited, type PermitCandidate, type ServicePermits } from '@siskinbeam/shared-limits/servicePermits'
import type { RegisteredServer } from '@siskinbeam/server-registry/serverRegistry'
import type { Random } from '@siskinbeam/random/createRandom'
import { sleep, type ProcessBody } from '@siskinbeam/processes/channels'
import type { LimitedServers } from '../servers/limitedServers.js'
import type { Member, PermitReply, PermitRequest } from './peerMessages.js'

export interface PermitWish {
  service: string
  /** Keys of limited servers that can't take the request. */
  excluded: string[]
  /** The only server that is wanted, if it matters which one. */
  server?: RegisteredServer | undefined
  /** How long the request may wait for its permit. */
  waitMilliseconds: number
  isUrgent: boolean
}

export type PermitResult =
  | { granted: true, server: RegisteredServer, delayMilliseconds: number }
  | { granted: false, retryAfterMilliseconds: number }

export interface Permits {
  /** Takes a permit, or says when the request may return. */
  take: (wish: PermitWish) => Promise<PermitResult>
  /** Answers the call of another host for a permit. */
  answer: (request: PermitRequest) => PermitReply
  /** Whether this host hands out the permits of a service, by its present view. */
  isOwner: (service: string) => boolean
  /** Lists the owners of the services with limited servers, for the dump. */
  listOwners: () => Array<{ service: string, owner: string | undefined, visibleRatio: number }>
  /** Body of the background process that follows which hosts are alive. */
  run: () => ProcessBody
}

export interface CreatePermitsOptions {
  /** Name of this host. */
  host: string
  dataCentre: string
  dataCentres: readonly string[]
  limitedServers: LimitedServers
  listMembers: () => Member[]
  /** Revision of the list of members. */
  membersRevision: () => number
  /** Asks another host for a permit. Resolves with undefined if the call fails. */
  requestPermit: (owner: Member, request: PermitRequest) => Promise<PermitReply | undefined>
  own: () => Member
  count: (metric: string) => void
  random: Random
  now: () => number
}

/** Outcome of a request for a permit, as a metric label. */
enum PermitOutcome {
  Granted = 'granted',
  Refused = 'refused',
  /** Refused without asking the owner, which has said when the next permit is due. */
  Held = 'held',
  /** The owner is unknown, does not respond, or took too long. */
  NoOwner = 'no-owner'
}

/** How often the live hosts are recorded while any server has a limit, and otherwise. */
const memberPollMilliseconds = { limited: 100, unlimited: 500 }
/** A permit whose reply takes longer is discarded, so that delayed permits do not add up. */
const maximumReplyMilliseconds = 250
/** Time after which a permit is requested again if its owner gave none. */
const ownerRetryMilliseconds = 300

/** Creates permits without an owner. */
export function createPermits (options: CreatePermitsOptions): Permits {
  const { host, limitedServers, now } = options
  const permitsByService = new Map<string, ServicePermits>()
  /** By service, or by server if only one was wanted: when the next permit is due, and when refused requests may return, by the latest answer of the owner. */
  const refusals = new Map<string, { dueAt: number, returnsAt: number }>()
  const history = createHostHistory()
  let recordedRevision = -1

  const listReady = (): Member[] => options.listMembers().filter(({ ready }) => ready)
  const updateHistory = (): void => {
    recordHosts(history, recordedRevision === options.membersRevision() ? history.views.at(-1)?.hosts ?? [] : listReady().map(({ name }) => name), now())
    recordedRevision = options.membersRevision()
  }
  const permitsOf = (service: string): ServicePermits => {
    const permits = permitsByService.get(service) ?? createServicePermits()
    permitsByService.set(service, permits)
    return permits
  }

  const listCandidates = ({ service, excluded, server: wanted }: PermitRequest): PermitCandidate[] => {
    const visibleRatio = computeVisibleRatio(history, now())
    return limitedServers.listKeys().flatMap(key => {
      const server = limitedServers.findRegistered(key)
      const limit = limitedServers.findByKey(key)
      if (server === undefined || limit === undefined || server.service !== service || excluded.includes(key) || (wanted !== undefined && wanted !== key)) return []
      const share = computeLimitShare({ server: key, serverDataCentre: server.dataCentre, dataCentre: options.dataCentre, dataCentres: options.dataCentres })
      return [{ server: key, requestsPerSecond: limit.requestsPerSecond, share: share * visibleRatio, isLocal: server.dataCentre === options.dataCentre }]
    })
  }

  const answer = (request: PermitRequest): PermitReply => {
    updateHistory()
    limitedServers.applyReports(request.limits, request.member.name)
    const decision = isSettledOwner(history, request.service, host, now())
      ? decidePermit(permitsOf(request.service), { candidates: listCandidates(request), waitMilliseconds: request.waitMilliseconds, isUrgent: request.isUrgent }, now())
      : undefined
    if (decision?.answer === PermitAnswer.Granted) return { server: decision.server, delayMilliseconds: decision.delayMilliseconds }
    const { dueInMilliseconds, retryAfterMilliseconds } = decision ?? { dueInMilliseconds: ownerRetryMilliseconds, retryAfterMilliseconds: ownerRetryMilliseconds }
    return { dueInMilliseconds, retryAfterMilliseconds }
  }

  const requestFromOwner = async (request: PermitRequest): Promise<PermitReply | undefined> => {
    updateHistory()
    const ownerName = findOwner(history, request.service)
    if (ownerName === host) return answer(request)
    const owner = listReady().find(({ name }) => name === ownerName)
    if (owner === undefined) return undefined
    const calledAt = now()
    const reply = await options.requestPermit(owner, request)
    return now() - calledAt < maximumReplyMilliseconds ? reply : undefined
  }

  const refuse = (outcome: PermitOutcome, retryAfterMilliseconds: number): PermitResult => {
    options.count(`limit_permits_total{outcome="${outcome}"}`)
    return { granted: false, retryAfterMilliseconds }
  }

  const take = async ({ service, excluded, server: wanted, waitMilliseconds, isUrgent }: PermitWish): Promise<PermitResult> => {
    const key = wanted === undefined ? service : limitedServers.keyOf(wanted)
    const held = refusals.get(key)
    if (held !== undefined && held.dueAt - now() > waitMilliseconds) {
      const returnsIn = Math.max(0, held.returnsAt - now())
      // Spreads the requests that return to the hosts that did not ask the owner.
      return refuse(PermitOutcome.Held, returnsIn * (1 + options.random()))
    }
    const reply = await requestFromOwner({
      member: options.own(),
      service,
      excluded,
      ...(wanted === undefined ? {} : { server: key }),
      limits: limitedServers.listRecentChanges(),
      waitMilliseconds,
      isUrgent
    })
    const granted = reply?.server === undefined ? undefined : limitedServers.findRegistered(reply.server)
    if (granted !== undefined) {
      options.count(`limit_permits_total{outcome="${PermitOutcome.Granted}"}`)
      refusals.delete(key)
      return { granted: true, server: granted, delayMilliseconds: reply?.delayMilliseconds ?? 0 }
    }
    const { dueInMilliseconds = ownerRetryMilliseconds, retryAfterMilliseconds = ownerRetryMilliseconds } = reply ?? {}
    if (excluded.length === 0) refusals.set(key, { dueAt: now() + dueInMilliseconds, returnsAt: now() + retryAfterMilliseconds })
    return refuse(reply === undefined ? PermitOutcome.NoOwner : PermitOutcome.Refused, retryAfterMilliseconds)
  }

  return {
    take,
    answer,
    isOwner: service => findOwner(history, service) === host,
    listOwners: () => [...new Set(limitedServers.listKeys().flatMap(key => limitedServers.findRegistered(key)?.service ?? []))]
      .map(service => ({ service, owner: findOwner(history, service), visibleRatio: computeVisibleRatio(history, now()) })),
    run: function * () {
      for (;;) {
        updateHistory()
        refusals.forEach(({ returnsAt }, key) => { if (returnsAt < now()) refusals.delete(key) })
        limitedServers.forgetEnded()
        permitsByService.forEach(permits => retainLimited(permits, key => limitedServers.findByKey(key) !== undefined))
        yield sleep(limitedServers.listKeys().length > 0 ? memberPollMilliseconds.limited : memberPollMilliseconds.unlimited)
      }
    }
  }
}
