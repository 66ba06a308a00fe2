// Detects that a server has ended while requests were in flight on it. After a send whose connection broke, the server counts as
// ended if all its earlier connections are closed and it accepts no new ones. A server that resets new connections since it is full
// keeps the earlier ones, and one that leaves as planned mostly announces that. A server whose connections fall silent counts as ended
// when its entry is replaced by another start, or is removed and the server accepts no connection. A send that is cancelled closes its connection, so its server is checked when it next refuses one.
import { fingerprintRequest, type IdentifiedRequest } from '../crashes/fingerprintRequest.js'
import type { ServerEndpoint } from './serverEndpoint.js'
import { Reachability, tryConnection } from './tryConnection.js'

/** A request that was written to a server. */
export interface OpenSend {
  request: IdentifiedRequest
  /** Milliseconds of the monotonic clock. */
  sentAt: number
}

/** What is kept of a send, without its request and body. */
export interface SentRequest {
  requestId: string
  fingerprint: string
  sentAt: number
}

/** A server that ended, with the requests that were in flight on it. */
export interface ServerDeath {
  endpoint: ServerEndpoint
  /** When the connection of the first send broke, in milliseconds of the monotonic clock. */
  at: number
  inFlight: SentRequest[]
}

export interface ServerDeaths {
  recordStart: (endpoint: ServerEndpoint, send: OpenSend) => void
  /** Records the end of a send that the server has completed or not begun. */
  recordEnd: (endpoint: ServerEndpoint, send: OpenSend) => void
  /** Records the end of a send that got no response in time. */
  recordTimeout: (endpoint: ServerEndpoint, send: OpenSend) => void
  /** Records the end of a send that this host has cancelled. */
  recordCancel: (endpoint: ServerEndpoint, send: OpenSend) => void
  /** Checks a server that refused a connection, if sends to it have been cancelled shortly before. */
  recordRefusal: (endpoint: ServerEndpoint) => void
  /** Records that the entry of a server was removed without an announcement, or replaced by that of another start. */
  recordLoss: (endpoint: ServerEndpoint, isReplaced: boolean) => void
  /** Checks the server of a send that broke. Resolves once the check and the handling of a death are complete. */
  recordBreak: (endpoint: ServerEndpoint, send: OpenSend) => Promise<void>
}

export interface CreateServerDeathsOptions {
  now: () => number
  /** Draws servers of all services other than the given one. */
  sampleOthers: (endpoint: ServerEndpoint, count: number) => ServerEndpoint[]
  /** Called for each server that ended. Checks of its sends are complete once this resolves. */
  onDeath: (death: ServerDeath) => Promise<void>
}

interface EndedSend extends SentRequest {
  endedAt: number
}

interface ServerSends {
  open: Set<OpenSend>
  broken: EndedSend[]
  /** Sends that got no response although the server accepted connections, or nothing was known of it. */
  unanswered: EndedSend[]
  cancelled: EndedSend[]
  pendingCheck: Promise<void> | undefined
}

/** Connections of a process that ends are closed one after the other, and its listening socket last. */
const closeDelayMilliseconds = 5
/** Sends that broke or were cancelled within this time before a check were in flight when the server ended. */
const breakWindowMilliseconds = 1_000
/** An entry expires after three heartbeats of a few seconds each. */
const lossWindowMilliseconds = 10_000
/** Several, since some of them may have ended at the same time. */
const comparedServers = 3
/** Of the sends to a server that got no response, and of those that were cancelled. */
const maximumEndedSends = 16

/** Creates a record without sends. */
export function createServerDeaths ({ now, sampleOthers, onDeath }: CreateServerDeathsOptions): ServerDeaths {
  const sendsOf = new WeakMap<ServerEndpoint, ServerSends>()
  const findSends = (endpoint: ServerEndpoint): ServerSends => {
    const sends = sendsOf.get(endpoint) ?? { open: new Set(), broken: [], unanswered: [], cancelled: [], pendingCheck: undefined }
    sendsOf.set(endpoint, sends)
    return sends
  }
  const listRecent = (ended: EndedSend[], milliseconds = breakWindowMilliseconds): EndedSend[] => ended.filter(({ endedAt }) => now() - endedAt < milliseconds)
  const append = (ended: EndedSend[], send: OpenSend): EndedSend[] => [...ended, { ...describeSend(send), endedAt: now() }].slice(-maximumEndedSends)

  /** Whether this host reaches a server other than the given one. If there is no other one, nothing speaks against its links. */
  const reachesAnother = async (endpoint: ServerEndpoint): Promise<boolean> => {
    const others = sampleOthers(endpoint, comparedServers)
    const tried = await Promise.all(others.map(({ server }) => tryConnection(server.address)))
    return others.length === 0 || tried.includes(Reachability.Accepted)
  }

  const check = async (endpoint: ServerEndpoint, sends: ServerSends, brokenAt: number): Promise<void> => {
    await new Promise(resolve => setTimeout(resolve, closeDelayMilliseconds))
    if (!endpoint.acceptsRequests()) return
    if (endpoint.hasConnectionSince(brokenAt) || await tryConnection(endpoint.server.address) !== Reachability.Refused || !await reachesAnother(endpoint)) {
      // The server may have been restarted faster than it could be checked, or this host may have lost its links to all servers.
      sends.unanswered = [...sends.unanswered, ...sends.broken.splice(0)].slice(-maximumEndedSends)
      return
    }
    const breaks = listRecent(sends.broken.splice(0))
    const cancelled = listRecent(sends.cancelled.splice(0))
    const at = Math.min(brokenAt, ...breaks.map(({ endedAt }) => endedAt))
    await onDeath({ endpoint, at, inFlight: [...breaks, ...cancelled, ...[...sends.open].map(describeSend)] })
  }
  const startCheck = (endpoint: ServerEndpoint, sends: ServerSends): Promise<void> => {
    sends.pendingCheck ??= check(endpoint, sends, now()).finally(() => { sends.pendingCheck = undefined })
    return sends.pendingCheck
  }

  return {
    recordStart: (endpoint, send) => { findSends(endpoint).open.add(send) },
    recordEnd: (endpoint, send) => { findSends(endpoint).open.delete(send) },
    recordTimeout: (endpoint, send) => {
      const sends = findSends(endpoint)
      sends.open.delete(send)
      sends.unanswered = append(sends.unanswered, send)
    },
    recordCancel: (endpoint, send) => {
      const sends = findSends(endpoint)
      sends.open.delete(send)
      sends.cancelled = append(sends.cancelled, send)
    },
    recordRefusal: endpoint => {
      const sends = findSends(endpoint)
      if (listRecent(sends.cancelled).length > 0) startCheck(endpoint, sends).catch(() => {})
    },
    recordLoss: (endpoint, isReplaced) => {
      const { unanswered: timedOut, cancelled } = findSends(endpoint)
      const unanswered = listRecent([...timedOut.splice(0), ...cancelled.splice(0)], lossWindowMilliseconds)
      if (unanswered.length === 0) return
      const at = Math.min(...unanswered.map(({ endedAt }) => endedAt))
      // Some servers leave without an announcement and go on serving for a while after their entry was removed.
      const hasEnded = isReplaced ? Promise.resolve(true) : tryConnection(endpoint.server.address).then(reachability => reachability !== Reachability.Accepted && reachesAnother(endpoint))
      hasEnded.then(ended => ended ? onDeath({ endpoint, at, inFlight: unanswered }) : undefined).catch(() => {})
    },
    recordBreak: (endpoint, send) => {
      const sends = findSends(endpoint)
      sends.open.delete(send)
      sends.broken = [...listRecent(sends.broken), { ...describeSend(send), endedAt: now() }]
      return startCheck(endpoint, sends)
    }
  }
}

function describeSend ({ request, sentAt }: OpenSend): SentRequest {
  return { requestId: request.requestId, fingerprint: fingerprintRequest(request), sentAt }
}
