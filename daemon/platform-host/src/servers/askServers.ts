// Asks servers for their load on the connection that would carry the request next. The answer is only
// milliseconds old when the request is sent; it shows that the connection works, has no bytes of an
// earlier exchange on it, and ends at the server that is meant.
import { readAnswerHead } from '@siskinbeam/platform-adapter/serverDialect'
import { setTimeoutAfterInput } from '@siskinbeam/processes/setTimeoutAfterInput'
import type { ServerLoad } from '@siskinbeam/server-ranking/rankServers'
import { ExchangeOutcome, type ServerConnection } from './serverConnection.js'
import { noteReachable, noteUnreachable, type ServerLink } from './serverLink.js'

/** A server that answered, with the connection to use. */
export interface AskedServer {
  link: ServerLink
  connection: ServerConnection
  load: ServerLoad
  /** Whether the server says that it takes requests. */
  healthy: boolean
  /** When the answer came, on the monotonic clock. */
  askedAt: number
  /** Sends of this host that were in flight when the server answered. */
  inFlightWhenAsked: number
}

export interface AskServersOptions {
  links: ServerLink[]
  healthPath: string
  now: () => number
  onAsked: (outcome: ExchangeOutcome) => void
}

/** A question that takes longer than this is counted against the server. */
const questionTimeoutMilliseconds = 250
/** How long the others are waited for once a server with room has answered. */
const settleMilliseconds = 5
/** How long more than one answer is waited for. */
const longestWaitMilliseconds = 120

/** Gives the servers that answered in time. Connections of later answers go back to their links. */
export function askServers (options: AskServersOptions): Promise<AskedServer[]> {
  if (options.links.length === 0) return Promise.resolve([])
  return new Promise(resolve => {
    const answers: AskedServer[] = []
    let open = options.links.length
    let settling: NodeJS.Timeout | undefined
    let isDue = false
    const finish = (): void => {
      clearTimeout(limit)
      clearTimeout(settling)
      resolve(answers)
    }
    const limit = setTimeoutAfterInput(() => {
      isDue = true
      if (answers.length > 0) finish()
    }, longestWaitMilliseconds)
    const note = (asked: AskedServer | undefined): void => {
      open -= 1
      if (asked !== undefined) answers.push(asked)
      if (open === 0 || (isDue && asked !== undefined)) finish()
      else if (asked !== undefined && asked.load.running < asked.load.slots) settling ??= setTimeout(finish, settleMilliseconds)
    }
    options.links.forEach(link => { askServer(link, options).then(note, () => note(undefined)) })
  })
}

async function askServer (link: ServerLink, options: AskServersOptions): Promise<AskedServer | undefined> {
  const connection = link.takeConnection()
  const result = await connection.exchange({
    method: 'GET',
    path: options.healthPath,
    headers: ['Host', link.server.address],
    body: undefined,
    timeoutMilliseconds: questionTimeoutMilliseconds,
    isOwnAnswer: (status, headers) => {
      const head = readAnswerHead(status, headers)
      return !head.signed && head.requestId === undefined
    }
  })
  options.onAsked(result.outcome)
  if (result.outcome !== ExchangeOutcome.Answered) {
    noteUnreachable(link, options.now())
    return undefined
  }
  const { status, headers } = result.answer
  const head = readAnswerHead(status, headers)
  if (head.serverId !== undefined && head.serverId !== link.server.id) {
    noteUnreachable(link, options.now())
    connection.close()
    return undefined
  }
  noteReachable(link)
  const load = head.load ?? { running: link.inFlight, waiting: 0, slots: link.server.slots, pace: 1 }
  return { link, connection, load, healthy: status === 200, askedAt: options.now(), inFlightWhenAsked: link.inFlight }
}
