// A service with a control address: requests to the service suffer the injected faults, requests to
// the control address never do.
import { createRandom } from '@siskinbeam/random/createRandom'
import { drawFate, faultsSchema, noFaults, type Faults } from './faults.js'
import { parseJson, serveHttp, type HttpListener, type ReceivedRequest, type Reply } from './serveHttp.js'

const maximumPendingRequests = 10_000
const maximumControlBytes = 1_048_576

export interface ServeFaultyOptions {
  address: string
  controlAddress: string
  maximumBodyBytes: number
  /** Seed of the faults that hit a share of requests. */
  seed: number
  isWrite: (request: ReceivedRequest) => boolean
  /** Refuses before the request takes effect, for example for its rate. */
  refuse?: (request: ReceivedRequest) => Reply | undefined
  /** Lets the request take effect. */
  serve: (request: ReceivedRequest) => Reply
  /** Further requests of the control address. */
  control?: (request: ReceivedRequest) => Reply | undefined
}

/** A running stand-in. */
export interface RunningStandIn {
  address: string
  controlAddress: string
  /** Changes the faults given and leaves the others. */
  setFaults: (faults: Partial<Faults>) => void
  close: () => Promise<void>
}

const wait = (milliseconds: number): Promise<void> => milliseconds <= 0
  ? Promise.resolve()
  : new Promise(resolve => { setTimeout(resolve, milliseconds).unref() })

/** Starts a service and its control address. */
export async function serveFaulty (options: ServeFaultyOptions): Promise<RunningStandIn> {
  const random = createRandom(options.seed)
  let faults = noFaults
  let pending = 0

  const serveWithFaults = async (request: ReceivedRequest): Promise<Reply | undefined> => {
    const fate = drawFate(faults, options.isWrite(request), random)
    if (fate.refused) return undefined
    const refusal = options.refuse?.(request)
    if (refusal !== undefined) return refusal
    await wait(fate.delayBeforeEffect)
    // A request that was accepted before an outage takes effect all the same, and its answer is lost.
    const reply = options.serve(request)
    await wait(fate.delayBeforeReply)
    return fate.replyLost || faults.outage ? undefined : reply
  }

  const handle = async (request: ReceivedRequest): Promise<Reply | undefined> => {
    if (pending >= maximumPendingRequests) return undefined
    pending += 1
    try {
      return await serveWithFaults(request)
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
  const control = await serveControl(options.controlAddress, handleControl, service)
  return {
    address: service.address,
    controlAddress: control.address,
    setFaults: changed => { faults = { ...faults, ...changed } },
    close: async () => { await Promise.all([service.close(), control.close()]) }
  }
}

async function serveControl (address: string, handle: (request: ReceivedRequest) => Reply, service: HttpListener): Promise<HttpListener> {
  try {
    return await serveHttp({ address, maximumBodyBytes: maximumControlBytes, handle })
  } catch (error) {
    await service.close()
    throw error
  }
}
