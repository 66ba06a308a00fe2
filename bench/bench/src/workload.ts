// The two workloads of the benchmarks: data centres, services, servers and request mix, with the sizes that users of
// the system reported.
import { LoadBalancingPolicy, type BundleInput } from '@siskinbeam/schema/bundle'

/** Names of the workloads. */
export enum WorkloadName {
  Trust = 'trust',
  Cascadia = 'cascadia'
}

/** A kind of request in the mix of a workload. */
export interface RequestKind {
  service: string
  method: 'GET' | 'POST'
  path: string
  idempotent: boolean
  /** Whether guests send an idempotency key. */
  keyed: boolean
  guestClass: string
  /** Share among the requests of its service. */
  share: number
  bodyBytes: number
}

/** A service of a workload. */
export interface WorkloadService {
  name: string
  pathPrefix: string
  servers: number
  slots: number
  queueLength: number
  /** Mean of the lognormal service time, in milliseconds. */
  serviceMilliseconds: number
  /** Sigma of the lognormal service time. */
  serviceSigma: number
}

/** A workload. `roundTripMilliseconds` is the network delay between any two data centres. */
export interface Workload {
  name: WorkloadName
  dataCentres: string[]
  roundTripMilliseconds: number
  entryHosts: number
  services: WorkloadService[]
  kinds: RequestKind[]
  probesPerRequest: number
  /** Maximum factor by which noisy neighbours slow down a server. */
  noiseFactor: number
}

const deadlineMilliseconds = 2_000

/** Workloads by name. */
export const workloads: Record<WorkloadName, Workload> = {
  [WorkloadName.Trust]: {
    name: WorkloadName.Trust,
    dataCentres: ['midlands-1', 'midlands-2', 'midlands-3'],
    roundTripMilliseconds: 1,
    entryHosts: 20,
    services: [
      { name: 'permit-desk', pathPrefix: '/desk', servers: 25, slots: 3, queueLength: 6, serviceMilliseconds: 40, serviceSigma: 0.8 },
      { name: 'issuer', pathPrefix: '/issuer', servers: 6, slots: 3, queueLength: 6, serviceMilliseconds: 80, serviceSigma: 0.8 }
    ],
    kinds: [
      { service: 'permit-desk', method: 'GET', path: '/desk/limits', idempotent: true, keyed: false, guestClass: 'haulier', share: 0.6, bodyBytes: 0 },
      { service: 'permit-desk', method: 'GET', path: '/desk/clearances', idempotent: true, keyed: false, guestClass: 'officer', share: 0.35, bodyBytes: 0 },
      { service: 'permit-desk', method: 'POST', path: '/desk/bookings', idempotent: false, keyed: true, guestClass: 'haulier', share: 0.05, bodyBytes: 300 },
      { service: 'issuer', method: 'POST', path: '/issuer/permits', idempotent: false, keyed: true, guestClass: 'haulier', share: 1, bodyBytes: 500 }
    ],
    probesPerRequest: 1,
    noiseFactor: 3
  },
  [WorkloadName.Cascadia]: {
    name: WorkloadName.Cascadia,
    dataCentres: ['cascadia-1', 'cascadia-2', 'cascadia-3', 'cascadia-4'],
    roundTripMilliseconds: 1.5,
    entryHosts: 20,
    services: [
      { name: 'roster', pathPrefix: '/roster', servers: 30, slots: 4, queueLength: 8, serviceMilliseconds: 60, serviceSigma: 0.8 },
      { name: 'ledger', pathPrefix: '/ledger', servers: 8, slots: 4, queueLength: 8, serviceMilliseconds: 160, serviceSigma: 0.8 }
    ],
    kinds: [
      { service: 'roster', method: 'GET', path: '/roster/placements', idempotent: true, keyed: false, guestClass: 'trainee', share: 0.9, bodyBytes: 0 },
      { service: 'roster', method: 'POST', path: '/roster/confirmations', idempotent: false, keyed: true, guestClass: 'coordinator', share: 0.1, bodyBytes: 300 },
      { service: 'ledger', method: 'POST', path: '/ledger/stipends', idempotent: false, keyed: true, guestClass: 'coordinator', share: 1, bodyBytes: 400 }
    ],
    probesPerRequest: 0.1,
    noiseFactor: 3
  }
}

/** Computes the requests per second of a service at a load, given as a share of its capacity. */
export function computeArrivalRate (service: WorkloadService, load: number): number {
  return load * service.servers * service.slots / service.serviceMilliseconds * 1_000
}

export interface MakeWorkloadBundleOptions {
  workload: Workload
  policy: LoadBalancingPolicy
  version: number
  previousDigest: string | null
  /** Returns the address of a server by the name of its service and its position. */
  addressOf: (service: string, position: number) => string
  probesPerRequest?: number
}

/** Formats the name of a server of a workload. Positions count from 0, names from 1. */
export function formatServerName (service: string, position: number): string {
  return `${service}-${position + 1}`
}

/** Creates the bundle of a workload. */
export function makeWorkloadBundle ({ workload, policy, version, previousDigest, addressOf, probesPerRequest }: MakeWorkloadBundleOptions): BundleInput {
  const { dataCentres } = workload
  const classes = [...new Set(workload.kinds.map(({ guestClass }) => guestClass))].sort()
  return {
    formatVersion: 1,
    name: workload.name,
    version,
    previousDigest,
    dataCentres: dataCentres.map(name => ({
      name,
      region: workload.name,
      roundTripMilliseconds: Object.fromEntries(dataCentres.filter(other => other !== name).map(other => [other, workload.roundTripMilliseconds]))
    })),
    guestClasses: classes.reverse(),
    entryAddresses: { timeToLiveSeconds: 5, maximumAddresses: 6 },
    measuring: { probesPerRequest: probesPerRequest ?? workload.probesPerRequest },
    services: workload.services.map(service => ({
      name: service.name,
      pathPrefix: service.pathPrefix,
      policy,
      servers: Array.from({ length: service.servers }, (_, position) => ({
        name: formatServerName(service.name, position),
        address: addressOf(service.name, position),
        dataCentre: dataCentres[position % dataCentres.length] as string,
        slots: service.slots,
        connections: 300
      })),
      routes: workload.kinds.filter(kind => kind.service === service.name).map(kind => ({
        methods: [kind.method],
        pathPrefix: kind.path,
        idempotent: kind.idempotent,
        guestClass: kind.guestClass,
        deadlineMilliseconds
      })),
      // Guests of the benchmarks retry a request for at most 30 s.
      resendSeconds: 30,
      recordLifetimeSeconds: 600
    }))
  }
}
