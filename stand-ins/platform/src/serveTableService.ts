// Stand-in for the table service: `POST /read` and `POST /transact` on the service address, `GET /log`
// on the control address. Replies contain the time of the service clock.
import { z } from 'zod'
import { createRateLimit } from './createRateLimit.js'
import { createTable, TransactionOutcome, type TransactionResult, type TableOperation } from './createTable.js'
import { serveWithFaults, type RunningStandIn } from './serveWithFaults.js'
import { parseJson, type ReceivedRequest, type Reply } from './serveHttp.js'

const maximumBodyBytes = 4_194_304
const maximumOperations = 1_000
const expirySweepMilliseconds = 1_000

/** The unit in which transactions count towards the write rate. */
export enum WriteCost {
  Transaction = 'transaction',
  Row = 'row'
}

export interface ServeTableServiceOptions {
  address?: string
  controlAddress?: string
  writesPerSecond?: number
  /** Counted by key. */
  readsPerSecond?: number
  writeCost?: WriteCost
  seed?: number
  maximumRows?: number
  maximumLoggedRows?: number
  /** Returns epoch milliseconds. */
  clock?: () => number
}

const key = z.string().min(1).max(1_024)
const readSchema = z.object({ keys: z.array(key).min(1).max(maximumOperations) })
const transactSchema = z.object({
  operations: z.array(z.object({
    kind: z.literal('put'),
    key,
    value: z.unknown(),
    expectedVersion: z.union([z.number().int(), z.null(), z.literal('any')]),
    expiresAtMilliseconds: z.number().nullish().transform(time => time ?? null)
  })).min(1).max(maximumOperations)
    .refine(operations => new Set(operations.map(operation => operation.key)).size === operations.length, 'a key occurs twice')
})

/** Starts the table service. Throws if an address cannot be bound. */
export async function serveTableService (options: ServeTableServiceOptions = {}): Promise<RunningStandIn> {
  const { address = '127.0.0.1:0', controlAddress = '127.0.0.1:0', writesPerSecond = 300, readsPerSecond = 2_000, writeCost = WriteCost.Transaction, seed = 1, clock = Date.now } = options
  const table = createTable(options)
  const limitWrites = createRateLimit(writesPerSecond)
  const limitReads = createRateLimit(readsPerSecond)

  const reject = ({ path, body }: ReceivedRequest): Reply | undefined => {
    const parsed = (path === '/transact' ? transactSchema : readSchema).safeParse(parseJson(body))
    if (!parsed.success) return { status: 400, body: { message: parsed.error.issues[0]?.message ?? 'malformed' } }
    const allowed = 'operations' in parsed.data
      ? limitWrites(writeCost === WriteCost.Row ? parsed.data.operations.length : 1, clock())
      : limitReads(parsed.data.keys.length, clock())
    return allowed ? undefined : { status: 429, body: { message: 'the rate is exceeded' } }
  }

  const serve = ({ path, body }: ReceivedRequest): Reply => {
    const now = clock()
    const request = parseJson(body) as { keys: string[], operations: TableOperation[] }
    return path === '/transact'
      ? formatReply(table.transact(request.operations, now), request.operations, now)
      : { status: 200, body: { rows: table.read(request.keys, now).filter(({ version }) => version !== null), timeMilliseconds: now } }
  }

  const running = await serveWithFaults({
    address,
    controlAddress,
    maximumBodyBytes,
    seed,
    isWrite: ({ path }) => path === '/transact',
    reject: request => ['/read', '/transact'].includes(request.path) && request.method === 'POST' ? reject(request) : { status: 404 },
    serve,
    control: ({ method, path, query }) => method === 'GET' && path === '/log'
      ? { status: 200, body: table.listLog(Number(query.get('after') ?? 0)) }
      : undefined
  })
  const sweep = setInterval(() => table.removeExpired(clock()), expirySweepMilliseconds).unref()
  return {
    ...running,
    close: () => {
      clearInterval(sweep)
      return running.close()
    }
  }
}

function formatReply (result: TransactionResult, operations: TableOperation[], timeMilliseconds: number): Reply {
  if (result.outcome === TransactionOutcome.Full) return { status: 507, body: { message: 'the table is full', timeMilliseconds } }
  if (result.outcome === TransactionOutcome.ConditionFailed) return { status: 409, body: { rows: result.rows, timeMilliseconds } }
  return { status: 200, body: { versions: operations.map(operation => ({ key: operation.key, version: result.transaction })), timeMilliseconds } }
}
