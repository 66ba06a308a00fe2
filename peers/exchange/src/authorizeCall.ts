// Authorization of calls to the service Peer by key and method. Digests of keys are compared instead of the
// keys, so that the comparison takes constant time for keys of any length.
import { createHash, timingSafeEqual } from 'node:crypto'

const pathPrefix = '/siskinbeam.peer.v1.Peer/'

enum CallerRole {
  Peer = 'peer',
  Operator = 'operator'
}

const allowedRoles: Record<string, readonly CallerRole[]> = {
  Exchange: [CallerRole.Peer],
  FetchBundle: [CallerRole.Peer, CallerRole.Operator],
  Status: [CallerRole.Peer, CallerRole.Operator],
  Dump: [CallerRole.Operator]
}

export interface CreateAuthorizerOptions {
  peerKey: string
  operatorKey: string
}

/** Returns whether a call with this path and authorization header is allowed. */
export type Authorizer = (path: string, header: string | undefined) => boolean

/** Creates an authorizer. An empty key authorizes no calls. */
export function createAuthorizer ({ peerKey, operatorKey }: CreateAuthorizerOptions): Authorizer {
  const digests: Record<CallerRole, Buffer | null> = {
    [CallerRole.Peer]: peerKey === '' ? null : digest(formatBearer(peerKey)),
    [CallerRole.Operator]: operatorKey === '' ? null : digest(formatBearer(operatorKey))
  }
  return (path, header) => {
    const method = path.startsWith(pathPrefix) ? path.slice(pathPrefix.length) : ''
    if (!Object.hasOwn(allowedRoles, method)) return false
    const actual = digest(header ?? '')
    return allowedRoles[method]?.some(role => {
      const expected = digests[role]
      return expected !== null && timingSafeEqual(actual, expected)
    }) ?? false
  }
}

/** Formats the value of the authorization header for a key. */
export function formatBearer (key: string): string {
  return `Bearer ${key}`
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
