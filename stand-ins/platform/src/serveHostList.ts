// Stand-in for the host list: `GET /hosts`. Changes are made over the control address and become visible
// only after the lag: `POST /hosts` registers or replaces hosts by name, `POST /removals` removes them.
import { z } from 'zod'
import { serveWithFaults, type RunningStandIn } from './serveWithFaults.js'
import { parseJson, type Reply } from './serveHttp.js'

const maximumHosts = 50_000
const maximumPendingChanges = 10_000
const maximumBodyBytes = 1_024

const hostSchema = z.strictObject({
  name: z.string().min(1).max(200),
  role: z.enum(['entry', 'server']),
  address: z.string().min(1).max(200),
  dataCentre: z.string().min(1).max(200),
  state: z.enum(['live', 'leaving'])
})

/** A host in the list. */
export type ListedHost = z.output<typeof hostSchema>

export interface ServeHostListOptions {
  address?: string
  controlAddress?: string
  seed?: number
  /** Time until a change is visible. */
  lagMilliseconds?: number
}

/** A running host list. */
export interface RunningHostList extends RunningStandIn {
  /** Registers or replaces hosts, visible after the lag. */
  register: (hosts: ListedHost[]) => void
  /** Removes hosts by name, visible after the lag. */
  remove: (names: string[]) => void
}

/** Starts the host list. Throws if an address cannot be bound. */
export async function serveHostList ({ address = '127.0.0.1:0', controlAddress = '127.0.0.1:0', seed = 1, lagMilliseconds = 2_000 }: ServeHostListOptions = {}): Promise<RunningHostList> {
  const hosts = new Map<string, ListedHost>()
  const pending = new Set<NodeJS.Timeout>()

  const scheduleChange = (change: () => void): Reply => {
    if (pending.size >= maximumPendingChanges) return { status: 503, body: { message: 'too many changes wait' } }
    const timer = setTimeout(() => {
      pending.delete(timer)
      change()
    }, lagMilliseconds)
    pending.add(timer)
    return { status: 202 }
  }
  const register = (changed: ListedHost[]): Reply => scheduleChange(() => changed
    .filter(({ name }) => hosts.has(name) || hosts.size < maximumHosts)
    .forEach(host => hosts.set(host.name, host)))
  const remove = (names: string[]): Reply => scheduleChange(() => names.forEach(name => hosts.delete(name)))

  const changeHandlers: Record<string, (document: unknown) => Reply | undefined> = {
    '/hosts': document => {
      const parsed = z.array(hostSchema).safeParse(document)
      return parsed.success ? register(parsed.data) : undefined
    },
    '/removals': document => {
      const parsed = z.array(z.string()).safeParse(document)
      return parsed.success ? remove(parsed.data) : undefined
    }
  }

  const running = await serveWithFaults({
    address,
    controlAddress,
    maximumBodyBytes,
    seed,
    isWrite: () => false,
    serve: ({ method, path }) => method === 'GET' && path === '/hosts' ? { status: 200, body: [...hosts.values()] } : { status: 404 },
    control: ({ method, path, body }) => {
      const change = method === 'POST' ? changeHandlers[path] : undefined
      return change === undefined ? undefined : change(parseJson(body)) ?? { status: 400, body: { message: 'malformed hosts' } }
    }
  })
  return {
    ...running,
    register,
    remove,
    close: () => {
      pending.forEach(timer => clearTimeout(timer))
      return running.close()
    }
  }
}
