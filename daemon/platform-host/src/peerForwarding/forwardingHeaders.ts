// Headers between two entry hosts on a request that one has the other send to a server, and on its response.
import type { IncomingHttpHeaders } from 'node:http'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { isStartKey } from '../servers/startKey.js'

/** What the first host says of a request. Everything else is in the request of the guest, which is passed on as it is. */
export interface ForwardedDetails {
  /** Name of the host that has the request of the guest. */
  from: string
  /** Service that the first host chose among those of the route. */
  service: string
  /** Time since the request arrived at the first host. */
  elapsedMilliseconds: number
  /** Number of sends of the first host that reached or may have reached a server. */
  sends: number
}

/** Marks a request that another host forwards. */
export const forwardedHeader = 'siskinbeam-forwarded'
/** Result code of a response that the second host created itself. */
const resultHeader = 'siskinbeam-result'
/** Key of the start of the server whose response it is. */
const serverHeader = 'siskinbeam-server'
export const forwardingHeaders: ReadonlySet<string> = new Set([forwardedHeader, resultHeader, serverHeader])

const maximumNameLength = 200
const maximumElapsedMilliseconds = 3_600_000
const maximumSends = 1_000

export function formatForwardedDetails ({ from, service, elapsedMilliseconds, sends }: ForwardedDetails): string {
  return new URLSearchParams({ from, service, elapsed: String(Math.round(elapsedMilliseconds)), sends: String(sends) }).toString()
}

/** Parses the details of a forwarded request. Returns undefined if a field is missing or out of range. */
export function parseForwardedDetails (text: string | string[] | undefined): ForwardedDetails | undefined {
  if (typeof text !== 'string') return undefined
  const fields = new URLSearchParams(text)
  const readName = (field: string): string | undefined => {
    const name = fields.get(field) ?? ''
    return name !== '' && name.length <= maximumNameLength ? name : undefined
  }
  const readCount = (field: string, maximum: number): number | undefined => {
    const digits = fields.get(field) ?? ''
    return /^\d{1,9}$/.test(digits) && Number(digits) <= maximum ? Number(digits) : undefined
  }
  const [from, service, elapsedMilliseconds, sends] = [readName('from'), readName('service'), readCount('elapsed', maximumElapsedMilliseconds), readCount('sends', maximumSends)]
  return from === undefined || service === undefined || elapsedMilliseconds === undefined || sends === undefined ? undefined : { from, service, elapsedMilliseconds, sends }
}

/** Returns the headers, in the form of Node's raw headers, of a response of a server to a forwarded request. */
export function formatServerOfResponse (startKey: string): string[] {
  return [serverHeader, encodeURIComponent(startKey)]
}

/** Returns the headers of a response that the second host created itself. */
export function formatResultOfResponse (code: ResultCode): Record<string, string> {
  return { [resultHeader]: String(code) }
}

/** Who created the response to a forwarded request: a server, or the second host with a result code. Undefined if neither is named. */
export type ResponseOrigin = { server: string } | { code: ResultCode }

export function readResponseOrigin (headers: IncomingHttpHeaders): ResponseOrigin | undefined {
  const code = Number(headers[resultHeader])
  if (ResultCode[code] !== undefined) return { code }
  const server = decode(headers[serverHeader])
  return isStartKey(server) ? { server } : undefined
}

function decode (text: string | string[] | undefined): string {
  try {
    return decodeURIComponent(typeof text === 'string' ? text : '')
  } catch {
    return '' // Not a key, like any other text that is none.
  }
}
