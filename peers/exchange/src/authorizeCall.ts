// Which key may call which method of the service Peer. Keys are compared by their digests, so that the
// comparison takes the same time wherever two keys differ and whatever their lengths are.
import { createHash, timingSafeEqual } from 'node:crypto'

const pathPrefix = '/siskinbeam.peer.v1.Peer/'

enum KeyHolder {
  Peer = 'peer',
  Operator = 'operator'
}

const holdersOfMethod: Record<string, readonly KeyHolder[]> = {
  Exchange: [KeyHolder.Peer],
  FetchBundle: [KeyHolder.Peer, KeyHolder.Operator],
  Status: [KeyHolder.Peer, KeyHolder.Operator],
  Dump: [KeyHolder.Operator]
}

export interface CreateAuthorizationOptions {
  peerKey: string
  operatorKey: string
}

/** Tells whether a call with this path and authorization header is allowed. */
export type Authorization = (path: string, header: string | undefined) => boolean

/** Creates the check of calls. An empty key allows nobody. */
export function createAuthorization ({ peerKey, operatorKey }: CreateAuthorizationOptions): Authorization {
  const digests: Record<KeyHolder, Buffer | null> = {
    [KeyHolder.Peer]: peerKey === '' ? null : digest(formatBearer(peerKey)),
    [KeyHolder.Operator]: operatorKey === '' ? null : digest(formatBearer(operatorKey))
  }
  return (path, header) => {
    const method = path.startsWith(pathPrefix) ? path.slice(pathPrefix.length) : ''
    if (!Object.hasOwn(holdersOfMethod, method)) return false
    const given = digest(header ?? '')
    return holdersOfMethod[method]?.some(holder => {
      const expected = digests[holder]
      return expected !== null && timingSafeEqual(given, expected)
    }) ?? false
  }
}

/** The value of the authorization header for a key. */
export function formatBearer (key: string): string {
  return `Bearer ${key}`
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
