// A service with a control address. Injected faults affect requests to the service, and never requests to
// the control address.
import { createRandom } from '@siskinbeam/random/createRandom'
import { drawFaultEffects, faultsSchema, noFaults, type Faults } from './faults.js'
import { parseJson, serveHttp, type HttpListener, type ReceivedRequest, type Reply } from './serveHttp.js'

const maximumPendingRequests = 10_000
const maximumControlBytes = 1_048_576

export interface ServeWithFaultsOptions {
  address: string
  controlAddress: string
  maximumBodyBytes: number
  /** Random seed of the faults that affect a share of requests. */
  seed: number
  isWrite: (request: ReceivedRequest) => boolean
  /** Returns a reply to reject the request before it takes effect, for example because the rate is exceeded. */
  reject?: (request: ReceivedRequest) => Reply | undefined
  /** Applies the request and returns its reply. */
  serve: (request: ReceivedRequest) => Reply
  /** Handles requests to the control address other than `/control`; undefined for an unknown path. */
  control?: (request: ReceivedRequest) => Reply | undefined
}

/** A running stand-in. */
export interface RunningStandIn {
  address: string
  controlAddress: string
  /** Changes the given faults and leaves the others unchanged. */
  setFaults: (faults: Partial<Faults>) => void
  close: () => Promise<void>
}

const wait = (milliseconds: number): Promise<void> => milliseconds <= 0
  ? Promise.resolve()
  : new Promise(resolve => { setTimeout(resolve, milliseconds).unref() })

/** Starts a service and its control server. Throws if an address cannot be bound. */
export async function serveWithFaults (options: ServeWithFaultsOptions): Promise<RunningStandIn> {
  const random = createRandom(options.seed)
  let faults = noFaults
  let pending = 0

  const applyFaults = async (request: ReceivedRequest): Promise<Reply | undefined> => {
    const effects = drawFaultEffects(faults, options.isWrite(request), random)
    if (effects.refused) return undefined
    const rejection = options.reject?.(request)
    if (rejection !== undefined) return rejection
    await wait(effects.delayBeforeEffect)
    // A request that was accepted before an outage still takes effect, and its response is lost.
    const reply = options.serve(request)
    await wait(effects.delayBeforeReply)
    return effects.replyLost || faults.outage ? undefined : reply
  }

  const handle = async (request: ReceivedRequest): Promise<Reply | undefined> => {
    if (pending >= maximumPendingRequests) return undefined
    pending += 1
    try {
      return await applyFaults(request)
    } finally {
      pending -= 1
    }
  }

  const handleControl = (request: ReceivedRequest): Reply => {
    if (request.path !== '/control') return options.control?.(request) ?? { status: 404 }
    if (request.method === 'GET') return { status: 200, body: faults }
    const parsed = faultsSchema.partial().safeParse(parseJson(request.body))
    if (!parsed.success) return { status: 400, body: { message: parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; ') } }
    faults = { ...faults, ...parsed.data }
    return { status: 200, body: faults }
  }

  const service = await serveHttp({ address: options.address, maximumBodyBytes: options.maximumBodyBytes, handle })
  const control = await startControlServer(options.controlAddress, handleControl, service)
  return {
    address: service.address,
    controlAddress: control.address,
    setFaults: changed => { faults = { ...faults, ...changed } },
    close: async () => { await Promise.all([service.close(), control.close()]) }
  }
}

async function startControlServer (address: string, handle: (request: ReceivedRequest) => Reply, service: HttpListener): Promise<HttpListener> {
  try {
    return await serveHttp({ address, maximumBodyBytes: maximumControlBytes, handle })
  } catch (error) {
    await service.close()
    throw error
  }
}
