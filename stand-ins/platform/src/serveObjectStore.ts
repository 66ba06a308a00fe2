// Stand-in for the object store: `PUT` and `GET /objects/<key>`. `if-none-match: *` makes a put
// conditional on an absent object. The total size of all objects is bounded.
import { serveWithFaults, type RunningStandIn } from './serveWithFaults.js'
import type { ReceivedRequest, Reply } from './serveHttp.js'

const maximumObjectBytes = 16_777_216
const pathPrefix = '/objects/'

export interface ServeObjectStoreOptions {
  address?: string
  controlAddress?: string
  seed?: number
  maximumTotalBytes?: number
}

/** Starts the object store. Throws if an address cannot be bound. */
export function serveObjectStore ({ address = '127.0.0.1:0', controlAddress = '127.0.0.1:0', seed = 1, maximumTotalBytes = 268_435_456 }: ServeObjectStoreOptions = {}): Promise<RunningStandIn> {
  const objects = new Map<string, Buffer>()
  let totalBytes = 0

  const put = (key: string, { headers, body }: ReceivedRequest): Reply => {
    const existing = objects.get(key)
    if (existing !== undefined && headers['if-none-match'] === '*') return { status: 412 }
    const bytes = totalBytes + body.length - (existing?.length ?? 0)
    if (bytes > maximumTotalBytes) return { status: 507, body: { message: 'the store is full' } }
    totalBytes = bytes
    objects.set(key, body)
    return { status: 201 }
  }
  const get = (key: string): Reply => {
    const object = objects.get(key)
    return object === undefined ? { status: 404 } : { status: 200, body: object }
  }

  return serveWithFaults({
    address,
    controlAddress,
    maximumBodyBytes: maximumObjectBytes,
    seed,
    isWrite: ({ method }) => method === 'PUT',
    serve: request => {
      if (!request.path.startsWith(pathPrefix)) return { status: 404 }
      const key = decodeURIComponent(request.path.slice(pathPrefix.length))
      if (request.method === 'PUT') return put(key, request)
      return request.method === 'GET' ? get(key) : { status: 405 }
    }
  })
}
