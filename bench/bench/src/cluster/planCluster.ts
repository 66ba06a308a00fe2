// Addresses and names of all processes of a run. Each run has a network of its own in the loopback
// range, so that two runs on one machine don't meet. The third part of an entry host's address is the
// number of its data centre, by which the stand-ins of servers know how far it is.
import { nameServer, type ServiceLoad, type Workload } from '../workload.js'

/** An entry host of a run. */
export interface PlannedEntryHost {
  name: string
  dataCentre: string
  ip: string
  guestAddress: string
  peerAddress: string
  metricsAddress: string
}

/** A server of a run. */
export interface PlannedServer {
  name: string
  service: ServiceLoad
  position: number
  dataCentre: string
  address: string
  controlAddress: string
  /** Round trips for the entry hosts, as the stand-in takes them. */
  networkDelays: string
}

/** Everything that a run starts. */
export interface ClusterPlan {
  entryHosts: PlannedEntryHost[]
  servers: PlannedServer[]
  tableAddress: string
  tableControl: string
  objectStoreAddress: string
  objectStoreControl: string
  hostListAddress: string
  hostListControl: string
}

const guestPort = 8_000
const peerPort = 8_001
const metricsPort = 8_002
const servicePort = 9_000
const controlPort = 9_001
const firstServerPart = 100
const platformPart = 250

/** Picks a network of the loopback range by the id of the process. */
export function pickNetwork (processId: number): number {
  return 16 + processId % 200
}

/** Plans an entry host by its position. Its data centre follows from the position. */
export function planEntryHost (workload: Workload, network: number, position: number): PlannedEntryHost {
  const dataCentre = position % workload.dataCentres.length
  const ip = `127.${network}.${dataCentre + 1}.${position + 1}`
  return {
    name: `entry-${position + 1}`,
    dataCentre: workload.dataCentres[dataCentre] as string,
    ip,
    guestAddress: `${ip}:${guestPort}`,
    peerAddress: `${ip}:${peerPort}`,
    metricsAddress: `${ip}:${metricsPort}`
  }
}

/** Plans all processes of a run. */
export function planCluster (workload: Workload, network: number, entryHosts: number): ClusterPlan {
  const planServer = (service: ServiceLoad, servicePosition: number, position: number): PlannedServer => {
    const own = position % workload.dataCentres.length
    const ip = `127.${network}.${firstServerPart + servicePosition}.${position + 1}`
    return {
      name: nameServer(service.name, position),
      service,
      position,
      dataCentre: workload.dataCentres[own] as string,
      address: `${ip}:${servicePort}`,
      controlAddress: `${ip}:${controlPort}`,
      networkDelays: workload.dataCentres.map((_, other) => `${other + 1}:${other === own ? 0 : workload.roundTripMilliseconds}`).join(',')
    }
  }
  const platform = (number: number): { address: string, control: string } => ({
    address: `127.${network}.${platformPart}.${number}:${servicePort}`,
    control: `127.${network}.${platformPart}.${number}:${controlPort}`
  })
  const [table, objectStore, hostList] = [platform(1), platform(2), platform(3)] as const
  return {
    entryHosts: Array.from({ length: entryHosts }, (_, position) => planEntryHost(workload, network, position)),
    servers: workload.services.flatMap((service, servicePosition) =>
      Array.from({ length: service.servers }, (_, position) => planServer(service, servicePosition, position))),
    tableAddress: table.address,
    tableControl: table.control,
    objectStoreAddress: objectStore.address,
    objectStoreControl: objectStore.control,
    hostListAddress: hostList.address,
    hostListControl: hostList.control
  }
}
