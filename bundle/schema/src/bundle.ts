// Schema of a configuration bundle: a versioned document that defines the services, the addresses of their
// servers, and the limits and priorities of guests. Unknown keys are rejected, so that a misspelt setting is
// not ignored silently.
import { z } from 'zod'

/** Load balancing policy that selects a server for a request. */
export enum LoadBalancingPolicy {
  Random = 'random',
  RoundRobin = 'round-robin',
  TwoChoicesOwn = 'two-choices-own',
  TwoChoicesReported = 'two-choices-reported',
  Omniscient = 'omniscient',
  Ours = 'ours'
}

/** Handling of a request that needs a claim while the table service is unavailable. */
export enum StoreOutagePolicy {
  Refuse = 'refuse',
  Hold = 'hold'
}

/** Whether a non-idempotent route accepts requests without an idempotency key. */
export enum IdempotencyKeyPolicy {
  Required = 'required',
  Optional = 'optional'
}

export const maximumCallDepth = 22
const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, at most 63')
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'IP number and port, for example 127.0.0.1:8080')
const pathPrefix = z.string().regex(/^\/[^\s?#]*$/, 'a path that starts with / and has no query')
const milliseconds = z.number().positive().max(600_000)

const dataCentreSchema = z.strictObject({
  name,
  region: name.default('default'),
  /** Round trip times to other data centres in milliseconds; the default for a data centre that is not listed is 1 ms. */
  roundTripMilliseconds: z.record(name, z.number().min(0).max(10_000)).default({})
})

const serverSchema = z.strictObject({
  name,
  address,
  dataCentre: name,
  slots: z.number().int().min(1).max(10_000),
  connections: z.number().int().min(1).max(100_000).default(300)
})

const routeSchema = z.strictObject({
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'])).min(1),
  pathPrefix,
  idempotent: z.boolean(),
  idempotencyKey: z.enum(IdempotencyKeyPolicy).default(IdempotencyKeyPolicy.Optional),
  deadlineMilliseconds: milliseconds.default(10_000),
  guestClass: name.default('standard')
})

const serviceSchema = z.strictObject({
  name,
  pathPrefix,
  servers: z.array(serverSchema).min(1),
  routes: z.array(routeSchema).min(1),
  policy: z.enum(LoadBalancingPolicy).default(LoadBalancingPolicy.Ours),
  /** Maximum number of servers that one entry host sends requests to. */
  subsetSize: z.number().int().min(1).max(1_000).default(50),
  maximumBodyBytes: z.number().int().min(0).max(1_073_741_824).default(1_048_576),
  retry: z.strictObject({
    maximumAttempts: z.number().int().min(1).max(10).default(3),
    /** Retries and hedges as a share of first sends. */
    budgetShare: z.number().min(0).max(1).default(0.1)
  }).prefault({}),
  hedging: z.strictObject({
    enabled: z.boolean().default(true),
    percentile: z.number().min(50).max(99.99).default(95)
  }).prefault({}),
  limits: z.strictObject({
    /** Maximum number of requests that wait for a slot at one entry host. */
    queueLength: z.number().int().min(0).max(100_000).default(100)
  }).prefault({}),
  storeOutage: z.enum(StoreOutagePolicy).default(StoreOutagePolicy.Refuse),
  /** Retention of the record of a non-idempotent request after its last change. */
  recordLifetimeSeconds: z.number().int().min(60).max(31_536_000).default(86_400),
  /** Maximum time after which a guest may still repeat a request. */
  resendSeconds: z.number().int().min(1).max(15_768_000).default(3_600)
})

const probingSchema = z.strictObject({
  probesPerSecond: z.number().int().min(0).max(100_000).default(200),
  bytesPerSecond: z.number().int().min(0).max(100_000_000).default(100_000),
  /** Processor time as a share of one core; 0.018 is 1.8 %. */
  coreShare: z.number().min(0).max(1).default(0.018),
  /** Mean number of probes per request. */
  probesPerRequest: z.number().min(0).max(10).default(0.5),
  /** Disabled by default: in the comparison of policies the gain is within the variation between seeds. */
  shareReportsWithPeers: z.boolean().default(false)
})

const bundleSchema = z.strictObject({
  formatVersion: z.literal(1),
  name,
  version: z.number().int().min(1).max(Number.MAX_SAFE_INTEGER),
  /** Digest of the bundle that this one replaces, null for the first bundle. */
  previousDigest: z.string().regex(/^[0-9a-f]{64}$/).nullable(),
  dataCentres: z.array(dataCentreSchema).min(1),
  /** Guest classes in descending order of priority. */
  guestClasses: z.array(name).min(1).default(['standard']),
  platform: z.strictObject({
    tableWritesPerSecond: z.number().positive().max(1_000_000).default(300),
    tableReadsPerSecond: z.number().positive().max(1_000_000).default(2_000),
    /** Time that a claim waits for the table service before `storeOutage` applies. */
    tableAnswerMilliseconds: milliseconds.default(300)
  }).prefault({}),
  entryAddresses: z.strictObject({
    timeToLiveSeconds: z.number().int().min(1).max(3_600).default(10),
    maximumAddresses: z.number().int().min(1).max(64).default(6)
  }).prefault({}),
  measuring: probingSchema.prefault({}),
  services: z.array(serviceSchema).min(1)
})

export const bundleShape = bundleSchema

/** A validated bundle with defaults applied. */
export type Bundle = z.output<typeof bundleSchema>
/** A bundle as written by an operator; keys with defaults may be absent. */
export type BundleInput = z.input<typeof bundleSchema>
export type DataCentreConfiguration = Bundle['dataCentres'][number]
export type ServiceConfiguration = Bundle['services'][number]
export type ServerConfiguration = ServiceConfiguration['servers'][number]
export type RouteConfiguration = ServiceConfiguration['routes'][number]
export type ProbingConfiguration = Bundle['measuring']
