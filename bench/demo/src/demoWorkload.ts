// The workload of the demonstration: the services of the Trust workload, small enough to start in seconds on a laptop.
import { WorkloadName, type Workload } from '@siskinbeam/bench/workload'

export const demoBundleName = 'demo'
export const demoEntryHostCount = 6

/** 12 servers in 3 data centres; the 4 servers of the issuer run only non-idempotent requests. */
export const demoWorkload: Workload = {
  name: WorkloadName.Trust,
  dataCentres: ['midlands-1', 'midlands-2', 'midlands-3'],
  roundTripMilliseconds: 1,
  entryHosts: demoEntryHostCount,
  services: [
    { name: 'permit-desk', pathPrefix: '/desk', servers: 8, slots: 3, queueLength: 6, serviceMilliseconds: 40, serviceSigma: 0.8 },
    { name: 'issuer', pathPrefix: '/issuer', servers: 4, slots: 3, queueLength: 6, serviceMilliseconds: 80, serviceSigma: 0.8 }
  ],
  kinds: [
    { service: 'permit-desk', method: 'GET', path: '/desk/limits', idempotent: true, keyed: false, guestClass: 'haulier', share: 0.9, bodyBytes: 0 },
    { service: 'permit-desk', method: 'POST', path: '/desk/bookings', idempotent: false, keyed: true, guestClass: 'haulier', share: 0.1, bodyBytes: 300 },
    { service: 'issuer', method: 'POST', path: '/issuer/permits', idempotent: false, keyed: true, guestClass: 'haulier', share: 1, bodyBytes: 500 }
  ],
  probesPerRequest: 0.5,
  noiseFactor: 2
}
